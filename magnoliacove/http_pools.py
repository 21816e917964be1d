"""Connection pools of the HTTP client, httpcore, that notice broken answers.

When a request cannot be sent, httpcore reads on for an early answer.  If the
connection was reset, the read returns an end of file, which ends an answer
without a length as if it were whole.  The connections of these pools raise an
error there, and the pools reject heads that are not valid.
"""

import math
import ssl
from typing import Any

import h11
import httpcore
import trio

from magnoliacove.answer_heads import check_head
from magnoliacove.connection_ends import ended_in_order

__all__ = ["ConnectionPool"]


class ConnectionPool(httpcore.AsyncConnectionPool):
    """A connection pool.

    :param options: those of :class:`httpcore.AsyncConnectionPool`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(network_backend=_Backend(), **options)

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return its answer, whose head is valid.

        :raises httpcore.RemoteProtocolError: when the head is not valid.
        """
        response = await super().handle_async_request(request)
        try:
            check_head(
                response.status,
                response.extensions["http_version"],
                response.headers,
            )
        except h11.RemoteProtocolError as exc:
            await response.aclose()
            raise httpcore.RemoteProtocolError(str(exc)) from exc
        return response


class _Backend(httpcore.TrioBackend):
    """Opens connections that notice a reset."""

    async def connect_tcp(
        self, *args: Any, **options: Any
    ) -> httpcore.AsyncNetworkStream:
        return _Stream(await super().connect_tcp(*args, **options))


class _Stream(httpcore.AsyncNetworkStream):
    """A connection that returns an end of file only if it ended in order."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._sent_whole = True

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        data = await self._inner.read(max_bytes, timeout)
        if not data:
            await self._check_end(math.inf if timeout is None else timeout)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._sent_whole = False
        await self._inner.write(buffer, timeout)
        self._sent_whole = True

    async def aclose(self) -> None:
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return _Stream(
            await self._inner.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:
        return self._inner.get_extra_info(info)

    async def _check_end(self, timeout: float) -> None:
        """Raise an error unless the connection ended in order."""
        connection = self.get_extra_info("socket")
        try:
            with trio.fail_after(timeout):
                whole = self._sent_whole and await ended_in_order(connection)
        except trio.TooSlowError as exc:
            raise httpcore.ReadTimeout(
                "the request was not acknowledged"
            ) from exc
        if not whole:
            raise httpcore.ReadError("the connection broke")
