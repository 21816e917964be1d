"""A stand-in model engine with deterministic layers and configurable delays.

Each layer keeps a running digest of its inputs for each stream, as a real
layer keeps its KV cache.  A layer that is skipped, run twice or run out of
order changes all later tokens, so the fault shows in the answer at once.
"""

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import hashlib
import json
from typing import Any

import trio

from magnoliacove import errors
from magnoliacove import web
from magnoliacove.targets import engine

__all__ = ["EngineFaults", "StandInEngine", "compute_tokens", "make_app"]

_WORDS = """
    oak walnut veneer brass marble inlay drawer cabinet chair table commode
    desk mirror frame carved gilded painted turned fluted tapered signed
    stamped restored original later rare fine large small pair single
    panel door handle lock key foot leg back seat arm rail crest apron top
    base with and of in by from circa French Flemish Dutch Liege Ghent
    Antwerp Brussels eighteenth nineteenth century style period maker
""".split()  # noqa: SIM905 (a list would take a line for each word)


def _run_layer(layer: int, state: bytes, value: bytes) -> bytes:
    data = layer.to_bytes(2, "big") + state + value
    return hashlib.blake2b(data, digest_size=16).digest()


def _pick_word(value: bytes) -> bytes:
    return _WORDS[value[0] % len(_WORDS)].encode() + b" "


def compute_tokens(prompt: bytes, layers: int, count: int) -> list[bytes]:
    """Return the tokens that a whole model outputs without faults."""
    states = [b""] * layers
    value, tokens = prompt, []
    for _ in range(count):
        for layer in range(layers):
            states[layer] = value = _run_layer(layer, states[layer], value)
        value = _pick_word(value)
        tokens.append(value)
    return tokens


@dataclass
class EngineFaults:
    """The faults that are injected at present.

    :param frozen: calls hang while this is set.
    :param failing: calls raise an error.
    :param slowdown: factor by which step times are multiplied.
    """

    frozen: bool = False
    failing: bool = False
    slowdown: float = 1.0


@dataclass
class _StreamCache:
    """The KV cache of one stream.

    :param states: digests of the inputs so far, by layer.
    """

    next_step: int = 0
    states: dict[int, bytes] = field(default_factory=dict)


@dataclass
class _PendingStep:
    """A step that waits for a batch.

    :param done: set after the step's batch, and when the next batch needs a
        caller to run it.
    """

    item: engine.StepInput
    done: trio.Event = field(default_factory=trio.Event)
    output: engine.StepOutput | None = None


