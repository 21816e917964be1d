"""Following the store through outages, lost watches and bad input."""

import collections
import json

import trio

from magnoliacove.gateway.store import StoreFollower
from magnoliacove.standins import object_api
from tests.gateway import stubs
from tests.platform import samples

_ENTRY = samples.ENTRY


def _write(version, **changes):
    return json.dumps(
        {**samples.CONFIGURATION, "version": version, **changes}
    ).encode()


async def _start(nursery):
    harness = stubs.GatewayHarness(nursery)
    harness.state.routes = None
    harness.state.seen_traffic = True
    store = object_api.ObjectStore()
    follower = StoreFollower(harness.state, store)
    nursery.start_soon(follower.run)
    return harness.state, store, follower


async def test_a_new_version_is_applied_at_once(autojump_clock, nursery):
    state, store, _ = await _start(nursery)
    await store.put("config/main", _write(7))
    await trio.sleep(0.5)
    assert state.routes.version == 7
    await store.put("config/main", _write(12))
    await trio.sleep(0.1)
    assert state.routes.version == 12


async def test_an_older_version_is_never_applied(autojump_clock, nursery):
    """A peer that is behind, or a late read, provides an older version."""
    state, store, follower = await _start(nursery)
    await store.put("config/main", _write(12))
    await trio.sleep(0.5)
    follower.apply_configuration(_write(7), "a peer")
    assert state.routes.version == 12


async def test_bad_input_leaves_the_last_good_state(autojump_clock, nursery):
    """An operator's version cannot be read, and an engine's entry is
    invalid.  Each error must be logged once and name the field, while the
    last good version stays in force and the other engines stay listed.
    """
    state, store, _ = await _start(nursery)
    await store.put("config/main", _write(7))
    await store.put("servers/i-1", json.dumps(_ENTRY).encode())
    await trio.sleep(0.5)
    bad = [{**samples.ROUTE, "timeout_ms": "soon"}]
    await store.put("config/main", _write(8, routes=bad))
    await store.put("servers/i-2", b'{"service": 5}')
    await trio.sleep(6.0)
    assert state.routes.version == 7
    assert [t.name for t in state.targets.list_all()] == ["i-1"]
    reported = [
        event.why
        for event in state.recorder.list_events()
        if event.kind in ("configuration-unreadable", "target-unreadable")
    ]
    assert len(reported) == 2
    assert any("timeout_ms" in why for why in reported)
    await store.put("config/main", _write(9))
    await trio.sleep(0.5)
    assert state.routes.version == 9


async def test_an_outage_changes_neither_routes_nor_targets(
    autojump_clock, nursery
):
    """The store is unavailable for eight seconds.  Routes and targets must
    stay.  A target whose entry expired meanwhile stays if the entry is
    written again within two seconds, and is removed otherwise.
    """
    state, store, follower = await _start(nursery)
    await store.put("config/main", _write(7))
    for name in ("i-1", "i-2"):
        await store.put(f"servers/{name}", json.dumps(_ENTRY).encode())
    await trio.sleep(0.5)
    store.faults.outage = True
    store.wake_watches()
    await trio.sleep(8.0)
    assert not follower.contact.reachable
    assert len(state.targets.list_all()) == 2
    store.faults.outage = False
    for name in ("i-1", "i-2"):
        await store.delete(f"servers/{name}")
    await trio.sleep(1.0)
    assert len(state.targets.list_all()) == 2
    await store.put("servers/i-1", json.dumps(_ENTRY).encode())
    await trio.sleep(3.0)
    assert [t.name for t in state.targets.list_all()] == ["i-1"]


async def test_everything_is_read_again_after_compaction(
    autojump_clock, nursery
):
    """The history is compacted before a watch receives the latest changes.
    Everything must be read again, so that nothing is missed.
    """
    state, store, _ = await _start(nursery)
    await store.put("config/main", _write(7))
    await store.put("servers/i-1", json.dumps(_ENTRY).encode())
    await trio.sleep(0.5)
    store.faults.dropped_watches = 2
    await store.put("config/main", _write(9))
    await store.delete("servers/i-1")
    store.compact()
    await trio.sleep(4.0)
    assert state.routes.version == 9
    assert not state.targets.list_all()


