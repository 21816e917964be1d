"""Reading of callers' requests from one connection.

h11 parses the heads and keeps the state of the connection.  The bytes of a
body are decoded here, as what follows a head costs h11 a copy for each read
and as much time for a chunk of one byte as for a long one.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
import re

import h11
import trio

from magnoliacove import errors
from magnoliacove.bodies import Body
from magnoliacove.configuration.routes import CallerLimits
from magnoliacove.gateway.chunks import ChunkDecoder
from magnoliacove.gateway.chunks import ChunkError
from magnoliacove.limits.caller_memory import ACTIVE_CONNECTION_BYTES
from magnoliacove.limits.caller_memory import IDLE_CONNECTION_BYTES
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import Use
from magnoliacove.limits.caller_memory import make_no_memory

__all__ = ["ReadError", "Request", "RequestReader"]

# Maximum number of bytes that one read of a connection returns.  They are
# decoded without a pause for other requests.
_READ_SIZE = 16384
# Bytes of further requests that are read while one is answered.
_MAX_PIPELINED = 16384
# Bytes of a body that an active connection holds in any case, and by which
# the memory for one of unknown length grows.
_SHORT_BODY = 16384
_BODY_STEP = 65536
# Bytes that one header of a request takes besides its own, here and in the
# request to the target.
_HEADER_BYTES = 512
# The end of a head, as h11 finds it.
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_TAIL_LENGTH = 2
# A whole chunked body for h11, in place of the one that is decoded here.
_EMPTY_CHUNKED_BODY = b"0\r\n\r\n"


class ReadError(Exception):
    """A request cannot be read.

    :param status: the status of the answer to it.
    """

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True)
class Request:
    """A request of a caller with its whole body.

    :param target: the path and the query, as sent.
    :param headers: names in lower case.
    :param body: empty if there is a refusal.
    :param arrived: when the head was complete, by trio's clock.
    :param refusal: why the body was not read.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: Body
    arrived: float
    refusal: errors.RequestError | None = None

    @property
    def host(self) -> str:
        """The value of the host header without a port."""
        value = dict(self.headers).get(b"host", b"").decode("latin-1")
        return value.rpartition(":")[0] if ":" in value else value

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class RequestReader:
    """Reads the requests of one connection.

    :param parser: keeps the state of the connection.
    :param allocation: the memory of the connection.
    :param decode_lock: held while a part of a chunked body is decoded, so that
        other requests wait for one part at most, however many bodies arrive.
    :param send_continue: tells the caller to send the body.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
        allocation: Allocation,
        decode_lock: trio.Lock,
        send_continue: Callable[[], Awaitable[None]],
    ) -> None:
        self._stream = stream
        self._parser = parser
        self._allocation = allocation
        self._decode_lock = decode_lock
        self._send_continue = send_continue
        # Bytes that were received and not parsed yet.
        self._unread = b""
        # The last bytes of the head that were given to the parser.
        self._head_tail = b""
        # While it waits for the first bytes of a request.
        self._idle_scope: trio.CancelScope | None = None

    @property
    def has_unread(self) -> bool:
        """Whether a part of a further request has been read."""
        return bool(self._unread)

    def stop_waiting(self) -> None:
        """Stop unless a request is being read or answered.

        Only the wait is cancelled.  Bytes that are read in the same moment
        are a request that is served: closed now, it would have no answer.
        """
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    async def wait_disconnect(self) -> None:
        """Return once the caller has closed its end of the connection."""
        while (free := _MAX_PIPELINED - len(self._unread)) > 0:
            try:
                data = await self._stream.receive_some(free)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            # A further request, sent without waiting for this answer.
            self._unread += data
            del data
        await trio.sleep_forever()

    async def read(self, limits: CallerLimits) -> Request | None:
        """Return the next request, or None at the end of the connection.

        A request for whose body there is no memory has a refusal.

        :raises ReadError: when it is invalid or too long.
        :raises h11.RemoteProtocolError: when its head is invalid.
        """
        allocation = self._allocation
        allocation.shrink(IDLE_CONNECTION_BYTES)
        if not await self._wait_begin(limits.idle_timeout):
            return None
        # Without waiting, in which more would arrive than is counted.
        if not allocation.try_resize(ACTIVE_CONNECTION_BYTES):
            raise ReadError(
                HTTPStatus.SERVICE_UNAVAILABLE, "no memory for a request"
            )
        head = await self._read_head(limits.header_timeout)
        if head is None:
            return None
        return await self._read_whole(head, limits)

    async def _wait_begin(self, timeout: float) -> bool:
        """Wait for the first bytes of a request; return whether any came."""
        if self._unread:
            return True
        with self._allocation.evictable(Use.IDLE, timeout) as block:
            self._idle_scope = block.scope
            try:
                self._unread = await self._receive()
            finally:
                self._idle_scope = None
        return bool(self._unread)

    async def _read_head(self, timeout: float) -> h11.Request | None:
        """Return the head, None if the caller is too slow or is gone.

        :raises ReadError: when others need its memory.
        """
        self._head_tail = b""
        self._feed_head(self._unread)
        event = self._parser.next_event()
        if event is h11.NEED_DATA:
            with self._allocation.evictable(Use.HEAD, timeout) as block:
                while event is h11.NEED_DATA:
                    self._feed_head(await self._receive())
                    event = self._parser.next_event()
            if block.evicted:
                raise ReadError(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    "others need the head's memory",
                )
        return event if isinstance(event, h11.Request) else None

    def _feed_head(self, data: bytes) -> None:
        """Give the parser what belongs to the head, and keep the rest."""
        tail = self._head_tail
        found = _HEAD_END.search(tail + data)
        end = found.end() - len(tail) if found else len(data)
        self._parser.receive_data(data[:end])
        self._head_tail = (tail + data[:end])[-_HEAD_TAIL_LENGTH:]
        self._unread = data[end:]

    async def _read_whole(
        self, head: h11.Request, limits: CallerLimits
    ) -> Request | None:
        """Return the request with its body, None if the body does not end."""
        arrived = trio.current_time()
        headers = tuple((bytes(n), bytes(v)) for n, v in head.headers)
        method, target = bytes(head.method), bytes(head.target)
        body, complete, refusal = Body(), False, None
        try:
            complete = await self._read_body(headers, body, limits)
        except _NoMemoryError:
            refusal = make_no_memory()
            self._allocation.shrink(IDLE_CONNECTION_BYTES)
        finally:
            if not complete:
                # An error refers to this frame, and may outlive it.
                body.clear()
        if not complete and refusal is None:
            return None
        return Request(method, target, headers, body, arrived, refusal)

    async def _read_body(
        self,
        headers: Sequence[tuple[bytes, bytes]],
        body: Body,
        limits: CallerLimits,
    ) -> bool:
        """Read a body; return whether its end came in time.

        :raises ReadError: when it is invalid or too long.
        :raises _NoMemoryError: when there is no memory for it.
        """
        fields = dict(headers)
        length = int(fields.get(b"content-length", b"0"))
        chunked = b"transfer-encoding" in fields
        if not chunked and length > limits.body_bytes:
            raise _make_too_large(limits)
        size = ACTIVE_CONNECTION_BYTES + _HEADER_BYTES * len(headers)
        announced = 0 if chunked else max(0, length - _SHORT_BODY)
        if not await self._allocation.resize(size + announced):
            raise _NoMemoryError
        if not chunked and length <= len(self._unread):
            await self._read_length(body, length)
            return True
        timeout = limits.idle_timeout
        with self._allocation.evictable(Use.BODY, timeout) as block:
            if self._parser.they_are_waiting_for_100_continue:
                await self._send_continue()
            if chunked:
                await self._read_chunks(body, size, limits)
            else:
                await self._read_length(body, length)
        if block.evicted and block.cancelled_caught:
            raise _NoMemoryError
        return not block.cancelled_caught

    async def _read_length(self, body: Body, length: int) -> None:
        self._skip_data()
        while len(body) < length:
            data = await self._read_part()
            rest = length - len(body)
            part, self._unread = data[:rest], data[rest:]
            body.append(part)
            self._parser.receive_data(part)
            self._skip_data()

    async def _read_chunks(
        self, body: Body, size: int, limits: CallerLimits
    ) -> None:
        """Read a chunked body.

        :param size: bytes of the allocation without the body.
        """
        decoder = ChunkDecoder(limits.header_bytes)
        reserved = _SHORT_BODY
        while not decoder.complete:
            data = await self._read_part()
            async with self._decode_lock:
                part = _decode(decoder, data)
            length = len(body) + len(part)
            if length > limits.body_bytes:
                raise _make_too_large(limits)
            if length > reserved:
                reserved += _BODY_STEP
                if not await self._allocation.resize(size + reserved):
                    raise _NoMemoryError
            body.append(part)
        self._unread = decoder.rest
        self._parser.receive_data(_EMPTY_CHUNKED_BODY)
        self._skip_data()

    def _skip_data(self) -> None:
        """Let the parser follow a body that is kept here."""
        while isinstance(self._parser.next_event(), h11.Data):
            continue

    async def _read_part(self) -> bytes:
        """Return the next bytes of a body.

        :raises ReadError: when the caller ended the connection.
        """
        data, self._unread = self._unread, b""
        data = data or await self._receive()
        if not data:
            raise ReadError(HTTPStatus.BAD_REQUEST, "the body is not complete")
        return data

    async def _receive(self) -> bytes:
        return bytes(await self._stream.receive_some(_READ_SIZE))


class _NoMemoryError(Exception):
    """There is no memory for a body, or others need it."""


def _make_too_large(limits: CallerLimits) -> ReadError:
    return ReadError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f"the body is over {limits.body_bytes} bytes",
    )


def _decode(decoder: ChunkDecoder, data: bytes) -> bytes:
    try:
        return decoder.decode(data)
    except ChunkError as exc:
        raise ReadError(HTTPStatus.BAD_REQUEST, str(exc)) from exc
