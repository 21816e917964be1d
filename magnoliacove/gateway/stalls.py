"""Detection of stalled streams and of failed engines in their paths.

When an engine of a path fails, the whole path becomes silent while the first
engine waits for the failed one.  The gateway requests a report from each
engine of the path: the failed one does not answer, and the report of the first
one names the engine that it waits for.  One small call to an engine serves all
streams through it, and all of them are rerouted around the failed engine at
once, before the first engine gives up.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

import trio

from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.engine_checks import EngineChecks
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.engines import was_process_delayed
from magnoliacove.gateway.rerouting import ReroutableStream
from magnoliacove.gateway.rerouting import Rerouter
from magnoliacove.gateway.state import GatewayState
from magnoliacove.routing.paths import PathStage

__all__ = ["StallWatch", "WatchedStream"]

# Seconds between checks of all streams.
_CHECK_INTERVAL = 0.05
# Seconds without data after which the engines of a stream's path are checked.
# Events come every 20 to 100 ms.
SILENCE_TIMEOUT = 0.4
# Seconds without an event after which a stream moves to another path, if it
# may run once more and one is free, whatever the report contains.  Callers
# disconnect after 2 s, and reading the prompt again takes a part of that.
MOVE_TIMEOUT = 1.4
# Seconds without an answer after which a stream leaves a connection that was
# idle before.  Idle connections may go silent while their engine works and
# answers all who ask it.
_OLD_CONNECTION_TIMEOUT = 2.0
# Minimum seconds between two checks of the same engine.  The information on
# stalled streams in the report of a first engine is 0.2 s old.
_RECHECK_INTERVAL = 0.25
# Seconds after a restart of an engine in which requests that are reported as
# stalled there may wait for the process before the restart.  Engines keep
# requests for a failed engine for up to three seconds.
_MAX_STALL_AFTER_RESTART = 4.0


class WatchedStream(ReroutableStream, Protocol):
    """The operations on a stream that the watch needs."""

    @property
    def began(self) -> bool:
        """Whether the caller was sent an event of this answer."""

    @property
    def data_at(self) -> float:
        """When the engines of the current path last brought data.

        :returns: by trio's clock, minus infinity when they have not yet.
        """

    @property
    def waits_on_old_connection(self) -> bool:
        """Whether nothing of the current run came on a reused connection."""

    def read_wait(self, now: float) -> float:
        """Return the seconds since the caller was last sent an event.

        :returns: 0 while no event is due.
        """


class StallWatch:
    """Monitors all streams of one gateway.

    :param announce: called when state that the peers share was corrected.
    """

    def __init__(
        self,
        state: GatewayState,
        calls: EngineCalls,
        announce: Callable[[], None] = lambda: None,
    ) -> None:
        self.streams: set[WatchedStream] = set()
        self._state = state
        self._checks = EngineChecks(state, calls, announce, self._shows_life)
        self._rerouter = Rerouter(state, calls)
        self._checked_at: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                was_delayed = False
                while True:
                    began = trio.current_time()
                    await trio.sleep(_CHECK_INTERVAL)
                    self._state.saturation.end_calm()
                    self._reroute_streams(nursery)
                    # Data that arrived while this process was delayed is still
                    # unread: every stream looks silent, and all engines
                    # would be checked.  It is read by the next round.  After
                    # a skipped round the check runs in any case, so that
                    # repeated delays do not suspend it.
                    was_delayed = not was_delayed and was_process_delayed(
                        began, _CHECK_INTERVAL
                    )
                    if not was_delayed:
                        self._check_silence(nursery)
            finally:
                self._nursery = None

    def _reroute_streams(self, nursery: trio.Nursery) -> None:
        """Reroute streams around engines that failed.

        Draining engines continue to serve the streams through them, and
        rerouting would only cause a pause.
        """
        state = self._state
        failed = {
            suspicion.target
            for suspicion in state.health.list_suspicions()
            if not suspicion.leaving
        }
        moving = state.engine_statuses.list_moving()
        # An engine that restarted has lost its state of these streams.
        failed.update(state.targets.list_former_incarnations())
        if not failed and not moving:
            return
        for stream in tuple(self.streams):
            path = stream.path
            if path is None:
                continue
            unusable = frozenset(
                stage.target
                for stage in path.stages
                if stage.target in failed or _loses_layers(stage, moving)
            )
            if unusable:
                names = ", ".join(sorted(unusable))
                self._rerouter.start(
                    nursery, stream, unusable, f"{names} is lost to the path"
                )

    # Checks of silent streams.

    def _check_silence(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        for stream in tuple(self.streams):
            waited = stream.read_wait(now)
            if waited >= MOVE_TIMEOUT and stream.began:
                first = stream.first_target
                engines = [first.name] if first is not None else []
                stream.departure.leave_silent(
                    "it was silent for too long", engines
                )
            silence = stream.read_silence(now)
            if (
                silence >= _OLD_CONNECTION_TIMEOUT
                and stream.waits_on_old_connection
                and not self._state.saturation.is_full(stream.service)
            ):
                stream.departure.leave_silent(
                    "its connection brought nothing", []
                )
            if silence >= SILENCE_TIMEOUT:
                self._check_path(stream, now, nursery)

    def _check_path(
        self, stream: WatchedStream, now: float, nursery: trio.Nursery
    ) -> None:
        """Check whether each engine of a silent stream's path is alive.

        One check of an engine serves all streams through it.
        """
        path = stream.path
        if path is None:
            return
        for name in path.targets:
            target = self._state.targets.find(name)
            if target is None or not self._state.health.is_usable(name):
                continue
            if now - self._checked_at.get(name, -1.0) < _RECHECK_INTERVAL:
                continue
            self._checked_at[name] = now
            since = now - _RECHECK_INTERVAL
            full = self._state.saturation.is_full(target.service)
            if full and self._shows_life(name, since):
                # It is busy.  A report for each silent stream of each gateway
                # would add to its load.
                continue
            nursery.start_soon(self._check_engine, target, nursery)

    def _shows_life(self, target: str, since: float) -> bool:
        """Return whether an engine brought data of a stream after a time.

        :param since: by trio's clock.
        """
        return any(
            stream.data_at > since
            and stream.path is not None
            and target in stream.path.targets
            for stream in self.streams
        )

    async def _check_engine(
        self, target: ListedTarget, nursery: trio.Nursery
    ) -> None:
        """Request an engine's report and suspect the engines that it names."""
        report = await self._checks.read_report(
            target, "streams through it are silent"
        )
        stalled = report.stalled if report is not None else ()
        for address in sorted({item.address for item in stalled}):
            self._suspect_address(address, target.name)
        self._reroute_streams(nursery)

    def check_refusal(
        self, target: ListedTarget, status: int, health_path: str
    ) -> None:
        """Start a check of why an engine refused; the request continues."""
        if self._nursery is None:
            return
        self._nursery.start_soon(
            self._check_refusal, self._nursery, target, status, health_path
        )

    async def _check_refusal(
        self,
        nursery: trio.Nursery,
        target: ListedTarget,
        status: int,
        health_path: str,
    ) -> None:
        await self._checks.check_refusal(target, status, health_path)
        self._reroute_streams(nursery)

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the state of targets that are no longer listed."""
        self._checks.discard_unlisted(listed)
        for name in set(self._checked_at) - listed:
            del self._checked_at[name]

    def _suspect_address(self, address: str, source: str) -> None:
        for target in self._state.targets.list_at(address):
            age = self._state.targets.read_restart_age(target.entry)
            if age < _MAX_STALL_AFTER_RESTART:
                # The requests wait for the process before the restart.  The
                # engine that runs there now is healthy; a suspicion would
                # leave it without layers and work for seconds.
                continue
            if self._state.engine_statuses.read(target).moving:
                # The engine was ordered to load other layers.  It is healthy,
                # and the streams through it are rerouted anyway.
                continue
            self._state.health.suspect(
                target.name, f"requests at {source} wait for it"
            )


def _loses_layers(
    stage: PathStage, moving: Mapping[str, LayerRange | None]
) -> bool:
    """Return whether an engine unloads layers that a stage runs.

    Streams through those layers are cut off, so they are rerouted before they
    become silent.  Streams through layers that the engine keeps continue.
    Otherwise, when all engines of a data centre change a few layers each,
    every new stream would be rerouted as soon as it is sent, and the engines'
    state of it moved as well.

    :param moving: for each engine that unloads layers, the layers it keeps.
    """
    if stage.target not in moving:
        return False
    kept = moving[stage.target]
    return kept is None or not kept.covers(stage.first, stage.end)
