"""When refused callers are to retry, so that they find capacity."""

from collections import deque
from collections.abc import Callable
import random

from magnoliacove.limits.waits import Refusal
from magnoliacove.limits.waits import RoomFlow

__all__ = ["RetryTimes"]

# Bounds of `Retry-After` in seconds.  Capacity is short while the layers of a
# failed engine are placed again, which takes about two seconds.  Callers retry
# once; a caller that retries sooner is refused again and then gives up.
_MIN_RETRY_AFTER = 2.0
_MAX_RETRY_AFTER = 6.5
# The longest time to the first retry.  Later ones are spread up to the maximum
# instead of returning together at it.
_MAX_FIRST_RETRY = 4.0
# Seconds of refusals whose retries are spread over the time in which there is
# room for them.
_RETRY_WINDOW = 2.0


class RetryTimes:
    """Chooses the time to the retry of each refused request.

    :param read_time: returns seconds.
    """

    def __init__(self, read_time: Callable[[], float]) -> None:
        self._read_time = read_time
        # Times of the latest refusals.
        self._refusals: deque[float] = deque()

    def draw(
        self, flow: RoomFlow, refusal: Refusal, delay: float = 0.0
    ) -> float:
        """Record a refusal and return seconds until its retry.

        :param delay: seconds until any path can exist, 0 when paths exist or
            it is not known.
        """
        now = self._read_time()
        self._refusals.append(now)
        while self._refusals[0] < now - _RETRY_WINDOW:
            self._refusals.popleft()
        expected = self._estimate_wait(flow, refusal, delay)
        # All that were refused lately return, and need as many grants.
        spread = max(expected, len(self._refusals) / flow.grant_rate)
        first = min(expected, _MAX_FIRST_RETRY)
        return random.uniform(first, min(first + spread, _MAX_RETRY_AFTER))

    def _estimate_wait(
        self, flow: RoomFlow, refusal: Refusal, delay: float
    ) -> float:
        """Return the seconds until there is capacity for the request."""
        if delay:
            return delay
        if flow.is_overloaded(refusal.priority):
            # There is no room while the overload lasts.  A late answer is as
            # late after four seconds as after two, and a caller that is
            # refused again gives up.
            return _MAX_FIRST_RETRY
        return max(refusal.wait, _MIN_RETRY_AFTER)
