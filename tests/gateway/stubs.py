"""Scripted HTTP targets over loopback, and a gateway that uses them."""

import contextlib
from dataclasses import dataclass
import random
import re

import trio

from magnoliacove import timeline
from magnoliacove.configuration import routes
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.assembly import StateInputs
from magnoliacove.gateway.assembly import make_state
from magnoliacove.gateway.attribution import CrashAttribution
from magnoliacove.gateway.callers import CallerConnection
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.relay import Relay
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.stalls import StallWatch
from magnoliacove.limits import SharedRetryBudget
from magnoliacove.metrics import Meters
from magnoliacove.peers.heartbeats import Peer
from magnoliacove.platform import headers
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathStage
from magnoliacove.wire import Address
from tests.shapes import make_shape

OK = b"HTTP/1.1 200 OK\r\nx-response-stamp: s\r\n"
NOT_RUN = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)


def make_answer(body, head=OK):
    """Return a whole answer with a content length."""
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


def make_events(first, last):
    """Return the events with the ids from first to last."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1)
    )


def chunk(data):
    """Return a chunk of a chunked body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


STREAM = OK + (
    b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"
STREAM_HEADERS = {"x_token_usage": "100,20", "x_deadline_ms": "20000"}


@dataclass
class Received:
    """A request that a stub received."""

    method: str
    target: str
    headers: dict
    body: bytes


class StubTarget:
    """Answers requests with a script: a coroutine of request and stream.

    :param early: whether the script runs while the request's body is still
        being sent.
    """

    def __init__(self, script, *, early=False):
        self.script = script
        self._early = early
        self.requests = []
        self.closed = trio.Event()
        self.address = None

    @property
    def callers_requests(self):
        """The requests of callers, without the gateway's own ones."""
        return [r for r in self.requests if r.target != "/v1/report"]

    async def listen(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve on a free loopback port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = Address("127.0.0.1", port)
        await trio.serve_listeners(
            self._serve, listeners, task_status=task_status
        )

    async def _serve(self, stream):
        try:
            data = bytearray()
            while True:
                while b"\r\n\r\n" not in data:
                    part = await stream.receive_some()
                    if not part:
                        return
                    data += part
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (x.partition(":") for x in lines[1:])
                }
                length = int(headers.get("content-length", 0))
                if self._early:
                    length = min(length, len(data))
                while len(data) < length:
                    part = await stream.receive_some()
                    if not part:
                        return
                    data += part
                body = bytes(data[:length])
                del data[:length]
                method, target, _ = lines[0].split(" ")
                received = Received(method, target, headers, body)
                self.requests.append(received)
                await self.script(received, stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.closed.set()
            await trio.aclose_forcefully(stream)


@contextlib.asynccontextmanager
async def open_target(script, *, early=False):
    """Provide the URL of a stub target.

    :param early: as for :class:`StubTarget`.
    """
    async with trio.open_nursery() as nursery:
        stub = StubTarget(script, early=early)
        await nursery.start(stub.listen)
        yield f"http://{stub.address}"
        nursery.cancel_scope.cancel()


def make_table(**changes):
    """Return a route table with one route of each kind."""
    base = {
        "host": "x",
        "idempotent": False,
        "streaming": False,
        "resumable": False,
        "timeout": 2.0,
        "latency_objective": 0.3,
        "gap_objective": 0.2,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        "shares": (routes.ServiceShare("desk", 1.0),),
        **changes,
    }
    llm = {
        "shares": (routes.ServiceShare("llm", 1.0),),
        "streaming": True,
        "timeout": 20.0,
    }
    made = (
        routes.Route(
            **{**base, "name": "get", "path_prefix": "/get/"}
            | {"idempotent": True}
        ),
        routes.Route(**{**base, "name": "post", "path_prefix": "/post/"}),
        routes.Route(
            **{**base, **llm, "name": "s", "path_prefix": "/stream/"}
            | {"resumable": True}
        ),
        routes.Route(
            **{**base, **llm, "name": "once", "path_prefix": "/once/"}
        ),
    )
    services = {
        "desk": routes.ServiceSpec("desk", "/health", 52, None),
        "llm": routes.ServiceSpec(
            "llm", "/health", 900, make_shape(layer_mb=100)
        ),
    }
    accounts = {"k1": routes.Account("lannoy", 3)}
    return routes.RouteTable(
        7, made, services, routes.CallerLimits(header_timeout=0.3), accounts
    )


class GatewayHarness:
    """A gateway's state and relay, with stub targets and callers."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.closing = False
        self.recorder = timeline.Recorder("gateway")
        self.state = make_state(
            StateInputs(
                recorder=self.recorder,
                data_centre="a",
                meters=Meters(dict, lambda: True),
                retry_budget=SharedRetryBudget(0.2, 100, 10.0),
                rng=random.Random(1),
                grace=1.8,
                start_soon=nursery.start_soon,
            )
        )
        self.state.routes = make_table()
        self.calls = EngineCalls(self.state.pool)
        self.stalls = StallWatch(self.state, self.calls)
        self.attribution = CrashAttribution(self.state)
        self.crash_watch = CrashWatch(self.state, self.calls, self.attribution)
        self.relay = Relay(self.state, self.stalls, self.crash_watch)
        self.state.targets.listen(self.state.capacity_queue.fill)
        nursery.start_soon(self.state.capacity_queue.run)
        nursery.start_soon(self.stalls.run)
        nursery.start_soon(self.crash_watch.run)
        nursery.start_soon(self.attribution.run)

    async def add(
        self,
        name,
        script,
        *,
        layers=None,
        service="",
        early=False,
        **changes,
    ):
        """Start a stub target and list it.

        :param early: as for :class:`StubTarget`.
        """
        stub = StubTarget(script, early=early)
        await self.nursery.start(stub.listen)
        kind = {"accelerator": "h100"} if layers else {}
        self.state.targets.apply(
            ListedTarget(
                name,
                service or ("llm" if layers else "desk"),
                stub.address,
                "a",
                layers=LayerRange(*layers) if layers else None,
                slots=6,
                revision=1,
                **{**kind, **changes},
            )
        )
        return stub

    async def connect(self, resources=None):
        """Return the caller's end of a new connection, and the gateway's.

        :param resources: what it shares with other connections.
        """
        ours, theirs = await _open_pair()
        connection = CallerConnection(
            theirs,
            lambda: routes.CallerLimits(header_timeout=0.3),
            self.relay.serve,
            lambda: self.state.leaving,
            lambda: self.closing,
            resources,
        )
        self.nursery.start_soon(connection.run)
        return ours, connection

    async def ask(self, path, *, method="GET", body=b"", **headers):
        """Send one request and return all data until the connection closes."""
        stream, _ = await self.connect()
        await stream.send_all(make_request(path, method, body, **headers))
        return await read_all(stream)

    def list_kinds(self):
        """Return the kinds of the recorded events."""
        return [event.kind for event in self.recorder.list_events()]


def make_request(path, method="GET", body=b"", **headers):
    """Return a caller's request."""
    values = {
        "host": "x",
        "x-request-id": "r1",
        "authorization": "Token k1",
        "x-deadline-ms": "1500",
        "connection": "close",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if body:
        values["content-length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in values.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_all(stream, timeout=20.0):
    """Return all data until the other end closes, or the time is over."""
    data = bytearray()
    with (
        trio.move_on_after(timeout),
        contextlib.suppress(trio.BrokenResourceError),
    ):
        while part := await stream.receive_some():
            data += part
    return bytes(data)


async def _open_pair():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    ours = await trio.open_tcp_stream("127.0.0.1", port)
    theirs = await listeners[0].accept()
    await listeners[0].aclose()
    return ours, theirs


@contextlib.asynccontextmanager
async def open_harness():
    """Open a harness; its tasks end with the block."""
    async with trio.open_nursery() as nursery:
        yield GatewayHarness(nursery)
        nursery.cancel_scope.cancel()


def answer_with(data, after=0.0):
    """Return a script that answers each request with the same bytes."""

    async def script(_, stream):
        await trio.sleep(after)
        await stream.send_all(data)

    return script


async def reset(_, stream):
    """Close the connection without an answer."""
    await trio.aclose_forcefully(stream)


async def stay_silent(_, stream):
    """Never answer."""
    await trio.sleep_forever()


def begin_then(act, events=3):
    """Return a script that sends some events and then acts.

    :param act: a coroutine of the connection.
    """

    async def script(received, stream):
        if received.method == "GET":
            await stream.send_all(make_answer(b"{}"))
            return
        first = chunk(make_events(1, events))
        await stream.send_all(STREAM + first)
        await act(stream)

    return script


def go_on_after(seconds):
    """Return a script that sends three events, pauses, and sends the rest."""

    async def go_on(stream):
        await trio.sleep(seconds)
        await stream.send_all(chunk(make_events(4, 6)) + END)

    return begin_then(go_on)


def break_after(seconds):
    """Return a script that sends three events, pauses, and breaks off."""

    async def break_off(stream):
        await trio.sleep(seconds)
        await trio.aclose_forcefully(stream)

    return begin_then(break_off)


def stop_inside(data, end=trio.SocketStream.aclose):
    """Return a script that sends a part of a head and closes.

    :param end: ends the connection.
    """

    async def script(_, stream):
        await stream.send_all(data)
        await end(stream)

    return script


async def pause_for_ever(_):
    """Never go on."""
    await trio.sleep_forever()


def make_own_calls(harness, target):
    """Return the gateway's own calls to an engine, by name."""
    path = Path((PathStage(target.name, target.address, "a", 0, 10),), 1.0, 0)
    calls, layers = harness.calls, LayerRange(0, 5)
    return {
        "report": lambda: calls.read_report(target),
        "order": lambda: calls.place(
            target, layers, interrupt=False, orders=None
        ),
        "path": lambda: calls.change_path(target, "r1", path),
        "health": lambda: calls.is_leaving(target, "/health"),
    }


def list_cuts(harness):
    """Return who ended each answer that was cut off, and why."""
    return [
        (event.detail["by"], event.why)
        for event in harness.recorder.list_events()
        if event.kind == "answer-cut"
    ]


async def serve_whole(received, stream):
    """Answer reports, and serve the rest of a stream of six events."""
    if received.method == "GET":
        await stream.send_all(make_answer(b"{}"))
        return
    first = int(received.headers.get("last-event-id", 0)) + 1
    events = make_events(first, 6)
    await stream.send_all(STREAM + chunk(events) + END)


def read_ids(answer):
    """Return the ids of the events in an answer's chunks, in order."""
    body = answer.partition(b"\r\n\r\n")[2]
    return [int(n) for n in re.findall(rb"^id: (\d+)$", body, re.M)]


def fall_silent(serve):
    """Return a script, and a function that silences the open connections.

    :param serve: the script of connections that are not silent.
    """
    opened, silent = [], []

    async def script(received, stream):
        if stream not in opened:
            opened.append(stream)
        if stream in silent:
            await trio.sleep_forever()
        await serve(received, stream)

    return script, lambda: silent.extend(opened)


async def suspect_when_begun(harness, target):
    """Suspect an engine once a stream has begun there."""
    while not any(stream.began for stream in harness.stalls.streams):
        await trio.sleep(0.01)
    await trio.sleep(0.2)
    harness.state.health.suspect(target, "the test says so")


async def begin_stream(harness, *, version="1.1", events=1, **headers):
    """Ask for a stream; return the connection after its first events.

    :param version: of HTTP, that the caller speaks.
    """
    stream, _ = await harness.connect()
    request = make_request("/once/1", "POST", **{**STREAM_HEADERS, **headers})
    await stream.send_all(request.replace(b"/1.1", b"/" + version.encode()))
    data = b""
    while b"id: %d" % events not in data:
        data += await stream.receive_some()
    return stream


async def ask_stream(harness, path="/stream/1", **headers):
    """Request a stream and return all data until the connection closes."""
    return await harness.ask(
        path, method="POST", **{**STREAM_HEADERS, **headers}
    )


def make_reservation(state):
    """Return the path reservation of a stream that has no path yet."""
    table = state.routes
    return PathReservation(
        state,
        RoutedRequest(
            request=None,
            caller_headers=headers.read_caller(
                [(b"x-token-usage", b"100,20")]
            ),
            route=table.find_route("x", "/stream/1"),
            service=table.services["llm"],
            account="",
            priority=1,
            deadline=20.0,
            version=1,
            fingerprint="f1",
        ),
    )


async def fill_service(state, service="llm"):
    """Let a service be full for about a second."""
    state.saturation.note_waiting(service, 1)
    await trio.sleep(0.21)
    state.saturation.note_waiting(service, 1)


class LiveHeartbeats:
    """The last heartbeats of peers that are all live."""

    def __init__(self, peer_timeout, heartbeats):
        self.peer_timeout = peer_timeout
        self._heartbeats = heartbeats

    def list_live(self):
        """Return the peers."""
        return [Peer(heartbeat, 0.0) for heartbeat in self._heartbeats]
