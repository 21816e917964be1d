"""HTTP connections to targets, with one request at a time on each.

The parser is h11.  The connection pool of httpcore, the usual HTTP client,
closes a connection with an unread stray answer, and thereby loses the answer
that follows it.  It also does not distinguish a connection that broke before
anything was sent from one that broke afterwards.
"""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
import select

import h11
import trio

from magnoliacove import errors
from magnoliacove.answer_heads import check_head
from magnoliacove.bodies import Body
from magnoliacove.bodies import Buffer
from magnoliacove.bodies import encode_body
from magnoliacove.connection_ends import ended_in_order
from magnoliacove.limits.answer_memory import AnswerMemory
from magnoliacove.limits.answer_memory import AnswerTooLongError
from magnoliacove.limits.answer_memory import BodyBuffer

__all__ = ["Answer", "Channel", "AnswerListener", "TargetError"]

Headers = Sequence[tuple[bytes, bytes]]

# Seconds for which an idle connection may be reused, unless the target
# announces less; the margin, in seconds, allows for the time in transit.
_MAX_IDLE = 8.0
_IDLE_MARGIN = 1.0
# Bytes that one read of a connection returns at most.  What it returns is
# parsed at a stretch, which takes long if it is all chunks of one byte.
_READ_SIZE = 16384
# Bytes of a request that fit into the socket's buffer, so that it is sent
# without a second task.
_SMALL_REQUEST = 8192
# Number of answers to other requests after which an exchange fails, bytes and
# short parts of one that are skipped, and number of interim answers before the
# one that is due.
_MAX_STRAY_ANSWERS = 3
_MAX_STRAY_BYTES = 256 * 1024
_MAX_STRAY_SHORT_PARTS = 256
_MAX_INTERIM_ANSWERS = 16


class TargetError(errors.Error):
    """A target gave no whole answer.

    :param outcome: whether the request may have run.
    :param refused: whether the instance refused the connection, which means
        that the target's process has ended.
    """

    def __init__(
        self,
        message: str,
        outcome: errors.Outcome,
        *,
        refused: bool = False,
    ) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.refused = refused


