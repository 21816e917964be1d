"""What a gateway believes once the store came back from an older copy.

The store is spoken to over HTTP here, as only there a revision that was given
out again looks like the one before.
"""

import contextlib
import json

import pytest
import trio

from magnoliacove import platform
from magnoliacove import sockets
from magnoliacove import timeline
from magnoliacove import web
from magnoliacove.gateway.quarantine_records import QuarantineRecords
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.standins import object_api
from tests.gateway import stubs
from tests.platform import samples

_ENTRY = samples.ENTRY
_LEAVING = {**_ENTRY, "state": "draining"}
_BAD = "00c3b2a190817263"
# Writes of the time that the store loses; as many are made again after it.
_LOST_WRITES = 20


class _Play:
    """A gateway that follows a store which loses its last seconds."""

    def __init__(self, store, state):
        self.store = store
        self.state = state
        self._copy = store.copy()

    async def write(self, name, value):
        await self.store.put(name, json.dumps(value).encode())

    async def write_entry(self, name, value=_ENTRY):
        await self.write(f"servers/{name}", value)

    async def pass_time(self):
        """Let the store's revision grow, by writes of no interest."""
        for number in range(_LOST_WRITES):
            await self.write("other/x", number)

    async def copy(self):
        self._copy = self.store.copy()
        await self.pass_time()
        await trio.sleep(0.5)

    async def restore(self):
        """Be away for a second and come back from the copy."""
        self.store.faults.outage = True
        self.store.wake_watches()
        await trio.sleep(1.0)
        self.store.restore(self._copy)
        self.store.faults.outage = False

    def list_names(self):
        return sorted(t.name for t in self.state.targets.list_service("llm"))

    async def wait_names(self, names, within):
        with trio.move_on_after(within):
            while self.list_names() != names:
                await trio.sleep(0.05)
        assert self.list_names() == names


@contextlib.asynccontextmanager
async def _follow(nursery):
    harness = stubs.GatewayHarness(nursery)
    harness.state.routes = None
    store = object_api.ObjectStore()
    app, listener = (
        object_api.make_app(store),
        sockets.bind_socket("127.0.0.1", 0),
    )
    url = await nursery.start(web.run_server, app, listener)
    api = platform.HttpObjectApi(url, timeout=1.0)
    play = _Play(store, harness.state)
    for name in ("i-1", "i-2"):
        await play.write_entry(name)
    await play.write("config/main", {**samples.CONFIGURATION, "version": 7})
    nursery.start_soon(StoreFollower(harness.state, api).run)
    await play.wait_names(["i-1", "i-2"], 3.0)
    yield play, api


async def test_a_drain_told_afterwards_is_believed(nursery):
    """The store comes back from a copy and counts on from it.  An engine
    then says that it leaves, under a lower revision than its entry had.
    Requests that still go to it are cut off when it ends.
    """
    async with _follow(nursery) as (play, _):
        await play.copy()
        await play.write_entry("i-1", {**_ENTRY, "slots": 95})
        await trio.sleep(0.5)
        await play.restore()
        await play.write_entry("i-1", {**_ENTRY, "slots": 95})
        await play.write_entry("i-1", _LEAVING)
        await play.wait_names(["i-2"], 1.5)


async def test_a_drain_told_in_the_lost_time_holds(nursery):
    """An engine says that it leaves, and the gateway knows.  The store comes
    back from a copy in which the engine is ready, and the engine writes its
    entry again a second later.  In between it must get nothing.
    """
    async with _follow(nursery) as (play, _):
        await play.copy()
        await play.write_entry("i-1", _LEAVING)
        await play.wait_names(["i-2"], 2.0)
        await play.restore()
        for _ in range(20):
            await trio.sleep(0.05)
            assert play.list_names() == ["i-2"]
        await play.write_entry("i-1", _LEAVING)
        await trio.sleep(0.5)
        assert play.list_names() == ["i-2"]


async def test_an_engine_that_left_in_the_lost_time_stays_gone(nursery):
    """An engine's entry is removed, then a copy brings it back.  It lapses
    some seconds later, as nobody renews it; the address may be another's.
    """
    async with _follow(nursery) as (play, _):
        await play.copy()
        await play.store.delete("servers/i-1")
        await play.wait_names(["i-2"], 2.0)
        await play.restore()
        await play.write_entry("i-2")
        for _ in range(30):
            await trio.sleep(0.1)
            assert play.list_names() == ["i-2"]
        await play.write_entry("i-1")
        await play.wait_names(["i-1", "i-2"], 1.0)


async def test_an_engine_only_the_lost_time_knew_is_gone(nursery):
    """Two engines join after the copy.  One writes its entry again, the
    other has ended meanwhile: it is kept for the usual time and then gone.
    """
    async with _follow(nursery) as (play, _):
        await play.copy()
        await play.write_entry("i-3")
        await play.write_entry("i-4")
        await play.wait_names(["i-1", "i-2", "i-3", "i-4"], 2.0)
        await play.restore()
        await trio.sleep(0.5)
        assert play.list_names() == ["i-1", "i-2", "i-3", "i-4"]
        await play.write_entry("i-3")
        await play.wait_names(["i-1", "i-2", "i-3"], 3.5)


async def test_a_version_of_the_lost_time_stays_in_force(nursery):
    """The operator's version 12 takes a caller's key away, then the store
    comes back with version 7, in which the key is.  The key must not work
    again; the operator writes 12 and then 15 once more.
    """
    async with _follow(nursery) as (play, _):
        await play.copy()
        newer = {**samples.CONFIGURATION, "version": 12}
        await play.write("config/main", newer)
        with trio.fail_after(2.0):
            while play.state.routes.version != 12:
                await trio.sleep(0.05)
        await play.restore()
        for _ in range(20):
            await trio.sleep(0.05)
            assert play.state.routes.version == 12
        await play.write("config/main", newer)
        await play.write("config/main", {**newer, "version": 15})
        await trio.sleep(1.5)
        assert play.state.routes.version == 15


async def test_a_quarantine_of_the_lost_time_is_written_again(nursery):
    """Three engines ended under a request, and the store forgot that.  When
    all gateways are killed next, the request costs three engines more.
    """
    async with _follow(nursery) as (play, api):
        recorder = timeline.Recorder("g")
        book = QuarantineBook(recorder)
        records = QuarantineRecords(api, book, recorder)
        nursery.start_soon(records.run)
        await play.copy()
        records.save(book.begin(_BAD, 3, "a test"))
        await trio.sleep(0.5)
        assert play.store.holds(f"quarantines/{_BAD}")
        await play.restore()
        assert not play.store.holds(f"quarantines/{_BAD}")
        with trio.fail_after(3.0):
            while not play.store.holds(f"quarantines/{_BAD}"):
                await trio.sleep(0.05)


@pytest.mark.parametrize("times", [2, 3])
async def test_again_and_again(nursery, times):
    """The store comes back from the same copy several times."""
    async with _follow(nursery) as (play, _):
        for _ in range(times):
            await play.copy()
            await play.write_entry("i-2", {**_ENTRY, "slots": 90})
            await play.restore()
            await play.write_entry("i-2", {**_ENTRY, "slots": 90})
        await play.write_entry("i-1", _LEAVING)
        await play.wait_names(["i-2"], 2.0)
