"""Counts of events in a sliding time window, by name."""

from collections import deque
from collections.abc import Callable

__all__ = ["WindowCounts"]


class WindowCounts:
    """Counts of events in a sliding window.

    :param seconds: the length of the window.
    :param read_time: returns seconds.
    """

    def __init__(self, seconds: float, read_time: Callable[[], float]) -> None:
        self._seconds = seconds
        self._read_time = read_time
        self._times: dict[str, deque[float]] = {}

    def note(self, name: str) -> None:
        """Record one event of a name now."""
        self._times.setdefault(name, deque()).append(self._read_time())

    def count(self, name: str) -> int:
        """Return the number of a name's events within the window."""
        start = self._read_time() - self._seconds
        times = self._times.get(name, deque())
        while times and times[0] < start:
            times.popleft()
        return len(times)

    def list_names(self) -> set[str]:
        """Return every name that was ever recorded."""
        return set(self._times)
