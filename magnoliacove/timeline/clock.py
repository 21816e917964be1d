"""A hybrid logical clock, so that events of many processes can be ordered.

A reading is one 64-bit number: milliseconds since the epoch in the upper
48 bits and a counter in the lower 16.  Each message between our processes
carries a reading, so an effect is never ordered before its cause even when
the wall clocks of two instances disagree.
"""

from collections.abc import Callable
import time

__all__ = ["Clock", "make_reading", "split_reading"]

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
# A reading further ahead than this is not followed.  One instance whose
# clock is years off would otherwise drag every other clock with it, and
# keys would look as if they were minted in the past for good.
MAX_AHEAD_MS = 60_000


def make_reading(milliseconds: int, counter: int = 0) -> int:
    """Join milliseconds and a counter into one reading."""
    return (milliseconds << _COUNTER_BITS) | counter


def split_reading(reading: int) -> tuple[int, int]:
    """Return the milliseconds and the counter of a reading."""
    return reading >> _COUNTER_BITS, reading & _COUNTER_MASK


class _SteadyWallClock:
    """The wall clock at start, carried on by the monotonic clock.

    A wall clock that is set back while we run would let a key that was
    minted before an agent's start pass as a newer one.
    """

    def __init__(self) -> None:
        self._wall = time.time()
        self._monotonic = time.monotonic()

    def __call__(self) -> float:
        return self._wall + time.monotonic() - self._monotonic


class Clock:
    """One process's hybrid logical clock.

    :param read_time: returns seconds since the epoch.
    """

    def __init__(self, read_time: Callable[[], float] | None = None) -> None:
        self._read_time = read_time or _SteadyWallClock()
        self._last = 0

    def now(self) -> int:
        """Return a reading later than every one before it."""
        wall = make_reading(int(self._read_time() * 1000))
        self._last = max(wall, self._last + 1)
        return self._last

    def observe(self, reading: int) -> None:
        """Move past a reading that came with a message."""
        limit = make_reading(int(self._read_time() * 1000) + MAX_AHEAD_MS)
        if reading > limit:
            return
        self._last = max(self._last, reading)

    def seconds(self) -> float:
        """Return the present reading as seconds since the epoch."""
        return split_reading(self.now())[0] / 1000
