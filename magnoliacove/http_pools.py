"""Connection pools of the HTTP client, httpcore, that notice broken answers.

When a request cannot be sent, httpcore reads on for an early answer.  One
whose connection broke would end there like one without a length that is
whole, so the streams of these pools raise an error at such an end.
"""

from typing import Any

import httpcore
import trio

from magnoliacove.connection_ends import ended_in_order

__all__ = ["make_pool"]


def make_pool(**options: Any) -> httpcore.AsyncConnectionPool:
    """Return a connection pool.

    :param options: those of :class:`httpcore.AsyncConnectionPool`.
    """
    return httpcore.AsyncConnectionPool(network_backend=_Backend(), **options)


class _Backend(httpcore.TrioBackend):
    """Opens connections whose streams notice that they broke."""

    async def connect_tcp(
        self, *args: Any, **options: Any
    ) -> httpcore.AsyncNetworkStream:
        return _Stream(await super().connect_tcp(*args, **options))


class _Stream(httpcore.AsyncNetworkStream):
    """A connection that returns an end only if it ended in order."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._sent_whole = True

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        data = await self._inner.read(max_bytes, timeout)
        if not data:
            await self._check_end(timeout)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._sent_whole = False
        await self._inner.write(buffer, timeout)
        self._sent_whole = True

    async def aclose(self) -> None:
        await self._inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self._inner.get_extra_info(info)

    async def _check_end(self, timeout: float | None) -> None:
        """Raise an error unless the connection ended in order."""
        connection = self._inner.get_extra_info("socket")
        with trio.move_on_after(
            float("inf") if timeout is None else timeout
        ) as scope:
            if self._sent_whole and await ended_in_order(connection):
                return
        if scope.cancelled_caught:
            raise httpcore.ReadTimeout("the request is not acknowledged")
        raise httpcore.ReadError("the connection broke")
