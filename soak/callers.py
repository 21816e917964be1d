"""Callers that send requests and check the promises of the gateways.

Whatever fails, a successful answer is complete and belongs to its request, a
stream's events arrive in order and exactly once, and a request that was
refused as not run has never run.
"""

from collections import Counter
from dataclasses import dataclass
import itertools
import random

import h11
import trio

from soak.gateways import GatewayProcess
from soak.losses import Exchange
from soak.targets import Ledger
from soak.targets import count_events
from soak.targets import make_body
from soak.targets import make_event

__all__ = ["KINDS", "Callers", "Reply"]

# Kinds of requests: the path prefix of their route and their method.
KINDS = {
    "idempotent": ("/get/", "GET"),
    "once": ("/post/", "POST"),
    "stream": ("/stream/", "POST"),
}
# Seconds that callers announce as the time limit of a request.
_TIME_LIMIT = 6.0
# Seconds beyond it to wait for the end of an answer.
_READ_MARGIN = 3.0
# Statuses which promise that the request has not run and never will.
_NOT_RUN = (408, 421, 429, 503)
# Share of the connections that are kept open after an answer.
_KEEP_ALIVE_SHARE = 0.7
_READ_SIZE = 65536


@dataclass(frozen=True)
class Reply:
    """The outcome of one request for its caller.

    :param status: 0 if the connection broke before the response head.
    :param complete: whether the answer ended properly.
    """

    kind: str
    request: str
    status: int
    body: bytes = b""
    complete: bool = False


class Callers:
    """Sends requests to all gateways and records violations.

    :param violations: one line for each broken promise.
    :param outcomes: number of requests by kind and status, 0 for incomplete.
    :param sent_to: the gateway that each request was sent to.
    :param exchanges: the requests that were sent as a whole and have ended.
    :param time_limit: seconds that callers announce for each request.
    :param keep_alive_share: share of the connections that are used again.
    """

    def __init__(
        self,
        gateways: list[GatewayProcess],
        ledger: Ledger,
        seed: int,
        time_limit: float = _TIME_LIMIT,
        keep_alive_share: float = _KEEP_ALIVE_SHARE,
    ) -> None:
        self.violations: list[str] = []
        self.outcomes: Counter[tuple[str, int]] = Counter()
        self.sent_to: dict[str, str] = {}
        self.exchanges: list[Exchange] = []
        self._time_limit = time_limit
        self._keep_alive_share = keep_alive_share
        self._gateways = gateways
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._refused: list[Reply] = []

    async def run(self) -> None:
        """Send requests in sequence until cancelled."""
        while True:
            gateway = self._rng.choice(self._gateways)
            try:
                await self._run_connection(gateway)
            except (OSError, trio.BrokenResourceError):
                # The gateway is down; try another one.
                await trio.sleep(0.05)

    async def send_request(self, gateway: GatewayProcess, kind: str) -> Reply:
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
        """Check that no request ran after it was refused as not run."""
        for reply in self._refused:
            runs = self._ledger.runs.get(reply.request)
            if reply.kind == "once" and runs:
                self.violations.append(
                    f"{reply.request} ran on {runs} and was refused with "
                    f"{reply.status}"
                )

    def check_runs(self) -> None:
        """Check that non-idempotent requests ran at most once."""
        for request, runs in self._ledger.runs.items():
            if request.startswith("once") and len(runs) > 1:
                self.violations.append(f"{request} ran more than once: {runs}")

    async def _run_connection(self, gateway: GatewayProcess) -> None:
        stream = await trio.open_tcp_stream(gateway.host, gateway.callers_port)
        parser = h11.Connection(h11.CLIENT)
        try:
            while True:
                kind = self._choose_kind()
                reply = await self._exchange(gateway, stream, parser, kind)
                await self._rest(reply)
                keep_alive = self._rng.random() < self._keep_alive_share
                if not reply.complete or parser.our_state is not h11.DONE:
                    return
                if not keep_alive or parser.their_state is not h11.DONE:
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
                ("x-deadline-ms", str(int(self._time_limit * 1000))),
                ("content-length", str(len(body))),
            ],
        )
        chunks = [parser.send(head) or b""]
        if body:
            chunks.append(parser.send(h11.Data(data=body)) or b"")
        chunks.append(parser.send(h11.EndOfMessage()) or b"")
        begun_at = trio.current_time()
        await self._send(stream, b"".join(chunks))
        sent_at = trio.current_time()
        reply = Reply(kind, request, 0)
        with trio.move_on_after(self._time_limit + _READ_MARGIN):
            reply = await self._read(stream, parser, reply)
        self._check(reply)
        self.exchanges.append(
            Exchange(
                request,
                gateway.name,
                begun_at,
                sent_at,
                trio.current_time(),
                self._time_limit,
                reply.status,
                reply.complete,
            )
        )
        return reply

    def _choose_kind(self) -> str:
        """Return the kind of the next request."""
        return self._rng.choice(tuple(KINDS))

    async def _rest(self, reply: Reply) -> None:
        """Wait between a reply and the next request; these never wait."""

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        """Send the bytes of a request."""
        await stream.send_all(data)

    async def _receive(self, stream: trio.SocketStream) -> bytes:
        """Return the next bytes of an answer."""
        return bytes(await stream.receive_some(_READ_SIZE))

    async def _read(
        self, stream: trio.SocketStream, parser: h11.Connection, reply: Reply
    ) -> Reply:
        status, body, complete = 0, b"", False
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self._receive(stream))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    complete = True
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            # The gateway was killed during the answer, which is incomplete.
            pass
        return Reply(reply.kind, reply.request, status, body, complete)

    def _check(self, reply: Reply) -> None:
        self.outcomes[(reply.kind, reply.status if reply.complete else 0)] += 1
        if reply.status == 200:
            self._check_success(reply)
        elif reply.complete and reply.status in _NOT_RUN:
            self._refused.append(reply)

    def _check_success(self, reply: Reply) -> None:
        if reply.kind == "stream":
            expected = b"".join(
                make_event(reply.request, number)
                for number in range(1, count_events(reply.request) + 1)
            )
        else:
            expected = make_body(reply.request)
        if reply.complete and reply.body != expected:
            self.violations.append(
                f"{reply.request} got a complete answer to another request: "
                f"{reply.body[-200:]!r}"
            )
        elif not expected.startswith(reply.body):
            self.violations.append(
                f"{reply.request} got a partial answer to another request: "
                f"{reply.body[-200:]!r}"
            )