class _SilentStore(object_api.ObjectStore):
    """A store whose first watch on the list never returns."""

    def __init__(self):
        super().__init__()
        self._silent = 1

    async def watch(self, prefix, after, wait):
        if prefix == "servers/" and self._silent:
            self._silent -= 1
            await trio.sleep_forever()
        return await super().watch(prefix, after, wait)


async def test_a_stuck_watch_is_noticed_by_a_peer_s_newer_list(
    autojump_clock, nursery
):
    """The watch on the list becomes unresponsive, and its call waits long
    because the placement leader polls the store more often.  When that peer
    reports a newer change the list must be read again at once.
    """
    harness = stubs.GatewayHarness(nursery)
    store = _SilentStore()
    follower = StoreFollower(harness.state, store, lambda: True)
    nursery.start_soon(follower.run)
    await trio.sleep(0.5)
    revision = await store.put("servers/i-1", json.dumps(_ENTRY).encode())
    await trio.sleep(2.0)
    assert not harness.state.targets.list_all()
    for _ in range(4):
        follower.compare_list(revision)
        await trio.sleep(0.3)
    assert [t.name for t in harness.state.targets.list_all()] == ["i-1"]


async def test_a_list_that_is_as_new_is_not_read_again(
    autojump_clock, nursery
):
    state, store, follower = await _start(nursery)
    revision = await store.put("servers/i-1", json.dumps(_ENTRY).encode())
    await trio.sleep(0.5)
    for _ in range(5):
        follower.compare_list(revision)
        await trio.sleep(0.3)
    kinds = [event.kind for event in state.recorder.list_events()]
    assert "watch-stuck" not in kinds


async def test_entries_that_expire_in_an_outage_remove_no_live_target(
    autojump_clock, nursery
):
    """A watch waits through a whole outage that only the placement leader
    detects.  When the store is back the watch returns the removal of entries
    that expired meanwhile, but the targets are alive and write their entries
    again.
    """
    harness = stubs.GatewayHarness(nursery)
    store = object_api.ObjectStore()
    follower = StoreFollower(harness.state, store, lambda: True)
    nursery.start_soon(follower.run)
    for name in ("i-1", "i-2"):
        await store.put(f"servers/{name}", json.dumps(_ENTRY).encode())
    await trio.sleep(0.5)
    follower.contact.record_outage()
    await store.delete("servers/i-1")
    await store.delete("servers/i-2")
    await trio.sleep(1.0)
    assert len(harness.state.targets.list_all()) == 2
    await store.put("servers/i-1", json.dumps(_ENTRY).encode())
    await trio.sleep(2.0)
    harness.state.targets.expire()
    assert [t.name for t in harness.state.targets.list_all()] == ["i-1"]
    await trio.sleep(3.0)
    await store.delete("servers/i-1")
    await trio.sleep(0.5)
    assert not harness.state.targets.list_all()


async def test_an_entry_that_another_writer_corrupts_names_no_engine(
    autojump_clock, nursery
):
    """Another writer repeatedly overwrites the entry of one engine.  That
    engine must no longer be used, with one log line that names the field,
    while the other engine stays.  Its own next write restores it.
    """
    state, store, _ = await _start(nursery)
    await store.put("config/main", _write(7))
    for name in ("i-1", "i-2"):
        await store.put(f"servers/{name}", json.dumps(_ENTRY).encode())
    await trio.sleep(0.5)
    for number in range(5):
        corrupted = {**_ENTRY, "state": "resting", "sequence": number}
        await store.put("servers/i-2", json.dumps(corrupted).encode())
        await trio.sleep(0.5)
    assert [t.name for t in state.targets.list_all()] == ["i-1"]
    reported = [
        (event.target, event.why)
        for event in state.recorder.list_events()
        if event.kind == "target-unreadable"
    ]
    assert [target for target, _ in reported] == ["i-2"]
    assert "state" in reported[0][1]
    await store.put("servers/i-2", json.dumps(_ENTRY).encode())
    await trio.sleep(0.5)
    assert len(state.targets.list_all()) == 2


