"""Noticing streams that fell silent, and finding out why.

When an engine of a path is lost, the whole path falls silent while its
first engine waits for the lost one.  The first engine's report names the
engine at fault.  Asking costs one small call for all streams that share a
first engine, and everything that passes through the lost engine moves on
at once instead of waiting until the first engine gives up.
"""

from typing import Protocol

import trio

from magnoliacove.directory.targets import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.state import GatewayState
from magnoliacove.platform.engines import EngineReport
from magnoliacove.routing.paths import Path

__all__ = ["StallWatch", "WatchedStream"]

_CHECK_EVERY = 0.1
# Events come every 20 to 100 ms; a stream that is silent for so long is
# looked into.  Earlier looks cost reports on every busy pass.
SILENCE = 0.4
# What passes through an engine that was found lost moves if it is silent
# for this long already; what still gets events does not need it.
_SILENT_WITH_IT = 0.15
# A stream silent for so long moves whatever the report says.  Callers
# leave after 2 s, and reading the prompt again takes part of that.
HOPELESS_SILENCE = 1.4
# Between two questions to the same first engine.
_ASK_AGAIN = 0.4
_REPORT_TIMEOUT = 0.35


class WatchedStream(Protocol):
    """A stream as the watch sees it."""

    request: str
    path: Path | None
    first_target: ListedTarget | None
    began: bool

    def read_silence(self, now: float) -> float:
        """Return seconds since the engine was heard last, 0 if not due."""

    def move(self, why: str) -> None:
        """Leave the present path and go on elsewhere."""


class StallWatch:
    """Looks after all streams of one gateway."""

    def __init__(self, state: GatewayState, calls: EngineCalls) -> None:
        self.streams: set[WatchedStream] = set()
        self._state = state
        self._calls = calls
        self._asked: dict[str, float] = {}
        state.health.listen(lambda found: self._move_silent(found.target))

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_CHECK_EVERY)
                self._check(nursery)

    def _check(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        for stream in tuple(self.streams):
            silent = stream.read_silence(now)
            if silent < SILENCE:
                continue
            if silent >= HOPELESS_SILENCE and stream.began:
                stream.move("it was silent for too long")
                continue
            target = stream.first_target
            if target is None:
                continue
            if now - self._asked.get(target.name, -1.0) < _ASK_AGAIN:
                continue
            self._asked[target.name] = now
            nursery.start_soon(self._ask, target)

    async def _ask(self, target: ListedTarget) -> None:
        """Ask a first engine what its silent streams wait for."""
        report: EngineReport | None = None
        with trio.move_on_after(_REPORT_TIMEOUT):
            try:
                report = await self._calls.read_report(target)
            except TargetError as why:
                self._suspect(target.name, f"no report: {why}")
                return
        if report is None:
            self._suspect(target.name, f"no report within {_REPORT_TIMEOUT} s")
            return
        self._take_report(target, report)

    def _take_report(self, target: ListedTarget, report: EngineReport) -> None:
        stalled = {item.request: item.address for item in report.stalled}
        for address in sorted(set(stalled.values())):
            self._suspect_address(address, target.name)
        now = trio.current_time()
        for stream in tuple(self.streams):
            if stream.first_target != target:
                continue
            if stream.read_silence(now) < SILENCE:
                continue
            if stream.request in stalled:
                stream.move(f"its path waits for {stalled[stream.request]}")

    def _suspect_address(self, address: str, source: str) -> None:
        for target in self._state.targets.list_all():
            if str(target.address) == address:
                self._suspect(target.name, f"requests at {source} wait for it")

    def _suspect(self, target: str, why: str) -> None:
        self._state.health.suspect(target, why)
        # The suspicion may be an old one; streams that fell silent since
        # move all the same.
        self._move_silent(target)

    def _move_silent(self, target: str) -> None:
        now = trio.current_time()
        for stream in tuple(self.streams):
            path = stream.path
            if path is None or target not in path.targets:
                continue
            if stream.read_silence(now) >= _SILENT_WITH_IT:
                stream.move(f"{target} is suspected")
