"""Revisions of a store that may come back from an older copy of itself.

The store counts its changes.  Once it came back from a copy it gives the
numbers after that copy out again, for other changes, so a number means
nothing without the era in which it was given.  Inside this program a revision
is one number of both: the era above, the store's own number below.  The order
of such numbers is that of the changes, in all eras.
"""

from collections.abc import Callable

__all__ = ["MAX_ERA", "StoreEra", "join_revision", "split_revision"]

# The store's own number takes the lower 40 bits, which are enough for ten
# years at 3,000 changes a second.  What peers send each other has 63 bits.
_NUMBERS = 1 << 40
MAX_ERA = (1 << 23) - 1


def join_revision(era: int, number: int) -> int:
    """Return the revision that the store gave in an era."""
    return era * _NUMBERS + number


def split_revision(revision: int) -> tuple[int, int]:
    """Return the era of a revision and the store's own number."""
    return divmod(revision, _NUMBERS)


class StoreEra:
    """The newest era of the store that one process has heard of.

    :param number: 0 for a store that tells none.
    """

    def __init__(self) -> None:
        self.number = 0
        self._known = False
        self._listeners: list[Callable[[int, str], None]] = []

    def listen(self, listener: Callable[[int, str], None]) -> None:
        """Call a function with each newer era, and who told of it.

        It is called once an era.  The first era that a process hears of is
        no news to it, since it knows nothing from an earlier one.
        """
        self._listeners.append(listener)

    def note(self, number: int, source: str) -> bool:
        """Take it that the store, or a peer, is in an era.

        :returns: whether that is the newest one; what was said in an older
            one is void.
        """
        if self._known and number <= self.number:
            return number == self.number
        news, self._known = self._known, True
        self.number = number
        if news:
            for listener in self._listeners:
                listener(number, source)
        return True

    def join(self, number: int) -> int:
        """Return a revision that the store gave just now."""
        return join_revision(self.number, number)

    def is_current(self, revision: int) -> bool:
        """Return whether a revision was given in the present era.

        The store compares its own numbers only.  One from before it came
        back from a copy may fit by accident, as numbers are given out again:
        a write would take the place of one that its writer never saw.
        """
        return split_revision(revision)[0] == self.number
