"""Contract tests of the object API, in this process and over HTTP."""

import contextlib

import pytest
import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove import sockets
from magnoliacove import web
from magnoliacove.standins import object_api


@contextlib.asynccontextmanager
async def _open(over_http):
    store = object_api.ObjectStore()
    if not over_http:
        yield store, store
        return
    async with trio.open_nursery() as nursery:
        url = await nursery.start(
            web.run_server,
            object_api.make_app(store),
            sockets.bind_socket("127.0.0.1", 0),
        )
        yield store, platform.HttpObjectApi(url)
        nursery.cancel_scope.cancel()


_BOTH = pytest.mark.parametrize("over_http", [False, True])


@_BOTH
async def test_conditional_writes_and_watches(over_http):
    async with _open(over_http) as (_, api):
        first = await api.put("a/x", b"1", 0)
        with pytest.raises(platform.VersionConflictError):
            await api.put("a/x", b"2", 0)
        second = await api.put("a/x", b"2", first)
        assert second > first
        assert (await api.get("a/x")).value == b"2"
        assert await api.get("a/none") is None
        listing = await api.list_records("a/")
        await api.put("b/y", b"other")
        await api.put("a/z", b"3")
        await api.delete("a/x", second)
        events, revision = await api.watch("a/", listing.revision, 5.0)
        names = [(e.record.name, e.record.version > 0) for e in events]
        assert names == [("a/z", True), ("a/x", False)]
        assert await api.watch("a/", revision, 0.05) == ((), revision)


# Each fault, the call that it affects and the outcome to be reported.
_FAULTS = [
    ({"outage": True}, "put", errors.Outcome.NOT_RUN),
    ({"outage": True}, "get", errors.Outcome.NOT_RUN),
    ({"lost_answers": 1}, "put", errors.Outcome.MAY_HAVE_RUN),
    ({"lost_answers": 1}, "delete", errors.Outcome.MAY_HAVE_RUN),
    ({"dropped_watches": 1}, "watch", errors.Outcome.NOT_RUN),
    ({"calls_per_second": 1}, "put", errors.Outcome.NOT_RUN),
]


@_BOTH
@pytest.mark.parametrize(("faults", "call", "outcome"), _FAULTS)
async def test_faults_report_the_outcome(over_http, faults, call, outcome):
    async with _open(over_http) as (store, api):
        version = await api.put("k/a", b"1")
        for name, value in faults.items():
            setattr(store.faults, name, value)
        calls = {
            "put": lambda: api.put("k/a", b"2", version),
            "get": lambda: api.get("k/a"),
            "delete": lambda: api.delete("k/a", version),
            "watch": lambda: api.watch("k/", 0, 1.0),
        }
        if "calls_per_second" in faults:
            await api.get("k/a")
        with pytest.raises(errors.PlatformError) as caught:
            await calls[call]()
        assert caught.value.outcome is outcome
        ran = (await _read_stored_value(store)) != b"1"
        assert ran == (outcome is errors.Outcome.MAY_HAVE_RUN)


async def _read_stored_value(store):
    """Return the value in the store, without any faults."""
    store.faults = object_api.Faults()
    record = await store.get("k/a")
    return record.value if record else None


@_BOTH
async def test_compacted_watch(over_http):
    async with _open(over_http) as (store, api):
        await api.put("k/a", b"1")
        store.compact()
        with pytest.raises(platform.CompactedError):
            await api.watch("k/", 0, 1.0)


async def test_connection_refused():
    api = platform.HttpObjectApi("http://127.0.0.1:9")
    with pytest.raises(errors.PlatformError) as caught:
        await api.put("k/a", b"1")
    assert caught.value.outcome is errors.Outcome.NOT_RUN
