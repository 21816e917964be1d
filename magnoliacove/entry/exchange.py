"""One request of a caller over ASGI, and the state of its response."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Any

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import Content
from magnoliacove.limits.caller_memory import make_no_memory

__all__ = ["Exchange", "read_key", "run_while_connected"]

_JSON = (b"content-type", b"application/json")
_MAX_KEY_LENGTH = 255


@dataclass
class Exchange:
    """One request of a caller, and the state of its response.

    :param request_id: 16 bytes.
    :param started: whether the status has been sent.
    :param ended: whether the end of the response has been sent, or is being
        sent.
    :param memory: what is held for the request's body.
    :param disconnected: whether the caller has disconnected; nothing more
        is sent then.
    """

    scope: Mapping[str, Any]
    receive: Callable[[], Awaitable[Mapping[str, Any]]]
    send: Callable[[Mapping[str, Any]], Awaitable[None]]
    request_id: bytes
    memory: Allocation
    started: bool = False
    ended: bool = False
    disconnected: bool = False

    @property
    def headers(self) -> dict[bytes, bytes]:
        """The request's headers, with lower-case names."""
        return dict(self.scope["headers"])

    def open_answer(self) -> AbstractContextManager[Allocation]:
        """Provide memory for an answer that is held."""
        return self.memory.memory.allocate(Content.ANSWERS)

    @property
    def may_close(self) -> bool:
        """Whether a header may ask the caller to close its connection.

        HTTP/2, where requests share a connection, has no such header.
        """
        return not self.scope.get("http_version", "").startswith("2")

    async def start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the status and the headers."""
        self.started = True
        if self.disconnected:
            return
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    *headers,
                    (b"x-request-id", self.request_id.hex().encode()),
                ],
            }
        )

    async def write(self, body: bytes, *, more: bool) -> None:
        """Send a part of the body."""
        if self.disconnected:
            return
        self.ended = not more
        await self.send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )

    async def answer(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Send a complete JSON response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [_JSON, length, *headers])
        await self.write(body, more=False)

    async def read_body(self) -> bytes:
        """Return the request's body.

        :raises magnoliacove.errors.RequestError: when the body is too
            large, there is no memory for it, or the caller disconnects.
        """
        body = bytearray()
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise errors.RequestError("gone", "the caller hung up")
            body += message.get("body", b"")
            if len(body) > defaults.MAX_REQUEST_BODY:
                raise errors.RequestError(
                    "too_large",
                    f"the body is over {defaults.MAX_REQUEST_BODY} bytes",
                    status=413,
                )
            if not await self.memory.resize(len(body)):
                raise make_no_memory()
            if not message.get("more_body"):
                return bytes(body)


def read_key(exchange: Exchange) -> str:
    """Return the request's idempotency key, or "" if it has none.

    :raises magnoliacove.errors.RequestError: when the key is invalid.
    """
    key = exchange.headers.get(b"idempotency-key", b"")
    if len(key) > _MAX_KEY_LENGTH or not key.isascii():
        raise errors.RequestError(
            "invalid_request",
            f"an idempotency key has at most {_MAX_KEY_LENGTH} ASCII letters",
            status=400,
        )
    return key.decode()


async def run_while_connected(
    exchange: Exchange, run: Callable[[], Awaitable[None]]
) -> None:
    """Run to completion, or until the caller disconnects."""
    failure: errors.RequestError | None = None

    async def watch(scope: trio.CancelScope) -> None:
        while (await exchange.receive())["type"] != "http.disconnect":
            continue
        if exchange.ended:
            # The server reports the end of its response this way too, before
            # it has closed the connection.
            return
        exchange.disconnected = True
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, nursery.cancel_scope)
        try:
            await run()
        except errors.RequestError as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if exchange.disconnected:
        raise errors.RequestError("gone", "the caller hung up")
