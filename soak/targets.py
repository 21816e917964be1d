"""Targets of the soak: a plain service and a model's engines.

They write down which requests they ran; what they answer follows from the
request's id, so whoever reads an answer can tell whether it is the right
one and whole.
"""

from collections import defaultdict
import random
import zlib

import h11
import orjson
import trio

__all__ = ["Ledger", "Target", "count_events", "make_body", "make_event"]

_EVENT_PAUSE = 0.02
_PLAIN_WORK = 0.02
_FAILING_PART = 0.1


def make_body(request: str) -> bytes:
    """Return what a plain service answers to a request."""
    return f"answer to {request}".encode()


def count_events(request: str) -> int:
    """Return how many events answer a request."""
    return 5 + zlib.crc32(request.encode()) % 60


def make_event(request: str, number: int) -> bytes:
    """Return one event of the answer to a request."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


class Ledger:
    """Which requests ran, and how often.

    :param runs: for each request, the targets that ran it.
    """

    def __init__(self) -> None:
        self.runs: dict[str, list[str]] = defaultdict(list)


class Target:
    """One target, listening on a free port of loopback.

    :param failing: the part of a plain service's runs that fail.
    :param words: headers of all its answers.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        seed: int,
        failing: float = _FAILING_PART,
    ) -> None:
        self._failing = failing
        self.name = name
        self.port = 0
        self.words: dict[str, str] = {}
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
            while await self._serve_one(stream, parser):
                parser.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            # The caller left, which ends the work on its request.
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_one(
        self, stream: trio.SocketStream, parser: h11.Connection
    ) -> bool:
        request = None
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        assert request is not None
        headers = {n.decode(): v.decode() for n, v in request.headers}
        answer = _Answer(stream, parser, self.words)
        path = request.target.decode()
        refusal = self._take(path, headers)
        if refusal is not None:
            await answer.send(503, refusal, b"")
        elif path in ("/v1/report", "/health", "/v1/order"):
            report = orjson.dumps({**_REPORT, **self.describe()})
            await answer.send(200, {"x-instance-id": self.name}, report)
        elif headers.get("x-target-instance") != self.name:
            await answer.send(421, {"x-not-executed": "1"}, b"")
        elif "/stream" in path:
            await self._write_stream(answer, headers, path)
        else:
            await self._answer_plain(answer, headers)
        return parser.our_state is h11.DONE

    def describe(self) -> dict[str, object]:
        """Return what it says of itself in its reports beside the usual."""
        return {}

    def _take(
        self, path: str, headers: dict[str, str]
    ) -> dict[str, str] | None:
        """Return the headers of a refusal, None to serve the request."""
        return None

    async def _answer_plain(self, answer, headers: dict[str, str]) -> None:
        request = headers["x-request-id"]
        self._ledger.runs[request].append(self.name)
        await trio.sleep(_PLAIN_WORK * self._rng.uniform(0.5, 3.0))
        failed = self._rng.random() < self._failing
        named = {"x-response-stamp": "s", "x-request-id": request}
        body = b"" if failed else make_body(request)
        await answer.send(500 if failed else 200, named, body)

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
            await trio.sleep(_EVENT_PAUSE)
            event = make_event(request, number)
            # Events are cut in the middle, as engines cut them.
            cut = self._rng.randrange(len(event))
            await answer.write(event[:cut])
            await answer.write(event[cut:])
        await answer.end()


_REPORT = {
    "layers": {"from": 0, "to": 80, "version": 1},
    "busy": False,
    "sequence": 0,
    "kv_used": 0,
    "kv_total": 1e9,
    "pace": 1.0,
}


class _Answer:
    """One answer that is being written."""

    def __init__(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
        words: dict[str, str],
    ) -> None:
        self._stream = stream
        self._parser = parser
        self._words = words

    async def send(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Write a whole answer."""
        await self.start(status, {**headers, "content-length": str(len(body))})
        await self.write(body)
        await self.end()

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Write the head; without a length the body comes in chunks."""
        told = list({**self._words, **headers}.items())
        await self._send(h11.Response(status_code=status, headers=told))

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """Write the end of the body."""
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        await self._stream.send_all(self._parser.send(event) or b"")
