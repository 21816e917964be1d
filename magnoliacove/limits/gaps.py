"""How long a model has been without a whole path, and how long that lasts.

While no engine holds some layer, a request waits in vain until the layer is
placed again.  How long that takes depends on the engines and the model, so
it is learned from the gaps that were seen.
"""

from collections.abc import Callable

import trio

__all__ = ["GapClock"]

# A first guess, in seconds: a lost engine is known after half a second, and
# a small one loads its layers in 1.6 s.
_USUAL = 2.0
_SMOOTHING = 0.3
# A gap that lasts longer than usual may end at any moment.
_LEAST_LEFT = 0.3
# Gaps are seen by requests that meet them.  One that no request has met for
# so long has ended unseen; learned as if it went on, a short gap before a
# quiet hour would have all requests of the next one refused.
_UNSEEN = 0.5


class GapClock:
    """The gaps of one model's layers, as one gateway sees them.

    :param usual: how long a gap lasts, in seconds, as a moving mean.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self.usual = _USUAL
        self._read_time = read_time
        self._since: float | None = None
        self._seen_at = 0.0

    def note(self, whole: bool) -> None:
        """Take it that some engine holds each layer now, or that none does."""
        now = self._read_time()
        if self._since is not None:
            ended = min(now, self._seen_at + _UNSEEN)
            if whole or ended < now:
                self.usual += _SMOOTHING * (ended - self._since - self.usual)
                self._since = None
        if whole:
            return
        self._since = now if self._since is None else self._since
        self._seen_at = now

    def read_left(self) -> float:
        """Return the seconds until the gap probably ends, 0 without one."""
        if self._since is None:
            return 0.0
        lasted = self._read_time() - self._since
        return max(_LEAST_LEFT, self.usual - lasted)
