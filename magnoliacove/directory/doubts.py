"""Entries that are not believed after the store came back from a copy.

From a copy, a target that leaves is ready again and one that left is there
again.  Either would be sent requests that it is not to get any more, until it
writes its entry again or the entry lapses.
"""

from collections.abc import Callable
from collections.abc import Collection
import math

from magnoliacove.directory.listed import ListedTarget

__all__ = ["EntryDoubts"]

# So long after the store came back, in seconds, its entries may be older than
# what is known.  Targets that live write theirs again within two seconds, and
# those of dead ones lapse after three heartbeats of theirs.
_WRITTEN_AGAIN = 6.0
# What is gone is remembered for so long, in seconds; a copy is not older.
_GONE_KEPT = 30.0


class EntryDoubts:
    """Which entries speak against what is known, and wait to be believed."""

    def __init__(self, read_time: Callable[[], float]) -> None:
        self._read_time = read_time
        self._restored_at = -math.inf
        # When each target that is gone was removed.
        self._gone: dict[str, float] = {}
        # By name of the target.
        self._waiting: dict[str, ListedTarget] = {}

    def note_restored(self) -> None:
        """Take it that the store came back from a copy."""
        self._restored_at = self._read_time()
        self._waiting.clear()

    def note_gone(self, target: str) -> None:
        """Remember a target that is gone."""
        self._gone[target] = self._read_time()

    def note_listed(self, target: str) -> None:
        """Forget that a target was gone."""
        self._gone.pop(target, None)

    def keep(self, entries: Collection[str]) -> None:
        """Drop what waits whose entry is not listed any more."""
        self._waiting = {
            name: target
            for name, target in self._waiting.items()
            if target.entry in entries
        }

    def drop(self, entry: str) -> None:
        """Drop what waits under an entry that was removed."""
        self.keep({t.entry for t in self._waiting.values()} - {entry})

    def holds_back(
        self, target: ListedTarget, known: ListedTarget | None
    ) -> bool:
        """Return whether an entry is not to be believed yet.

        One that is written a second time is: its writer lives.

        :param known: what is known under its name, None for nothing.
        """
        if not self._is_recent():
            return False
        leaves = known is not None and (
            known.name == target.name
            and known.draining
            and not target.draining
        )
        gone_at = self._gone.get(target.name, math.inf)
        if not leaves and gone_at >= self._restored_at:
            return False
        waiting = self._waiting.setdefault(target.name, target)
        if waiting.revision == target.revision:
            return True
        del self._waiting[target.name]
        return False

    def take_believed(self) -> list[ListedTarget]:
        """Return the entries that stand for so long that they are true."""
        if not self._gone and not self._waiting:
            return []
        limit = self._read_time() - _GONE_KEPT
        for name, gone_at in list(self._gone.items()):
            if gone_at < limit:
                del self._gone[name]
        if not self._waiting or self._is_recent():
            return []
        waiting, self._waiting = self._waiting, {}
        return list(waiting.values())

    def _is_recent(self) -> bool:
        return self._read_time() - self._restored_at < _WRITTEN_AGAIN
