"""A stand-in model engine: deterministic layers with settable step times.

Each layer keeps a running digest of its inputs per stream, as a real layer
keeps its KV cache.  A layer that is skipped, run twice or run out of order
changes every later token, so a wrong answer shows at once.
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
    """Return the tokens that a whole, undisturbed model gives."""
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
    """What goes wrong from now on.

    :param frozen: calls hang until it is unset.
    :param failing: calls answer with an error.
    :param slowdown: step times are multiplied by this.
    """

    frozen: bool = False
    failing: bool = False
    slowdown: float = 1.0


@dataclass
class _Held:
    """The KV cache of one stream."""

    next_step: int = 0
    states: dict[int, bytes] = field(default_factory=dict)


@dataclass
class _Waiting:
    item: engine.StepInput
    done: trio.Event = field(default_factory=trio.Event)
    output: engine.StepOutput | None = None


class StandInEngine:
    """A model engine in this process.

    :param layers: how many layers the whole model has.
    :param step_time: seconds of one batch.
    :param item_time: further seconds for each stream in a batch.
    :param prompt_time: further seconds for each byte of a prompt.
    :param end_after: the model ends its answer at this step; 0 for never.
    :param checks_orders: refuse orders with an old fencing number.
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
        self._held: dict[str, _Held] = {}
        self._waiting: list[_Waiting] = []
        self._busy = False

    async def run_steps(
        self, inputs: Sequence[engine.StepInput]
    ) -> tuple[engine.StepOutput, ...]:
        """Run steps of several streams in the engine's next batches."""
        await self._meet_faults()
        mine = [_Waiting(item) for item in inputs]
        self._waiting.extend(mine)
        while not all(waiting.done.is_set() for waiting in mine):
            if self._busy:
                undone = next(w for w in mine if not w.done.is_set())
                await undone.done.wait()
                continue
            await self._run_batch()
        return tuple(w.output for w in mine if w.output is not None)

    async def cancel(self, streams: Sequence[str]) -> None:
        """Forget streams and free their KV cache."""
        await self._meet_faults()
        for stream in streams:
            self._held.pop(stream, None)

    async def export_cache(self, stream: str) -> tuple[int, bytes]:
        """Return a stream's next step and KV cache."""
        await self._meet_faults()
        held = self._held.get(stream)
        if held is None:
            raise engine.EngineError(
                f"stream {stream} is not held", errors.Outcome.NOT_RUN
            )
        states = {str(k): v.hex() for k, v in held.states.items()}
        return held.next_step, json.dumps(states).encode()

    async def import_cache(
        self, stream: str, next_step: int, data: bytes
    ) -> None:
        """Take a stream's KV cache over from another engine."""
        await self._meet_faults()
        states = {
            int(k): bytes.fromhex(v) for k, v in json.loads(data).items()
        }
        self._held[stream] = _Held(next_step, states)

    async def read_load(self) -> engine.EngineLoad:
        """Return the load."""
        await self._meet_faults()
        return engine.EngineLoad(
            len(self._held), len(self._waiting), len(self._held), 4096
        )

    async def give_order(self, fence: int, action: str, argument: str) -> None:
        """Order the engine to load or change something."""
        await self._meet_faults()
        if self._checks_orders and fence < self._highest_fence:
            raise errors.StaleOrderError(
                f"fencing number {fence} is older than {self._highest_fence}"
            )
        self._highest_fence = max(fence, self._highest_fence)
        self.orders.append((fence, action, argument))

    async def _meet_faults(self) -> None:
        await trio.lowlevel.checkpoint()
        while self.faults.frozen:
            await trio.sleep(0.05)
        if self.faults.failing:
            raise engine.EngineError(
                "the engine fails", errors.Outcome.MAY_HAVE_RUN
            )

    async def _run_batch(self) -> None:
        self._busy = True
        self._waiting.sort(key=lambda waiting: -waiting.item.priority)
        batch = self._waiting[: self._max_batch]
        del self._waiting[: self._max_batch]
        prompts = sum(len(w.item.payload) for w in batch if w.item.step == 0)
        duration = (
            self._step_time
            + self._item_time * len(batch)
            + self._prompt_time * prompts
        )
        try:
            await trio.sleep(duration * self.faults.slowdown)
            for waiting in batch:
                waiting.output = self._run_step(waiting.item)
        finally:
            self._busy = False
            for waiting in batch:
                waiting.done.set()
            for waiting in self._waiting:
                # One of the callers that still wait runs the next batch.
                waiting.done.set()
                waiting.done = trio.Event()

    def _run_step(self, item: engine.StepInput) -> engine.StepOutput:
        held = self._held.setdefault(item.stream, _Held())
        if item.step != held.next_step:
            return engine.StepOutput(
                item.stream,
                item.step,
                error=f"step {item.step} came where {held.next_step} was due",
            )
        value = item.payload
        for layer in range(item.first_layer, item.end_layer):
            value = _run_layer(layer, held.states.get(layer, b""), value)
            held.states[layer] = value
        held.next_step += 1
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

    ``POST /faults`` with a JSON object sets the faults.
    """

    async def answer(request: web.Request) -> web.Response:
        data = json.loads(request.body or b"{}")
        if request.path == "/faults":
            for name, value in data.items():
                setattr(model.faults, name, value)
            return web.Response(200, model.faults.__dict__)
        try:
            return web.Response(200, await _dispatch(model, request, data))
        except errors.StaleOrderError as why:
            return web.Response(409, {"error": str(why)})
        except engine.EngineError as why:
            return web.Response(500, {"error": str(why)})

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
