"""Filter for outdated entries after the store is restored.

In a store that is restored from an older snapshot, a draining target is
listed as ready again, and a removed target is listed again.  Either would
get requests that it must not get any more, until it rewrites its entry or
the entry lapses.
"""

from collections.abc import Callable
from collections.abc import Collection
import math

from magnoliacove.directory.listed import ListedTarget

__all__ = ["StaleEntryFilter"]

# Seconds after a restore in which entries of the store may be outdated.  Live
# targets rewrite their entries within two seconds; entries of failed
# targets expire after three of their heartbeats.
_REWRITE_PERIOD = 6.0
# Seconds for which removed targets are remembered; snapshots are not older.
_REMOVAL_RETENTION = 30.0


class StaleEntryFilter:
    """Defers entries that contradict the current state after a restore."""

    def __init__(self, read_time: Callable[[], float]) -> None:
        self._read_time = read_time
        self._restored_at = -math.inf
        # Time of removal of each removed target.
        self._removed: dict[str, float] = {}
        # Deferred entries, by name of the target.
        self._deferred: dict[str, ListedTarget] = {}

    def note_restored(self) -> None:
        """Record that the store was restored from an older snapshot."""
        self._restored_at = self._read_time()
        self._deferred.clear()

    def note_removed(self, target: str) -> None:
        """Record that a target was removed."""
        self._removed[target] = self._read_time()

    def note_listed(self, target: str) -> None:
        """Record that a target is listed again."""
        self._removed.pop(target, None)

    def retain(self, entries: Collection[str]) -> None:
        """Discard deferred targets whose entries are not among these."""
        self._deferred = {
            name: target
            for name, target in self._deferred.items()
            if target.entry in entries
        }

    def discard(self, entry: str) -> None:
        """Discard the deferred target of a removed entry."""
        self.retain({t.entry for t in self._deferred.values()} - {entry})

    def defer(
        self, target: ListedTarget, current: ListedTarget | None
    ) -> bool:
        """Defer an entry that may be outdated; return whether it is deferred.

        An entry that is written a second time is not deferred, since its
        writer is alive.

        :param current: the target listed under this entry now, or None.
        """
        if not self._is_recently_restored():
            return False
        undoes_drain = current is not None and (
            current.name == target.name
            and current.draining
            and not target.draining
        )
        removed_at = self._removed.get(target.name, math.inf)
        if not undoes_drain and removed_at >= self._restored_at:
            return False
        deferred = self._deferred.setdefault(target.name, target)
        if deferred.revision == target.revision:
            return True
        del self._deferred[target.name]
        return False

    def take_credible(self) -> list[ListedTarget]:
        """Return deferred entries that have become credible with time.

        Entries are outdated only for a limited time after a restore.  An
        entry that still exists when this time is over is correct.
        """
        if not self._removed and not self._deferred:
            return []
        limit = self._read_time() - _REMOVAL_RETENTION
        for name, removed_at in list(self._removed.items()):
            if removed_at < limit:
                del self._removed[name]
        if not self._deferred or self._is_recently_restored():
            return []
        deferred, self._deferred = self._deferred, {}
        return list(deferred.values())

    def _is_recently_restored(self) -> bool:
        return self._read_time() - self._restored_at < _REWRITE_PERIOD
