"""The end of a gateway process: what is open is answered, then it stops."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from magnoliacove.gateway.callers import CallerConnection
from magnoliacove.gateway.state import GatewayState

__all__ = ["Drain"]

# Seconds after this process begins to leave for which callers still connect:
# the balancer probes each second and removes a gateway after two failures.
_BALANCER_DELAY = 2.6
# Seconds of the grace time reserved for the last bytes and the log.
_STOP_RESERVE = 0.7
# Seconds of that reserve for the answers of the calls that are ended.
_LAST_ANSWERS_TIMEOUT = 0.25
# Seconds between looks at those answers.
_LAST_ANSWERS_INTERVAL = 0.01
# Seconds between looks at what is still open.
_CHECK_INTERVAL = 0.05


class Drain:
    """Callers' connections, and how they end.

    :param read_grace: returns the seconds from the signal to the moment at
        which the process is killed.
    :param release_duties: hands over what this gateway does for all.
    :param has_others: returns whether another gateway takes callers.
    :param accepting: cancelled when no connection is accepted any more.
    """

    def __init__(
        self,
        state: GatewayState,
        read_grace: Callable[[], float],
        release_duties: Callable[[], Awaitable[None]],
        has_others: Callable[[], bool],
    ) -> None:
        self.accepting = trio.CancelScope()
        self.connections: set[CallerConnection] = set()
        self._state = state
        self._read_grace = read_grace
        self._release_duties = release_duties
        self._has_others = has_others

    async def run(self) -> None:
        """Accept no new callers and return once all are answered."""
        state, recorder = self._state, self._state.recorder
        state.leaving = True
        began = trio.current_time()
        limit = began + self._read_grace() - _STOP_RESERVE
        state.call_limits.announce(limit, self._has_others)
        recorder.record("stopping", open_requests=state.open_requests)
        state.in_progress.record(recorder, "this process begins to stop")
        async with trio.open_nursery() as nursery:
            # The store may answer late; the time of callers goes on.
            nursery.start_soon(self._release_duties)
            await self._wait_answered(began, limit)
            nursery.cancel_scope.cancel()
        state.in_progress.record(recorder, "the grace time is over")
        overdue = state.open_requests
        await self._end_calls()
        recorder.record(
            "stopped",
            open_requests=state.open_requests,
            overdue=overdue,
            why="the grace time is over" if overdue else "",
        )

    async def _wait_answered(self, began: float, limit: float) -> None:
        """Return once all callers are answered, or the time for it is over.

        :param began: when this process began to leave.
        :param limit: when that time is over.
        """
        while trio.current_time() < limit:
            if trio.current_time() - began >= _BALANCER_DELAY:
                # A balancer without another gateway in this data centre
                # continues to send callers here.  A caller that is refused
                # retries elsewhere, while one that is accepted now would be
                # cut off at the end of the grace time.
                self.accepting.cancel()
                self._close_idle()
                if not self._state.open_requests and not self.connections:
                    return
            next_look = trio.current_time() + _CHECK_INTERVAL
            await trio.sleep_until(min(next_look, limit))

    async def _end_calls(self) -> None:
        """End the calls in progress and let them answer their callers.

        If their handlers were cancelled, callers whose answer has not begun
        would get a closed connection, which tells nothing.
        """
        self._state.call_limits.end()
        with trio.move_on_after(_LAST_ANSWERS_TIMEOUT):
            while self._state.open_requests or self.connections:
                await trio.sleep(_LAST_ANSWERS_INTERVAL)
                self._close_idle()

    def _close_idle(self) -> None:
        for connection in tuple(self.connections):
            connection.close_if_idle()
