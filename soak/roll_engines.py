"""Engines that leave, refuse or pause, and serve streams in chains."""

from dataclasses import dataclass
from dataclasses import field

import orjson
import trio

from magnoliacove.directory.listed import LayerRange
from soak.losses import Run
from soak.losses import Span
from soak.targets import Answer
from soak.targets import Ledger
from soak.targets import Target
from soak.targets import count_events
from soak.targets import make_event

__all__ = ["Fleet", "RollEngine"]

# Seconds between two events of a stream, which so lasts 0.5 to 7 s.
_EVENT_INTERVAL = 0.11
# Seconds after which a stream is cut off whose path lost an engine.
_STALL_TIME = 2.5
# Seconds between two looks at whether all engines of a path go on.
_CHECK_INTERVAL = 0.02
_OK, _NOT_FOUND, _CONFLICT = 200, 404, 409
_HEALTH = "/health"
_OWN_CALLS = ("/v1/report", "/v1/order")


@dataclass(frozen=True)
class Fleet:
    """All engines that serve, by address, and their finished runs."""

    engines: dict[str, "RollEngine"] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)


@dataclass(eq=False)
class _Stream:
    """A stream whose path begins at an engine.

    :param path: the addresses of its engines.
    :param lost: the one that does not go on, or "".
    :param closed_at: when the gateway closed its connection, 0 if it has not.
    """

    request: str
    path: list[str]
    lost: str = ""
    closed_at: float = 0.0


class RollEngine(Target):
    """An engine that holds a part of the layers.

    :param slots: number of streams that it serves as their first engine.
    :param paused: whether its process stands still.
    :param refuses: whether it refuses new streams, as the first engine of
        their path or as a later one.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        fleet: Fleet,
        layers: LayerRange,
        slots: int,
    ) -> None:
        super().__init__(name, ledger, 1)
        self.layers = layers
        self.slots = slots
        self.paused = False
        self.refuses = False
        self._fleet = fleet
        self._scope = trio.CancelScope()
        self._streams: list[_Stream] = []

    @property
    def address(self) -> str:
        """The address at which it listens."""
        return f"127.0.0.1:{self.port}"

    @property
    def has_left(self) -> bool:
        """Whether its process has ended."""
        return self._scope.cancel_called

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until it leaves."""
        with self._scope:
            await super().run(task_status)

    def join(self) -> None:
        """Let chains find it, once it listens."""
        self._fleet.engines[self.address] = self

    def leave(self) -> None:
        """End its process and reset its connections."""
        self._fleet.engines.pop(self.address, None)
        self._scope.cancel()

    def describe(self) -> dict[str, object]:
        """Return its layers, and its streams that wait for an engine."""
        stalled = [
            {"id": stream.request, "address": stream.lost}
            for stream in self._streams
            if stream.lost
        ]
        return {
            "layers": {
                "from": self.layers.first,
                "to": self.layers.end,
                "version": 1,
            },
            "in_flight": len(self._streams),
            "stalled": stalled,
        }

    async def _wait_while_paused(self) -> None:
        while self.paused:
            await trio.sleep(_CHECK_INTERVAL)

    def _refuse(
        self, path: str, headers: dict[str, str]
    ) -> dict[str, str] | None:
        if path in _OWN_CALLS:
            return None
        if len(self._streams) >= self.slots and path != _HEALTH:
            return {"x-not-executed": "1", "at-server": self.address}
        for address in self._read_hops(headers.get("x-hops", "")):
            engine = self._fleet.engines.get(address)
            if engine is not None and engine.refuses:
                return {"x-not-executed": "1", "at-server": address}
        return None

    def _obey(self, order: bytes) -> int:
        """Move a stream to another path; refuse orders to move layers."""
        fields = orjson.loads(order)
        if fields["operation"] != "repath":
            return _CONFLICT
        streams = [s for s in self._streams if s.request == fields["id"]]
        if not streams:
            return _NOT_FOUND
        path = self._read_hops(fields["path"])
        engines = [self._fleet.engines.get(address) for address in path]
        if any(e is None or e.refuses or e.paused for e in engines):
            return _CONFLICT
        for stream in streams:
            stream.path = path
        return _OK

    def _read_hops(self, hops: str) -> list[str]:
        """Return the addresses of a path, or its own one if there is none."""
        addresses = [hop.partition("=")[0] for hop in hops.split(",") if hop]
        return addresses or [self.address]

    async def _write_stream(
        self, answer: Answer, headers: dict[str, str], path: str
    ) -> None:
        hops = self._read_hops(headers.get("x-hops", ""))
        stream = _Stream(headers["x-request-id"], hops)
        self._streams.append(stream)
        try:
            lost = await self._find_lost(stream)
            if lost:
                refusal = {"x-not-executed": "1", "at-server": lost}
                await answer.send(503, refusal, b"")
                return
            first = int(headers.get("last-event-id") or 0) + 1
            await self._run_stream(answer, stream, first)
        finally:
            self._streams.remove(stream)

    async def _run_stream(
        self, answer: Answer, stream: _Stream, first: int
    ) -> None:
        """Write a stream and record when the work on it began and ended."""
        self._ledger.runs[stream.request].append(self.name)
        begun_at, whole = trio.current_time(), False

        async def watch(scope: trio.CancelScope) -> None:
            await answer.wait_closed()
            stream.closed_at = trio.current_time()
            scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch, nursery.cancel_scope)
                whole = await self._write_events(answer, stream, first)
                nursery.cancel_scope.cancel()
        finally:
            span = Span(begun_at, stream.closed_at or trio.current_time())
            broke_off = not whole and not stream.closed_at
            run = Run(stream.request, self.name, span, broke_off)
            self._fleet.runs.append(run)
        if not whole:
            raise trio.BrokenResourceError("the stream was cut off")

    async def _write_events(
        self, answer: Answer, stream: _Stream, first: int
    ) -> bool:
        """Write a stream's events; return whether it became complete."""
        request = stream.request
        stamp = {"x-response-stamp": "s", "x-request-id": request}
        try:
            await answer.start(200, stamp)
            for number in range(first, count_events(request) + 1):
                await trio.sleep(_EVENT_INTERVAL)
                if await self._find_lost(stream):
                    return False
                await answer.write(make_event(request, number))
            await answer.end()
        except trio.BrokenResourceError:
            # The gateway closed the connection, which ends the work.
            stream.closed_at = stream.closed_at or trio.current_time()
            return False
        return True

    async def _find_lost(self, stream: _Stream) -> str:
        """Wait until a stream's path goes on; return "" or what it lost.

        :returns: the address of an engine that did not go on in time.
        """
        deadline = trio.current_time() + _STALL_TIME
        while True:
            await self._wait_while_paused()
            lost = [a for a in stream.path if self._is_lost(a)]
            stream.lost = lost[0] if lost else ""
            if not lost or trio.current_time() >= deadline:
                return stream.lost
            await trio.sleep(_CHECK_INTERVAL)

    def _is_lost(self, address: str) -> bool:
        engine = self._fleet.engines.get(address)
        return engine is None or engine.paused
