"""Callers' connections: reading requests and writing answers.

The server of the metrics, hypercorn, closes a connection without reporting
whether a request on it was already accepted, and reports that a caller
disconnected only between two reads of a body.  The gateway needs to know both,
so it uses hypercorn's parser, h11, directly.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
import socket

import h11
import trio

from magnoliacove.bodies import Body
from magnoliacove.bodies import Buffer
from magnoliacove.bodies import encode_body
from magnoliacove.configuration.routes import CallerLimits
from magnoliacove.connection_ends import reset_on_close
from magnoliacove.gateway.discarding import Discarder
from magnoliacove.gateway.request_reader import ReadError
from magnoliacove.gateway.request_reader import Request
from magnoliacove.gateway.request_reader import RequestReader
from magnoliacove.limits.caller_memory import IDLE_CONNECTION_BYTES
from magnoliacove.limits.caller_memory import NO_MEMORY_RETRY
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.caller_memory import Use

__all__ = [
    "CallerConnection",
    "CallerLeftError",
    "CallerResources",
    "Exchange",
]

Headers = Sequence[tuple[bytes, bytes]]

# Maximum number of bytes of one write of a long answer, so that the gateway
# notices whether its caller continues to read.
_WRITE_SIZE = 16384
# Seconds that a write to a caller may take before the connection counts as
# broken.
_WRITE_TIMEOUT = 10.0
# Milliseconds that sent data may stay unacknowledged before the connection
# breaks.
_UNACKNOWLEDGED_TIMEOUT_MS = 5000
_CONTINUE_STATUS = 100
_FIRST_CHUNKED_VERSION = b"1.1"


class CallerLeftError(Exception):
    """The caller closed its connection or stopped reading."""


class Exchange:
    """A request and its answer.

    :param reset_on_close: chooses whether the connection is reset when it
        closes.
    :param status: the status of the answer, 0 before it has been started.
    :param ended: whether the whole answer has been sent.
    :param caller_left: whether the caller closed the connection, or stopped
        reading, before that.
    :param late: whether it was sent on a connection that should have closed
        before; it gets a refusal as the last answer.
    """

    def __init__(
        self,
        request: Request,
        parser: h11.Connection,
        send: Callable[[Sequence[Buffer]], Awaitable[None]],
        must_close: Callable[[], bool],
        reset_on_close: Callable[[bool], None],
        *,
        late: bool = False,
    ) -> None:
        self.request = request
        self.late = late
        self.status = 0
        self.ended = False
        self.caller_left = False
        self._parser = parser
        self._send = send
        self._must_close = must_close
        self._reset_on_close = reset_on_close
        self._written_at = request.arrived

    @property
    def _ends_by_close(self) -> bool:
        """Whether the caller supports no chunks.

        It takes the end of the connection for that of an answer without a
        length, also when the answer is cut or this process is lost.
        """
        version = self._parser.their_http_version or b""
        return version < _FIRST_CHUNKED_VERSION

    @property
    def started(self) -> bool:
        """Whether the answer has been started."""
        return self.status > 0

    def read_silence(self) -> float:
        """Return the seconds since a part of the body was last sent.

        :returns: the seconds since the request arrived before the first part.
        """
        return trio.current_time() - self._written_at

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers.

        This and the other methods that send raise :class:`CallerLeftError`
        when the caller can no longer be reached.
        """
        head = self._write_head(status, headers)
        if self._ends_by_close:
            self._reset_on_close(True)
        await self._send_part(head)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send_part(self._parser.send(h11.Data(data=data)) or b"")
        self._written_at = trio.current_time()

    async def end(self) -> None:
        """Send the end of the body, which marks the answer as complete."""
        await self._send_part(self._parser.send(h11.EndOfMessage()) or b"")
        if self._ends_by_close:
            self._reset_on_close(False)
        self.ended = True

    async def answer(
        self, status: int, headers: Headers, body: bytes | Body
    ) -> None:
        """Send a whole answer."""
        kept = [(n, v) for n, v in headers if n != b"content-length"]
        length = (b"content-length", b"%d" % len(body))
        parts: list[Buffer] = [self._write_head(status, [*kept, length])]
        if self.request.method != b"HEAD":
            parts += encode_body(self._parser, body)
        parts.append(self._parser.send(h11.EndOfMessage()) or b"")
        await self._send_part(*parts)
        self.ended = True

    async def _send_part(self, *parts: Buffer) -> None:
        try:
            await self._send(parts)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self.caller_left = True
            raise CallerLeftError from exc

    def _write_head(self, status: int, headers: Headers) -> bytes:
        self.status = status
        extra = [(b"connection", b"close")] if self._must_close() else []
        response = h11.Response(
            status_code=status,
            headers=[*headers, *extra],
            reason=_find_reason(status),
        )
        return self._parser.send(response) or b""


Handler = Callable[[Exchange], Awaitable[None]]


def _ignore(kind: str, *, why: str) -> None:
    """Record nothing."""


@dataclass
class CallerResources:
    """What the connections of all callers share.

    :param decode_lock: held while a part of a chunked body is decoded.
    :param record: records an event.
    """

    memory: CallerMemory = field(default_factory=CallerMemory)
    decode_lock: trio.Lock = field(default_factory=trio.Lock)
    discarder: Discarder = field(default_factory=Discarder)
    record: Callable[..., object] = _ignore


