"""The state of a gateway after the store is restored from an older snapshot.

The tests call the store over HTTP, since only there a revision that is
assigned again looks like the earlier one.
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
_FINGERPRINT = "00c3b2a190817263"
# Writes that the store loses when it is restored.
_LOST_WRITES = 20


class _Scenario:
    """A gateway that follows a store which loses its last writes."""

    def __init__(self, store, state):
        self.store = store
        self.state = state
        self._snapshot = store.take_snapshot()

    async def write(self, name, value):
        await self.store.put(name, json.dumps(value).encode())

    async def write_entry(self, name, value=_ENTRY):
        await self.write(f"servers/{name}", value)

    async def grow_revision(self):
        """Increase the store's revision by unrelated writes."""
        for number in range(_LOST_WRITES):
            await self.write("other/x", number)

    async def save_snapshot(self):
        """Save the snapshot to restore, and increase the revision after it."""
        self._snapshot = self.store.take_snapshot()
        await self.grow_revision()
        await trio.sleep(0.5)

    async def restore(self):
        """Make the store unavailable for a second and restore the snapshot."""
        self.store.faults.outage = True
        self.store.wake_watches()
        await trio.sleep(1.0)
        self.store.restore(self._snapshot)
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
    scenario = _Scenario(store, harness.state)
    for name in ("i-1", "i-2"):
        await scenario.write_entry(name)
    await scenario.write(
        "config/main", {**samples.CONFIGURATION, "version": 7}
    )
    nursery.start_soon(StoreFollower(harness.state, api).run)
    await scenario.wait_names(["i-1", "i-2"], 3.0)
    yield scenario, api


async def test_a_drain_after_the_restore_is_applied(nursery):
    """The store is restored and continues from the snapshot's revision.  An
    engine then reports that it is leaving, at a lower revision than its entry
    had.  Requests that still go there would be cut off when it ends.
    """
    async with _follow(nursery) as (scenario, _):
        await scenario.save_snapshot()
        await scenario.write_entry("i-1", {**_ENTRY, "slots": 95})
        await trio.sleep(0.5)
        await scenario.restore()
        await scenario.write_entry("i-1", {**_ENTRY, "slots": 95})
        await scenario.write_entry("i-1", _LEAVING)
        await scenario.wait_names(["i-2"], 1.5)


async def test_a_drain_that_the_store_lost_stays_in_effect(nursery):
    """An engine reported that it is leaving.  The store is restored from a
    snapshot in which the engine is ready, and the engine writes its entry
    again a second later.  In between it must get no requests.
    """
    async with _follow(nursery) as (scenario, _):
        await scenario.save_snapshot()
        await scenario.write_entry("i-1", _LEAVING)
        await scenario.wait_names(["i-2"], 2.0)
        await scenario.restore()
        for _ in range(20):
            await trio.sleep(0.05)
            assert scenario.list_names() == ["i-2"]
        await scenario.write_entry("i-1", _LEAVING)
        await trio.sleep(0.5)
        assert scenario.list_names() == ["i-2"]


async def test_an_engine_removed_after_the_snapshot_stays_removed(nursery):
    """An engine's entry is removed, then the restore brings it back.  It
    expires some seconds later, since it is not renewed.  Until then it must
    not be used, since the address may belong to another engine.
    """
    async with _follow(nursery) as (scenario, _):
        await scenario.save_snapshot()
        await scenario.store.delete("servers/i-1")
        await scenario.wait_names(["i-2"], 2.0)
        await scenario.restore()
        await scenario.write_entry("i-2")
        for _ in range(30):
            await trio.sleep(0.1)
            assert scenario.list_names() == ["i-2"]
        await scenario.write_entry("i-1")
        await scenario.wait_names(["i-1", "i-2"], 1.0)


async def test_an_engine_that_only_the_lost_writes_had_is_removed(nursery):
    """Two engines join after the snapshot.  After the restore one writes its
    entry again.  The other has ended meanwhile, so it is kept for the usual
    grace time and then removed.
    """
    async with _follow(nursery) as (scenario, _):
        await scenario.save_snapshot()
        await scenario.write_entry("i-3")
        await scenario.write_entry("i-4")
        await scenario.wait_names(["i-1", "i-2", "i-3", "i-4"], 2.0)
        await scenario.restore()
        await trio.sleep(0.5)
        assert scenario.list_names() == ["i-1", "i-2", "i-3", "i-4"]
        await scenario.write_entry("i-3")
        await scenario.wait_names(["i-1", "i-2", "i-3"], 3.5)


async def test_a_version_that_the_store_lost_stays_in_force(nursery):
    """The operator's version 12 revokes a caller's key, then the store is
    restored with version 7, which contains the key.  The key must not work
    again.  The operator writes 12 again and then 15.
    """
    async with _follow(nursery) as (scenario, _):
        await scenario.save_snapshot()
        newer = {**samples.CONFIGURATION, "version": 12}
        await scenario.write("config/main", newer)
        with trio.fail_after(2.0):
            while scenario.state.routes.version != 12:
                await trio.sleep(0.05)
        await scenario.restore()
        for _ in range(20):
            await trio.sleep(0.05)
            assert scenario.state.routes.version == 12
        await scenario.write("config/main", newer)
        await scenario.write("config/main", {**newer, "version": 15})
        await trio.sleep(1.5)
        assert scenario.state.routes.version == 15


async def test_a_quarantine_that_the_store_lost_is_written_again(nursery):
    """A request crashed three engines, and the store lost its quarantine.  If
    all gateways are killed next, the request crashes three more engines.
    """
    async with _follow(nursery) as (scenario, api):
        recorder = timeline.Recorder("g")
        book = QuarantineBook(recorder)
        records = QuarantineRecords(api, book, recorder)
        nursery.start_soon(records.run)
        await scenario.save_snapshot()
        records.save(book.begin(_FINGERPRINT, 3, "a test"))
        await trio.sleep(0.5)
        assert scenario.store.holds(f"quarantines/{_FINGERPRINT}")
        await scenario.restore()
        assert not scenario.store.holds(f"quarantines/{_FINGERPRINT}")
        with trio.fail_after(3.0):
            while not scenario.store.holds(f"quarantines/{_FINGERPRINT}"):
                await trio.sleep(0.05)


@pytest.mark.parametrize("times", [2, 3])
async def test_the_store_is_restored_repeatedly(nursery, times):
    """The store is restored several times in a row."""
    async with _follow(nursery) as (scenario, _):
        for _ in range(times):
            await scenario.save_snapshot()
            await scenario.write_entry("i-2", {**_ENTRY, "slots": 90})
            await scenario.restore()
            await scenario.write_entry("i-2", {**_ENTRY, "slots": 90})
        await scenario.write_entry("i-1", _LEAVING)
        await scenario.wait_names(["i-2"], 2.0)
