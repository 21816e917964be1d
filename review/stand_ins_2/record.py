"""The record of one run: what was sent, answered and run, and when."""

import pathlib
import time

__all__ = ["Record"]


class Record:
    """Lines with the seconds since the beginning of the run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the beginning of the run."""
        return time.monotonic() - self._began

    def write(self, text: str) -> float:
        """Write one line and return its time."""
        now = self.now()
        self._file.write(f"{now:9.3f} {text}\n")
        self._file.flush()
        return now

    def close(self) -> None:
        """Close the file."""
        self._file.close()
