"""The interface that an agent uses to its model engine, over HTTP."""

import base64
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
import json
from typing import Any
from typing import Protocol

import httpcore
import orjson

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.decoding import DECODE_ERRORS
from magnoliacove.decoding import check_types
from magnoliacove.http_pools import ConnectionPool
from magnoliacove.limits.answer_memory import AnswerMemory
from magnoliacove.limits.answer_memory import AnswerTooLongError
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.memory_limits import MemoryLimits

__all__ = [
    "Engine",
    "EngineError",
    "EngineLoad",
    "HttpEngine",
    "StepInput",
    "StepOutput",
]

# Bytes of all answers of an engine that are read at a time.  One of them, a
# KV cache that is exported, may take a third.
_ANSWERS_BYTES = 96 * 1024 * 1024


class EngineError(errors.Error):
    """A call to an engine failed.

    :param outcome: whether the engine may have executed the call.
    """

    def __init__(self, message: str, outcome: errors.Outcome) -> None:
        super().__init__(message)
        self.outcome = outcome


@dataclass(frozen=True, slots=True)
class StepInput:
    """One step of one stream for a range of layers.

    :param step: 0 for the whole prompt, then one number for each token.
    :param payload: tokens as input of the first layer, otherwise
        activations.
    """

    stream: str
    step: int
    first_layer: int
    end_layer: int
    payload: bytes
    priority: int = 0


@dataclass(frozen=True, slots=True)
class StepOutput:
    """The result of a step: activations, or a token from the last layer.

    :param token: the token's text from the last layer, otherwise None.
    :param end: whether the model ends its answer with this token.
    :param error: the reason why the step did not run, or "".
    """

    stream: str
    step: int
    payload: bytes = b""
    token: bytes | None = None
    end: bool = False
    error: str = ""


@dataclass(frozen=True)
class EngineLoad:
    """The load that an engine reports, with some delay."""

    running: int
    queued: int
    cache_used: int
    cache_limit: int


class Engine(Protocol):
    """A model engine that serves a range of layers.

    Each method raises :class:`EngineError` if the call fails.
    """

    async def run_steps(
        self, inputs: Sequence[StepInput]
    ) -> tuple[StepOutput, ...]:
        """Run steps of several streams in the engine's next batches."""

    async def cancel(self, streams: Sequence[str]) -> None:
        """Discard streams and free their KV cache."""

    async def export_cache(self, stream: str) -> tuple[int, bytes]:
        """Return a stream's next step number and its KV cache."""

    async def import_cache(
        self, stream: str, next_step: int, data: bytes
    ) -> None:
        """Import a stream's KV cache that another engine exported."""

    async def read_load(self) -> EngineLoad:
        """Return the engine's load."""

    async def give_order(self, fence: int, action: str, argument: str) -> None:
        """Order the engine to load something or to change its state.

        :param fence: the fencing token of the order's sender.
        :raises magnoliacove.errors.StaleOrderError: if the engine checks
            fencing tokens and has received a higher one.
        """


class HttpEngine:
    """Client of a model engine over HTTP."""

    def __init__(self, url: str, *, timeout: float = 10.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._answers = AnswerMemory(
            CallerMemory(MemoryLimits(_ANSWERS_BYTES))
        )
        self._pool = ConnectionPool(
            max_connections=8, keepalive_expiry=defaults.KEEP_ALIVE / 2
        )

    async def run_steps(
        self, inputs: Sequence[StepInput]
    ) -> tuple[StepOutput, ...]:
        """Run steps of several streams in the engine's next batches."""
        steps = [
            [
                item.stream,
                item.step,
                item.first_layer,
                item.end_layer,
                base64.b64encode(item.payload).decode(),
                item.priority,
            ]
            for item in inputs
        ]
        data = await self._call("/steps", {"steps": steps})
        with self._decode("/steps"):
            return tuple(map(_read_output, data["outputs"]))

    async def cancel(self, streams: Sequence[str]) -> None:
        """Discard streams and free their KV cache."""
        await self._call("/cancel", {"streams": list(streams)})

    async def export_cache(self, stream: str) -> tuple[int, bytes]:
        """Return a stream's next step number and its KV cache."""
        data = await self._call("/export", {"stream": stream})
        with self._decode("/export"):
            return int(data["next_step"]), base64.b64decode(data["data"])

    async def import_cache(
        self, stream: str, next_step: int, data: bytes
    ) -> None:
        """Import a stream's KV cache that another engine exported."""
        await self._call(
            "/import",
            {
                "stream": stream,
                "next_step": next_step,
                "data": base64.b64encode(data).decode(),
            },
        )

    async def read_load(self) -> EngineLoad:
        """Return the engine's load."""
        data = await self._call("/load", {})
        with self._decode("/load"):
            load = EngineLoad(**data)
            check_types(load)
            return load

    async def give_order(self, fence: int, action: str, argument: str) -> None:
        """Order the engine to load something or to change its state."""
        await self._call(
            "/orders",
            {"fence": fence, "action": action, "argument": argument},
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _call(self, path: str, data: dict[str, Any]) -> Any:
        try:
            status, content = await self._exchange(path, data)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise EngineError(
                f"the engine at {self._url} cannot be reached; check that "
                "it runs and that --target-url is right",
                errors.Outcome.NOT_RUN,
            ) from exc
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            AnswerTooLongError,
        ) as exc:
            raise EngineError(
                f"the engine at {self._url} gave no answer to {path}",
                errors.Outcome.MAY_HAVE_RUN,
            ) from exc
        with self._decode(path):
            answer = orjson.loads(content or b"null")
            if status == 409:
                raise errors.StaleOrderError(str(answer["error"]))
        if status != 200:
            raise EngineError(
                f"the engine answered {status} to {path}",
                errors.Outcome.MAY_HAVE_RUN,
            )
        return answer

    @contextlib.contextmanager
    def _decode(self, path: str) -> Iterator[None]:
        """Decode an answer within the block.

        :raises EngineError: when it cannot be decoded.
        """
        try:
            yield
        except DECODE_ERRORS as exc:
            raise EngineError(
                f"the engine at {self._url} gave no proper answer to {path}",
                errors.Outcome.MAY_HAVE_RUN,
            ) from exc

    async def _exchange(
        self, path: str, data: dict[str, Any]
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body of the answer."""
        timeouts = {
            "connect": 1.0,
            "read": self._timeout,
            "write": self._timeout,
            "pool": self._timeout,
        }
        async with self._pool.stream(
            "POST",
            self._url + path,
            content=json.dumps(data).encode(),
            headers=[(b"content-type", b"application/json")],
            extensions={"timeout": timeouts},
        ) as response:
            with self._answers.open(_ANSWERS_BYTES) as buffer:
                async for part in response.aiter_stream():
                    buffer.add(part)
                return response.status, buffer.body.join()


def _read_output(values: Sequence[Any]) -> StepOutput:
    """Return the result of a step that an engine's answer contains."""
    stream, step, payload, token, end, error = values
    output = StepOutput(
        stream,
        step,
        base64.b64decode(payload),
        token.encode() if token is not None else None,
        end,
        error,
    )
    check_types(output)
    return output
