"""Watching streams: lost engines of their paths, and silence.

When an engine of a path is lost, the whole path falls silent while its
first engine waits for the lost one.  The first engine's report names the
engine at fault.  Asking costs one small call for all streams that share a
first engine, and everything that passes through the lost engine is led
around it at once instead of waiting until the first engine gives up.
"""

from collections.abc import Callable
from typing import Protocol

import trio

from magnoliacove.directory.holdings import Holding
from magnoliacove.directory.targets import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.detours import Detours
from magnoliacove.gateway.detours import PathUser
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.state import GatewayState
from magnoliacove.platform.engines import EngineReport

__all__ = ["StallWatch", "WatchedStream"]

_CHECK_EVERY = 0.1
# Events come every 20 to 100 ms; a stream that is silent for so long is
# looked into.  Earlier looks cost reports on every busy pass.
SILENCE = 0.4
# A stream silent for so long moves whatever the report says, if there is
# another path.  Callers leave after 2 s, and reading the prompt again takes
# part of that.
HOPELESS_SILENCE = 1.4
# Between two questions to the same first engine.
_ASK_AGAIN = 0.4
_REPORT_TIMEOUT = 0.35
# Engines hold requests for a lost one for up to three seconds.
_STALLED_FOR_FORMER = 4.0


class WatchedStream(PathUser, Protocol):
    """A stream as the watch sees it."""

    @property
    def began(self) -> bool:
        """Whether the caller has an event of this answer."""

    def read_wait(self, now: float) -> float:
        """Return seconds since the caller got an event, 0 if not due."""

    def has_other_path(self) -> bool:
        """Return whether there is a path without the present first engine."""


class StallWatch:
    """Looks after all streams of one gateway.

    :param tell: called when a belief that the peers share was wrong.
    """

    def __init__(
        self,
        state: GatewayState,
        calls: EngineCalls,
        tell: Callable[[], None] = lambda: None,
    ) -> None:
        self._tell = tell
        self.streams: set[WatchedStream] = set()
        self._state = state
        self._calls = calls
        self._detours = Detours(state, calls)
        self._asked: dict[str, float] = {}
        self._checked: dict[str, float] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_CHECK_EVERY)
                self._lead_around(nursery)
                self._check_silence(nursery)

    def _lead_around(self, nursery: trio.Nursery) -> None:
        """Lead streams around engines that are lost.

        Those that drain go on with what passes through them.  Leading
        streams around these as well was measured: a pause of 0.4 s on the
        median, where the stream else had none.
        """
        state = self._state
        lost = {
            suspicion.target
            for suspicion in state.health.list_suspicions()
            if not suspicion.leaving
        }
        # What passes through layers that are given up for a gap elsewhere
        # is cut off; it need not wait until that shows.
        lost.update(state.holdings.list_moving())
        # One that started again has lost what it held of these streams.
        lost.update(state.targets.list_former())
        if not lost:
            return
        for stream in tuple(self.streams):
            path = stream.path
            if path is None:
                continue
            gone = frozenset(lost.intersection(path.targets))
            if gone:
                names = ", ".join(sorted(gone))
                self._detours.start(
                    nursery, stream, gone, f"{names} is lost to the path"
                )

    # Silence.

    def _check_silence(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        for stream in tuple(self.streams):
            waited = stream.read_wait(now)
            if waited >= HOPELESS_SILENCE and stream.began:
                # Without another path the present one is all there is: it
                # may go on, and its caller leaves by itself.
                if stream.has_other_path():
                    stream.move("it was silent for too long")
                continue
            target = stream.first_target
            if target is None or stream.read_silence(now) < SILENCE:
                continue
            if now - self._asked.get(target.name, -1.0) < _ASK_AGAIN:
                continue
            self._asked[target.name] = now
            nursery.start_soon(self._ask, target, nursery)

    async def _ask(self, target: ListedTarget, nursery: trio.Nursery) -> None:
        """Ask a first engine what its silent streams wait for."""
        report: EngineReport | None = None
        why = f"no report within {_REPORT_TIMEOUT} s"
        with trio.move_on_after(_REPORT_TIMEOUT):
            try:
                report = await self._calls.read_report(target)
            except TargetError as error:
                why = f"no report: {error}"
        if report is None:
            self._state.health.suspect(target.name, why)
            self._lead_around(nursery)
            return
        for address in sorted({item.address for item in report.stalled}):
            self._suspect_address(address, target.name)
        self._lead_around(nursery)

    def _suspect_address(self, address: str, source: str) -> None:
        for target in self._state.targets.list_at(address):
            age = self._state.targets.read_restart_age(target.entry)
            if age < _STALLED_FOR_FORMER:
                # They wait for what ran there before.  The engine that runs
                # there now is sound; suspected, it would be left without
                # layers and work for seconds.
                continue
            if self._state.holdings.read(target).moving:
                # It was told to hold other layers; the engine is sound and
                # what passes through it is led around it anyhow.
                continue
            self._state.health.suspect(
                target.name, f"requests at {source} wait for it"
            )

    # Refusals.

    async def check_belief(self, target: ListedTarget) -> None:
        """Find out what an engine holds that refused what it should hold.

        Each request learned by itself that a path was wrong, and took it
        again: 331 refusals of one engine that had started again, in five
        seconds, and 252 requests that ended with them.  Its report corrects
        the belief for all requests, and heartbeats for all gateways.
        """
        if not self._may_check(target):
            return
        state = self._state
        report: EngineReport | None = None
        why = f"it refused, and gave no report within {_REPORT_TIMEOUT} s"
        with trio.move_on_after(_REPORT_TIMEOUT):
            try:
                report = await self._calls.read_report(target)
            except TargetError as error:
                why = f"it refused, and gave no report: {error}"
        if report is None:
            state.health.suspect(target.name, why)
            return
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

    def _may_check(self, target: ListedTarget) -> bool:
        """Return whether an engine was not asked a moment ago."""
        now = trio.current_time()
        if now - self._checked.get(target.name, -1.0) < _ASK_AGAIN:
            return False
        self._checked[target.name] = now
        return True

    async def check_leaving(
        self, target: ListedTarget, health_path: str
    ) -> None:
        """Find out whether an engine that refused requests leaves.

        Its entry says so, but not while the store is away; and each
        request that is sent there meanwhile is refused.
        """
        if not self._may_check(target):
            return
        with trio.move_on_after(_REPORT_TIMEOUT):
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
