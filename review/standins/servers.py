"""Stand-ins for servers: of a plain service, and engines of a model."""

import asyncio
import contextlib
import itertools
import json
import time
from typing import Any

from standins.http import ClosedError
from standins.http import Message
from standins.http import read_message
from standins.http import write_message
from standins.store import Store

__all__ = ["Engine", "Record", "Server"]

# Seconds between two writes of a server's entry, and the number of silent
# intervals after which the platform removes the entry.
BEAT = 1.2
_SILENT_BEATS = 3
_boots = itertools.count(1)


class Record:
    """What was sent, answered and run, with the time of each.

    :ivar runs: by the id of a request, where and when it ran.
    :ivar arrivals: each request that reached a server.
    """

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.runs: dict[str, list[tuple[float, str]]] = {}
        self.arrivals: list[tuple[float, str, str]] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():9.3f} {text}")


class Server:
    """A server of a plain service.

    :param state: what its entry says, ``ready`` or ``draining``.
    """

    def __init__(
        self, service: str, zone: str, store: Store, record: Record
    ) -> None:
        self.name = f"i-{next(_boots):04x}{time.time_ns() & 0xFFFF:04x}"
        self.service = service
        self.address = ""
        self.state = "ready"
        self.work = 0.02
        self._zone = zone
        self._store = store
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None
        self._sequence = 0

    async def start(
        self, host: str, port: int = 0, *, lag: float = 0.0
    ) -> None:
        """Listen, and register in the store.

        :param lag: seconds until its entry lies in the store.
        """
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        if not lag:
            self.beat()
        self._beats = asyncio.create_task(self._run_beats(lag))
        self._record.note(
            f"server {self.name} of {self.service} starts at {self.address}"
        )

    def beat(self) -> None:
        """Write the entry."""
        self._sequence += 1
        self._store.write("servers", self.name, self.describe())

    def describe(self) -> dict[str, Any]:
        """Return the entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }

    def drain(self) -> None:
        """Report that it leaves; it goes on serving until it is stopped."""
        self.state = "draining"
        self.beat()
        self._record.note(f"ack: server {self.name} is draining")

    def leave(self) -> None:
        """Take the entry away; it goes on serving until it is stopped."""
        if self._beats is not None:
            self._beats.cancel()
        self._store.remove("servers", self.name)
        self._record.note(f"ack: server {self.name} is gone")

    def stop(self, *, entry: bool) -> None:
        """End.

        :param entry: whether it takes its entry away.  If not, it crashed,
            and the platform removes the entry after some silent beats.
        """
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._record.note(f"server {self.name} ends")
        if entry:
            self._store.remove("servers", self.name)
            return
        asyncio.get_running_loop().call_later(
            BEAT * _SILENT_BEATS, self._store.remove, "servers", self.name
        )

    async def _run_beats(self, lag: float) -> None:
        await asyncio.sleep(lag or BEAT)
        self.beat()
        while True:
            await asyncio.sleep(BEAT)
            self.beat()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            ClosedError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                request = await read_message(reader)
                if not request.whole:
                    break
                await self._answer(request, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        path = request.first[1]
        if path == "/health":
            ready = self.state == "ready"
            await write_message(
                writer,
                200 if ready else 503,
                {"X-Instance-Id": self.name},
            )
            return
        if headers.get("x-target-instance", self.name) != self.name:
            await write_message(writer, 421, {"X-Instance-Id": self.name})
            return
        if await self._answer_own(request, writer):
            return
        number = headers.get("x-request-id", "")
        if not number:
            await write_message(writer, 400, {"X-Not-Executed": "1"})
            return
        self._record.arrivals.append((self._record.now(), number, self.name))
        self._record.note(f"request {number} reaches {self.name}")
        await self._run(request, number, writer)

    async def _answer_own(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call that isn't a client's request."""
        return False

    async def _run(
        self, request: Message, number: str, writer: asyncio.StreamWriter
    ) -> None:
        self._note_run(number)
        await asyncio.sleep(self.work)
        headers = {
            "X-Request-Id": number,
            "X-Response-Stamp": f"{self.name}.{number}",
            "X-Server-Load": "1,0,6",
        }
        if self.state == "draining":
            headers["Connection"] = "close"
        body = f"answer to {number}".encode()
        await write_message(writer, 200, headers, body)
        if self.state == "draining":
            raise ClosedError

    def _note_run(self, number: str) -> None:
        run = (self._record.now(), self.name)
        self._record.runs.setdefault(number, []).append(run)
        self._record.note(f"request {number} runs at {self.name}")


class Engine(Server):
    """An engine of a model, which holds a range of layers.

    :param kind: its card.
    :param memory_mb: the memory of that card.
    :param shape: the layers of its model and the size of each.
    :ivar orders: each order that it was given.
    :ivar overfilled: whether one of them asked for more than its card holds.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        *,
        kind: str,
        memory_mb: float,
        shape: tuple[int, float],
    ) -> None:
        super().__init__(service, zone, store, record)
        self.orders: list[dict[str, Any]] = []
        self.overfilled = False
        self._kind = kind
        self._memory_mb = memory_mb
        self._count, self._layer_mb = shape
        self._layers: tuple[int, int] | None = None
        self._busy = False
        self._begun = 0

    def describe(self) -> dict[str, Any]:
        """Return the entry."""
        entry = super().describe()
        entry.update(
            slots=96,
            stage="both",
            models=[{"name": f"{self.service}-m", "version": 1}],
            kind=self._kind,
        )
        entry.update(self._describe_layers())
        return entry

    def _describe_layers(self) -> dict[str, Any]:
        if self._layers is None:
            return {}
        first, end = self._layers
        return {"layers": {"from": first, "to": end, "version": 1}}

    async def _answer_own(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        path = request.first[1]
        if path == "/v1/report":
            report = {
                "stage": "both",
                "models": [{"name": f"{self.service}-m", "version": 1}],
                "busy": self._busy,
                "sequence": self._begun,
                "queued": 0,
                "in_flight": 0,
                "kv_used": 0,
                "kv_total": 50_000 * self._count,
                "pace": 1.0,
                "handles": 0,
                **self._describe_layers(),
            }
            headers = {"Content-Type": "application/json"}
            body = json.dumps(report).encode()
            await write_message(writer, 200, headers, body)
            return True
        if path == "/v1/order":
            status = self._take_order(json.loads(request.body))
            await write_message(writer, status, {}, b"")
            return True
        return False

    def _take_order(self, order: dict[str, Any]) -> int:
        self.orders.append(order)
        self._record.note(
            f"order at {self.name} of {self.service} ({self._kind}, "
            f"{self._memory_mb:.0f} MB): {json.dumps(order)}"
        )
        if order.get("operation") != "place":
            return 404
        if order.get("precondition", self._begun) != self._begun:
            return 409
        wanted = (order["from"], order["to"])
        if wanted == self._layers:
            return 200
        size = (wanted[1] - wanted[0]) * self._layer_mb
        if size > self._memory_mb:
            self.overfilled = True
            self._record.note(
                f"engine {self.name} crashes: it was ordered to hold "
                f"{size:.0f} MB, and its card has {self._memory_mb:.0f} MB"
            )
            self.stop(entry=False)
            return 202
        self._begun += 1
        self._busy = True
        asyncio.get_running_loop().call_later(0.5, self._finish, wanted)
        return 202

    def _finish(self, layers: tuple[int, int]) -> None:
        self._layers = layers
        self._busy = False
        self.beat()
