"""Finding out whether an engine lives, and whether it is as believed.

A lost engine is noticed first by what it breaks: streams that fall silent,
requests that another engine refuses in its name.  Asking the engine itself
tells in a few milliseconds, long before its entry lapses.
"""

from collections.abc import Callable

import trio

from magnoliacove.directory.holdings import Holding
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.engines import was_process_delayed
from magnoliacove.gateway.state import GatewayState
from magnoliacove.platform.engines import EngineReport

__all__ = ["EngineChecks"]

# Reports come within 10 ms.  A second question on a connection of its own
# goes out after half of this, so that one lost packet, which is sent again
# after 200 ms, makes no sound engine look lost.
_REPORT_TIMEOUT = 0.2
# An engine that refuses is asked again after so long at the earliest.
_ASK_AGAIN = 0.4
_HEALTH_TIMEOUT = 0.35
# An engine that is another one than it was taken for, or does not hold the
# layers that it was to run.
_NOT_AS_BELIEVED = 421


class EngineChecks:
    """Asks engines, and corrects what is believed of them.

    :param tell: called when a belief that the peers share was wrong.
    """

    def __init__(
        self,
        state: GatewayState,
        calls: EngineCalls,
        tell: Callable[[], None],
    ) -> None:
        self._state = state
        self._calls = calls
        self._tell = tell
        self._checked: dict[str, float] = {}

    async def read_report(
        self, target: ListedTarget, why: str
    ) -> EngineReport | None:
        """Return an engine's report; suspect it when it gives none.

        :param why: what made somebody ask.
        :returns: None as well when the engine wants no questions now.
        """
        if not self._state.permits.try_call(target.name):
            await self._check_reachable(target, why)
            return None
        began = trio.current_time()
        found: list[EngineReport] = []

        async def ask(delay: float, scope: trio.CancelScope) -> None:
            await trio.sleep(delay)
            if delay and not self._state.permits.try_call(target.name):
                return
            try:
                found.append(
                    await self._calls.read_report(target, fresh=delay > 0)
                )
            except TargetError:
                # The other question may still be answered; without any
                # answer the engine is suspected below.
                return
            scope.cancel()

        with trio.move_on_after(_REPORT_TIMEOUT):
            async with trio.open_nursery() as nursery:
                for delay in (0.0, _REPORT_TIMEOUT / 2):
                    nursery.start_soon(ask, delay, nursery.cancel_scope)
        if found:
            return found[0]
        if not was_process_delayed(began, _REPORT_TIMEOUT):
            self._state.health.suspect(
                target.name, f"{why}, and it gives no report"
            )
        return None

    async def _check_reachable(self, target: ListedTarget, why: str) -> None:
        """Suspect an engine that takes no connection.

        It may not be asked anything, but one that is gone refuses at once.
        """
        if not await self._calls.is_reachable(target):
            self._state.health.suspect(
                target.name, f"{why}, and it takes no connection"
            )

    async def check_refusal(
        self, target: ListedTarget, status: int, health_path: str
    ) -> None:
        """Find out why an engine refused a request, or was named for it.

        Else each request learns by itself that a path is wrong, and takes it
        again: an engine that has started again refuses hundreds, and many of
        them end with that.  Of an engine that fell silent the first refusal
        tells, long before its reports are missed.
        """
        now = trio.current_time()
        if now - self._checked.get(target.name, -1.0) < _ASK_AGAIN:
            return
        self._checked[target.name] = now
        report = await self.read_report(target, f"it refused with {status}")
        if report is None:
            return
        if status == _NOT_AS_BELIEVED:
            self._correct(target, report)
            return
        await self._check_leaving(target, health_path)

    def _correct(self, target: ListedTarget, report: EngineReport) -> None:
        """Take an engine's own word for what it holds."""
        state = self._state
        holding = Holding(
            report.layers, report.loading, report.slowness, report.used
        )
        restarted = state.targets.observe(
            target.entry, report.incarnation, directly=True
        )
        if restarted or not state.holdings.correct(target.name, holding):
            return
        state.recorder.record(
            "holding-corrected",
            target=target.name,
            why="it refused a request for layers that it was to hold",
            layers=str(report.layers),
            loading=report.loading,
        )
        state.room.fill()
        self._tell()

    async def _check_leaving(
        self, target: ListedTarget, health_path: str
    ) -> None:
        """Find out whether an engine leaves.

        Its entry says so, but not while the store is away; and each
        request that is sent there meanwhile is refused.
        """
        if not self._state.permits.try_call(target.name):
            return
        with trio.move_on_after(_HEALTH_TIMEOUT):
            try:
                if await self._calls.is_leaving(target, health_path):
                    self._state.health.suspect(
                        target.name,
                        "its health check says that it leaves",
                        leaving=True,
                    )
            except TargetError as why:
                self._state.health.suspect(
                    target.name, f"no health check: {why}"
                )

    def forget(self, known: set[str]) -> None:
        """Drop what is known of targets that no longer exist."""
        for name in set(self._checked) - known:
            del self._checked[name]
