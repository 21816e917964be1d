"""Forwarding of a plain service's answer to its caller."""

from magnoliacove.entry.exchange import Exchange
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import hold_part
from magnoliacove.wire import messages

__all__ = ["AnswerForwarder"]

_VERSION_WITHOUT_CHUNKS = "1.0"


class AnswerForwarder:
    """Forwards an answer part by part, or whole to a caller without chunks.

    Such a caller takes the end of its connection for that of an answer without
    a length, also where the answer was cut.

    :param allocation: the memory of an answer that is held until it is whole.
    """

    def __init__(self, exchange: Exchange, allocation: Allocation) -> None:
        version = exchange.scope.get("http_version")
        self._exchange = exchange
        self._allocation = allocation
        self._held: list[bytes] = []
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
        hold_part(self._allocation, part.body)
        self._held.append(part.body)
        if part.more:
            return
        body = b"".join(self._held)
        if body:
            self._headers.append((b"content-length", b"%d" % len(body)))
        await self._exchange.start(self._status, self._headers)
        await self._exchange.write(body, more=False)
