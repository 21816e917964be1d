"""What one gateway takes from its peers' heartbeats."""

import random

import pytest

from magnoliacove import peers
from magnoliacove import wire
from magnoliacove.directory.holdings import Holding
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
        harness.crashes,
    )


async def test_a_suspicion_of_a_target_that_is_gone_is_not_taken(tmp_path):
    """A target is gone, and gateways drop it one after the other.  Those
    that still suspect it told the others, which told them in turn: the
    suspicion of a target that no longer exists went round for ever.
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


async def test_a_gateway_that_is_cut_off_hears_of_the_store_s_era(tmp_path):
    """The store came back from a copy, and this gateway cannot reach it.  By
    what it knows an engine that only the lost time had is listed; a peer's
    list, which has a lower number but a later era, says otherwise.
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
            beat = _make_heartbeat(store_era=2, sequence=sequence)
            exchange._take_heartbeat(beat)
        told = [
            event
            for event in harness.state.recorder.list_events()
            if event.kind == "store-restored"
        ]
        assert [event.detail["era"] for event in told] == [1, 2]
        found = PeerSnapshot(b"", (), join_revision(2, 40))
        exchange._take_snapshot(PeerSnapshot.decode(found.encode()), "g-2")
        assert not harness.state.targets.list_all()


async def test_a_holder_gives_way_to_a_peer_that_reaches_the_store(tmp_path):
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        assert not exchange.is_replaced()
        for reachable in (False, True):
            beat = _make_heartbeat(
                acting=True,
                store_reachable=reachable,
                sequence=2 + reachable,
                address=str(wire.Address("127.0.0.1", 2)),
            )
            exchange.heartbeats._take_one(beat)
            assert exchange.is_replaced() == reachable


async def test_a_leaving_holder_is_followed_while_the_store_is_away(tmp_path):
    """The store is away and the holder of the duty is stopped.  It answers
    its callers for some seconds more and still tells that it reached the
    store; nobody placed layers until it was gone, and paths with a gap
    stayed closed for eight seconds.
    """
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        leaving = _make_heartbeat(leaving=True)
        other = _make_heartbeat(
            name="z-3", address="127.0.0.1:3", store_reachable=False
        )
        exchange.heartbeats._take_one(leaving)
        exchange.heartbeats._take_one(other)
        assert exchange.is_first()
        reached = _make_heartbeat(name="z-4", address="127.0.0.1:4")
        exchange.heartbeats._take_one(reached)
        assert not exchange.is_first()


async def test_a_long_wait_of_a_watch_is_no_silence(tmp_path):
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        assert exchange.read_store_silence() > 1e6
        exchange._store.note_answered()
        assert exchange.read_store_silence() == 0.0
        exchange._store.note_lost("refused")
        assert 0.0 <= exchange.read_store_silence() < 1.0


@pytest.mark.parametrize("engines", [130, 850, 3000, 4000])
async def test_a_holder_is_heard_however_many_engines_there_are(
    tmp_path, engines
):
    """The duty's holder tells what each engine holds.  Before 3,500 engines
    that was more than fits one datagram, and it sent none at all: the others
    took it for gone and all asked the store for its lease.
    """
    async with stubs.open_harness() as harness:
        exchange = _make_exchange(harness, tmp_path)
        exchange._is_acting = lambda: True
        rng = random.Random(1)
        names = [f"i-{rng.randrange(16**10):010x}" for _ in range(engines)]
        for name in names:
            first = rng.randrange(70)
            layers = LayerRange(first, first + 10)
            held = Holding(layers, used=rng.uniform(0.0, 1e6))
            harness.state.holdings.note(name, held, rng.random())
        told = set()
        for sequence in range(40):
            made = exchange._make_heartbeat(sequence, ())
            assert len(made.encode()) <= 60_000
            told.update(item.target for item in made.holdings)
        assert told == set(names)
