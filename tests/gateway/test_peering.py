"""Heartbeats and snapshots exchanged between one gateway and its peers."""

import random

import pytest
import trio

from magnoliacove import peers
from magnoliacove import wire
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import LayerRange
from magnoliacove.gateway.peering import PeerExchange
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.peers.snapshots import PeerSnapshot
from magnoliacove.platform import settings
from magnoliacove.platform.eras import join_revision
from magnoliacove.standins import object_api
from tests.gateway import stubs
from tests.platform import samples


def _make_heartbeat(**changes):
    values = {
        "name": "g-2",
        "address": "127.0.0.1:1",
        "incarnation": 1,
        "sequence": 1,
        "data_centre": "a",
        "configuration_version": 7,
        "leaving": False,
        "store_reachable": True,
        "crossings": 0,
        "loads": {},
        "suspicions": (),
        "holdings": (),
        "services": {},
        "peers": (),
    }
    return peers.Heartbeat(**{**values, **changes})


def _make_exchange(harness, tmp_path):
    path = samples.write_settings(tmp_path / "s.json", ip="127.0.0.1")
    follower = StoreFollower(harness.state, object_api.ObjectStore())
    return PeerExchange(
        harness.state,
        follower,
        settings.read_settings(path),
        1,
        lambda: False,
        harness.attribution,
    )


async def test_a_suspicion_of_a_removed_target_is_not_recorded(tmp_path):
    """Gateways discard a removed target one after the other.  Those that
    still suspect it report it to the others, which would report it back, so
    the suspicion of a target that no longer exists would circulate forever.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent)
        exchange = _make_exchange(harness, tmp_path)
        suspicions = tuple(
            peers.ReportedSuspicion(name, 0.1, "no report", False)
            for name in ("i-1", "i-9")
        )
        exchange._take_heartbeat(_make_heartbeat(suspicions=suspicions))
        suspected = [s.target for s in harness.state.health.list_suspicions()]
        assert suspected == ["i-1"]


async def test_a_gateway_without_the_store_takes_its_era_from_peers(tmp_path):
    """The store was restored from an older snapshot, and this gateway cannot
    reach it.  Its list still has an engine that the snapshot lacks.  A peer's
    list, with a lower revision but a later era, must replace it.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent)
        harness.state.targets.replace(
            harness.state.targets.list_all(),
            join_revision(1, 90),
            after_outage=False,
        )
        exchange = _make_exchange(harness, tmp_path)
        exchange._store.era.note(1, "the store")
        for sequence in (1, 2):
            heartbeat = _make_heartbeat(store_era=2, sequence=sequence)
            exchange._take_heartbeat(heartbeat)
        reported = [
            event
            for event in harness.state.recorder.list_events()
            if event.kind == "store-restored"
        ]
        assert [event.detail["era"] for event in reported] == [1, 2]
        snapshot = PeerSnapshot(b"", (), join_revision(2, 40))
        exchange._take_snapshot(PeerSnapshot.decode(snapshot.encode()), "g-2")
        assert not harness.state.targets.list_all()


async def test_a_leader_yields_to_a_peer_that_reaches_the_store(tmp_path):
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        assert not exchange.has_acting_peer_with_store()
        for reachable in (False, True):
            heartbeat = _make_heartbeat(
                acting=True,
                store_reachable=reachable,
                sequence=2 + reachable,
                address=str(wire.Address("127.0.0.1", 2)),
            )
            exchange.heartbeats._handle(heartbeat)
            assert exchange.has_acting_peer_with_store() == reachable


async def test_a_leaving_leader_is_replaced_during_a_store_outage(tmp_path):
    """The placement leader is stopped during an outage of the store.  It
    serves its callers for some seconds more and still reports that it reaches
    the store.  If it counted, no gateway would place layers until it is gone,
    and paths with a gap would stay closed for eight seconds.
    """
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        leaving = _make_heartbeat(leaving=True)
        other = _make_heartbeat(
            name="z-3", address="127.0.0.1:3", store_reachable=False
        )
        exchange.heartbeats._handle(leaving)
        exchange.heartbeats._handle(other)
        assert exchange.is_fallback_leader()
        reached = _make_heartbeat(name="z-4", address="127.0.0.1:4")
        exchange.heartbeats._handle(reached)
        assert not exchange.is_fallback_leader()


async def test_the_store_outage_is_measured_from_the_first_failure(tmp_path):
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        assert exchange.measure_store_outage() > 1e6
        exchange._store.contact.record_answer()
        assert exchange.measure_store_outage() == 0.0
        exchange._store.contact.record_failure("refused")
        assert 0.0 <= exchange.measure_store_outage() < 1.0


