"""The platform's object store over HTTP: the one client for it.

An object is named ``KIND/NAME`` here.  The store keeps JSON; what is not
JSON lies in it as base64 text.
"""

import base64
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote
from urllib.parse import unquote
from urllib.parse import urlencode

import httpcore
import orjson

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.platform import api
from magnoliacove.platform.eras import MAX_ERA
from magnoliacove.platform.eras import StoreEra
from magnoliacove.platform.eras import split_revision

__all__ = ["HttpObjectApi"]

_OBJECTS = "/v1/objects/"
# Each answer says in which era the store is: how often it came back from a
# copy.
_ERA = b"store-era"
_SOURCE = "the platform's store"
# The longest wait of a watch that the store takes, in seconds.
_MOST_WAIT = 30.0


class HttpObjectApi:
    """Speaks to the platform's object store.

    :param url: for example ``http://10.0.0.2:8500``.
    :param timeout: seconds for a connection, a write and an answer.
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
        self.era = StoreEra()

    async def get(self, name: str) -> api.Record | None:
        """Return an object, or None when there is none."""
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
        found = (r for r in listing.records if _tail(r.name).startswith(start))
        return api.Listing(tuple(found), listing.revision)

    async def _list_kind(self, kind: str, stale: bool) -> api.Listing | None:
        """Return the objects of a kind.

        :returns: None when the store came back from a copy between two
            pages, which then belong to different histories.
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
            # The first page's revision: what is written while the others
            # are read is then seen twice by a watch rather than never.
            revision = revision or self.era.join(int(data["as_of"]))
            items = data["items"]
            records += self._read_all(kind, items)
            if not data.get("has_more") or not items:
                return api.Listing(tuple(records), revision)
            after = items[-1]["metadata"]["name"]

    async def put(
        self, name: str, value: bytes, if_version: int | None = None
    ) -> int:
        """Write an object and return its version."""
        if if_version == 0:
            return await self._create(name, value)
        self._check_condition(name, if_version)
        body = _write_object(name, value, if_version)
        status, data = await self._call("PUT", _path(name), body)
        self._check_condition(name, if_version)
        if status != 404:
            return self.era.join(int(data["metadata"]["revision"]))
        if if_version is not None:
            raise api.VersionConflictError(f"{name} does not exist")
        return await self._create(name, value)

    async def delete(self, name: str, if_version: int | None = None) -> None:
        """Delete an object, if it has the given version."""
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
        wait = min(timeout, _MOST_WAIT)
        self._check_watched(after)
        number = split_revision(after)[1]
        query = urlencode({"watch": number, "wait_ms": int(wait * 1000)})
        path = f"{_OBJECTS}{quote(kind)}?{query}"
        _, data = await self._call("GET", path, extra=wait)
        self._check_watched(after)
        events = (
            self._read_event(kind, item)
            for item in data.get("events", ())
            if _is_named(item["object"])
        )
        revision = self.era.join(int(data["as_of"]))
        return (
            tuple(e for e in events if _tail(e.record.name).startswith(start)),
            revision,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _create(self, name: str, value: bytes) -> int:
        path = f"{_OBJECTS}{quote(_kind(name))}"
        body = _write_object(name, value, None)
        _, data = await self._call("POST", path, body)
        return self.era.join(int(data["metadata"]["revision"]))

    def _read(self, kind: str, data: dict[str, Any]) -> api.Record:
        return _read_object(kind, data, self.era)

    def _read_all(
        self, kind: str, items: Iterable[Any]
    ) -> Iterator[api.Record]:
        """Decode a list of objects, without those that have no name."""
        return (self._read(kind, item) for item in items if _is_named(item))

    def _read_event(self, kind: str, data: dict[str, Any]) -> api.WatchEvent:
        record = self._read(kind, data["object"])
        if data.get("removed"):
            gone = api.Record(record.name, 0, b"")
            return api.WatchEvent(record.version, gone)
        return api.WatchEvent(record.version, record)

    def _check_condition(self, name: str, version: int | None) -> None:
        """Check that a version which a write names is of the present era.

        Asked before the write and again after its answer, which may be the
        first to tell that the store came back from a copy.

        :raises VersionConflictError: when it is of a former era.
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
        """Take the era that an answer tells.

        :raises magnoliacove.errors.PlatformError: when it is a former one;
            the answer was long on its way, and what it says is void.
        """
        told = [value for name, value in headers if name.lower() == _ERA]
        if not told or not told[0].isdigit() or int(told[0]) > MAX_ERA:
            return
        if not self.era.note(int(told[0]), _SOURCE):
            raise errors.PlatformError(
                "the object API's answer is from before it came back from a "
                "copy",
                errors.Outcome.MAY_HAVE_RUN,
            )

    async def _call(
        self, method: str, path: str, body: bytes = b"", extra: float = 0.0
    ) -> tuple[int, Any]:
        self.calls += 1
        wait = self._timeout + extra
        try:
            response = await self._pool.request(
                method,
                self._url + path,
                headers=[(b"content-type", b"application/json")],
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
            self._note_era(response.headers)
            data = _load(response.content or b"null")
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


def _tail(name: str) -> str:
    return name.partition("/")[2]


def _path(name: str) -> str:
    return f"{_OBJECTS}{quote(_kind(name))}/{quote(_tail(name), safe='')}"


def _load(content: bytes) -> Any:
    """Decode an answer, of which one value may hold bytes that are no text.

    Anybody may have written that value.  The others must still be read, or
    nothing of a whole kind is known any more.
    """
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError:
        return orjson.loads(content.decode("utf-8", "replace"))


def _is_named(item: Any) -> bool:
    meta = item.get("metadata") if isinstance(item, dict) else None
    return isinstance(meta, dict) and isinstance(meta.get("name"), str)


def _read_object(kind: str, data: dict[str, Any], era: StoreEra) -> api.Record:
    meta, spec = data["metadata"], data.get("spec")
    name = f"{kind}/{unquote(meta['name'])}"
    if isinstance(spec, str):
        try:
            value = base64.b64decode(spec, validate=True)
        except ValueError:
            # Text that is no base64; another writer's.
            value = spec.encode()
    else:
        value = orjson.dumps(spec)
    return api.Record(name, era.join(int(meta["revision"])), value)


def _write_object(name: str, value: bytes, version: int | None) -> bytes:
    meta: dict[str, Any] = {"name": _tail(name)}
    if version is not None:
        meta["revision"] = split_revision(version)[1]
    try:
        spec = orjson.loads(value)
        if isinstance(spec, str):
            raise ValueError
    except ValueError:
        spec = base64.b64encode(value).decode()
    return orjson.dumps({"metadata": meta, "spec": spec})
