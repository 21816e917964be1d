"""A connection to a target, one HTTP request at a time on it.

The parser is h11 itself: the pool of the usual client closes a connection
on which a stray answer lies, and with it the answer behind that one, and
does not tell a connection that broke before anything was sent from one
that broke afterwards.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import select

import h11
import trio

from magnoliacove import errors

__all__ = ["Answer", "Channel", "Hear", "TargetError"]

Headers = Sequence[tuple[bytes, bytes]]

# Idle connections are used again for so long, or as long as the target
# says, less a margin for what is on its way.
KEEP_IDLE = 8.0
_KEEP_MARGIN = 1.0
_READ_SIZE = 65536
# Bodies up to this size fit the socket's buffer and need no second task.
_SMALL_BODY = 8192
_MOST_STRAY_ANSWERS = 3


class TargetError(errors.Error):
    """A target gave no whole answer.

    :param outcome: whether the request may have run.
    :param refused: its instance answered that nobody listens there, which
        says that its process is gone.
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


# Told of each answer: the target that gave it, its head, the path that was
# asked for, and the id of the caller's request, "" for a question of our own.
Hear = Callable[[str, Answer, str, str], None]


class Channel:
    """One connection to one target."""

    def __init__(
        self,
        target: str,
        stream: trio.SocketStream,
        start_soon: Callable[..., object],
        hear: Hear,
    ) -> None:
        self.target = target
        self.used = False
        self.idle_until = 0.0
        self._stream = stream
        self._start_soon = start_soon
        self._hear = hear
        self._sending = False
        self._parser = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._keep = KEEP_IDLE
        self._reusable = True

    @property
    def is_quiet(self) -> bool:
        """Whether nothing arrived since the last answer.

        An idle connection on which something lies was closed by the
        target, or holds bytes that belong to no request.
        """
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
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
        data = self._write_request(body)
        if len(data) <= _SMALL_BODY:
            await self._send_all(data)
            return
        # A target may answer before it has read a long body, and stop
        # reading meanwhile.  Sending beside reading the answer cannot hang.
        self._sending = True
        self._start_soon(self._send_long, data)

    async def read_head(
        self, request: str, read_id: Callable[[Answer], str]
    ) -> Answer:
        """Return the head of the answer to the request that was sent.

        Answers to other requests are skipped: a target may send one more
        answer to an earlier request.

        :param request: the id of the request.
        :param read_id: returns the id that an answer names, or "".
        :raises TargetError: when no answer comes.
        """
        for _ in range(_MOST_STRAY_ANSWERS):
            answer = await self._read_head()
            if read_id(answer) in ("", request):
                self._hear(self.target, answer, self._read_path(), request)
                return answer
            await self._skip_answer()
        raise TargetError(
            "the target sends answers to other requests",
            errors.Outcome.MAY_HAVE_RUN,
        )

    async def read_body(self) -> bytes | None:
        """Return the next part of the body, or None at its proper end.

        :raises TargetError: when the answer breaks off.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    async def read_rest(self) -> bytes:
        """Return the body up to its proper end.

        :raises TargetError: when the answer breaks off.
        """
        body = bytearray()
        while (part := await self.read_body()) is not None:
            body += part
        return bytes(body)

    async def close(self) -> None:
        """Close the connection at once."""
        self._reusable = False
        await trio.aclose_forcefully(self._stream)

    def finish(self, now: float) -> bool:
        """End an exchange; return whether the connection may be kept."""
        parser = self._parser
        # While the rest of a long body is due, the target would take the
        # next request for it, so such a connection is never kept.
        clean = (
            self._reusable
            and not self._sending
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )
        self.idle_until = now + self._keep
        return clean and self._keep > 0

    def _read_path(self) -> str:
        """Return the path of the request that was sent, without its query."""
        target = self._request.target if self._request is not None else b""
        return bytes(target).partition(b"?")[0].decode("latin-1")

    def _write_request(self, body: bytes) -> bytes:
        request = self._request
        if request is None:
            return b""
        parts = [self._parser.send(request) or b""]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b"")
        parts.append(self._parser.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    async def _send_all(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as why:
            raise TargetError(
                "the connection broke while the request was sent",
                errors.Outcome.MAY_HAVE_RUN,
            ) from why

    async def _send_long(self, data: bytes) -> None:
        try:
            await self._send_all(data)
        except TargetError:
            # Whoever reads the answer meets the broken connection too and
            # tells; this only keeps it from being used again.
            self._reusable = False
        self._sending = False

    async def _read_head(self) -> Answer:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
                self._note_keep_alive(headers)
                return Answer(event.status_code, headers)

    async def _skip_answer(self) -> None:
        """Read a stray answer to its end and await the next one."""
        while await self.read_body() is not None:
            continue
        rest, closed = self._parser.trailing_data
        request = self._request
        if request is None or closed:
            raise TargetError(
                "the target closed after a stray answer",
                errors.Outcome.MAY_HAVE_RUN,
            )
        # The parser pairs each answer with a request.  A new one that
        # takes the request for sent reads the answer that is due.
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
        except h11.RemoteProtocolError as why:
            raise TargetError(
                f"the target sent no proper answer: {why}",
                errors.Outcome.MAY_HAVE_RUN,
            ) from why
        except (trio.BrokenResourceError, trio.ClosedResourceError) as why:
            raise TargetError(
                "the connection was reset", errors.Outcome.MAY_HAVE_RUN
            ) from why
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise TargetError(
                "the target closed the connection without an answer",
                errors.Outcome.MAY_HAVE_RUN,
            )
        return event

    def _note_keep_alive(self, headers: Headers) -> None:
        for name, value in headers:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, seconds = part.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    self._keep = min(KEEP_IDLE, int(seconds) - _KEEP_MARGIN)
