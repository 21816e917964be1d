"""Watching streams: lost engines of their paths, and silence.

When an engine of a path is lost, the whole path falls silent while its
first engine waits for the lost one.  Each engine of the path is asked: the
lost one gives no answer, and the first one's report names whom it waits
for.  Asking costs one small call to an engine for all streams through it,
and everything that passes through the lost engine is led around it at once
instead of waiting until the first engine gives up.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

import trio

from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.detours import Detours
from magnoliacove.gateway.detours import PathUser
from magnoliacove.gateway.engine_checks import EngineChecks
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.engines import was_held_up
from magnoliacove.gateway.state import GatewayState
from magnoliacove.routing.paths import PathStage

__all__ = ["StallWatch", "WatchedStream"]

_CHECK_EVERY = 0.05
# Events come every 20 to 100 ms; a stream that is silent for so long is
# looked into, seconds.
SILENCE = 0.4
# A stream silent for so long moves whatever the report says, if there is
# another path.  Callers leave after 2 s, and reading the prompt again takes
# part of that.
HOPELESS_SILENCE = 1.4
# Between two questions to the same engine, in seconds.  What a first engine
# says of the streams that wait is 0.2 s old.
_ASK_AGAIN = 0.25
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
        self.streams: set[WatchedStream] = set()
        self._state = state
        self._checks = EngineChecks(state, calls, tell)
        self._detours = Detours(state, calls)
        self._asked: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                held_up = False
                while True:
                    began = trio.current_time()
                    await trio.sleep(_CHECK_EVERY)
                    self._lead_around(nursery)
                    # What came while this process was held up is still
                    # unread: every stream looks silent, and all engines
                    # would be asked.  One round later it is read; who is
                    # held up again and again has to look all the same.
                    held_up = not held_up and was_held_up(began, _CHECK_EVERY)
                    if not held_up:
                        self._check_silence(nursery)
            finally:
                self._nursery = None

    def _lead_around(self, nursery: trio.Nursery) -> None:
        """Lead streams around engines that are lost.

        Those that drain go on with what passes through them; led around
        them, a stream would pause, where else it does not.
        """
        state = self._state
        lost = {
            suspicion.target
            for suspicion in state.health.list_suspicions()
            if not suspicion.leaving
        }
        moving = state.holdings.list_moving()
        # One that started again has lost what it held of these streams.
        lost.update(state.targets.list_former_incarnations())
        if not lost and not moving:
            return
        for stream in tuple(self.streams):
            path = stream.path
            if path is None:
                continue
            gone = frozenset(
                stage.target
                for stage in path.stages
                if stage.target in lost or _is_cut_off(stage, moving)
            )
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
            if stream.read_silence(now) >= SILENCE:
                self._ask_path(stream, now, nursery)

    def _ask_path(
        self, stream: WatchedStream, now: float, nursery: trio.Nursery
    ) -> None:
        """Ask every engine of a silent stream's path whether it lives.

        One question to an engine does for all streams through it.
        """
        path = stream.path
        if path is None:
            return
        for name in path.targets:
            target = self._state.targets.find(name)
            if target is None or not self._state.health.is_usable(name):
                continue
            if now - self._asked.get(name, -1.0) < _ASK_AGAIN:
                continue
            self._asked[name] = now
            nursery.start_soon(self._ask, target, nursery)

    async def _ask(self, target: ListedTarget, nursery: trio.Nursery) -> None:
        """Ask an engine, and what the streams wait for that begin there."""
        report = await self._checks.read_report(
            target, "streams through it are silent"
        )
        stalled = report.stalled if report is not None else ()
        for address in sorted({item.address for item in stalled}):
            self._suspect_address(address, target.name)
        self._lead_around(nursery)

    def check_refusal(
        self, target: ListedTarget, status: int, health_path: str
    ) -> None:
        """Find out soon why an engine refused; the request goes on."""
        if self._nursery is None:
            return
        self._nursery.start_soon(
            self._look_into, self._nursery, target, status, health_path
        )

    async def _look_into(
        self,
        nursery: trio.Nursery,
        target: ListedTarget,
        status: int,
        health_path: str,
    ) -> None:
        await self._checks.check_refusal(target, status, health_path)
        self._lead_around(nursery)

    def forget(self, known: set[str]) -> None:
        """Drop what is known of targets that no longer exist."""
        self._checks.forget(known)
        for name in set(self._asked) - known:
            del self._asked[name]

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


def _is_cut_off(
    stage: PathStage, moving: Mapping[str, LayerRange | None]
) -> bool:
    """Return whether an engine gives up layers that a stage runs.

    What passes through them is cut off, so it need not wait until that shows.
    What passes through layers that the engine keeps goes on: when all engines
    of a data centre move by a few layers, every new stream would else be led
    elsewhere as soon as it is sent, and all that is held moved with it.

    :param moving: the layers that engines keep which give up others.
    """
    if stage.target not in moving:
        return False
    kept = moving[stage.target]
    return kept is None or not kept.covers(stage.first, stage.end)
