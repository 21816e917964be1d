"""A soak with one request that repeatedly crashes every engine that runs it.

Several callers send it to any gateway, along with many other streams and one
harmless request that is repeated too.  The counts are taken from outside the
gateways: at the engines and at the callers.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import enum
import itertools
import pathlib
import random
import re
import socket
import struct
import time

import trio

from soak.gateway_faults import GatewayFault
from soak.gateway_faults import inject_gateway_fault
from soak.gateways import GatewayProcess
from soak.play import Soak
from soak.targets import Ledger
from soak.targets import Target

__all__ = [
    "CrashSoak",
    "CrashingEngine",
    "EngineCrash",
    "EngineFault",
    "Reply",
]

_ENGINES = 9
_GATEWAYS = 4
# Numbers of callers that send the crashing request, that repeat the harmless
# request, and that send distinct requests.
_CRASHING_CALLERS = 2
_REPEATING_CALLERS = 6
_OTHER_CALLERS = 10
# Mean pause of a caller between two requests, in seconds.
_REQUEST_INTERVAL = 0.4
# Seconds from the start of the crashing request until its engine crashes.
_CRASH_DELAY = 0.1
# Seconds until a crashed engine serves again.
_RESTART_DELAY = 2.5
# Seconds after which a caller abandons a request.
_CALLER_TIMEOUT = 8.0
# Value of SO_LINGER that makes `close` reset the connection.
_RESET = struct.pack("ii", 1, 0)
CRASHING = "/stream/crash"
REPEATED = "/stream/again"


class EngineFault(enum.StrEnum):
    """The behaviour at the address of a crashed engine until its restart."""

    REFUSES = "its instance refuses connections"
    RESETS = "each connection is reset"
    SILENT = "connections are taken and nothing is answered"


@dataclass(frozen=True)
class EngineCrash:
    """The crash of one engine, by the monotonic clock."""

    engine: str
    at: float


@dataclass(frozen=True)
class Reply:
    """The outcome of one stream for its caller, and when it was sent."""

    path: str
    sent_at: float
    status: int
    complete: bool


class CrashingEngine(Target):
    """An engine that a request can crash; it restarts without state.

    :param notify: called with the engine's name when it crashes.
    :param announce: writes the engine's entry after each start.
    :param fault: the behaviour at its address until its restart.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        notify: Callable[[str], None],
        announce: Callable[["CrashingEngine"], Awaitable[None]],
        fault: EngineFault,
    ) -> None:
        super().__init__(name, ledger, 1)
        self._fault = fault
        self._notify = notify
        self._announce = announce
        self._started_at_ms = 0
        self._scope = trio.CancelScope()
        self._socket: trio.socket.SocketType | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve, crash and restart until cancelled."""
        while True:
            listeners = await self._listen()
            self.port = listeners[0].socket.getsockname()[1]
            self._started_at_ms = time.time_ns() // 1_000_000
            await self._announce(self)
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            with trio.CancelScope() as self._scope:
                await trio.serve_listeners(self._serve, listeners)
            with trio.move_on_after(_RESTART_DELAY):
                await self._simulate_outage()

    def describe(self) -> dict[str, object]:
        """Return the start time, for the engine's entry and its reports."""
        return {"born": self._started_at_ms}

    async def _listen(self) -> list[trio.SocketListener]:
        """Listen at the same port after each start.

        Unless the fault is to refuse connections, the socket never stops
        listening: otherwise a connection attempt in between would be refused
        and reveal the crash.
        """
        if self._socket is not None:
            return [trio.SocketListener(self._socket.dup())]
        listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        if self._fault is not EngineFault.REFUSES:
            self._socket = listeners[0].socket.dup()
        return listeners

    async def _simulate_outage(self) -> None:
        """Behave as a crashed engine until cancelled."""
        if self._fault is EngineFault.REFUSES:
            await trio.sleep_forever()
        await trio.serve_listeners(self._reject, await self._listen())

    async def _reject(self, stream: trio.SocketStream) -> None:
        """Reset a connection, or leave it unanswered."""
        if self._fault is EngineFault.SILENT:
            await trio.sleep_forever()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        await trio.aclose_forcefully(stream)

    def _is_crashed_by(self, headers: dict[str, str], path: str) -> bool:
        """Return whether a request crashes this engine."""
        return path == CRASHING

    async def _write_stream(self, answer, headers, path) -> None:
        if not self._is_crashed_by(headers, path):
            await super()._write_stream(answer, headers, path)
            return
        request = headers["x-request-id"]
        self._ledger.runs[request].append(self.name)
        await answer.start(
            200, {"x-response-stamp": "s", "x-request-id": request}
        )
        await trio.sleep(_CRASH_DELAY)
        self._notify(self.name)
        self._scope.cancel()
        await trio.sleep_forever()


