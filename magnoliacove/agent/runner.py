"""Runs the stages of a model engine in batches and sends on what they give."""

from collections.abc import Callable
import math
from typing import Protocol

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import targets
from magnoliacove import wire
from magnoliacove.agent.caches import CacheSource
from magnoliacove.agent.caches import export_cache
from magnoliacove.agent.caches import import_cache
from magnoliacove.agent.pace import EnginePace
from magnoliacove.agent.stages import Output
from magnoliacove.agent.stages import Stage
from magnoliacove.agent.suspicion import EngineSuspicion
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["Neighbours", "StageRunner"]


class Neighbours(CacheSource, Protocol):
    """Sends to other agents."""

    def send_step(self, name: str, address: str, item: messages.Step) -> None:
        """Send one step to the agent of the next stage.

        :raises magnoliacove.errors.PeerError: when it is not connected.
        """


class StageRunner:
    """The stages of one model engine.

    :param name: this agent's name.
    :param is_leaving: whether new streams are to be refused.
    :param count_layers: returns how many layers the engine holds.
    """

    def __init__(
        self,
        name: str,
        engine: targets.Engine,
        neighbours: Neighbours,
        recorder: Recorder,
        is_leaving: Callable[[], bool],
        *,
        count_layers: Callable[[], int] = lambda: 0,
        most_streams: int = defaults.STREAMS_PER_ENGINE,
    ) -> None:
        self.stages: dict[bytes, Stage] = {}
        self.steps_dropped = 0
        self._suspicion = EngineSuspicion(name, engine, recorder)
        self._batches: set[trio.CancelScope] = set()
        self.steps_run = 0
        self._name = name
        self._engine = engine
        self._neighbours = neighbours
        self._recorder = recorder
        self._is_leaving = is_leaving
        self._pace = EnginePace(count_layers)
        self._most_streams = most_streams
        self._ready: dict[Stage, None] = {}
        self._work = trio.Event()
        self._freed: list[str] = []

    @property
    def load(self) -> messages.Load:
        """What this agent reports of its load."""
        return messages.Load(
            len(self.stages),
            len(self._ready),
            math.ceil(self._pace.stay_seconds * 1e6),
            self._is_leaving(),
        )

    async def run(self) -> None:
        """Run batches until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(defaults.CONCURRENT_BATCHES):
                nursery.start_soon(self._run_batches)
            nursery.start_soon(self._drop_orphans)
            nursery.start_soon(self._suspicion.run)

    # Opening and closing.

    async def open(
        self, entry: wire.Connection, request: messages.OpenStage
    ) -> None:
        """Open, resume or refuse a stage, and tell the entry."""
        stage = self.stages.get(request.stream)
        if stage is not None and request.attempt <= stage.attempt:
            self._refuse(entry, request, "stale_attempt", "a later attempt of")
            return
        if request.resume:
            await self._resume(entry, request, stage)
            return
        if stage is not None:
            self._forget(stage, "opened anew")
        if self._is_leaving():
            self._refuse(entry, request, "draining", "this instance leaves;")
            return
        if self._suspicion.forbids(bool(self.stages)):
            self._refuse(entry, request, "engine_failing", "the engine fails;")
            return
        if len(self.stages) >= self._most_streams:
            self._refuse(entry, request, "overloaded", "the engine is full;")
            return
        stage = Stage(
            request.stream,
            request.attempt,
            f"{request.stream.hex()}-{request.attempt}",
            request,
            entry,
            trio.current_time() + request.deadline / 1000,
        )
        self.stages[request.stream] = stage
        if request.import_address:
            await import_cache(
                stage, self._engine, self._neighbours, self._recorder
            )
        self._confirm(stage)

    async def _resume(
        self,
        entry: wire.Connection,
        request: messages.OpenStage,
        stage: Stage | None,
    ) -> None:
        if stage is None or stage.closed:
            self._refuse(
                entry, request, "unknown_stream", "nothing is held of"
            )
            return
        stage.resume(request, entry)
        # A batch that is under way decides which step comes next.
        await stage.idle.wait()
        if not stage.closed and stage.attempt == request.attempt:
            self._confirm(stage)

    def _confirm(self, stage: Stage) -> None:
        self._post(
            stage.entry,
            messages.StageOpened(
                stage.stream, stage.attempt, stage.next_step, self.load
            ),
        )

    def _refuse(
        self,
        entry: wire.Connection,
        request: messages.OpenStage,
        code: str,
        reason: str,
    ) -> None:
        self._recorder.record(
            "stage-refused", request=request.stream, why=code
        )
        self._post(
            entry,
            messages.Refused(
                request.stream,
                request.attempt,
                errors.Outcome.NOT_RUN,
                code,
                f"{reason} stream {request.stream.hex()}",
                1000,
            ),
        )

    async def export(self, request: messages.FetchCache) -> messages.Cache:
        """Give a stage's KV cache to the agent that takes it over."""
        stage = self.stages.get(request.stream)
        cache: messages.Cache | None = None
        if stage is not None and request.attempt > stage.attempt:
            cache = await export_cache(
                stage, self._engine, self._recorder, request
            )
            if cache is not None:
                self._forget(stage, "moved")
        return cache or messages.Cache(
            request.stream, request.attempt, 0, b"", (), False
        )

    def close(self, request: messages.CloseStage) -> None:
        """Forget a stage that its stream no longer needs."""
        stage = self.stages.get(request.stream)
        if stage is not None and request.attempt >= stage.attempt:
            self._forget(stage, request.reason)

    def note_entry_lost(self, connection: wire.Connection) -> None:
        """Keep an entry's stages for a while after its connection ended."""
        for stage in self.stages.values():
            if stage.entry is connection:
                stage.orphaned_at = trio.current_time()

    def note_neighbour_lost(self, name: str, reason: str) -> None:
        """Tell the entries whose streams go on to an agent that is lost."""
        for stage in self.stages.values():
            if stage.opened.next_name == name:
                self._tell_lost(stage, name, reason)

    # Steps.

    def take_steps(self, items: tuple[messages.Step, ...]) -> None:
        """Queue the steps that are due and drop the rest."""
        for item in items:
            stage = self.stages.get(item.stream)
            if stage is None or not stage.accept(item):
                self.steps_dropped += 1
                continue
            if not stage.running:
                self._ready[stage] = None
        if self._ready:
            self._work.set()

    def replay(self, request: messages.Replay) -> None:
        """Send the outputs from a step on, and only those from now on."""
        stage = self.stages.get(request.stream)
        if stage is None or stage.attempt != request.attempt:
            return
        stage.send_from = request.from_step
        outputs = stage.list_outputs(request.from_step)
        if outputs is None:
            self._tell_lost(stage, "", "its kept outputs were dropped")
            return
        if outputs:
            self._recorder.record(
                "outputs-replayed",
                request=stage.stream,
                from_step=request.from_step,
                steps=len(outputs),
            )
        for output in outputs:
            self._send(stage, output)

    async def _run_batches(self) -> None:
        while True:
            while not self._ready:
                self._work = trio.Event()
                await self._work.wait()
            batch = self._collect()
            if not batch:
                continue
            started = trio.current_time()
            inputs = [item for _, items in batch for item in items]
            patience = self._pace.read_patience(inputs)
            outputs: tuple[targets.StepOutput, ...] = ()
            with trio.move_on_after(patience) as scope:
                self._batches.add(scope)
                try:
                    outputs = await self._engine.run_steps(inputs)
                except targets.EngineError as why:
                    self._fail(batch, str(why))
                    continue
                finally:
                    self._batches.discard(scope)
            if scope.cancelled_caught:
                # An engine that hangs keeps its connection open, so only
                # the time tells.  The entries replace the stages at once
                # instead of waiting until their streams look stalled, and
                # what else was sent to the engine hangs with it.
                reason = f"the engine hangs for {patience:.1f} s"
                self._fail(batch, reason)
                for other in self._batches:
                    other.cancel()
                for stage in tuple(self.stages.values()):
                    self._lose(stage, reason)
                continue
            self._suspicion.note_output()
            self._pace.note_batch(trio.current_time() - started)
            self._deliver(batch, outputs)

    def _collect(self) -> list[tuple[Stage, list[targets.StepInput]]]:
        batch = []
        room = defaults.MAX_BATCH
        order = sorted(self._ready, key=lambda s: -s.opened.priority)
        for stage in order:
            if room <= 0:
                break
            del self._ready[stage]
            inputs = stage.take_inputs(room)
            if inputs:
                batch.append((stage, inputs))
                room -= len(inputs)
        return batch

    def _deliver(
        self,
        batch: list[tuple[Stage, list[targets.StepInput]]],
        outputs: tuple[targets.StepOutput, ...],
    ) -> None:
        stages = {stage.engine_stream: stage for stage, _ in batch}
        for output in outputs:
            stage = stages[output.stream]
            if stage.closed:
                continue
            if output.error:
                self._lose(stage, output.error)
                continue
            self.steps_run += 1
            kept = Output.take(output)
            stage.keep(kept)
            if kept.step >= stage.send_from:
                self._send(stage, kept)
        for stage, inputs in batch:
            if len(inputs) == 1 and not stage.closed:
                self._pace.note_stay(stage)
            stage.finish_inputs()
            if stage.inbox and not stage.closed:
                self._ready[stage] = None
        if self._ready:
            self._work.set()

    def _send(self, stage: Stage, output: Output) -> None:
        if stage.last:
            token = stage.make_token(output)
            self._post(stage.entry, messages.Tokens((token,)))
            return
        step = stage.make_step(output)
        name = stage.opened.next_name
        try:
            address = stage.opened.next_address
            self._neighbours.send_step(name, address, step)
        except errors.PeerError as why:
            self._tell_lost(stage, name, str(why))

    # Losses.

    def _fail(
        self,
        batch: list[tuple[Stage, list[targets.StepInput]]],
        reason: str,
    ) -> None:
        # Whether the engine applied the steps is not known, so its caches
        # cannot be trusted: another step might run a layer twice.
        self._suspicion.note_failure(reason)
        for stage, _ in batch:
            stage.finish_inputs()
            self._lose(stage, reason)

    def _lose(self, stage: Stage, reason: str) -> None:
        self._tell_lost(stage, self._name, reason)
        self._forget(stage, reason)

    def _tell_lost(self, stage: Stage, name: str, reason: str) -> None:
        self._recorder.record(
            "stage-lost", request=stage.stream, target=name, why=reason
        )
        self._post(
            stage.entry,
            messages.StageLost(stage.stream, stage.attempt, name, reason),
        )

    def _forget(self, stage: Stage, reason: str) -> None:
        stage.closed = True
        self._ready.pop(stage, None)
        if self.stages.get(stage.stream) is stage:
            del self.stages[stage.stream]
        self._freed.append(stage.engine_stream)
        self._recorder.record(
            "stage-closed",
            request=stage.stream,
            why=reason,
            steps=stage.next_step,
        )

    def _post(
        self, connection: wire.Connection, message: messages.Message
    ) -> None:
        try:
            connection.post(message)
        except errors.PeerError:
            # The entry is gone or comes back on a new connection; it then
            # asks for what it missed.
            self.note_entry_lost(connection)

    async def _drop_orphans(self) -> None:
        while True:
            await trio.sleep(1.0)
            now = trio.current_time()
            for stage in tuple(self.stages.values()):
                reason = stage.find_expiry(now)
                if reason:
                    self._forget(stage, reason)
            await self._free()

    async def _free(self) -> None:
        freed, self._freed = self._freed, []
        if not freed:
            return
        try:
            await self._engine.cancel(freed)
        except targets.EngineError:
            # The engine drops caches by itself when it runs out of room.
            return
