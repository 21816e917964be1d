"""A real gateway process, ordinary callers, and crowds that do not behave.

The crowd comes twice: what the first one leaves in the memory of the process
must not add up with what the second one takes.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import json
import random
import signal

import trio

from magnoliacove.sockets import bind_socket
from magnoliacove.standins import object_api
from soak.gateways import GatewayProcess
from soak.gateways import choose_port
from soak.play import serve_app
from tests.gateway import stubs

__all__ = ["BODY_LIMIT", "Crowd", "Stage", "Usage", "make_head"]

_MB = 1024 * 1024
# Limits of the configuration, as on the users' pages.
BODY_LIMIT = 4 * _MB
_HEADER_LIMIT = 16_384
# Seconds for which a crowd stays after its last client began, and between
# two measurements.
_STAY = 3.0
_SAMPLE_INTERVAL = 0.05
_ORDINARY_INTERVAL = 0.2
# Seconds after which an ordinary request counts as never answered.
_PATIENCE = 30.0
# Seconds that the configuration allows a request.
_LONGEST = 60.0
# Seconds that a target takes for a request on a slow path.
_SLOW = 1.0

_Client = Callable[[trio.SocketStream], Awaitable[None]]


@dataclass(frozen=True)
class Crowd:
    """Clients that do the same at once, and the limits of the gateway.

    :param act: what each one does on its connection.
    :param leaves: whether a client closes its connection once it has acted.
    :param probes: whether it comes to the address of the balancer's probes.
    """

    act: _Client
    count: int = 40
    memory_mb: int = 128
    max_descriptors: int = 1000
    leaves: bool = False
    probes: bool = False


@dataclass
class Usage:
    """What a gateway process used at most, and whom it answered.

    :param memory_mb: resident memory, with the bytes that callers sent and
        the process has not read.
    :param tried: ordinary requests that were sent while the crowd was there.
    :param answered: how many of these were answered.
    """

    memory_mb: float = 0.0
    descriptors: int = 0
    tried: int = 0
    answered: int = 0


def make_head(path: str, method: str = "POST", **headers: str) -> bytes:
    """Return the head of a request whose connection stays open."""
    kept = {"connection": "keep-alive", "x_deadline_ms": "60000", **headers}
    return stubs.make_request(path, method, **kept)


class Stage:
    """One gateway process, its store and its target."""

    def __init__(self, folder, crowd: Crowd) -> None:
        rng = random.Random()
        ports = (choose_port(rng), choose_port(rng), choose_port(rng))
        self.gateway = GatewayProcess(0, ports, folder)
        self.gateway.memory_mb = crowd.memory_mb
        self.gateway.max_descriptors = crowd.max_descriptors
        self.usage = Usage()
        self._crowd = crowd
        self._target = stubs.StubTarget(self._answer)

    @contextlib.asynccontextmanager
    async def open(self):
        """Start everything; end the process with the block."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            try:
                await self.gateway.wait_ready()
                await self.ask_patiently()
                yield self
            finally:
                with trio.CancelScope(shield=True):
                    await self.gateway.end(signal.SIGKILL)
            nursery.cancel_scope.cancel()

    async def play(self) -> None:
        """Let the crowd come and go."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure)
            nursery.start_soon(self._ask_regularly)
            async with trio.open_nursery() as clients:
                for _ in range(self._crowd.count):
                    clients.start_soon(self._visit)
                await trio.sleep(_STAY)
                clients.cancel_scope.cancel()
            nursery.cancel_scope.cancel()
        self._note_usage()

    async def ask_patiently(self) -> bool:
        """Return whether an ordinary request is answered, after refusals."""
        with trio.move_on_after(_PATIENCE):
            while not await self._ask():
                await trio.sleep(_ORDINARY_INTERVAL)
            return True
        return False

    async def send(self, data: bytes) -> bytes:
        """Send bytes; return what comes until the gateway closes."""
        stream = await self._connect()
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(send_until_refused, stream, data)
            answer = await stubs.read_all(stream, _LONGEST)
            nursery.cancel_scope.cancel()
        return answer

    async def _start(self, nursery: trio.Nursery) -> None:
        store = object_api.ObjectStore()
        listener = bind_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        app = object_api.make_app(store)
        await nursery.start(serve_app, app, listener)
        await nursery.start(self._target.listen)
        entry = _entry(str(self._target.address))
        await store.put("servers/desk-0", json.dumps(entry).encode())
        await store.put("config/main", json.dumps(_CONFIGURATION).encode())
        self.gateway.write_settings(f"127.0.0.1:{port}", [self.gateway.host])
        self.gateway.start()

    async def _answer(self, received: stubs.Received, stream) -> None:
        """Answer a request as the last part of its path says."""
        # The bodies of a crowd would fill the memory of the tests.
        self._target.requests.clear()
        how = received.target.rpartition("/")[2]
        if how == "slow":
            await trio.sleep(_SLOW)
        answers = {"echo": received.body, "big": bytes(BODY_LIMIT)}
        request = received.headers.get("x-request-id", "")
        head = stubs.OK + f"x-request-id: {request}\r\n".encode()
        await stream.send_all(stubs.make_answer(answers.get(how, b"ok"), head))

    async def _connect(self, *, probes: bool = False) -> trio.SocketStream:
        gateway = self.gateway
        port = gateway.ready_port if probes else gateway.callers_port
        return await trio.open_tcp_stream(gateway.host, port)

    async def _visit(self) -> None:
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            stream = await self._connect(probes=self._crowd.probes)
            async with stream:
                await self._crowd.act(stream)
                if not self._crowd.leaves:
                    await trio.sleep_forever()

    async def _ask_regularly(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._ask_counted)
                await trio.sleep(_ORDINARY_INTERVAL)

    async def _ask_counted(self) -> None:
        self.usage.tried += 1
        self.usage.answered += await self._ask()

    async def _ask(self) -> bool:
        try:
            answer = await self.send(stubs.make_request("/get/ok"))
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def _measure(self) -> None:
        while self.gateway.alive:
            self._note_usage()
            await trio.sleep(_SAMPLE_INTERVAL)

    def _note_usage(self) -> None:
        if not self.gateway.alive:
            return
        usage, gateway = self.usage, self.gateway
        unread = gateway.read_unread_bytes() / _MB
        resident = gateway.read_resident()
        _, peak = gateway.read_usage()
        usage.memory_mb = max(usage.memory_mb, resident + unread, peak)
        usage.descriptors = max(usage.descriptors, gateway.count_descriptors())


async def send_until_refused(stream: trio.SocketStream, data: bytes) -> None:
    """Send bytes for as long as the other end takes them."""
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)


def _entry(address: str) -> dict[str, object]:
    return {
        "service": "desk",
        "address": address,
        "zone": "a",
        "state": "ready",
        "slots": 1000,
    }


_ROUTE = {
    "host": "x",
    "timeout_ms": 1000 * _LONGEST,
    "target_latency_ms": 30_000,
    "target_gap_ms": 200,
    "priority": 1,
    "max_attempts": 1,
    "public": True,
    "service": "desk",
}
_CONFIGURATION = {
    "version": 1,
    "routes": [
        {**_ROUTE, "name": "get", "path_prefix": "/get/", "kind": "idempotent"}
        | {"max_attempts": 2},
        {
            **_ROUTE,
            "name": "post",
            "path_prefix": "/post/",
            "kind": "non_idempotent",
        },
    ],
    "services": [{"name": "desk", "health_path": "/health"}],
    "limits": {
        "max_header_bytes": _HEADER_LIMIT,
        "max_body_bytes": BODY_LIMIT,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    },
}
