"""HTTP client of the platform's object store.

Objects are named ``KIND/NAME``.  The store keeps JSON values; other values
are stored as base64 text.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Any
from urllib.parse import quote
from urllib.parse import urlencode

import httpcore
import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.http_pools import ConnectionPool
from magnoliacove.platform import api
from magnoliacove.platform import objects
from magnoliacove.platform.eras import StoreEra
from magnoliacove.platform.eras import read_era
from magnoliacove.platform.eras import split_revision
from magnoliacove.platform.partial_json import decode_partially

__all__ = ["HttpObjectApi"]

_OBJECTS = "/v1/objects/"
_SOURCE = "the platform's store"
# Bytes of an answer; a page of objects takes about one megabyte.
_MAX_ANSWER = 32 * 1024 * 1024
# Timeouts of a call that a whole answer may take beyond the wait for it.  One
# that trickles must not hide changes.
_ANSWER_TIMEOUTS = 4
# Seconds; the longest wait that the store accepts for a watch.
_MAX_WATCH_WAIT = 30.0


class HttpObjectApi:
    """Client of the platform's object store.

    :param url: for example ``http://10.0.0.2:8500``.
    :param timeout: seconds allowed for each of connecting, sending the
        request and reading the answer.
    :ivar skipped: number of objects in answers that had no readable name or
        revision.
    """

    def __init__(
        self, url: str, *, timeout: float = defaults.STORE_TIMEOUT
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._pool = ConnectionPool(
            max_connections=8, keepalive_expiry=defaults.KEEP_ALIVE / 2
        )
        self.calls = 0
        self.skipped = 0
        self.era = StoreEra()
        self._renewal_due = False
        self._renewed_at = -math.inf
        self._waiting: set[trio.CancelScope] = set()

    def renew_channels(self, began: float) -> None:
        """Use new connections from now on."""
        if began < self._renewed_at:
            return
        self._renewed_at = trio.current_time()
        self._renewal_due = True
        for scope in tuple(self._waiting):
            scope.cancel()

    async def get(self, name: str) -> api.Record | None:
        """Return an object, or None if it does not exist."""
        status, data = await self._call("GET", _path(name))
        return None if status == 404 else self._read(_kind(name), data)

    async def list_records(
        self, prefix: str, *, stale: bool = False
    ) -> api.Listing:
        """Return the objects whose names start with a prefix."""
        kind, _, start = prefix.partition("/")
        listing = None
        while listing is None:
            listing = await self._list_kind(kind, stale)
        matching = (
            r
            for r in listing.records
            if objects.local_name(r.name).startswith(start)
        )
        return api.Listing(tuple(matching), listing.revision)

    async def _list_kind(self, kind: str, stale: bool) -> api.Listing | None:
        """Return the objects of a kind.

        :returns: None if the store was restored from an older snapshot
            between two pages, which then belong to different histories.
        """
        records: list[api.Record] = []
        after, revision, era = "", 0, 0
        while True:
            query = {"after": after} if after else {}
            if stale:
                query["stale_ok"] = "1"
            path = f"{_OBJECTS}{quote(kind)}?{urlencode(query)}"
            status, data = await self._call("GET", path.rstrip("?"))
            if after and era != self.era.number:
                return None
            era = self.era.number
            if status == 404:
                return api.Listing((), revision or self.era.join(0))
            # Use the first page's revision: a later watch then repeats the
            # writes made while the other pages were read instead of
            # missing them.
            revision = revision or self._read_as_of(data)
            items = objects.read_list(data, "items")
            records += self._read_all(kind, items)
            # The name as the store spells it, and not as it is decoded.
            names = [
                i["metadata"]["name"] for i in items if objects.is_named(i)
            ]
            if data.get("has_more") is not True or not names:
                return api.Listing(tuple(records), revision)
            after = names[-1]

    async def put(
        self, name: str, value: bytes, if_version: int | None = None
    ) -> int:
        """Write an object and return its version."""
        if if_version == 0:
            return await self._create(name, value)
        self._check_condition(name, if_version)
        body = objects.write_object(name, value, if_version)
        status, data = await self._call("PUT", _path(name), body)
        self._check_condition(name, if_version)
        if status != 404:
            return self._read_version(data)
        if if_version is not None:
            raise api.VersionConflictError(f"{name} does not exist")
        return await self._create(name, value)

    async def delete(self, name: str, if_version: int | None = None) -> None:
        """Delete an object if it has the given version."""
        path = _path(name)
        self._check_condition(name, if_version)
        if if_version is not None:
            path += f"?revision={split_revision(if_version)[1]}"
        status, _ = await self._call("DELETE", path)
        self._check_condition(name, if_version)
        if status == 404 and if_version:
            raise api.VersionConflictError(f"{name} does not exist")

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> tuple[tuple[api.WatchEvent, ...], int]:
        """Wait for writes under a prefix after a revision."""
        kind, _, start = prefix.partition("/")
        wait = min(timeout, _MAX_WATCH_WAIT)
        self._check_watched(after)
        number = split_revision(after)[1]
        query = urlencode({"watch": number, "wait_ms": int(wait * 1000)})
        path = f"{_OBJECTS}{quote(kind)}?{query}"
        data = await self._wait_for_changes(path, wait)
        self._check_watched(after)
        revision = self._read_as_of(data)
        events = self._read_events(kind, objects.read_list(data, "events"))
        return (
            tuple(
                e
                for e in events
                if objects.local_name(e.record.name).startswith(start)
            ),
            revision,
        )

    async def _wait_for_changes(self, path: str, wait: float) -> Any:
        """Return the answer to a watch.

        :raises magnoliacove.platform.NoAnswerError: also when the
            connections are renewed meanwhile.
        """
        with trio.CancelScope() as scope:
            self._waiting.add(scope)
            try:
                _, data = await self._call("GET", path, extra=wait)
            finally:
                self._waiting.discard(scope)
            return data
        raise api.NoAnswerError(
            f"GET {path} was given up: the connections were renewed",
            errors.Outcome.NOT_RUN,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _create(self, name: str, value: bytes) -> int:
        path = f"{_OBJECTS}{quote(_kind(name))}"
        body = objects.write_object(name, value, None)
        _, data = await self._call("POST", path, body)
        return self._read_version(data)

    def _read(self, kind: str, data: Any) -> api.Record:
        if not objects.is_named(data):
            raise objects.make_unreadable(f"the object of kind {kind}")
        return objects.read_object(kind, data, self.era)

    def _read_version(self, data: Any) -> int:
        """Return the version of an object that was written."""
        if not objects.is_named(data):
            raise objects.make_unreadable("the object that was written")
        return self.era.join(data["metadata"]["revision"])

    def _read_as_of(self, data: Any) -> int:
        """Return the store's revision at the time of an answer."""
        revision = data.get("as_of") if isinstance(data, dict) else None
        if not isinstance(revision, int):
            raise objects.make_unreadable("the store's revision")
        return self.era.join(revision)

    def _read_all(self, kind: str, items: Sequence[Any]) -> list[api.Record]:
        """Decode a list of objects, skipping those without a name."""
        named = [item for item in items if objects.is_named(item)]
        self.skipped += len(items) - len(named)
        return [self._read(kind, item) for item in named]

    def _read_events(
        self, kind: str, items: Sequence[Any]
    ) -> list[api.WatchEvent]:
        """Decode a list of changes, skipping those of no named object."""
        changes = [item for item in items if isinstance(item, dict)]
        named = [
            item for item in changes if objects.is_named(item.get("object"))
        ]
        self.skipped += len(items) - len(named)
        return [self._read_event(kind, item) for item in named]

    def _read_event(self, kind: str, data: dict[str, Any]) -> api.WatchEvent:
        record = self._read(kind, data["object"])
        if data.get("removed"):
            deleted = api.Record(record.name, 0, b"")
            return api.WatchEvent(record.version, deleted)
        return api.WatchEvent(record.version, record)

    def _check_condition(self, name: str, version: int | None) -> None:
        """Check that the version a write depends on is of the current era.

        The check runs before the write and again after its answer, because
        that answer may be the first to report that the store was restored
        from an older snapshot.

        :raises VersionConflictError: if the version is of an earlier era.
        """
        if version and not self.era.is_current(version):
            raise api.VersionConflictError(
                f"{name} was read before the store came back from a copy; "
                "read it again"
            )

    def _check_watched(self, after: int) -> None:
        if not self.era.is_current(after):
            raise api.CompactedError(
                "the revision is from before the store came back from a "
                "copy; list again"
            )

    def _note_era(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Record the era that an answer reports.

        An answer without a valid era is accepted as it is.

        :raises magnoliacove.errors.PlatformError: if it is an earlier era;
            the answer was delayed and its content is no longer valid.
        """
        number = read_era(headers)
        if number is not None and not self.era.note(number, _SOURCE):
            raise errors.PlatformError(
                "the object API's answer is from before it came back from a "
                "copy",
                errors.Outcome.MAY_HAVE_RUN,
            )

    async def _close_renewed(self) -> None:
        """Close the idle connections after :meth:`renew_channels`."""
        if not self._renewal_due:
            return
        self._renewal_due = False
        for connection in self._pool.connections:
            if connection.is_idle():
                await connection.aclose()

    async def _call(
        self, method: str, path: str, body: bytes = b"", extra: float = 0.0
    ) -> tuple[int, Any]:
        self.calls += 1
        await self._close_renewed()
        began = trio.current_time()
        wait = self._timeout + extra
        try:
            with trio.fail_after(wait + _ANSWER_TIMEOUTS * self._timeout):
                status, content = await self._exchange(
                    method, path, body, wait
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise errors.PlatformError(
                f"the object API at {self._url} cannot be reached",
                errors.Outcome.NOT_RUN,
            ) from exc
        except (httpcore.ReadTimeout, trio.TooSlowError) as exc:
            self.renew_channels(began)
            raise api.NoAnswerError(
                f"the object API at {self._url} gave no answer to "
                f"{method} {path} in {wait:g} s",
                errors.Outcome.MAY_HAVE_RUN,
            ) from exc
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as exc:
            # Only the answer is lost: the platform may have executed the
            # write.  Reporting it as not run would let the caller apply a
            # change twice.
            raise errors.PlatformError(
                f"the object API at {self._url} gave no answer to "
                f"{method} {path}",
                errors.Outcome.MAY_HAVE_RUN,
            ) from exc
        data = decode_partially(content or b"null")
        _check(status, data)
        return status, data

    async def _exchange(
        self, method: str, path: str, body: bytes, wait: float
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body of the answer.

        :param wait: seconds until the answer begins, and between its parts.
        """
        timeouts = {
            "connect": self._timeout,
            "read": wait,
            "write": self._timeout,
            "pool": self._timeout,
        }
        async with self._pool.stream(
            method,
            self._url + path,
            headers=[(b"content-type", b"application/json")],
            content=body or None,
            extensions={"timeout": timeouts},
        ) as response:
            self._note_era(response.headers)
            content = bytearray()
            async for part in response.aiter_stream():
                content += part
                if len(content) > _MAX_ANSWER:
                    raise errors.PlatformError(
                        f"the object API's answer to {method} {path} does "
                        f"not end within {_MAX_ANSWER} bytes",
                        errors.Outcome.MAY_HAVE_RUN,
                    )
            return response.status, bytes(content)


def _check(status: int, data: Any) -> None:
    if status in (200, 201, 404):
        return
    reason = data.get("error", "") if isinstance(data, dict) else ""
    if status == 409:
        raise api.VersionConflictError(str(reason))
    if status == 410:
        raise api.CompactedError(str(reason))
    if status in (429, 503):
        raise errors.PlatformError(
            f"the object API refused the call: {status} {reason}",
            errors.Outcome.NOT_RUN,
        )
    raise errors.PlatformError(
        f"the object API answered {status}: {reason}",
        errors.Outcome.MAY_HAVE_RUN,
    )


def _kind(name: str) -> str:
    return name.partition("/")[0]


def _path(name: str) -> str:
    local = quote(objects.local_name(name), safe="")
    return f"{_OBJECTS}{quote(_kind(name))}/{local}"
