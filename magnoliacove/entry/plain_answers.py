"""Forwarding of a plain service's answer to its caller."""

from magnoliacove import errors
from magnoliacove.entry.exchange import Exchange
from magnoliacove.limits.answer_memory import AnswerTooLongError
from magnoliacove.limits.answer_memory import BodyBuffer
from magnoliacove.wire import messages

__all__ = ["AnswerForwarder", "add_part"]

_VERSION_WITHOUT_CHUNKS = "1.0"


def add_part(buffer: BodyBuffer, part: bytes) -> None:
    """Add a part to an answer that is held until it is whole.

    :raises magnoliacove.errors.RequestError: when there is no memory for it.
    """
    try:
        buffer.add(part)
    except AnswerTooLongError as exc:
        raise errors.RequestError(
            "target_failed",
            f"{exc}; the request may have run",
            status=502,
            outcome=errors.Outcome.MAY_HAVE_RUN,
        ) from exc


class AnswerForwarder:
    """Forwards an answer part by part, or whole to a caller without chunks.

    Such a caller takes the end of its connection for that of an answer without
    a length, also where the answer was cut.

    :param buffer: holds the answer until it is whole.
    """

    def __init__(self, exchange: Exchange, buffer: BodyBuffer) -> None:
        version = exchange.scope.get("http_version")
        self._exchange = exchange
        self._buffer = buffer
        self._holds = version == _VERSION_WITHOUT_CHUNKS
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []

    async def forward(self, part: messages.Answer) -> None:
        """Forward the next part of the answer.

        :raises magnoliacove.errors.RequestError: when there is no memory for
            an answer that is held.
        """
        if part.status:
            self._status = part.status
            self._headers = [(h.name, h.value) for h in part.headers]
            if part.replayed:
                self._headers.append((b"idempotency-replayed", b"true"))
        if self._holds:
            await self._hold(part)
            return
        if part.status:
            await self._exchange.start(self._status, self._headers)
        await self._exchange.write(part.body, more=part.more)

    async def _hold(self, part: messages.Answer) -> None:
        add_part(self._buffer, part.body)
        if part.more:
            return
        body = self._buffer.body.join()
        if body:
            self._headers.append((b"content-length", b"%d" % len(body)))
        await self._exchange.start(self._status, self._headers)
        await self._exchange.write(body, more=False)
