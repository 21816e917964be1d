"""A watch on one kind of objects in the store.

A connection may go silent without notice, so each call waits for a limited
time only, and what a silent one kept back is read on a new connection.
"""

from collections.abc import Callable
import math

import trio

from magnoliacove import platform

__all__ = ["FOLLOWER_WATCH_SECONDS", "WATCH_SECONDS", "Watch"]

# Seconds for which one call of a watch waits.  A silent connection is detected
# after this time plus the timeout of a call, and each call has a cost.  A
# machine may be without news for three seconds after a connection went silent.
# The placement leader waits for the short time and reports how new its list
# is, so the other gateways may wait longer.
WATCH_SECONDS = 1.2
FOLLOWER_WATCH_SECONDS = 25.0
# Seconds for which a watch waits that reads what a silent one missed.
_CATCH_UP_SECONDS = 0.05


class Watch:
    """A watch on one kind of objects that can be ended from outside.

    :param on_silence: called with the kind and the reason when the watch was
        not answered.
    """

    def __init__(
        self,
        api: platform.ObjectApi,
        kind: str,
        on_silence: Callable[[str, str], None],
    ) -> None:
        self.kind = f"{kind}/"
        self._api = api
        self._on_silence = on_silence
        self._scope = trio.CancelScope()
        # Length and start of the present wait.
        self._seconds = 0.0
        self._began = math.inf

    @property
    def waits_long(self) -> bool:
        """Whether the present wait relies on the reports of peers."""
        return self._seconds > WATCH_SECONDS

    @property
    def waited(self) -> float:
        """Seconds since the present wait began, not positive without one."""
        return trio.current_time() - self._began

    async def wait(
        self, after: int, seconds: float
    ) -> tuple[tuple[platform.WatchEvent, ...], int] | None:
        """Return changes and the revision to continue from.

        What a silent connection kept back is read at once on a new one.  The
        store still has these changes, so nothing is listed again, and nothing
        looks like an entry that expired.

        :returns: None when the watch was ended and everything must be read
            again.
        """
        with trio.CancelScope() as self._scope:
            self._seconds, self._began = seconds, trio.current_time()
            try:
                return await self._api.watch(self.kind, after, seconds)
            except platform.NoAnswerError as error:
                self._on_silence(self.kind, str(error))
            finally:
                self._seconds, self._began = 0.0, math.inf
            return await self._api.watch(self.kind, after, _CATCH_UP_SECONDS)
        return None

    def end(self) -> None:
        """Stop waiting, so that everything is read again."""
        self._scope.cancel()
