"""The object API over HTTP."""

import base64
import json
from typing import Any
from urllib.parse import quote
from urllib.parse import urlencode

import httpcore

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.platform import api

__all__ = ["HttpObjectApi"]


class HttpObjectApi:
    """Speaks to the platform's object API.

    :param url: for example ``http://10.0.0.2:8500``.
    """

    def __init__(
        self, url: str, *, timeout: float = defaults.STORE_TIMEOUT
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=8, keepalive_expiry=defaults.KEEP_ALIVE / 2
        )
        self.calls = 0

    async def get(self, name: str) -> api.Record | None:
        """Return an object, or None when there is none."""
        status, data = await self._call("GET", f"/objects/{quote(name)}")
        return None if status == 404 else _read_record(data)

    async def list_records(self, prefix: str) -> api.Listing:
        """Return the objects whose names start with a prefix."""
        query = urlencode({"prefix": prefix})
        _, data = await self._call("GET", f"/objects?{query}")
        records = tuple(_read_record(item) for item in data["records"])
        return api.Listing(records, data["revision"])

    async def put(
        self, name: str, value: bytes, if_version: int | None = None
    ) -> int:
        """Write an object and return its version."""
        path = f"/objects/{quote(name)}{_condition(if_version)}"
        _, data = await self._call("PUT", path, value)
        return int(data["version"])

    async def delete(self, name: str, if_version: int | None = None) -> None:
        """Delete an object, if it has the given version."""
        path = f"/objects/{quote(name)}{_condition(if_version)}"
        await self._call("DELETE", path)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> tuple[tuple[api.WatchEvent, ...], int]:
        """Wait for writes under a prefix after a revision."""
        query = urlencode(
            {"prefix": prefix, "after": after, "timeout": timeout}
        )
        _, data = await self._call("GET", f"/watch?{query}", extra=timeout)
        events = tuple(
            api.WatchEvent(item["revision"], _read_record(item["record"]))
            for item in data["events"]
        )
        return events, data["revision"]

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _call(
        self, method: str, path: str, body: bytes = b"", extra: float = 0.0
    ) -> tuple[int, Any]:
        self.calls += 1
        wait = self._timeout + extra
        try:
            response = await self._pool.request(
                method,
                self._url + path,
                content=body or None,
                extensions={
                    "timeout": {
                        "connect": self._timeout,
                        "read": wait,
                        "write": self._timeout,
                        "pool": self._timeout,
                    }
                },
            )
            data = json.loads(response.content or b"null")
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as why:
            raise errors.PlatformError(
                f"the object API at {self._url} cannot be reached",
                errors.Outcome.NOT_RUN,
            ) from why
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            ValueError,
        ) as why:
            # The answer is lost, not the write: the platform may have
            # carried it out.  Saying "not run" here would let the caller
            # apply a change twice.
            raise errors.PlatformError(
                f"the object API at {self._url} gave no answer to "
                f"{method} {path}",
                errors.Outcome.MAY_HAVE_RUN,
            ) from why
        _check(response.status, data)
        return response.status, data


def _check(status: int, data: Any) -> None:
    if status in (200, 404):
        return
    reason = data.get("error", "") if isinstance(data, dict) else ""
    if status == 409:
        raise api.VersionConflictError(reason)
    if status == 410:
        raise api.CompactedError(reason)
    if status in (429, 503):
        raise errors.PlatformError(
            f"the object API refused the call: {reason}",
            errors.Outcome.NOT_RUN,
        )
    raise errors.PlatformError(
        f"the object API answered {status}: {reason}",
        errors.Outcome.MAY_HAVE_RUN,
    )


def _condition(if_version: int | None) -> str:
    return "" if if_version is None else f"?if_version={if_version}"


def _read_record(data: dict[str, Any]) -> api.Record:
    value = base64.b64decode(data["value"])
    return api.Record(data["name"], data["version"], value)