class StandInEngine:
    """A model engine in this process.

    :param layers: number of layers of the whole model.
    :param step_time: seconds that one batch takes.
    :param item_time: additional seconds for each stream in a batch.
    :param prompt_time: additional seconds for each byte of a prompt.
    :param max_batch: number of steps in a batch.
    :param end_after: number of steps after which the model ends its answer;
        0 for no end.
    :param checks_orders: whether to refuse orders with an old fencing token.
    """

    def __init__(
        self,
        layers: int,
        *,
        step_time: float = 0.005,
        item_time: float = 0.0002,
        prompt_time: float = 0.0,
        max_batch: int = 64,
        end_after: int = 0,
        checks_orders: bool = False,
    ) -> None:
        self.faults = EngineFaults()
        self.layers = layers
        self.steps_run: list[tuple[str, int, int, int]] = []
        self.orders: list[tuple[int, str, str]] = []
        self._step_time = step_time
        self._item_time = item_time
        self._prompt_time = prompt_time
        self._max_batch = max_batch
        self._end_after = end_after
        self._checks_orders = checks_orders
        self._highest_fence = 0
        self._caches: dict[str, _StreamCache] = {}
        self._pending: list[_PendingStep] = []
        self._busy = False

    async def run_steps(
        self, inputs: Sequence[engine.StepInput]
    ) -> tuple[engine.StepOutput, ...]:
        """Run steps of several streams in the engine's next batches."""
        await self._apply_faults()
        steps = [_PendingStep(item) for item in inputs]
        self._pending.extend(steps)
        while not all(pending.done.is_set() for pending in steps):
            if self._busy:
                unfinished = next(s for s in steps if not s.done.is_set())
                await unfinished.done.wait()
                continue
            await self._run_batch()
        return tuple(s.output for s in steps if s.output is not None)

    async def cancel(self, streams: Sequence[str]) -> None:
        """Discard streams and free their KV caches."""
        await self._apply_faults()
        for stream in streams:
            self._caches.pop(stream, None)

    async def export_cache(self, stream: str) -> tuple[int, bytes]:
        """Return a stream's next step and KV cache."""
        await self._apply_faults()
        stream_cache = self._caches.get(stream)
        if stream_cache is None:
            raise engine.EngineError(
                f"stream {stream} is not held", errors.Outcome.NOT_RUN
            )
        states = {str(k): v.hex() for k, v in stream_cache.states.items()}
        return stream_cache.next_step, json.dumps(states).encode()

    async def import_cache(
        self, stream: str, next_step: int, data: bytes
    ) -> None:
        """Import a stream's KV cache from another engine."""
        await self._apply_faults()
        states = {
            int(k): bytes.fromhex(v) for k, v in json.loads(data).items()
        }
        self._caches[stream] = _StreamCache(next_step, states)

    async def read_load(self) -> engine.EngineLoad:
        """Return the engine's load."""
        await self._apply_faults()
        return engine.EngineLoad(
            len(self._caches), len(self._pending), len(self._caches), 4096
        )

    async def give_order(self, fence: int, action: str, argument: str) -> None:
        """Record an order, unless its fencing token is checked and old."""
        await self._apply_faults()
        if self._checks_orders and fence < self._highest_fence:
            raise errors.StaleOrderError(
                f"fencing number {fence} is older than {self._highest_fence}"
            )
        self._highest_fence = max(fence, self._highest_fence)
        self.orders.append((fence, action, argument))

    async def _apply_faults(self) -> None:
        await trio.lowlevel.checkpoint()
        while self.faults.frozen:
            await trio.sleep(0.05)
        if self.faults.failing:
            raise engine.EngineError(
                "the engine fails", errors.Outcome.MAY_HAVE_RUN
            )

    async def _run_batch(self) -> None:
        self._busy = True
        self._pending.sort(key=lambda pending: -pending.item.priority)
        batch = self._pending[: self._max_batch]
        del self._pending[: self._max_batch]
        prompts = sum(len(s.item.payload) for s in batch if s.item.step == 0)
        duration = (
            self._step_time
            + self._item_time * len(batch)
            + self._prompt_time * prompts
        )
        try:
            await trio.sleep(duration * self.faults.slowdown)
            for pending in batch:
                pending.output = self._run_step(pending.item)
        finally:
            self._busy = False
            for pending in batch:
                pending.done.set()
            for pending in self._pending:
                # Wake the callers that still wait: one runs the next batch.
                pending.done.set()
                pending.done = trio.Event()

    def _run_step(self, item: engine.StepInput) -> engine.StepOutput:
        stream_cache = self._caches.setdefault(item.stream, _StreamCache())
        if item.step != stream_cache.next_step:
            return engine.StepOutput(
                item.stream,
                item.step,
                error=f"step {item.step} came where "
                f"{stream_cache.next_step} was due",
            )
        value = item.payload
        for layer in range(item.first_layer, item.end_layer):
            value = _run_layer(
                layer, stream_cache.states.get(layer, b""), value
            )
            stream_cache.states[layer] = value
        stream_cache.next_step += 1
        self.steps_run.append(
            (item.stream, item.step, item.first_layer, item.end_layer)
        )
        if item.end_layer < self.layers:
            return engine.StepOutput(item.stream, item.step, value)
        end = self._end_after > 0 and item.step + 1 >= self._end_after
        return engine.StepOutput(
            item.stream, item.step, b"", _pick_word(value), end
        )


def make_app(model: StandInEngine) -> web.App:
    """Return an ASGI application that serves an engine over HTTP.

    ``POST /faults`` with a JSON object sets the given faults.
    """

    async def answer(request: web.Request) -> web.Response:
        data = json.loads(request.body or b"{}")
        if request.path == "/faults":
            for name, value in data.items():
                setattr(model.faults, name, value)
            return web.Response(200, model.faults.__dict__)
        try:
            return web.Response(200, await _dispatch(model, request, data))
        except errors.StaleOrderError as exc:
            return web.Response(409, {"error": str(exc)})
        except engine.EngineError as exc:
            return web.Response(500, {"error": str(exc)})

    return web.make_app(answer)


async def _dispatch(
    model: StandInEngine, request: web.Request, data: dict[str, Any]
) -> Any:
    if request.path == "/steps":
        inputs = [
            engine.StepInput(
                stream, step, first, end, base64.b64decode(payload), priority
            )
            for stream, step, first, end, payload, priority in data["steps"]
        ]
        outputs = await model.run_steps(inputs)
        return {"outputs": [_write_output(output) for output in outputs]}
    if request.path == "/cancel":
        await model.cancel(data["streams"])
        return {}
    if request.path == "/export":
        next_step, cache = await model.export_cache(data["stream"])
        return {
            "next_step": next_step,
            "data": base64.b64encode(cache).decode(),
        }
    if request.path == "/import":
        cache = base64.b64decode(data["data"])
        await model.import_cache(data["stream"], data["next_step"], cache)
        return {}
    if request.path == "/orders":
        await model.give_order(data["fence"], data["action"], data["argument"])
        return {}
    return (await model.read_load()).__dict__


def _write_output(output: engine.StepOutput) -> list[Any]:
    token = output.token.decode() if output.token is not None else None
    payload = base64.b64encode(output.payload).decode()
    return [
        output.stream,
        output.step,
        payload,
        token,
        output.end,
        output.error,
    ]
