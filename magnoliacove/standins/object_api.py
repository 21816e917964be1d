"""A stand-in for the platform's object API, with injected faults."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
import json
from typing import Any

import trio

from magnoliacove import errors
from magnoliacove import web
from magnoliacove.platform import api
from magnoliacove.platform.eras import StoreEra
from magnoliacove.platform.eras import split_revision

__all__ = ["Faults", "ObjectStore", "StoreSnapshot", "make_app"]

# Number of past writes that watches can start from.
_MAX_HISTORY = 10_000
_OBJECTS = "/v1/objects/"
# Number of objects on one page of a listing.
_PAGE_SIZE = 500
_OUTAGE_MESSAGE = "the platform is out of service"


@dataclass
class Faults:
    """The faults that are injected at present.

    :param outage: whether all calls are refused.
    :param delay: seconds that each call takes.
    :param lost_answers: number of writes that take effect without an
        answer.
    :param dropped_watches: number of watches that end with an error.
    :param calls_per_second: limit above which calls are refused; 0 for no
        limit.
    """

    outage: bool = False
    delay: float = 0.0
    lost_answers: int = 0
    dropped_watches: int = 0
    calls_per_second: int = 0


@dataclass(frozen=True)
class StoreSnapshot:
    """The content of a store at one revision."""

    records: Mapping[str, api.Record]
    revision: int


class ObjectStore:
    """An object store in memory that implements the object API.

    It counts revisions as the platform's store does: after a restore from
    an older snapshot it assigns the numbers after the snapshot again.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.era = StoreEra()
        self.era.note(0, "")
        self.counts: dict[str, int] = {}
        self.waiting_watches = 0
        self._records: dict[str, api.Record] = {}
        self._revision = 0
        self._history: deque[api.WatchEvent] = deque(maxlen=_MAX_HISTORY)
        self._compacted_revision = 0
        self._changed = trio.Event()
        self._recent_calls: deque[float] = deque()

    def renew_channels(self, began: float) -> None:
        """Do nothing: calls in memory need no connection."""

    async def get(self, name: str) -> api.Record | None:
        """Return an object, or None if it does not exist."""
        await self._begin_call("get")
        record = self._records.get(name)
        return self._add_era(record) if record else None

    async def list_records(
        self, prefix: str, *, stale: bool = False
    ) -> api.Listing:
        """Return the objects whose names start with a prefix."""
        await self._begin_call("list")
        records = (
            self._add_era(record)
            for name, record in self._records.items()
            if name.startswith(prefix)
        )
        return api.Listing(tuple(records), self.era.join(self._revision))

    async def put(
        self, name: str, value: bytes, if_version: int | None = None
    ) -> int:
        """Write an object and return its version."""
        await self._begin_call("put")
        self._check_version(name, if_version)
        record = api.Record(name, self._revision + 1, value)
        self._records[name] = record
        self._record_write(record)
        self._lose_answer()
        return self.era.join(record.version)

    async def delete(self, name: str, if_version: int | None = None) -> None:
        """Delete an object if it has the given version."""
        await self._begin_call("delete")
        self._check_version(name, if_version)
        if self._records.pop(name, None) is not None:
            self._record_write(api.Record(name, 0, b""))
        self._lose_answer()

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> tuple[tuple[api.WatchEvent, ...], int]:
        """Wait for writes under a prefix after a revision."""
        await self._begin_call("watch")
        era = self.era.number
        oldest, newest = (
            self.era.join(self._compacted_revision),
            self._revision,
        )
        if not oldest <= after <= self.era.join(newest):
            raise api.CompactedError("the revision is compacted; list again")
        self.waiting_watches += 1
        try:
            with trio.move_on_after(timeout):
                while not self._find_events(prefix, after):
                    await self._changed.wait()
        finally:
            self.waiting_watches -= 1
        restored = era != self.era.number
        if self.faults.dropped_watches or self.faults.outage or restored:
            self.faults.dropped_watches -= bool(self.faults.dropped_watches)
            raise errors.PlatformError(
                "the watch was dropped", errors.Outcome.NOT_RUN
            )
        events = tuple(self._find_events(prefix, after))
        return events, self.era.join(self._revision)

    def take_snapshot(self) -> StoreSnapshot:
        """Return a snapshot of the present content."""
        return StoreSnapshot(dict(self._records), self._revision)

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore an older snapshot; all writes after it are lost."""
        self._records = dict(snapshot.records)
        self._revision = snapshot.revision
        self.compact()
        self.era.note(self.era.number + 1, "the stand-in")
        self.wake_watches()

    def _add_era(self, record: api.Record) -> api.Record:
        return replace(record, version=self.era.join(record.version))

    def holds(self, name: str) -> bool:
        """Return whether an object exists, regardless of faults."""
        return name in self._records

    def compact(self) -> None:
        """Discard the history of writes, as a platform does periodically."""
        self._history.clear()
        self._compacted_revision = self._revision

    def wake_watches(self) -> None:
        """Wake waiting watches so that they check for writes and faults."""
        self._changed.set()
        self._changed = trio.Event()

    async def _begin_call(self, call: str) -> None:
        self.counts[call] = self.counts.get(call, 0) + 1
        await trio.lowlevel.checkpoint()
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        if self.faults.outage:
            raise errors.PlatformError(_OUTAGE_MESSAGE, errors.Outcome.NOT_RUN)
        self._limit_rate()

    def _limit_rate(self) -> None:
        limit = self.faults.calls_per_second
        if not limit:
            return
        now = trio.current_time()
        while self._recent_calls and self._recent_calls[0] <= now - 1.0:
            self._recent_calls.popleft()
        # A waiting watch counts as one call in each second of its wait.
        if len(self._recent_calls) + self.waiting_watches >= limit:
            raise errors.PlatformError(
                "the platform's rate limit is reached",
                errors.Outcome.NOT_RUN,
            )
        self._recent_calls.append(now)

    def _check_version(self, name: str, if_version: int | None) -> None:
        current = self._records.get(name)
        version = self.era.join(current.version) if current else 0
        if if_version is not None and if_version != version:
            raise api.VersionConflictError(
                f"{name} has version {version}, not {if_version}"
            )

    def _record_write(self, record: api.Record) -> None:
        self._revision += 1
        if len(self._history) == _MAX_HISTORY:
            self._compacted_revision = split_revision(
                self._history[0].revision
            )[1]
        if record.version:
            record = self._add_era(record)
        revision = self.era.join(self._revision)
        self._history.append(api.WatchEvent(revision, record))
        self.wake_watches()

    def _lose_answer(self) -> None:
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise errors.PlatformError(
                "the answer was lost", errors.Outcome.MAY_HAVE_RUN
            )

    def _find_events(self, prefix: str, after: int) -> list[api.WatchEvent]:
        if self.faults.dropped_watches or self.faults.outage:
            return [api.WatchEvent(0, api.Record("", 0, b""))]
        return [
            event
            for event in self._history
            if event.revision > after and event.record.name.startswith(prefix)
        ]


def make_app(store: ObjectStore) -> web.App:
    """Return an ASGI application that serves a store over HTTP.

    ``POST /faults`` with a JSON object sets the given faults.
    """

    async def answer(request: web.Request) -> web.Response:
        response = await answer_call(request)
        era = str(store.era.number).encode()
        return replace(response, headers=((b"store-era", era),))

    async def answer_call(request: web.Request) -> web.Response:
        if request.path == "/faults":
            for name, value in json.loads(request.body).items():
                setattr(store.faults, name, value)
            store.wake_watches()
            return web.Response(200, store.faults.__dict__)
        try:
            return web.Response(200, await _dispatch(store, request))
        except api.VersionConflictError as exc:
            return web.Response(409, {"error": str(exc)})
        except api.CompactedError as exc:
            return web.Response(410, {"error": str(exc)})
        except errors.NotFoundError as exc:
            return web.Response(404, {"error": str(exc)})
        except errors.PlatformError as exc:
            not_run = exc.outcome is errors.Outcome.NOT_RUN
            return web.Response(503 if not_run else 500, {"error": str(exc)})

    return web.make_app(answer)


async def _dispatch(store: ObjectStore, request: web.Request) -> Any:
    kind, _, name = request.path.removeprefix(_OBJECTS).partition("/")
    if request.method == "GET" and not name:
        return await _read_kind(store, kind, request.query)
    if request.method == "GET":
        record = await store.get(f"{kind}/{name}")
        if record is None:
            raise errors.NotFoundError(f"there is no {kind} {name}")
        return _write_object(record)
    if request.method == "DELETE":
        expected = request.query.get("revision")
        version = None if expected is None else store.era.join(int(expected))
        await store.delete(f"{kind}/{name}", version)
        return {}
    data = json.loads(request.body)
    name = name or data["metadata"]["name"]
    version = data["metadata"].get("revision")
    if version is not None:
        version = store.era.join(version)
    if request.method == "POST":
        version = 0
    elif not store.holds(f"{kind}/{name}"):
        raise errors.NotFoundError(f"there is no {kind} {name}")
    value = json.dumps(data["spec"]).encode()
    written = await store.put(f"{kind}/{name}", value, version)
    return _write_object(api.Record(f"{kind}/{name}", written, value))


async def _read_kind(
    store: ObjectStore, kind: str, query: dict[str, str]
) -> dict[str, Any]:
    if "watch" in query:
        seconds = float(query["wait_ms"]) / 1000
        after = store.era.join(int(query["watch"]))
        events, revision = await store.watch(f"{kind}/", after, seconds)
        entries = [
            {
                "removed": not event.record.version,
                "object": _write_object(event.record),
            }
            for event in events
        ]
        return {"events": entries, "as_of": split_revision(revision)[1]}
    listing = await store.list_records(f"{kind}/")
    ordered = sorted(listing.records, key=lambda record: record.name)
    start = f"{kind}/{query.get('after', '')}"
    following = [record for record in ordered if record.name > start]
    return {
        "items": [_write_object(record) for record in following[:_PAGE_SIZE]],
        "has_more": len(following) > _PAGE_SIZE,
        "as_of": split_revision(listing.revision)[1],
    }


def _write_object(record: api.Record) -> dict[str, Any]:
    name = record.name.partition("/")[2]
    revision = split_revision(record.version)[1]
    meta = {"name": name, "revision": revision, "finalizers": []}
    spec = json.loads(record.value) if record.value else None
    return {"metadata": meta, "spec": spec, "status": None}
