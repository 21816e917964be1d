"""Reading the entries of targets, of which some may be invalid."""

from collections.abc import Iterable

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.platform.servers import read_server
from magnoliacove.timeline import Recorder

__all__ = ["EntryReader"]

# Maximum number of unreadable entries whose error is remembered, so that each
# is logged once.
_MAX_REMEMBERED_ERRORS = 256


class EntryReader:
    """Reads entries, and logs each error of an invalid one once."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        # The last logged error of each unreadable entry, by name.
        self._reported_errors: dict[str, str] = {}

    def read_all(
        self, records: Iterable[platform.Record]
    ) -> list[ListedTarget]:
        """Return the targets that entries name."""
        results = map(self.read, records)
        return [target for target in results if target is not None]

    def read(self, record: platform.Record) -> ListedTarget | None:
        """Return the target that an entry names, None when it names none.

        Other writers may repeatedly write invalid entries among those of the
        engines.  Each error of an entry is logged once.
        """
        try:
            target = read_server(record)
        except errors.ProtocolError as error:
            self._report_unreadable(record.name, str(error))
            return None
        self._reported_errors.pop(record.name, None)
        return target

    def _report_unreadable(self, name: str, why: str) -> None:
        if self._reported_errors.get(name) == why:
            return
        if len(self._reported_errors) >= _MAX_REMEMBERED_ERRORS:
            self._reported_errors.clear()
        self._reported_errors[name] = why
        self._recorder.record(
            "target-unreadable", target=name.partition("/")[2], why=why
        )