@dataclass(frozen=True)
class Answer:
    """The head of a target's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


# Called for each answer with the target's name, the head of the answer, the
# requested path, and the id of the caller's request, or "" for a request of
# the gateway itself.
AnswerListener = Callable[[str, Answer, str, str], None]


class Channel:
    """A connection to a target.

    :param on_answer: called for each answer.
    """

    def __init__(
        self,
        target: str,
        stream: trio.SocketStream,
        start_soon: Callable[..., object],
        on_answer: AnswerListener,
    ) -> None:
        self.target = target
        self.used = False
        self.idle_until = 0.0
        self._stream = stream
        self._start_soon = start_soon
        self._on_answer = on_answer
        # Set once nothing more of the request is sent, whole or not.
        self._sending_ended = trio.Event()
        self._sent_whole = False
        self._parser = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._idle_timeout = _MAX_IDLE
        self._response: h11.Response | None = None

    @property
    def has_no_input(self) -> bool:
        """Whether nothing has arrived since the last answer.

        If something has, the target closed the idle connection or sent bytes
        that belong to no request.
        """
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes | Body,
    ) -> None:
        """Send a request with its whole body.

        :raises TargetError: when the connection breaks.
        """
        if self.used:
            self._parser.start_next_cycle()
        self.used = True
        self._request = h11.Request(
            method=method, target=target, headers=list(headers)
        )
        parts = self._encode_request(body)
        self._sending_ended = trio.Event()
        self._sent_whole = False
        if sum(map(len, parts)) <= _SMALL_REQUEST:
            await self._send_all([b"".join(parts)])
            return
        # A target may stop reading a long body and answer early.  Sending
        # concurrently with reading the answer cannot deadlock.
        self._start_soon(self._send_long, parts)

    async def read_head(
        self, request: str, read_id: Callable[[Answer], str]
    ) -> Answer:
        """Return the head of the answer to the request that was sent.

        Answers to other requests are skipped: a target may send a second
        answer to an earlier request.

        :param request: the id of the request.
        :param read_id: returns the request id of an answer, or "".
        :raises TargetError: when there is no answer.
        """
        for _ in range(_MAX_STRAY_ANSWERS):
            answer = await self._read_head()
            if read_id(answer) in ("", request):
                self._on_answer(
                    self.target, answer, self._read_path(), request
                )
                return answer
            await self._skip_answer()
        raise TargetError(
            "the target sends answers to other requests",
            errors.Outcome.MAY_HAVE_RUN,
        )

    async def read_body(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        :raises TargetError: when the answer breaks off.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                await self._check_end()
                return None

    async def read_whole_body(self, buffer: BodyBuffer) -> Body:
        """Return the whole body, which the buffer holds.

        :param buffer: bounds the body, which may have no end.
        :raises TargetError: when the answer breaks off or is too long.
        """
        try:
            await buffer.reserve(self._read_length())
            while (part := await self.read_body()) is not None:
                buffer.add(part)
        except AnswerTooLongError as exc:
            raise TargetError(str(exc), errors.Outcome.MAY_HAVE_RUN) from exc
        return buffer.body

    async def close(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self._stream)

    def finish(self, now: float) -> bool:
        """End an exchange; return whether the connection may be reused."""
        parser = self._parser
        # While a part of a long body is still unsent, the target would read
        # the next request as that part, so the connection is not reused.
        clean = (
            self._sent_whole
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )
        self.idle_until = now + self._idle_timeout
        return clean and self._idle_timeout > 0

    def _read_path(self) -> str:
        """Return the path of the request that was sent, without its query."""
        target = self._request.target if self._request is not None else b""
        return bytes(target).partition(b"?")[0].decode("latin-1")

    def _encode_request(self, body: bytes | Body) -> list[Buffer]:
        """Return the parts of the request, of which the body is not copied."""
        request = self._request
        if request is None:
            return []
        parts: list[Buffer] = [self._parser.send(request) or b""]
        parts += encode_body(self._parser, body)
        parts.append(self._parser.send(h11.EndOfMessage()) or b"")
        return parts

    async def _send_all(self, parts: Sequence[Buffer]) -> None:
        try:
            for part in parts:
                await self._stream.send_all(part)
            self._sent_whole = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TargetError(
                "the connection broke while the request was sent",
                errors.Outcome.MAY_HAVE_RUN,
            ) from exc
        finally:
            self._sending_ended.set()

    async def _send_long(self, parts: Sequence[Buffer]) -> None:
        # The task that reads the answer reports the broken connection.
        with contextlib.suppress(TargetError):
            await self._send_all(parts)

    async def _read_head(self) -> Answer:
        for _ in range(_MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
                self._read_keep_alive(headers)
                self._response = event
                return Answer(event.status_code, headers)
        raise TargetError(
            "the target sends interim answers without end",
            errors.Outcome.MAY_HAVE_RUN,
        )

    async def _skip_answer(self) -> None:
        """Read a stray answer to its end and prepare for the next one."""
        memory = AnswerMemory()
        with memory.open(_MAX_STRAY_BYTES, _MAX_STRAY_SHORT_PARTS) as stray:
            await self.read_whole_body(stray)
        rest, closed = self._parser.trailing_data
        request = self._request
        if request is None or closed:
            raise TargetError(
                "the target closed after a stray answer",
                errors.Outcome.MAY_HAVE_RUN,
            )
        # The parser pairs each answer with a request.  A new parser, to which
        # the request counts as sent, reads the answer that is due.
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=[
                    (n, v)
                    for n, v in request.headers
                    if n not in (b"content-length", b"transfer-encoding")
                ],
            )
        )
        self._parser.send(h11.EndOfMessage())
        if rest:
            self._parser.receive_data(rest)

    async def _next_event(self) -> object:
        try:
            while True:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    break
                self._parser.receive_data(
                    await self._stream.receive_some(_READ_SIZE)
                )
            if isinstance(event, h11.Response):
                check_head(
                    event.status_code, event.http_version, event.headers
                )
        except h11.RemoteProtocolError as exc:
            raise TargetError(
                f"the target sent no proper answer: {exc}",
                errors.Outcome.MAY_HAVE_RUN,
            ) from exc
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise TargetError(
                "the connection was reset", errors.Outcome.MAY_HAVE_RUN
            ) from exc
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise TargetError(
                "the target closed the connection without an answer",
                errors.Outcome.MAY_HAVE_RUN,
            )
        return event

    async def _check_end(self) -> None:
        """Check an answer whose end is that of its connection.

        Only a target that received the whole request and closed in order has
        sent its whole answer.

        :raises TargetError: when the connection broke.
        """
        _, closed = self._parser.trailing_data
        if not closed:
            return
        await self._sending_ended.wait()
        if self._sent_whole and await ended_in_order(self._stream.socket):
            return
        raise TargetError(
            "the connection broke before the end of the answer",
            errors.Outcome.MAY_HAVE_RUN,
        )

    def _read_length(self) -> int:
        """Return the length of the answer's body, 0 if it is not announced."""
        request, response = self._request, self._response
        if request is None or response is None or request.method == b"HEAD":
            return 0
        return int(dict(response.headers).get(b"content-length", b"0"))

    def _read_keep_alive(self, headers: Headers) -> None:
        for name, value in headers:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, seconds = part.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    self._idle_timeout = min(
                        _MAX_IDLE, float(seconds) - _IDLE_MARGIN
                    )
