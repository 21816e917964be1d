"""Transfer of a stage's KV cache from one agent to another."""

from typing import Protocol

from magnoliacove import targets
from magnoliacove.agent.stages import Output
from magnoliacove.agent.stages import Stage
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["ReleasedCaches", "CacheSource", "export_cache", "import_cache"]


class CacheSource(Protocol):
    """Fetches caches from other agents."""

    async def fetch_cache(
        self, address: str, request: messages.FetchCache
    ) -> messages.Cache | None:
        """Return a stage's KV cache from another agent, or None."""


async def import_cache(
    stage: Stage,
    engine: targets.Engine,
    source: CacheSource,
    recorder: Recorder,
) -> None:
    """Load the KV cache that the stage's previous agent exports.

    If no cache can be imported, the stage stays empty and its steps are
    replayed.
    """
    request = messages.FetchCache(stage.stream, stage.attempt)
    address = stage.opened.import_address
    cache = await source.fetch_cache(address, request)
    if cache is None or not cache.found:
        # The outputs that the previous stage retains rebuild the cache
        # instead.  That is slower but gives the caller the same answer.
        recorder.record(
            "cache-not-imported",
            request=stage.stream,
            why=f"{address} returned no cache; replaying the steps instead",
        )
        return
    try:
        await engine.import_cache(
            stage.engine_stream, cache.next_step, cache.data
        )
    except targets.EngineError as exc:
        recorder.record(
            "cache-not-imported", request=stage.stream, why=str(exc)
        )
        return
    stage.next_step = cache.next_step
    first = cache.next_step - len(cache.outputs)
    for index, data in enumerate(cache.outputs):
        stage.retain(_unpack_output(first + index, data))
    recorder.record(
        "cache-imported", request=stage.stream, steps=cache.next_step
    )


async def export_cache(
    stage: Stage,
    engine: targets.Engine,
    recorder: Recorder,
    request: messages.FetchCache,
) -> messages.Cache | None:
    """Return a stage's cache for the agent that takes it over, or None.

    The stage runs no further steps, even if the export fails.
    """
    # The stage must not apply another step once its cache is copied.  The
    # copy would lack that step, and the layers would run it twice.
    stage.attempt = request.attempt
    stage.inbox.clear()
    await stage.idle.wait()
    try:
        step, data = await engine.export_cache(stage.engine_stream)
    except targets.EngineError as exc:
        recorder.record(
            "cache-not-exported", request=stage.stream, why=str(exc)
        )
        return None
    packed_outputs = tuple(_pack_output(output) for output in stage.outputs)
    recorder.record("cache-exported", request=stage.stream, steps=step)
    return messages.Cache(
        request.stream, request.attempt, step, data, packed_outputs, True
    )


def _pack_output(output: Output) -> bytes:
    return bytes([output.token, output.end]) + output.data


def _unpack_output(step: int, data: bytes) -> Output:
    return Output(step, data[2:], bool(data[0]), bool(data[1]))


class ReleasedCaches:
    """KV caches that no stage needs any more and the engine still holds."""

    def __init__(self, engine: targets.Engine) -> None:
        self._engine = engine
        self._streams: list[str] = []

    def add(self, stream: str) -> None:
        """Add the engine's stream of a closed stage."""
        self._streams.append(stream)

    async def discard(self) -> None:
        """Ask the engine to discard the caches."""
        streams, self._streams = self._streams, []
        if not streams:
            return
        try:
            await self._engine.cancel(streams)
        except targets.EngineError:
            # The engine evicts caches on its own when it runs out of memory.
            return
