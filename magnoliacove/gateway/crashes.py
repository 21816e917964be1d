"""Observation of targets that end while they run requests.

A run can break off because its connection was lost or because its target
ended, so the target is probed first.  A process that ended refuses
connections, and one that restarted reports a new incarnation.  An instance
that resets every connection or does not respond shows neither until its
target is back.  It is probed until then, and meanwhile counts against
retries of the request.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import zlib

import trio

from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.attribution import CrashAttribution
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.runs import BrokenRun
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.runs import number_request

__all__ = ["CrashWatch"]

# Seconds after a run breaks off at which its target is probed.  A process that
# ended refuses at once.  One whose instance is unresponsive is identified by
# its next incarnation, or by its directory entry, as soon as it is back.
_PROBE_DELAYS = (0.0, 0.5, 1.2, 2.0, 2.7, 3.4, 4.2, 5.0, 7.0, 10.0, 15.0, 20.0)
# Seconds until one probe times out.
_PROBE_TIMEOUT = 0.4
# Seconds for which a probe is kept for runs that break off a little later, and
# for which the result that a target is alive stays valid.
_PROBE_RETENTION = 30.0
_ALIVE_VALIDITY = 0.5
# Maximum seconds for which a request with an earlier crash waits for the probe
# of its next target.  A process that ended refuses within milliseconds.
_MAX_RESULT_WAIT = 0.1
# Maximum number of fingerprints in one log line.
_MAX_LOGGED_FINGERPRINTS = 8


@dataclass
class _Probe:
    """A probe of whether one target ended, and the runs that broke off there.

    :param ended: None while that is not known.
    :param silent: whether the target did not answer the first attempt.
    """

    started_at: float
    silent: bool = False
    runs: dict[tuple[str, int], BrokenRun] = field(default_factory=dict)
    ended: bool | None = None
    answered: trio.Event = field(default_factory=trio.Event)

    def is_valid(self, now: float) -> bool:
        """Return whether the result applies to a run that breaks off now.

        An ended target stays ended, but one that was alive may have ended
        since.
        """
        return (
            self.ended is not False or now - self.started_at < _ALIVE_VALIDITY
        )


class CrashWatch:
    """Observes whether targets end under requests, for one gateway.

    :param attribution: attributes the crashes that are observed.
    :param announce: called to send a heartbeat to the peers at once.
    :param reload: called when the store may hold quarantines that are not
        known here.
    """

    def __init__(
        self,
        state: GatewayState,
        calls: EngineCalls,
        attribution: CrashAttribution,
        announce: Callable[[], None] = lambda: None,
        reload: Callable[[], None] = lambda: None,
    ) -> None:
        self._state = state
        self._calls = calls
        self.attribution = attribution
        self._announce = announce
        self._reload = reload
        self._probes: dict[str, _Probe] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Probe targets until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    # Results of this gateway's runs.

    def check_broken_run(
        self, target: ListedTarget, routed: RoutedRequest, seconds: float
    ) -> None:
        """Probe whether a target ended while it ran what broke off there.

        :param seconds: duration of the run since its first bytes.
        """
        broken = _describe_run(target, routed, seconds)
        now = trio.current_time()
        probe = self._probes.get(target.name)
        if probe is None or not probe.is_valid(now):
            probe = self._probes[target.name] = _Probe(now)
            if self._nursery is not None:
                self._nursery.start_soon(self._run_probe, target, probe)
        if probe.ended is None:
            whole = broken.whole
            probe.runs.setdefault((whole.fingerprint, whole.attempt), broken)
            if probe.silent:
                self._record_silent([broken])
            return
        self.attribution.record_result(probe.ended, broken)

    async def wait_until_checked(
        self, target: str, routed: RoutedRequest
    ) -> None:
        """Wait briefly for the result of a target's probe.

        Only a request that was running at an earlier crash waits.  Without
        the wait each attempt crashes a second target before the crash of the
        first one is known.
        """
        probe = self._probes.get(target)
        if probe is None or not self._has_recent_crash(routed):
            return
        with trio.move_on_after(_MAX_RESULT_WAIT):
            await probe.answered.wait()

    def _has_recent_crash(self, routed: RoutedRequest) -> bool:
        state = self._state
        return state.crash_history.has_recent_crash(routed.fingerprint) or any(
            map(state.part_history.has_recent_crash, routed.parts)
        )

    def check_failed_engines(
        self, names: Iterable[str], routed: RoutedRequest, seconds: float
    ) -> None:
        """Probe whether engines of a stream's path ended while they ran it.

        This is called repeatedly until the stream is rerouted, and an engine
        that was found alive is not probed each time.  Runs that are reported
        before the result count too: all streams through an engine are
        rerouted together, and the one that crashed it is seldom the first.
        """
        for name in names:
            target = self._state.targets.find(name)
            probe = self._probes.get(name)
            found_alive = probe is not None and probe.ended is False
            if target is not None and not found_alive:
                self.check_broken_run(target, routed, seconds)

    def discard_old(self) -> None:
        """Discard probes that are too old to count."""
        limit = trio.current_time() - _PROBE_RETENTION
        for name, probe in list(self._probes.items()):
            if probe.started_at < limit:
                del self._probes[name]

    # Probing a target.

    async def _run_probe(self, target: ListedTarget, probe: _Probe) -> None:
        ended = None
        for delay in _PROBE_DELAYS:
            await trio.sleep_until(probe.started_at + delay)
            ended = await self._has_ended(target)
            if ended is not None:
                break
            if not probe.silent:
                probe.silent = True
                self._record_silent(probe.runs.values())
        probe.ended = bool(ended)
        probe.answered.set()
        runs = sorted(probe.runs.values(), key=lambda run: run.whole.seconds)
        probe.runs.clear()
        for run in runs:
            self.attribution.record_result(probe.ended, run)
        if not ended:
            return
        state = self._state
        state.recorder.record(
            "target-ended",
            target=target.name,
            why="it ended while requests ran there",
            runs=len(runs),
            fingerprints={
                run.whole.fingerprint: round(run.whole.seconds, 3)
                for run in runs[:_MAX_LOGGED_FINGERPRINTS]
            },
        )
        state.meters.count("targets_ended_total", service=target.service)
        state.health.suspect(target.name, "it ended while requests ran there")
        self._reload()
        self._announce()

    async def _has_ended(self, target: ListedTarget) -> bool | None:
        """Return whether a target's process ended, None when unknown.

        A target that is draining ends in an orderly way, so what still runs
        there is not the cause.
        """
        targets = self._state.targets
        listed = targets.find(target.name)
        suspicion = self._state.health.find(target.name)
        leaving = suspicion is not None and suspicion.leaving
        if target.draining or leaving or (listed and listed.draining):
            return False
        if target.name in targets.list_former_incarnations():
            return True
        with trio.move_on_after(_PROBE_TIMEOUT):
            try:
                return await self._probe_once(target)
            except TargetError as error:
                # The target did not answer, or only closed the connection.
                return True if error.refused else None
        return None

    async def _probe_once(self, target: ListedTarget) -> bool:
        """Return whether another incarnation runs at a target's address.

        :raises TargetError: when there is no answer.
        """
        may_call = self._state.permits.try_call
        if not target.accelerator or not may_call(target.name):
            # A plain service has no report, and an engine that reports a limit
            # or asks for back-off may not permit a call.  A target that
            # accepts a connection is running.
            async with self._state.pool.use(target, fresh=True):
                return False
        report = await self._calls.read_report(target, fresh=True)
        return report.incarnation not in (0, target.incarnation)

    def _record_silent(self, runs: Iterable[BrokenRun]) -> None:
        """Record that the target of some runs does not answer."""
        state = self._state
        for run in runs:
            state.crash_history.unresponsive.note(run.whole)
            for part in run.parts:
                state.part_history.unresponsive.note(part)
        self._announce()


def _describe_run(
    target: ListedTarget, routed: RoutedRequest, seconds: float
) -> BrokenRun:
    """Return a run that broke off, as it is reported to the peers."""
    attempt = zlib.crc32(routed.caller_headers.request.encode())
    request = number_request(routed.fingerprint)
    return BrokenRun(
        CrashedRun(routed.fingerprint, attempt, target.name, seconds),
        tuple(
            CrashedRun(part, request, target.name, seconds)
            for part in routed.parts
        ),
    )
