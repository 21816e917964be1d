"""Trials by which a gateway notices that capacity it leaves is not used.

What a gateway leaves to others may be of no use to them: they may hang, be
cut off, or have requests that do not fit.  So one request that is held back
tries now and then.  While all trials succeed their number doubles in quick
succession; the first that fails shows that the capacity is used.
"""

from collections.abc import Callable
import random

__all__ = ["MAX_HOLD", "RoomTrials"]

# Maximum seconds until the first trial: longer than heartbeats take to tell
# of freed capacity in a fleet of several dozen gateways.
MAX_HOLD = 1.0
# Minimum of it, as a fraction.  Gateways that began to leave capacity at the
# same moment try one after the other.
_MIN_HOLD_FRACTION = 0.5
# Seconds between rounds of trials while all of them succeed.
_ROUND = 0.1


class RoomTrials:
    """The trials of one service's requests that are held back.

    :param read_time: returns seconds.
    """

    def __init__(
        self, rng: random.Random, read_time: Callable[[], float]
    ) -> None:
        self._rng = rng
        self._read_time = read_time
        # When the next round begins, None while no request is held back.
        self._next_round: float | None = None
        self._asked_at = 0.0
        self._allowance = 0
        self._successes = 0
        self._tried: int | None = None

    def may_try(self, priority: int) -> bool:
        """Return whether a request that is held back may try now.

        A trial counts as failed unless :meth:`note_used` follows it at once.
        """
        now = self._read_time()
        if now - self._asked_at > MAX_HOLD or self._next_round is None:
            # What was noticed before says nothing about now.
            self._pause(now)
        self._asked_at = now
        if now >= self._read_next_round():
            self._begin_round(now)
        if self._successes >= self._allowance:
            return False
        self._tried = priority
        return True

    def close_trial(self) -> None:
        """End a trial that got no capacity; the next one waits."""
        if self._tried is not None:
            self._pause(self._read_time())

    def note_used(self, priority: int) -> None:
        """Record that a request got capacity."""
        if self._tried == priority:
            self._tried = None
            self._successes += 1

    def _begin_round(self, now: float) -> None:
        succeeded = self._successes and self._successes >= self._allowance
        self._allowance = 2 * self._allowance if succeeded else 1
        self._successes = 0
        self._next_round = now + _ROUND

    def _pause(self, now: float) -> None:
        hold = self._rng.uniform(_MIN_HOLD_FRACTION, 1.0) * MAX_HOLD
        self._next_round = now + hold
        self._allowance = self._successes = 0
        self._tried = None

    def _read_next_round(self) -> float:
        assert self._next_round is not None
        return self._next_round
