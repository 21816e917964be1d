"""Scripted engines and plain targets over loopback.

What an engine does with each run follows from its script and the seed; what
it did is kept, so that an answer that was cut off can be compared with its
engine's side.
"""

from collections import defaultdict
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import enum
import random

import h11
import trio

from magnoliacove.platform import engines
from magnoliacove.wire import Address

__all__ = [
    "EngineScript",
    "Run",
    "RunState",
    "Runs",
    "ScriptedEngine",
    "listen",
    "read_event",
]

_READ_SIZE = 65536
_STAMP = (b"x-response-stamp", b"s")
_STREAM = (b"content-type", b"text/event-stream")
_CHUNKED = (b"transfer-encoding", b"chunked")


class RunState(enum.Enum):
    """How an engine's run of a request stands."""

    SERVING = "serving"
    WHOLE = "whole"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass
class Run:
    """One run of a request at an engine."""

    engine: str
    state: RunState = RunState.SERVING


Runs = defaultdict[str, list[Run]]


@dataclass(frozen=True)
class EngineScript:
    """What an engine does with each run; times in seconds.

    :param events: events of a whole stream.
    :param interval: mean time between two events.
    :param pause_share: share of the events with a pause before them.
    :param pauses: the shortest and the longest pause.
    :param broken_share: share of the runs that the engine breaks off.
    :param silent_after: events after which the engine never goes on, nor
        answers anything else; None for an engine that does.
    :param refused_orders: share of the orders to change a path that the
        engine refuses.
    """

    events: int = 24
    interval: float = 0.1
    pause_share: float = 0.05
    pauses: tuple[float, float] = (0.3, 1.8)
    broken_share: float = 0.0
    silent_after: int | None = None
    refused_orders: float = 0.0


class ScriptedEngine:
    """Serves runs as its script says, and records how each stands."""

    def __init__(
        self, name: str, script: EngineScript, runs: Runs, seed: int
    ) -> None:
        self._name = name
        self._script = script
        self._runs = runs
        self._seed = seed
        self._orders = random.Random(f"{seed} {name}")

    async def listen(
        self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve on a free loopback port, and report its address."""
        await listen(self._serve, task_status)

    async def _serve(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await self._serve_requests(stream)
        await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        parser = h11.Connection(h11.SERVER)
        while True:
            request = await read_event(parser, stream)
            if not isinstance(request, h11.Request):
                return
            while isinstance(await read_event(parser, stream), h11.Data):
                pass
            if not await self._answer(request, parser, stream):
                return
            parser.start_next_cycle()

    async def _answer(
        self,
        request: h11.Request,
        parser: h11.Connection,
        stream: trio.SocketStream,
    ) -> bool:
        """Answer one request; return False to close the connection."""
        target = request.target.decode()
        if target == engines.REPORT_PATH and self._script.silent_after:
            await trio.sleep_forever()
        if target == engines.REPORT_PATH:
            await _send_whole(parser, stream, 200, b"{}")
            return True
        if target == engines.ORDER_PATH:
            refused = self._orders.random() < self._script.refused_orders
            await _send_whole(parser, stream, 409 if refused else 200, b"")
            return True
        values = dict(request.headers)
        run = Run(self._name)
        request_id = values.get(b"x-request-id", b"").decode()
        self._runs[request_id].append(run)
        first = int(values.get(b"last-event-id", b"0")) + 1
        # Seeded for each run, since the order of the runs is not reproducible.
        rng = random.Random(f"{self._seed} {self._name} {request_id} {first}")
        await self._run(run, first, rng, parser, stream)
        return run.state is RunState.WHOLE

    async def _run(
        self,
        run: Run,
        first: int,
        rng: random.Random,
        parser: h11.Connection,
        stream: trio.SocketStream,
    ) -> None:
        script = self._script
        broken_at = 0
        if rng.random() < script.broken_share:
            broken_at = rng.randint(first, script.events)
        head = h11.Response(
            status_code=200, headers=[_STAMP, _STREAM, _CHUNKED]
        )
        await stream.send_all(parser.send(head))
        for number in range(first, script.events + 1):
            if number == broken_at:
                run.state = RunState.BROKEN
                return
            if script.silent_after and number > script.silent_after:
                run.state = RunState.SILENT
                await trio.sleep_forever()
            await trio.sleep(self._choose_delay(rng))
            data = b"id: %d\ndata: piece %d\n\n" % (number, number)
            await stream.send_all(parser.send(h11.Data(data=data)))
        run.state = RunState.WHOLE
        await stream.send_all(parser.send(h11.EndOfMessage()))

    def _choose_delay(self, rng: random.Random) -> float:
        script = self._script
        if rng.random() < script.pause_share:
            return rng.uniform(*script.pauses)
        return script.interval * rng.uniform(0.5, 1.5)


async def listen(
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve connections on a free loopback port, and report its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    task_status.started(Address("127.0.0.1", port))
    await trio.serve_listeners(serve, listeners)


async def read_event(
    parser: h11.Connection, stream: trio.SocketStream
) -> object:
    """Return the next event that a parser reads from a stream."""
    while (event := parser.next_event()) is h11.NEED_DATA:
        parser.receive_data(await stream.receive_some(_READ_SIZE))
    return event


async def _send_whole(
    parser: h11.Connection,
    stream: trio.SocketStream,
    status: int,
    body: bytes,
) -> None:
    length = (b"content-length", b"%d" % len(body))
    head = h11.Response(status_code=status, headers=[_STAMP, length])
    data = parser.send(head) + parser.send(h11.Data(data=body))
    await stream.send_all(data + parser.send(h11.EndOfMessage()))
