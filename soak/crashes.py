"""One request that ends each engine that begins to run it, again and again.

It comes from several callers at any gateway, beside many other streams and
one harmless request that comes as often.  What is counted is what engines
and callers see from outside.
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

from soak.endings import GatewayEnds
from soak.endings import end_gateways
from soak.gateways import GatewayProcess
from soak.play import Soak
from soak.targets import Ledger
from soak.targets import Target

__all__ = ["CrashPlay", "EngineEnds", "Ending", "Reply"]

_ENGINES = 9
_GATEWAYS = 4
# Callers of the request that ends engines, of the harmless one that is
# repeated, and of requests that differ.
_CRASHING_CALLERS = 2
_REPEATING_CALLERS = 6
_OTHER_CALLERS = 10
_ASK_EVERY = 0.4
# An engine ends so long after it began, and is back after so long, seconds.
_ENDS_AFTER = 0.1
_BACK_AFTER = 2.5
_GIVE_UP = 8.0
# Closing a connection resets it instead of ending it in order.
_RESET = struct.pack("ii", 1, 0)
CRASHING = "/stream/crash"
REPEATED = "/stream/again"


class EngineEnds(enum.StrEnum):
    """What callers of an engine that ended meet until it is back."""

    REFUSES = "its instance refuses connections"
    RESETS = "each connection is reset"
    SILENT = "connections are taken and nothing is answered"


@dataclass(frozen=True)
class Ending:
    """One engine that ended, by the monotonic clock."""

    engine: str
    at: float


@dataclass(frozen=True)
class Reply:
    """How one stream ended for its caller, and when it was sent."""

    path: str
    sent_at: float
    status: int
    whole: bool


class EndingEngine(Target):
    """An engine that a request can end; it comes back empty-handed.

    :param note: called with the engine's name as it ends.
    :param announce: writes its entry after each start.
    :param ends: what is met at its address meanwhile.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        note: Callable[[str], None],
        announce: Callable[["EndingEngine"], Awaitable[None]],
        ends: EngineEnds,
    ) -> None:
        super().__init__(name, ledger, 1)
        self._ends = ends
        self._note = note
        self._announce = announce
        self._born = 0
        self._life = trio.CancelScope()
        self._kept: trio.socket.SocketType | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve, end and come back until cancelled."""
        while True:
            listeners = await self._listen()
            self.port = listeners[0].socket.getsockname()[1]
            self._born = time.time_ns() // 1_000_000
            await self._announce(self)
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            with trio.CancelScope() as self._life:
                await trio.serve_listeners(self._serve, listeners)
            with trio.move_on_after(_BACK_AFTER):
                await self._stay_ended()

    def describe(self) -> dict[str, object]:
        """Return when it started, as its entry and its reports tell it."""
        return {"born": self._born}

    async def _listen(self) -> list[trio.SocketListener]:
        """Listen at the same port each time.

        An engine that refuses nothing while it is away never stops listening,
        else a connection that comes in between would find out that it ended.
        """
        if self._kept is not None:
            return [trio.SocketListener(self._kept.dup())]
        found = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        if self._ends is not EngineEnds.REFUSES:
            self._kept = found[0].socket.dup()
        return found

    async def _stay_ended(self) -> None:
        """Serve nobody until cancelled."""
        if self._ends is EngineEnds.REFUSES:
            await trio.sleep_forever()
        await trio.serve_listeners(self._spurn, await self._listen())

    async def _spurn(self, stream: trio.SocketStream) -> None:
        """Reset a connection, or leave it without an answer."""
        if self._ends is EngineEnds.SILENT:
            await trio.sleep_forever()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        await trio.aclose_forcefully(stream)

    async def _write_stream(self, answer, headers, path) -> None:
        if path != CRASHING:
            await super()._write_stream(answer, headers, path)
            return
        request = headers["x-request-id"]
        self._ledger.runs[request].append(self.name)
        await answer.start(
            200, {"x-response-stamp": "s", "x-request-id": request}
        )
        await trio.sleep(_ENDS_AFTER)
        self._note(self.name)
        self._life.cancel()
        await trio.sleep_forever()


class CrashPlay(Soak):
    """A play of gateways before engines that one request ends.

    :param endings: the engines that ended, in order.
    :param replies: how the other streams ended.
    """

    def __init__(
        self,
        seed: int,
        ends: GatewayEnds,
        folder: pathlib.Path,
        engine_ends: EngineEnds = EngineEnds.REFUSES,
    ) -> None:
        super().__init__(seed, _GATEWAYS, folder)
        self.endings: list[Ending] = []
        self.replies: list[Reply] = []
        self._ends = ends
        self._callers_rng = random.Random(seed)
        self._numbers = itertools.count()
        self._targets = {
            f"llm-{n}": EndingEngine(
                f"llm-{n}",
                self._ledger,
                self._note_end,
                self._announce,
                engine_ends,
            )
            for n in range(_ENGINES)
        }

    def list_late_runs(self, after: float) -> list[float]:
        """Return when engines were ended later than so long after the third.

        Each run of the request ends its engine, so ends count its runs.
        """
        if len(self.endings) < 3:
            return []
        limit = self.endings[2].at + after
        return [one.at for one in self.endings if one.at > limit]

    def measure_served(self, paths: Sequence[str], last: float) -> float:
        """Return the share of streams that were answered in full.

        :param paths: how their paths begin.
        :param last: of those sent in the last so many seconds.
        """
        end = max(reply.sent_at for reply in self.replies)
        found = [
            reply.status == 200 and reply.whole
            for reply in self.replies
            if reply.sent_at >= end - last
            and reply.path.startswith(tuple(paths))
        ]
        return sum(found) / max(1, len(found))

    async def _start_outside(self, nursery: trio.Nursery) -> None:
        await self._start_store(nursery)
        for engine in self._targets.values():
            await nursery.start(engine.run)
        await self._write_configuration()

    async def _announce(self, engine: EndingEngine) -> None:
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

    def _note_end(self, name: str) -> None:
        self.endings.append(Ending(name, time.monotonic()))

    async def _spoil(self, seconds: float) -> None:
        callers = {
            CRASHING: _CRASHING_CALLERS,
            REPEATED: _REPEATING_CALLERS,
            "": _OTHER_CALLERS,
        }
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(end_gateways, self._gateways, self._ends)
                for path, count in callers.items():
                    for _ in range(count):
                        nursery.start_soon(self._call, path)

    async def _check_recovery(self) -> None:
        """Nothing is left to recover from."""

    async def _call(self, path: str) -> None:
        """Send the same request, or ever new ones, until cancelled."""
        while True:
            await trio.sleep(_ASK_EVERY * self._callers_rng.uniform(0.5, 1.5))
            sent_at = time.monotonic()
            own = path or f"/stream/own-{next(self._numbers)}"
            gateway = self._callers_rng.choice(self._gateways)
            status, whole = 0, False
            with trio.move_on_after(_GIVE_UP):
                status, whole = await self._ask(gateway, own)
            if own != CRASHING:
                self.replies.append(Reply(own, sent_at, status, whole))

    async def _ask(
        self, gateway: GatewayProcess, path: str
    ) -> tuple[int, bool]:
        request = f"stream-{next(self._numbers)}"
        body = path.encode()
        head = (
            f"POST {path} HTTP/1.1\r\nhost: soak\r\nx-request-id: {request}"
            "\r\nx-deadline-ms: 6000\r\nconnection: close\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        data = b""
        try:
            stream = await self._connect(gateway)
            async with stream:
                await stream.send_all(head.encode() + body)
                while part := await stream.receive_some():
                    data += part
        except (OSError, trio.BrokenResourceError):
            # The gateway is down, or was killed in the middle.
            pass
        status = re.match(rb"HTTP/1.1 (\d+)", data)
        return int(status[1]) if status else 0, data.endswith(b"0\r\n\r\n")

    async def _connect(self, gateway: GatewayProcess) -> trio.SocketStream:
        """Return a connection to a gateway, or to another if it is down."""
        others = [one for one in self._gateways if one is not gateway]
        for one in (gateway, *self._callers_rng.sample(others, len(others))):
            try:
                return await trio.open_tcp_stream(one.host, one.callers_port)
            except OSError:
                # It was killed and has not started again yet.
                continue
        raise OSError("no gateway listens")
