"""Callers of the soak: they send requests and check the promises.

Whatever fails, a success is whole and the caller's own, a stream's events
come in order and once, and what was refused as not run never ran.
"""

from collections import Counter
from dataclasses import dataclass
import itertools
import random

import h11
import trio

from soak.gateways import GatewayProcess
from soak.targets import Ledger
from soak.targets import count_events
from soak.targets import make_body
from soak.targets import make_event

__all__ = ["KINDS", "Callers", "Reply"]

# Kinds of requests: the path of their route and their method.
KINDS = {
    "idempotent": ("/get/", "GET"),
    "once": ("/post/", "POST"),
    "stream": ("/stream/", "POST"),
}
_PATIENCE_MS = 6000
_READ_TIMEOUT = 9.0
# Statuses that promise that the request has not run and never will.
_NOT_RUN = (408, 421, 429, 503)
_KEPT_PART = 0.7


@dataclass(frozen=True)
class Reply:
    """What a caller saw of one request.

    :param status: 0 when the connection broke before any.
    :param whole: whether the answer came to its proper end.
    """

    kind: str
    request: str
    status: int
    body: bytes = b""
    whole: bool = False


class Callers:
    """Sends requests to all gateways and keeps what went wrong.

    :param broken: one line for each promise that was broken.
    :param seen: how often each kind of request ended how.
    :param sent_to: the gateway that each request was sent to.
    """

    def __init__(
        self, gateways: list[GatewayProcess], ledger: Ledger, seed: int
    ) -> None:
        self.broken: list[str] = []
        self.seen: Counter[tuple[str, int]] = Counter()
        self.sent_to: dict[str, str] = {}
        self._gateways = gateways
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._refused: list[Reply] = []

    async def run(self) -> None:
        """Send requests one after the other until cancelled."""
        while True:
            gateway = self._rng.choice(self._gateways)
            try:
                await self._use_connection(gateway)
            except (OSError, trio.BrokenResourceError):
                # The gateway is down: another one is tried.
                await trio.sleep(0.05)

    async def ask(self, gateway: GatewayProcess, kind: str) -> Reply:
        """Send one request on a new connection.

        :param kind: one of KINDS, or the path of an idempotent route.
        """
        stream = await trio.open_tcp_stream(gateway.host, gateway.callers_port)
        parser = h11.Connection(h11.CLIENT)
        try:
            return await self._exchange(gateway, stream, parser, kind)
        finally:
            await trio.aclose_forcefully(stream)

    def check_refused(self) -> None:
        """Check that nothing ran that was said not to have run."""
        for reply in self._refused:
            runs = self._ledger.runs.get(reply.request)
            if reply.kind == "once" and runs:
                self.broken.append(
                    f"{reply.request} ran on {runs} and was refused with "
                    f"{reply.status}"
                )

    def check_runs(self) -> None:
        """Check that what may not be repeated ran once at most."""
        for request, runs in self._ledger.runs.items():
            if request.startswith("once") and len(runs) > 1:
                self.broken.append(f"{request} ran more than once: {runs}")

    async def _use_connection(self, gateway: GatewayProcess) -> None:
        stream = await trio.open_tcp_stream(gateway.host, gateway.callers_port)
        parser = h11.Connection(h11.CLIENT)
        try:
            while True:
                kind = self._rng.choice(tuple(KINDS))
                reply = await self._exchange(gateway, stream, parser, kind)
                kept = self._rng.random() < _KEPT_PART
                if not reply.whole or parser.our_state is not h11.DONE:
                    return
                if not kept or parser.their_state is not h11.DONE:
                    return
                parser.start_next_cycle()
        finally:
            await trio.aclose_forcefully(stream)

    async def _exchange(
        self,
        gateway: GatewayProcess,
        stream: trio.SocketStream,
        parser: h11.Connection,
        kind: str,
    ) -> Reply:
        request = f"{kind.strip('/')}-{next(self._numbers)}"
        self.sent_to[request] = gateway.name
        path, method = KINDS.get(kind, (kind, "GET"))
        body = b"bid" if method == "POST" else b""
        head = h11.Request(
            method=method,
            target=f"{path}{request}",
            headers=[
                ("host", "soak"),
                ("x-request-id", request),
                ("x-deadline-ms", str(_PATIENCE_MS)),
                ("content-length", str(len(body))),
            ],
        )
        parts = [parser.send(head) or b""]
        if body:
            parts.append(parser.send(h11.Data(data=body)) or b"")
        parts.append(parser.send(h11.EndOfMessage()) or b"")
        await stream.send_all(b"".join(parts))
        reply = Reply(kind, request, 0)
        with trio.move_on_after(_READ_TIMEOUT):
            reply = await self._read(stream, parser, reply)
        self._check(reply)
        return reply

    async def _read(
        self, stream: trio.SocketStream, parser: h11.Connection, reply: Reply
    ) -> Reply:
        status, body, whole = 0, b"", False
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    whole = True
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            # The gateway was killed in the middle: not whole, then.
            pass
        return Reply(reply.kind, reply.request, status, body, whole)

    def _check(self, reply: Reply) -> None:
        self.seen[(reply.kind, reply.status if reply.whole else 0)] += 1
        if reply.status == 200:
            self._check_success(reply)
        elif reply.whole and reply.status in _NOT_RUN:
            self._refused.append(reply)

    def _check_success(self, reply: Reply) -> None:
        if reply.kind == "stream":
            right = b"".join(
                make_event(reply.request, number)
                for number in range(1, count_events(reply.request) + 1)
            )
        else:
            right = make_body(reply.request)
        if reply.whole and reply.body != right:
            self.broken.append(
                f"{reply.request} got a whole answer that is not its own: "
                f"{reply.body[-200:]!r}"
            )
        elif not right.startswith(reply.body):
            self.broken.append(
                f"{reply.request} got a part that is not its own: "
                f"{reply.body[-200:]!r}"
            )
