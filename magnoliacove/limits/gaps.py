"""Estimates of how long a model stays without a complete path.

While no engine has some layer loaded, requests cannot be served until the
layer is placed again.  How long that takes depends on the engines and the
model, so it is estimated from the gaps that were observed.
"""

from collections.abc import Callable

import trio

__all__ = ["GapEstimator"]

# Initial estimate of a gap's duration, in seconds: a failed engine is detected
# after half a second, and a small engine loads its layers in 1.6 s.
_INITIAL_DURATION = 2.0
# Weight of the newest gap in the moving average.
_SMOOTHING = 0.3
# Seconds; a gap that already lasts longer than the mean may end at any moment.
_MIN_REMAINING = 0.3
# Gaps are observed only by requests that arrive during them.  A gap that no
# request has observed for this many seconds is assumed to have ended.  If it
# counted as continuing, a short gap before an hour without requests would
# cause all requests of the next gap to be refused.
_OBSERVATION_TIMEOUT = 0.5


class GapEstimator:
    """The gaps in one model's layers, as one gateway observes them.

    :param mean_duration: the moving average of the duration of gaps, seconds.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self.mean_duration = _INITIAL_DURATION
        self._read_time = read_time
        self._gap_since: float | None = None
        self._observed_at = 0.0

    def note(self, complete: bool) -> None:
        """Record whether every layer is loaded on some engine now.

        :param complete: whether every layer is loaded somewhere.
        """
        now = self._read_time()
        if self._gap_since is not None:
            ended = min(now, self._observed_at + _OBSERVATION_TIMEOUT)
            if complete or ended < now:
                self.mean_duration += _SMOOTHING * (
                    ended - self._gap_since - self.mean_duration
                )
                self._gap_since = None
        if complete:
            return
        self._gap_since = now if self._gap_since is None else self._gap_since
        self._observed_at = now

    @property
    def in_gap(self) -> bool:
        """Whether the last observation was that a layer is missing."""
        return self._gap_since is not None

    def estimate_remaining(self) -> float:
        """Return the expected seconds until the gap ends, 0 without a gap."""
        if self._gap_since is None:
            return 0.0
        lasted = self._read_time() - self._gap_since
        return max(_MIN_REMAINING, self.mean_duration - lasted)