class CrashSoak(Soak):
    """A soak with engines that one request crashes.

    :param engine_crashes: the crashes of engines, in order.
    :param replies: the outcomes of all other streams.
    """

    def __init__(
        self,
        seed: int,
        gateway_fault: GatewayFault,
        folder: pathlib.Path,
        engine_fault: EngineFault = EngineFault.REFUSES,
    ) -> None:
        super().__init__(seed, _GATEWAYS, folder)
        self.engine_crashes: list[EngineCrash] = []
        self.replies: list[Reply] = []
        self._gateway_fault = gateway_fault
        self._callers_rng = random.Random(seed)
        self._numbers = itertools.count()
        self._targets = {
            f"llm-{n}": self._make_engine(f"llm-{n}", engine_fault)
            for n in range(_ENGINES)
        }

    def _make_engine(self, name: str, fault: EngineFault) -> CrashingEngine:
        return CrashingEngine(
            name, self._ledger, self._record_crash, self._announce, fault
        )

    def list_late_runs(self, after: float) -> list[float]:
        """Return the times of crashes after a period from the third crash.

        Each run of the crashing request crashes its engine, so the number of
        crashes is the number of its runs.

        :param after: seconds from the third crash.
        """
        if len(self.engine_crashes) < 3:
            return []
        limit = self.engine_crashes[2].at + after
        return [crash.at for crash in self.engine_crashes if crash.at > limit]

    def measure_served(self, paths: Sequence[str], last: float) -> float:
        """Return the share of streams that received a complete answer.

        :param paths: prefixes of the paths of the streams that count.
        :param last: seconds before the last request from which streams count.
        """
        end = max(reply.sent_at for reply in self.replies)
        served = [
            reply.status == 200 and reply.complete
            for reply in self.replies
            if reply.sent_at >= end - last
            and reply.path.startswith(tuple(paths))
        ]
        return sum(served) / max(1, len(served))

    async def _start_dependencies(self, nursery: trio.Nursery) -> None:
        await self._start_store(nursery)
        for engine in self._targets.values():
            await nursery.start(engine.run)
        await self._write_configuration()

    async def _announce(self, engine: CrashingEngine) -> None:
        await self._write(
            f"servers/{engine.name}",
            {
                "service": "llm",
                "address": f"127.0.0.1:{engine.port}",
                "zone": "a",
                "state": "ready",
                "slots": 96,
                "kind": "big",
                "layers": {"from": 0, "to": 80, "version": 1},
                **engine.describe(),
            },
        )

    def _record_crash(self, name: str) -> None:
        self.engine_crashes.append(EngineCrash(name, time.monotonic()))

    async def _inject_faults(self, seconds: float) -> None:
        callers = {
            CRASHING: _CRASHING_CALLERS,
            REPEATED: _REPEATING_CALLERS,
            "": _OTHER_CALLERS,
        }
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    inject_gateway_fault, self._gateways, self._gateway_fault
                )
                for path, count in callers.items():
                    for _ in range(count):
                        nursery.start_soon(self._call, path)

    async def _check_recovery(self) -> None:
        """Skip the check: no fault outlasts the run."""

    async def _call(self, path: str) -> None:
        """Send the same request, or distinct ones if `path` is empty."""
        while True:
            await trio.sleep(
                _REQUEST_INTERVAL * self._callers_rng.uniform(0.5, 1.5)
            )
            sent_at = time.monotonic()
            request_path = path or f"/stream/own-{next(self._numbers)}"
            gateway = self._callers_rng.choice(self._gateways)
            status, complete = 0, False
            with trio.move_on_after(_CALLER_TIMEOUT):
                status, complete = await self._send_request(
                    gateway, request_path
                )
            if request_path != CRASHING:
                self.replies.append(
                    Reply(request_path, sent_at, status, complete)
                )

    async def _send_request(
        self, gateway: GatewayProcess, path: str, parts: str = ""
    ) -> tuple[int, bool]:
        request = f"stream-{next(self._numbers)}"
        body = path.encode()
        head = (
            f"POST {path} HTTP/1.1\r\nhost: soak\r\nx-request-id: {request}"
            f"\r\nx-prefix-hash: {parts}"
            "\r\nx-deadline-ms: 6000\r\nconnection: close\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        data = b""
        try:
            stream = await self._connect(gateway)
            async with stream:
                await stream.send_all(head.encode() + body)
                while chunk := await stream.receive_some():
                    data += chunk
        except (OSError, trio.BrokenResourceError):
            # The gateway is down, or was killed during the answer.
            pass
        status_line = re.match(rb"HTTP/1.1 (\d+)", data)
        return int(status_line[1]) if status_line else 0, data.endswith(
            b"0\r\n\r\n"
        )

    async def _connect(self, gateway: GatewayProcess) -> trio.SocketStream:
        """Connect to a gateway, or to another one if it is down."""
        others = [other for other in self._gateways if other is not gateway]
        for candidate in (
            gateway,
            *self._callers_rng.sample(others, len(others)),
        ):
            try:
                return await trio.open_tcp_stream(
                    candidate.host, candidate.callers_port
                )
            except OSError:
                # This gateway was killed and has not restarted yet.
                continue
        raise OSError("no gateway accepts connections")
