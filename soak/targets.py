"""Targets of the soak: instances of a plain service and engines of a model.

They record which requests they ran.  Answers are derived from the request's
id, so that a reader can check that an answer is the right one and complete.
"""

from collections import defaultdict
import random
import socket
import zlib

import h11
import orjson
import trio

__all__ = [
    "Answer",
    "Ledger",
    "Target",
    "count_events",
    "make_body",
    "make_event",
]

# Seconds between two events of a stream.
_EVENT_INTERVAL = 0.02
# Base of the seconds that a plain service takes for a request.
_PLAIN_SECONDS = 0.02
# Share of the requests that a plain service fails by default.
_FAILURE_RATE = 0.1


def make_body(request: str) -> bytes:
    """Return the answer of a plain service to a request."""
    return f"answer to {request}".encode()


def count_events(request: str) -> int:
    """Return the number of events in the answer to a request."""
    return 5 + zlib.crc32(request.encode()) % 60


def make_event(request: str, number: int) -> bytes:
    """Return one event of the streamed answer to a request."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


class Ledger:
    """A record of the runs of each request.

    :param runs: the targets that ran each request, once per run.
    """

    def __init__(self) -> None:
        self.runs: dict[str, list[str]] = defaultdict(list)


class Target:
    """One target that listens on a free loopback port.

    :param failure_rate: the share of a plain service's runs that fail.
    :param extra_headers: headers of all its answers.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        seed: int,
        failure_rate: float = _FAILURE_RATE,
    ) -> None:
        self._failure_rate = failure_rate
        self.name = name
        self.port = 0
        self.extra_headers: dict[str, str] = {}
        self._ledger = ledger
        self._rng = random.Random(seed)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(
            self._serve, listeners, task_status=task_status
        )

    async def _serve(self, stream: trio.SocketStream) -> None:
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(stream, parser):
                parser.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            # The client disconnected, which ends the work on its request.
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(
        self, stream: trio.SocketStream, parser: h11.Connection
    ) -> bool:
        request, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        assert request is not None
        headers = {n.decode(): v.decode() for n, v in request.headers}
        answer = Answer(stream, parser, self.extra_headers)
        path = request.target.decode()
        await self._wait_while_paused()
        refusal = self._refuse(path, headers)
        if refusal is not None:
            await answer.send(503, refusal, b"")
        elif path in ("/v1/report", "/health", "/v1/order"):
            status = self._obey(body) if path == "/v1/order" else 200
            report = orjson.dumps({**_REPORT, **self.describe()})
            await answer.send(status, {"x-instance-id": self.name}, report)
        elif headers.get("x-target-instance") != self.name:
            await answer.send(421, {"x-not-executed": "1"}, b"")
        elif "/stream" in path:
            await self._write_stream(answer, headers, path)
        else:
            await self._answer_plain(answer, headers)
        return parser.our_state is h11.DONE

    def describe(self) -> dict[str, object]:
        """Return the fields of reports that differ from the default report."""
        return {}

    async def _wait_while_paused(self) -> None:
        """Return once the target goes on; this one never pauses."""

    def _obey(self, order: bytes) -> int:
        """Carry out an order; return the status of the answer."""
        return 200

    def _refuse(
        self, path: str, headers: dict[str, str]
    ) -> dict[str, str] | None:
        """Return the headers of a refusal, or None to serve the request."""
        return None

    async def _answer_plain(self, answer, headers: dict[str, str]) -> None:
        request = headers["x-request-id"]
        self._ledger.runs[request].append(self.name)
        await trio.sleep(_PLAIN_SECONDS * self._rng.uniform(0.5, 3.0))
        failed = self._rng.random() < self._failure_rate
        answer_headers = {"x-response-stamp": "s", "x-request-id": request}
        body = b"" if failed else make_body(request)
        await answer.send(500 if failed else 200, answer_headers, body)

    async def _write_stream(
        self, answer, headers: dict[str, str], path: str
    ) -> None:
        request = headers["x-request-id"]
        self._ledger.runs[request].append(self.name)
        first = int(headers.get("last-event-id") or 0) + 1
        await answer.start(
            200, {"x-response-stamp": "s", "x-request-id": request}
        )
        for number in range(first, count_events(request) + 1):
            await trio.sleep(_EVENT_INTERVAL)
            event = make_event(request, number)
            # Engines may split an event over several writes.
            split = self._rng.randrange(len(event))
            await answer.write(event[:split])
            await answer.write(event[split:])
        await answer.end()


_REPORT = {
    "layers": {"from": 0, "to": 80, "version": 1},
    "busy": False,
    "sequence": 0,
    "kv_used": 0,
    "kv_total": 1e9,
    "pace": 1.0,
}


class Answer:
    """An answer that is being written."""

    def __init__(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
        extra_headers: dict[str, str],
    ) -> None:
        self._stream = stream
        self._parser = parser
        self._extra_headers = extra_headers

    async def wait_closed(self) -> None:
        """Return once the other end has closed the connection."""
        try:
            # The first byte of a next request stays where it is.
            await self._stream.socket.recv(1, socket.MSG_PEEK)
        except (OSError, trio.ClosedResourceError):
            # It was reset, which closes it too.
            return

    async def send(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Write a complete answer."""
        await self.start(status, {**headers, "content-length": str(len(body))})
        await self.write(body)
        await self.end()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Write the head; the body is chunked unless a length is given."""
        all_headers = list({**self._extra_headers, **headers}.items())
        await self._send(h11.Response(status_code=status, headers=all_headers))

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """Write the end of the body."""
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        await self._stream.send_all(self._parser.send(event) or b"")
