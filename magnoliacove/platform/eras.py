"""Revisions of a store that may be restored from an older snapshot.

The store numbers its changes.  After a restore it assigns the numbers that
follow the snapshot again, to other changes, so a number is ambiguous without
the era in which it was assigned.  Inside this program a revision is a single
number that combines both: the era in the upper bits and the store's own
number in the lower ones.  Such revisions sort in the order of the changes,
across all eras.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

__all__ = [
    "MAX_ERA",
    "StoreEra",
    "join_revision",
    "read_era",
    "split_revision",
]

# The store's own number takes the lower 40 bits, enough for ten years at
# 3,000 changes a second.  The messages between peers have 63 bits for a
# revision, which leaves 23 bits for the era.
_NUMBERS_PER_ERA = 1 << 40
MAX_ERA = (1 << 23) - 1
# The header with which each answer reports the store's era, the number of
# times that the store was restored from an older snapshot.
_HEADER = b"store-era"


def read_era(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the era that an answer reports, or None if there is no valid one.

    It may have more digits than Python converts to an integer.
    """
    for name, value in headers:
        if name.lower() != _HEADER:
            continue
        number = float(value) if value.isdigit() else math.inf
        return int(number) if number <= MAX_ERA else None
    return None


def join_revision(era: int, number: int) -> int:
    """Return the revision for a number that the store assigned in an era."""
    return era * _NUMBERS_PER_ERA + number


def split_revision(revision: int) -> tuple[int, int]:
    """Return the era of a revision and the store's own number."""
    return divmod(revision, _NUMBERS_PER_ERA)


class StoreEra:
    """The newest era of the store that this process has received.

    :param number: 0 if the store reports no era.
    """

    def __init__(self) -> None:
        self.number = 0
        self._received = False
        self._listeners: list[Callable[[int, str], None]] = []

    def listen(self, listener: Callable[[int, str], None]) -> None:
        """Call a function with each newer era and the source reporting it.

        The function is called once per era.  It is not called for the first
        era that the process receives, because the process has no state from
        an earlier one.
        """
        self._listeners.append(listener)

    def note(self, number: int, source: str) -> bool:
        """Record that the store or a peer reports an era.

        :returns: whether it is the newest era; data from an older era is
            not valid.
        """
        if self._received and number <= self.number:
            return number == self.number
        changed, self._received = self._received, True
        self.number = number
        if changed:
            for listener in self._listeners:
                listener(number, source)
        return True

    def join(self, number: int) -> int:
        """Return the revision for a number assigned in the current era."""
        return join_revision(self.number, number)

    def is_current(self, revision: int) -> bool:
        """Return whether a revision was assigned in the current era.

        The store compares only its own numbers and reuses them after a
        restore from an older snapshot.  A number from before the restore may
        match by accident, and a write would then overwrite a change that its
        writer never read.
        """
        return split_revision(revision)[0] == self.number
