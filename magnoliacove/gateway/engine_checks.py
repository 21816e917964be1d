"""Checks whether an engine is alive and in the recorded state.

A failed engine first shows by its effects: streams that stall, and requests
that another engine refuses because of it.  A report requested from the engine
itself confirms this within a few milliseconds, long before its entry expires.
"""

from collections.abc import Callable
from http import HTTPStatus

import trio

from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.engines import was_process_delayed
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.saturation import is_nearly_full
from magnoliacove.platform.engines import EngineReport

__all__ = ["EngineChecks"]

# Seconds until a report times out.  Reports come within 10 ms.  A second
# request for it is sent on a new connection after half of this time, so that a
# lost packet, which is retransmitted after 200 ms, does not make a healthy
# engine look failed.
_REPORT_TIMEOUT = 0.2
# Seconds until the second report of an engine of a full service times out.
_LATE_REPORT_TIMEOUT = 0.4
# Minimum seconds between two checks of an engine that refuses requests.
_MIN_CHECK_INTERVAL = 0.4
# Seconds until a health check times out.
_HEALTH_TIMEOUT = 0.35


class EngineChecks:
    """Checks engines and corrects their recorded state.

    :param announce: called when state that the peers share was corrected.
    :param shows_life: returns whether an engine brought data of a stream
        after a time by trio's clock.
    """

    def __init__(
        self,
        state: GatewayState,
        calls: EngineCalls,
        announce: Callable[[], None],
        shows_life: Callable[[str, float], bool] = lambda target, since: False,
    ) -> None:
        self._state = state
        self._calls = calls
        self._announce = announce
        self._shows_life = shows_life
        self._checked_at: dict[str, float] = {}

    async def read_report(
        self, target: ListedTarget, why: str
    ) -> EngineReport | None:
        """Return an engine's report; suspect the engine if none arrives.

        An engine of a full service may be busy.  It is asked once more, and
        not suspected while it brings data.

        :param why: the reason for the check, for the log.
        :returns: None also when the engine may not be called now.
        """
        if not self._state.permits.try_call(target.name):
            await self._check_reachable(target, why)
            return None
        began = trio.current_time()
        report = await self._fetch_report(target, _REPORT_TIMEOUT)
        if report is not None:
            return report
        if was_process_delayed(began, _REPORT_TIMEOUT):
            return None
        if self._state.saturation.is_full(target.service):
            return await self._read_late_report(target, why, began)
        self._suspect_silent(target, why)
        return None

    async def _read_late_report(
        self, target: ListedTarget, why: str, began: float
    ) -> EngineReport | None:
        """Ask an engine of a full service again; suspect it if it is silent.

        :param began: when it was first asked, by trio's clock.
        """
        report: EngineReport | None = None
        if not self._shows_life(target.name, began):
            asked = trio.current_time()
            report = await self._fetch_report(target, _LATE_REPORT_TIMEOUT)
            if report is None and was_process_delayed(
                asked, _LATE_REPORT_TIMEOUT
            ):
                return None
        if report is None and not self._shows_life(target.name, began):
            self._suspect_silent(target, why)
            return None
        self._state.recorder.record(
            "engine-busy",
            target=target.name,
            why=f"{why}, and its report is late",
            seconds=round(trio.current_time() - began, 2),
            reported=report is not None,
        )
        return report

    def _suspect_silent(self, target: ListedTarget, why: str) -> None:
        self._state.health.suspect(
            target.name, f"{why}, and it gives no report"
        )

    async def _fetch_report(
        self, target: ListedTarget, timeout: float
    ) -> EngineReport | None:
        """Return an engine's report, or None if it has not come in time.

        :param timeout: in seconds.
        """
        reports: list[EngineReport] = []

        async def fetch(delay: float, scope: trio.CancelScope) -> None:
            await trio.sleep(delay)
            if delay and not self._state.permits.try_call(target.name):
                return
            try:
                reports.append(
                    await self._calls.read_report(target, fresh=delay > 0)
                )
            except TargetError:
                # The other request may still be answered.  Without any
                # answer the engine is suspected below.
                return
            scope.cancel()

        with trio.move_on_after(timeout):
            async with trio.open_nursery() as nursery:
                for delay in (0.0, timeout / 2):
                    nursery.start_soon(fetch, delay, nursery.cancel_scope)
        return reports[0] if reports else None

    async def _check_reachable(self, target: ListedTarget, why: str) -> None:
        """Suspect an engine that accepts no connection.

        The engine may not be called, but one that ended refuses at once.
        """
        if not await self._calls.is_reachable(target):
            self._state.health.suspect(
                target.name, f"{why}, and it takes no connection"
            )

    async def check_refusal(
        self, target: ListedTarget, status: int, health_path: str
    ) -> None:
        """Check why an engine refused a request or was named in a refusal.

        Without the check each request detects a wrong path on its own and
        then takes it again: an engine that restarted refuses hundreds of
        requests, and many of them fail.  The first refusal also reveals an
        unresponsive engine, long before its missing reports do.
        """
        now = trio.current_time()
        if now - self._checked_at.get(target.name, -1.0) < _MIN_CHECK_INTERVAL:
            return
        self._checked_at[target.name] = now
        report = await self.read_report(target, f"it refused with {status}")
        if report is None:
            return
        # It is another incarnation than expected, or has not loaded the layers
        # that it was to run.
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            self._correct_status(target, report)
            return
        full = self._state.saturation.is_full(target.service)
        if full and is_nearly_full(report.used, report.total):
            # It has no room and need not be leaving.  Each health check is
            # one more request at an engine that has too many.
            return
        await self._check_leaving(target, health_path)

    def _correct_status(
        self, target: ListedTarget, report: EngineReport
    ) -> None:
        """Replace the recorded status of an engine by its report."""
        state = self._state
        engine_status = EngineStatus(
            report.layers, report.loading, report.slowness, report.used
        )
        restarted = state.targets.note_incarnation(
            target.entry, report.incarnation, directly=True
        )
        if restarted or not state.engine_statuses.correct(
            target.name, engine_status
        ):
            return
        state.recorder.record(
            "holding-corrected",
            target=target.name,
            why="it refused a request for layers recorded as loaded",
            layers=str(report.layers),
            loading=report.loading,
        )
        state.capacity_queue.fill()
        self._announce()

    async def _check_leaving(
        self, target: ListedTarget, health_path: str
    ) -> None:
        """Check whether an engine is leaving.

        Its entry shows that, but not during an outage of the store, and each
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
            except TargetError as error:
                self._state.health.suspect(
                    target.name, f"no health check: {error}"
                )

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the state of targets that are no longer listed."""
        for name in set(self._checked_at) - listed:
            del self._checked_at[name]