@pytest.mark.parametrize("engines", [130, 850, 3000, 4000])
async def test_a_leader_s_heartbeats_fit_with_any_number_of_engines(
    tmp_path, autojump_clock, engines
):
    """The placement leader reports the status of each engine.  With fewer
    than 3,500 engines this already exceeds one datagram, and a heartbeat that
    is too long is not sent.  The others would consider the leader unreachable
    and all request its lease from the store.
    """
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        exchange._is_acting = lambda: True
        rng = random.Random(1)
        names = [f"i-{rng.randrange(16**10):010x}" for _ in range(engines)]
        for name in names:
            first = rng.randrange(70)
            layers = LayerRange(first, first + 10)
            status = EngineStatus(layers, used=rng.uniform(0.0, 1e6))
            harness.state.engine_statuses.note(name, status, rng.random())
        reported = set()
        for sequence in range(40):
            heartbeat = exchange._make_heartbeat(sequence, ())
            assert len(heartbeat.encode()) <= 60_000
            reported.update(item.target for item in heartbeat.holdings)
        assert reported == set(names)


async def test_heartbeats_name_a_leaving_target_for_as_long_as_it_leaves(
    tmp_path, autojump_clock
):
    """After 10 s heartbeats no longer named a target that still leaves, and
    another gateway sent it a request.  The age lets a gateway of an older
    version ignore it, as one that is over.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent)
        exchange = _make_exchange(harness, tmp_path)
        harness.state.health.note_leaving("i-1")
        await trio.sleep(30.0)
        heartbeat = exchange._make_heartbeat(1, ())
        [told] = heartbeat.suspicions
        assert (told.target, told.leaving) == ("i-1", True)
        assert told.age >= 30.0
        [sent] = peers.Heartbeat.decode(heartbeat.encode()).suspicions
        assert (sent.target, sent.leaving) == ("i-1", True)
        assert sent.age == pytest.approx(told.age, abs=0.001)


@pytest.mark.parametrize(
    ("peer_timeout", "names", "leader", "relies"),
    [
        (1.2, ("h-2", "h-3"), "h-3", True),
        (1.2, ("a-1", "h-3"), "g-1", False),
        (1.2, ("a-1", "h-3"), "", False),
        (4.9, ("h-2", "h-3"), "h-3", False),
        (4.9, ("a-1", "h-3"), "h-3", True),
        (4.9, ("a-1", "h-3"), "g-1", False),
        (4.9, ("a-1", "h-3"), "", True),
    ],
)
async def test_another_gateway_than_the_leader_reports_changes_in_large_fleets(
    tmp_path, peer_timeout, names, leader, relies
):
    """In a large fleet it takes seconds until a leader that ended is missed.
    Gateways whose channels are silent would learn of no change meanwhile.
    """
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        exchange._state.name = "g-1"
        exchange.heartbeats = stubs.LiveHeartbeats(
            peer_timeout,
            [
                _make_heartbeat(name=name, acting=name == leader)
                for name in names
            ],
        )
        exchange._is_acting = lambda: leader == "g-1"
        assert exchange.relies_on_peers() == relies


async def test_a_moment_without_the_store_is_no_outage_of_the_leader(
    tmp_path, autojump_clock
):
    """The leader's channel went silent, and for a moment it reports that it
    does not reach the store.  Removals must not be taken for entries that
    lapsed in an outage, unless it says so for long enough.
    """
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        follower = exchange._store
        follower.contact.record_answer()
        await trio.sleep(9.0)
        for reachable in (False, False, True, False):
            exchange._take_heartbeat(
                _make_heartbeat(acting=True, store_reachable=reachable)
            )
            await trio.sleep(0.2)
        assert not follower.contact.follows_outage
        for _ in range(4):
            exchange._take_heartbeat(
                _make_heartbeat(acting=True, store_reachable=False)
            )
            await trio.sleep(0.2)
        assert follower.contact.follows_outage


async def test_the_leader_reports_a_departure_at_once(tmp_path):
    """In a large fleet heartbeats are rare, and peers whose own channels are
    silent send requests to an engine that left until the next one.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent)
        exchange = _make_exchange(harness, tmp_path)
        assert not exchange.heartbeats._send_requested.is_set()
        harness.state.targets.remove("i-1", 99)
        assert exchange.heartbeats._send_requested.is_set()
