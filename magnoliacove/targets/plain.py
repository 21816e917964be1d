"""Forwarding of HTTP requests to plain services."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
from typing import Protocol

import httpcore

from magnoliacove import errors
from magnoliacove.http_pools import ConnectionPool

__all__ = ["HttpPlainTarget", "PlainAnswer", "PlainTarget"]

# Headers that belong to one connection and are not forwarded.
_HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True)
class PlainAnswer:
    """An answer whose body has not been read yet."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: AsyncIterator[bytes]


class PlainTarget(Protocol):
    """One instance of a plain service."""

    def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout: float,
    ) -> contextlib.AbstractAsyncContextManager[PlainAnswer]:
        """Forward a request.

        :raises magnoliacove.errors.RequestError: if no answer arrives; the
            error's outcome states whether the request may have run.
        """


class HttpPlainTarget:
    """Forwards requests to a plain service over HTTP."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        # The pool does not retry: only the caller of this class knows
        # whether a request is idempotent.  Connections are not reused,
        # either: the target may close an idle connection while a request
        # is being sent, and it would be unknown whether a request that
        # must not be repeated has run.
        self._pool = ConnectionPool(
            max_connections=256, max_keepalive_connections=0, retries=0
        )

    @contextlib.asynccontextmanager
    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout: float,
    ) -> AsyncIterator[PlainAnswer]:
        """Forward a request."""
        limits = {"connect": 1.0, "read": timeout, "write": timeout}
        sent = False
        try:
            async with self._pool.stream(
                method,
                self._url + path,
                headers=[
                    (name, value)
                    for name, value in headers
                    if name.lower() not in _HOP_BY_HOP
                ],
                content=body,
                extensions={"timeout": {**limits, "pool": timeout}},
            ) as response:
                sent = True
                kept = tuple(
                    (name, value)
                    for name, value in response.headers
                    if name.lower() not in _HOP_BY_HOP
                )
                yield PlainAnswer(
                    response.status, kept, response.aiter_stream()
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise errors.RequestError(
                "target_unreachable",
                "the service's instance cannot be reached; the request did "
                "not run",
                retry_after=1.0,
            ) from exc
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as exc:
            raise errors.RequestError(
                "target_failed",
                "the service's instance gave no whole answer"
                if sent
                else "the service's instance took the request but gave no "
                "answer",
                status=504
                if isinstance(exc, httpcore.TimeoutException)
                else 502,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            ) from exc