class _CountingStore(object_api.ObjectStore):
    """A store that counts its watches' answers and the objects handed out."""

    def __init__(self):
        super().__init__()
        self.objects_returned = collections.Counter()
        self.answers = 0

    async def get(self, name):
        self.objects_returned[name.partition("/")[0]] += 1
        return await super().get(name)

    async def watch(self, prefix, after, wait):
        events, revision = await super().watch(prefix, after, wait)
        self.objects_returned[prefix.rstrip("/")] += len(events)
        self.answers += bool(events)
        return events, revision


async def test_versions_in_quick_succession_are_not_all_read(
    autojump_clock, nursery
):
    """An operator's script writes a version every 0.08 s.  If every gateway
    reads all 25 configurations, callers' streams stall.  The first version
    must be in force at once, the last one within a second, and most must
    never be read.
    """
    harness = stubs.GatewayHarness(nursery)
    store = _CountingStore()
    nursery.start_soon(StoreFollower(harness.state, store).run)
    await trio.sleep(0.5)
    for version in range(10, 35):
        await store.put("config/main", _write(version))
        if version == 10:
            await trio.sleep(0.01)
            assert harness.state.routes.version == 10
        await trio.sleep(0.08)
    await trio.sleep(1.0)
    assert harness.state.routes.version == 34
    assert store.objects_returned["config"] <= 14


async def test_a_single_change_costs_one_call(autojump_clock, nursery):
    harness = stubs.GatewayHarness(nursery)
    store = _CountingStore()
    nursery.start_soon(StoreFollower(harness.state, store).run)
    for version in (10, 12, 14):
        await trio.sleep(3.0)
        await store.put("config/main", _write(version))
        await trio.sleep(0.01)
        assert harness.state.routes.version == version
    assert store.objects_returned["config"] == 3


async def test_a_gateway_that_follows_a_peer_reads_the_list_less_often(
    autojump_clock, nursery
):
    """Entries change all the time, and each change would wake every gateway.
    A gateway that receives reports of how new the placement leader's list is
    batches changes for a sixth of the time within which a leaving target must
    be known to leave.
    """
    calls = []
    for following in (False, True):
        harness = stubs.GatewayHarness(nursery)
        harness.state.seen_traffic = True
        store = _CountingStore()
        follower = StoreFollower(
            harness.state, store, lambda following=following: following, 4.0
        )
        nursery.start_soon(follower.run)
        await trio.sleep(0.5)
        before = store.answers
        for number in range(100):
            entry = {**_ENTRY, "slots": number + 1}
            await store.put("servers/i-1", json.dumps(entry).encode())
            await trio.sleep(0.04)
        await trio.sleep(0.7)
        [target] = harness.state.targets.list_all()
        assert target.slots == 100
        calls.append(store.answers - before)
    assert calls[1] < 0.5 * calls[0]


async def test_a_list_that_fills_before_any_request_costs_few_calls(
    autojump_clock, nursery
):
    """A fleet starts and its engines write their entries one after the other,
    over four seconds.  Each entry would wake every gateway, before any has a
    request to serve, and the store counts and charges for all calls.
    """
    calls = []
    for seen in (True, False):
        harness = stubs.GatewayHarness(nursery)
        harness.state.seen_traffic = seen
        store = object_api.ObjectStore()
        follower = StoreFollower(harness.state, store, drain=4.0)
        nursery.start_soon(follower.run)
        await trio.sleep(0.5)
        for number in range(40):
            entry = {**_ENTRY, "slots": number + 1}
            await store.put(f"servers/i-{number}", json.dumps(entry).encode())
            await trio.sleep(0.1)
        await trio.sleep(1.0)
        assert len(harness.state.targets.list_all()) == 40
        calls.append(store.counts["watch"])
    assert calls[1] < 0.5 * calls[0]
