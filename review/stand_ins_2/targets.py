"""Stand-ins of plain targets and of model engines."""

import asyncio
from collections.abc import Callable
import contextlib
import json
import socket
import time
from typing import Any

from stand_ins_2.messages import Message
from stand_ins_2.messages import read_message
from stand_ins_2.messages import write_head
from stand_ins_2.record import Record
from stand_ins_2.store import Store

__all__ = ["Target", "choose_port"]


def choose_port(host: str) -> int:
    """Return a port that is free on an address now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Target:
    """One target, which registers itself and answers requests.

    :param seconds: how long it works on a request.
    :param fields: further fields of its entry and of its reports.
    :param read_clock: the time of day of its machine, in seconds.
    :param runs: the ids of the requests that it began to run, and when.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        *,
        port: int = 0,
        seconds: float = 0.05,
        fields: dict[str, Any] | None = None,
        read_clock: Callable[[], float] = time.time,
    ) -> None:
        self.name = name
        self.service = service
        self.host = "127.0.0.1"
        self.port = port or choose_port(self.host)
        self.seconds = seconds
        self.fields = fields or {}
        self.state = "ready"
        self.ended = False
        self._withdrawn = False
        self.runs: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self._born = int(read_clock() * 1000)
        self._store = store
        self.record = record
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def born(self) -> int:
        """The time of day of its start, in milliseconds."""
        return self._born

    async def start(self, lag: float = 0.0) -> None:
        """Listen, and register after a while.

        :param lag: seconds from the start until its first status report.
        """
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.record.write(
            f"target {self.name} starts at port {self.port}, born {self._born}"
        )
        await asyncio.sleep(lag)
        if not self.ended:
            self.register()

    def register(self) -> None:
        """Write the entry, unless it is withdrawn for good."""
        if self._withdrawn:
            return
        self._store.put("servers", self.name, self.describe())

    def describe(self) -> dict[str, Any]:
        """Return the entry."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self._born,
            **self.fields,
        }

    def drain(self) -> float:
        """Report that it leaves; return the time of the store's ack."""
        self.state = "draining"
        self.register()
        return self.record.write(f"target {self.name} is draining, acked")

    def remove_entry(self) -> float:
        """Remove the entry; return the time of the store's ack."""
        self._withdrawn = True
        self._store.remove("servers", self.name)
        return self.record.write(f"the entry of {self.name} is removed")

    def end(self, why: str) -> None:
        """End as a killed process does: its connections break."""
        self.record.write(f"target {self.name} ends: {why}")
        self.ended = True
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while (request := await read_message(reader)) is not None:
                if not request.whole:
                    break
                await self._answer(request, writer)
        except OSError:
            # The caller closed the connection.
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        path = request.first[1]
        if path in ("/health", "/v1/report"):
            status = 200 if self.state == "ready" else 503
            body = json.dumps(self.report()).encode()
            if path == "/v1/report":
                status = 200
            await self.send(writer, status, {}, body)
            return
        if path == "/v1/order":
            await self.send(writer, 409, {}, b"{}")
            return
        name = request.headers.get("x-request-id", "")
        now = self.record.write(f"target {self.name} receives {name}")
        self.arrivals.append((now, name))
        if request.headers.get("x-target-instance") != self.name:
            await self.send(writer, 421, {"X-Instance-Id": self.name}, b"")
            return
        await self.run_request(request, name, writer)

    async def run_request(
        self, request: Message, name: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request and answer it."""
        self.runs.append((self.record.now(), name))
        await asyncio.sleep(self.seconds)
        headers = {"X-Response-Stamp": f"{self.name}.s", "X-Request-Id": name}
        await self.send(writer, 200, headers, f"answer {name}".encode())
        self.record.write(f"target {self.name} has answered {name}")

    def report(self) -> dict[str, Any]:
        """Return what an engine reports of itself."""
        return {
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "in_flight": 0,
            "kv_used": 0,
            "kv_total": 1e9,
            "pace": 1.0,
            "born": self._born,
            **self.fields,
        }

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Write one whole answer."""
        whole = {
            **headers,
            "X-Instance-Id": self.name,
            "Content-Length": str(len(body)),
        }
        writer.write(write_head(f"HTTP/1.1 {status} X", whole) + body)
        with contextlib.suppress(OSError):
            await writer.drain()
