"""Execution of a model engine's stages in batches."""

from collections.abc import Callable
import math
from typing import Protocol

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import targets
from magnoliacove import wire
from magnoliacove.agent.caches import CacheSource
from magnoliacove.agent.caches import ReleasedCaches
from magnoliacove.agent.caches import export_cache
from magnoliacove.agent.caches import import_cache
from magnoliacove.agent.engine_health import EngineHealth
from magnoliacove.agent.engine_timing import EngineTiming
from magnoliacove.agent.refusals import Refusal
from magnoliacove.agent.stages import Output
from magnoliacove.agent.stages import Stage
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["Neighbours", "StageRunner"]


class Neighbours(CacheSource, Protocol):
    """Sends steps to other agents."""

    def send_step(self, name: str, address: str, item: messages.Step) -> None:
        """Send one step to the agent of the next stage.

        :raises magnoliacove.errors.PeerError: if the agent is not
            connected.
        """


class StageRunner:
    """Runs the stages of one model engine and forwards their outputs.

    :param name: this agent's name.
    :param is_leaving: returns whether new streams are refused.
    :param count_layers: returns the number of layers that the engine has
        loaded.
    :param max_streams: streams that may be open at a time.
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
        max_streams: int = defaults.STREAMS_PER_ENGINE,
    ) -> None:
        self.stages: dict[bytes, Stage] = {}
        self.steps_dropped = 0
        self._health = EngineHealth(name, engine, recorder)
        self._batches: set[trio.CancelScope] = set()
        self.steps_run = 0
        self._name = name
        self._engine = engine
        self._neighbours = neighbours
        self._recorder = recorder
        self._is_leaving = is_leaving
        self._timing = EngineTiming(count_layers)
        self._max_streams = max_streams
        self._ready: dict[Stage, None] = {}
        self._work = trio.Event()
        self._released = ReleasedCaches(engine)

    @property
    def load(self) -> messages.Load:
        """The load that this agent reports."""
        return messages.Load(
            len(self.stages),
            len(self._ready),
            math.ceil(self._timing.residence_seconds * 1e6),
            self._is_leaving(),
        )

    async def run(self) -> None:
        """Run batches until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(defaults.CONCURRENT_BATCHES):
                nursery.start_soon(self._run_batches)
            nursery.start_soon(self._close_expired_stages)
            nursery.start_soon(self._health.run)

    # Opening and closing.

    async def open(
        self, entry: wire.Connection, request: messages.OpenStage
    ) -> None:
        """Open, resume or refuse a stage, and send the result to the entry."""
        stage = self.stages.get(request.stream)
        if stage is not None and request.attempt <= stage.attempt:
            stale = Refusal("stale_attempt", "a later attempt of")
            self._refuse(entry, request, stale)
            return
        if request.resume:
            await self._resume(entry, request, stage)
            return
        if stage is not None:
            self._remove(stage, "reopened by a later attempt")
        refusal = self._find_refusal()
        if refusal is not None:
            self._refuse(entry, request, refusal)
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
            unknown = Refusal("unknown_stream", "nothing is held of")
            self._refuse(entry, request, unknown)
            return
        stage.resume(request, entry)
        # The batch that still runs determines the next step.
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

    def _find_refusal(self) -> Refusal | None:
        """Return why a new stream is refused, or None if it is accepted."""
        if self._is_leaving():
            return Refusal("draining", "this instance leaves;")
        if self._health.refuses_stream(bool(self.stages)):
            return Refusal(
                "engine_failing",
                "the engine fails;",
                self._health.retry_after,
            )
        if len(self.stages) >= self._max_streams:
            return Refusal("overloaded", "the engine is full;")
        return None

    def _refuse(
        self,
        entry: wire.Connection,
        request: messages.OpenStage,
        refusal: Refusal,
    ) -> None:
        self._recorder.record(
            "stage-refused",
            request=request.stream,
            why=refusal.code,
            retry_after=round(refusal.retry_after, 1),
        )
        self._post(entry, refusal.make_message(request))

    async def export(self, request: messages.FetchCache) -> messages.Cache:
        """Return a stage's KV cache for the agent that takes it over."""
        stage = self.stages.get(request.stream)
        cache: messages.Cache | None = None
        if stage is not None and request.attempt > stage.attempt:
            cache = await export_cache(
                stage, self._engine, self._recorder, request
            )
            if cache is not None:
                self._remove(stage, "moved")
        return cache or messages.Cache(
            request.stream, request.attempt, 0, b"", (), False
        )

    def close(self, request: messages.CloseStage) -> None:
        """Close a stage that its stream no longer needs."""
        stage = self.stages.get(request.stream)
        if stage is not None and request.attempt >= stage.attempt:
            self._remove(stage, request.reason)

    def orphan_stages(self, connection: wire.Connection) -> None:
        """Mark an entry's stages as orphaned after its connection ended.

        They are closed if the entry does not reconnect in time.
        """
        for stage in self.stages.values():
            if stage.entry is connection:
                stage.orphaned_at = trio.current_time()

    def handle_neighbour_lost(self, name: str, reason: str) -> None:
        """Report a lost agent to the entries whose streams continue there."""
        for stage in self.stages.values():
            if stage.opened.next_name == name:
                self._report_lost(stage, name, reason)

    # Steps.

    def take_steps(self, items: tuple[messages.Step, ...]) -> None:
        """Queue the steps that are due and drop all others."""
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
        """Send the outputs from a step on, and no earlier ones from now on."""
        stage = self.stages.get(request.stream)
        if stage is None or stage.attempt != request.attempt:
            return
        stage.send_from = request.from_step
        outputs = stage.list_outputs(request.from_step)
        if outputs is None:
            self._report_lost(stage, "", "its kept outputs were dropped")
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
            batch = self._collect_batch()
            if not batch:
                continue
            started = trio.current_time()
            inputs = [item for _, items in batch for item in items]
            timeout = self._timing.get_batch_timeout(inputs)
            outputs: tuple[targets.StepOutput, ...] = ()
            with trio.move_on_after(timeout) as scope:
                self._batches.add(scope)
                try:
                    outputs = await self._engine.run_steps(inputs)
                except targets.EngineError as exc:
                    self._fail_batch(batch, str(exc))
                    continue
                finally:
                    self._batches.discard(scope)
            if scope.cancelled_caught:
                # An engine that hangs keeps its connection open, so only a
                # timeout detects it.  The entries are informed so that
                # they replace the stages at once and do not wait until
                # their streams stall.  All other batches at the engine
                # hang as well.
                reason = f"the engine hangs for {timeout:.1f} s"
                self._fail_batch(batch, reason)
                for other in self._batches:
                    other.cancel()
                for stage in tuple(self.stages.values()):
                    self._fail_stage(stage, reason)
                continue
            self._health.record_output()
            self._timing.record_batch(trio.current_time() - started)
            self._handle_outputs(batch, outputs)

    def _collect_batch(self) -> list[tuple[Stage, list[targets.StepInput]]]:
        batch = []
        capacity = defaults.MAX_BATCH
        ordered = sorted(self._ready, key=lambda s: -s.opened.priority)
        for stage in ordered:
            if capacity <= 0:
                break
            del self._ready[stage]
            inputs = stage.take_inputs(capacity)
            if inputs:
                batch.append((stage, inputs))
                capacity -= len(inputs)
        return batch

    def _handle_outputs(
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
                self._fail_stage(stage, output.error)
                continue
            self.steps_run += 1
            retained = Output.from_engine(output)
            stage.retain(retained)
            if retained.step >= stage.send_from:
                self._send(stage, retained)
        for stage, inputs in batch:
            if len(inputs) == 1 and not stage.closed:
                self._timing.record_residence(stage)
            stage.finish_inputs()
            if stage.inbox and not stage.closed:
                self._ready[stage] = None
        if self._ready:
            self._work.set()

    def _send(self, stage: Stage, output: Output) -> None:
        if stage.is_last:
            token = stage.make_token(output)
            self._post(stage.entry, messages.Tokens((token,)))
            return
        step = stage.make_step(output)
        name = stage.opened.next_name
        try:
            address = stage.opened.next_address
            self._neighbours.send_step(name, address, step)
        except errors.PeerError as exc:
            self._report_lost(stage, name, str(exc))

    # Failures.

    def _fail_batch(
        self,
        batch: list[tuple[Stage, list[targets.StepInput]]],
        reason: str,
    ) -> None:
        # It is unknown whether the engine applied the steps, so its caches
        # cannot be used any more: another step might run a layer twice.
        self._health.record_failure(reason)
        for stage, _ in batch:
            stage.finish_inputs()
            self._fail_stage(stage, reason)

    def _fail_stage(self, stage: Stage, reason: str) -> None:
        self._report_lost(stage, self._name, reason)
        self._remove(stage, reason)

    def _report_lost(self, stage: Stage, name: str, reason: str) -> None:
        self._recorder.record(
            "stage-lost", request=stage.stream, target=name, why=reason
        )
        self._post(
            stage.entry,
            messages.StageLost(stage.stream, stage.attempt, name, reason),
        )

    def _remove(self, stage: Stage, reason: str) -> None:
        stage.closed = True
        self._ready.pop(stage, None)
        if self.stages.get(stage.stream) is stage:
            del self.stages[stage.stream]
        self._released.add(stage.engine_stream)
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
            # The entry has failed, or it reconnects and then requests what
            # it missed.
            self.orphan_stages(connection)

    async def _close_expired_stages(self) -> None:
        while True:
            await trio.sleep(1.0)
            now = trio.current_time()
            for stage in tuple(self.stages.values()):
                reason = stage.find_expiry_reason(now)
                if reason:
                    self._remove(stage, reason)
            await self._released.discard()
