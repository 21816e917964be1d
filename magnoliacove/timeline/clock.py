"""A hybrid logical clock that orders events of many processes.

A reading is one 64-bit number: milliseconds since the epoch in the upper
48 bits and a counter in the lower 16.  Each message between processes carries
a reading, so an effect is never ordered before its cause even when the wall
clocks of two instances differ.
"""

from collections.abc import Callable
import time

__all__ = ["Clock", "make_reading", "split_reading"]

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
# Maximum milliseconds by which a received reading may be ahead of the wall
# clock; others are ignored.  Otherwise one instance whose clock is years ahead
# would advance all other clocks, and new idempotency keys would appear to be
# from the past permanently.
MAX_AHEAD_MS = 60_000


def make_reading(milliseconds: int, counter: int = 0) -> int:
    """Join milliseconds and a counter into one reading."""
    return (milliseconds << _COUNTER_BITS) | counter


def split_reading(reading: int) -> tuple[int, int]:
    """Return the milliseconds and the counter of a reading."""
    return reading >> _COUNTER_BITS, reading & _COUNTER_MASK


class _SteadyWallClock:
    """The wall clock at process start, advanced by the monotonic clock.

    If the clock followed a wall clock that is set back while the process
    runs, an idempotency key from before an agent's start would count as a
    newer one.
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
        """Return a reading later than all previous ones."""
        wall = make_reading(int(self._read_time() * 1000))
        self._last = max(wall, self._last + 1)
        return self._last

    def observe(self, reading: int) -> None:
        """Advance the clock past a reading received with a message."""
        limit = make_reading(int(self._read_time() * 1000) + MAX_AHEAD_MS)
        if reading > limit:
            return
        self._last = max(self._last, reading)

    def seconds(self) -> float:
        """Return the current reading as seconds since the epoch."""
        return split_reading(self.now())[0] / 1000