class CallerConnection:
    """Serves the requests on one caller's connection in sequence.

    :param read_limits: returns the limits in force.
    :param handle: answers one request; cancelled when the caller disconnects.
    :param is_leaving: returns whether this process is about to stop.
    :param is_closing: returns whether a request that arrives now could no
        longer be answered before the process stops.
    :param resources: shared by all connections.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        read_limits: Callable[[], CallerLimits],
        handle: Handler,
        is_leaving: Callable[[], bool],
        is_closing: Callable[[], bool] = lambda: False,
        resources: CallerResources | None = None,
    ) -> None:
        self._stream = stream
        self._read_limits = read_limits
        self._handle = handle
        self._is_leaving = is_leaving
        self._is_closing = is_closing
        self._resources = resources or CallerResources()
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=read_limits().header_bytes,
        )
        self._late = False
        self._allocation: Allocation
        self._reader: RequestReader | None = None

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if self._reader is not None:
            self._reader.stop_waiting()

    async def run(self) -> None:
        """Serve until the caller or this process closes the connection."""
        try:
            with self._resources.memory.open_connection() as allocation:
                if allocation is None:
                    self._record_refusal("too many connections are in use")
                    return
                await self._run(allocation)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller disconnected, so the error cannot be reported to it.
            pass
        finally:
            with trio.CancelScope(shield=True, deadline=0):
                await trio.aclose_forcefully(self._stream)

    async def _run(self, allocation: Allocation) -> None:
        self._stream.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_TIMEOUT_MS,
        )
        self._allocation = allocation
        reader = self._reader = RequestReader(
            self._stream,
            self._parser,
            allocation,
            self._resources.decode_lock,
            self._send_continue,
        )
        while await self._serve_request(reader):
            continue

    async def _serve_request(self, reader: RequestReader) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await reader.read(self._read_limits())
        except h11.RemoteProtocolError as exc:
            await self._refuse(exc.error_status_hint, str(exc))
            return False
        except ReadError as exc:
            await self._refuse(exc.status, str(exc))
            return False
        if request is None:
            return False
        exchange = Exchange(
            request,
            self._parser,
            self._write,
            lambda: self._must_close(request, reader),
            self._reset_on_close,
            late=self._late,
        )
        if not await self._answer(exchange, reader):
            return False
        if self._parser.our_state is not h11.DONE:
            await self._linger()
            return False
        if self._is_closing() and not reader.has_unread:
            # An answer that began before the stop did not announce that the
            # connection would close.  The caller's next request follows at
            # once, and would be cut off in the middle at the end of the grace
            # period.  On a closed connection the caller uses another gateway.
            await self._linger(for_requests=False)
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        # The next request was read along with this one.
        self._late = self._is_closing()
        self._parser.start_next_cycle()
        return True

    def _must_close(self, request: Request, reader: RequestReader) -> bool:
        """Return whether the answer to a request is the connection's last."""
        if self._late or self._is_leaving() or request.refusal is not None:
            return True
        # With further requests behind each answer it would never be idle, and
        # keep its memory from others for as long as its caller likes.
        return reader.has_unread and self._resources.memory.is_short()

    def _reset_on_close(self, enabled: bool) -> None:
        reset_on_close(self._stream.socket, enabled=enabled)

    async def _answer(self, exchange: Exchange, reader: RequestReader) -> bool:
        """Call the handler; return whether it sent a complete answer."""

        async def watch(scope: trio.CancelScope) -> None:
            await reader.wait_disconnect()
            exchange.caller_left = True
            scope.cancel()

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch, nursery.cancel_scope)
                # A write may detect first that the caller disconnected.
                with contextlib.suppress(CallerLeftError):
                    await self._handle(exchange)
                nursery.cancel_scope.cancel()
        finally:
            exchange.request.body.clear()
        if exchange.caller_left:
            return False
        return self._parser.our_state in (h11.DONE, h11.MUST_CLOSE)

    async def _send_continue(self) -> None:
        response = h11.InformationalResponse(
            status_code=_CONTINUE_STATUS, headers=[]
        )
        await self._write([self._parser.send(response) or b""])

    async def _write(self, parts: Sequence[Buffer]) -> None:
        deadline = trio.current_time() + _WRITE_TIMEOUT
        for piece in _split(parts):
            await self._write_piece(piece, deadline - trio.current_time())

    async def _write_piece(self, piece: Buffer, timeout: float) -> None:
        with self._allocation.evictable(Use.WRITING, timeout) as block:
            await self._stream.send_all(piece)
        if not block.cancelled_caught:
            return
        if block.evicted:
            self._record_refusal("the answer was not read, memory is short")
            raise trio.BrokenResourceError("others need the answer's memory")
        raise trio.BrokenResourceError("the write to the caller timed out")

    async def _refuse(self, status: int, why: str) -> None:
        """Answer an invalid request and close the connection."""
        self._record_refusal(f"{status}: {why}")
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b"retry-after", b"%.2f" % NO_MEMORY_RETRY))
        response = h11.Response(
            status_code=status, headers=headers, reason=_find_reason(status)
        )
        data = self._parser.send(response) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        await self._write([data])
        await self._linger()

    def _record_refusal(self, why: str) -> None:
        self._resources.record("caller-refused", why=why)

    async def _linger(self, *, for_requests: bool = True) -> None:
        """Close our end and read on briefly.

        :param for_requests: whether to read on after the caller sent more.
            A request that was sent as our end closed would be read, have no
            answer, and keep its caller waiting.
        """
        self._allocation.shrink(IDLE_CONNECTION_BYTES)
        with self._allocation.evictable(Use.CLOSING):
            await self._resources.discarder.discard(
                self._stream, until_data=not for_requests
            )


def _split(parts: Sequence[Buffer]) -> Iterator[Buffer]:
    """Return the same bytes in pieces that are written one after another."""
    if sum(map(len, parts)) <= _WRITE_SIZE:
        yield b"".join(parts)
        return
    for part in parts:
        view = memoryview(part)
        for begin in range(0, len(view), _WRITE_SIZE):
            yield view[begin : begin + _WRITE_SIZE]


def _find_reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
