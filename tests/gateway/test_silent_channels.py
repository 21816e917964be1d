"""Channels to the store go silent, in virtual time and over the real client.

All open channels go silent, without a reset, while new ones work.  For the
machines this counts as a reset: three seconds later each must again know
what the store has acknowledged, and after that as fast as ever.
"""

from dataclasses import dataclass
import json

import pytest
import trio

from magnoliacove import directory
from magnoliacove import platform
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.placement import leadership
from magnoliacove.standins import object_api
from tests.gateway import stubs
from tests.platform import memory_network
from tests.platform import samples

_ENTRY = samples.ENTRY
# Seconds after a silence in which machines do not count as in touch.
_CONTACT = 3.0
# Seconds after the ack within which a leaving engine gets requests.
_DRAIN = 2.0
# Seconds within which a configuration is in force.
_APPLY = 2.0
# Seconds that a request takes from its caller to the engine.
_MARGIN = 0.1
_HEARTBEAT_INTERVAL = 0.15
_PEER_TIMEOUT = 1.2


@dataclass
class _Gateway:
    """One gateway, as far as it follows the store."""

    name: str
    api: platform.HttpObjectApi
    network: memory_network.MemoryNetwork
    state: object
    follower: StoreFollower
    leadership: leadership.Leadership
    scope: trio.CancelScope
    heard_at: float = 0.0

    @property
    def alive(self):
        return not self.scope.cancel_called


class _Fleet:
    """Gateways that follow one store and send each other heartbeats."""

    def __init__(self, nursery, count):
        self.store = object_api.ObjectStore()
        self.gateways = []
        self._nursery = nursery
        for number in range(count):
            self.gateways.append(self._add(f"g-{number}"))
        nursery.start_soon(self._send_heartbeats)

    @property
    def leader(self):
        return next(
            g for g in self.gateways if g.alive and g.leadership.acting
        )

    def list_followers(self):
        return [g for g in self.gateways if g.alive and g is not self.leader]

    def _add(self, name):
        network = memory_network.MemoryNetwork(
            self._nursery, object_api.make_app(self.store)
        )
        api = platform.HttpObjectApi("http://store:1", timeout=1.0)
        memory_network.connect(api, network)
        state = stubs.GatewayHarness(self._nursery).state
        state.routes = None
        state.seen_traffic = True

        def list_peers():
            limit = trio.current_time() - _PEER_TIMEOUT
            return [
                g
                for g in self.gateways
                if g.name != name and g.heard_at >= limit
            ]

        def has_leader():
            return any(
                g.leadership.acting and g.follower.contact.reachable
                for g in list_peers()
            )

        follower = StoreFollower(state, api, has_leader, _DRAIN)
        lead = leadership.Leadership(
            leadership.LeadershipInputs(
                lambda: 0.0,
                lambda: False,
                lambda: any(g.leadership.acting for g in list_peers()),
                has_leader,
                follower.contact.record_answer,
                follower.contact.record_failure,
                follower.contact.record_silence,
            ),
            directory.Lease(
                api,
                state.recorder,
                leadership.LEASE,
                f"{name}/1",
                duration=leadership.LEASE_SECONDS,
            ),
            state.recorder,
        )
        scope = trio.CancelScope()

        async def decide():
            while True:
                lead.decide()
                await trio.sleep(0.05)

        async def run():
            with scope:
                async with trio.open_nursery() as nursery:
                    for task in (follower.run, lead.run, decide):
                        nursery.start_soon(task)

        self._nursery.start_soon(run)
        return _Gateway(name, api, network, state, follower, lead, scope)

    async def _send_heartbeats(self):
        while True:
            await trio.sleep(_HEARTBEAT_INTERVAL)
            for peer in self.gateways:
                if not peer.alive:
                    continue
                peer.heard_at = trio.current_time()
                for other in self.gateways:
                    if other is not peer and other.alive:
                        self._deliver(peer, other)

    def _deliver(self, peer, other):
        if not peer.leadership.acting:
            return
        follower = other.follower
        if peer.follower.contact.reachable:
            follower.compare_list(peer.state.targets.newest_change)
        follower.contact.record_leader_contact(peer.follower.contact.reachable)

    def silence(self, keep=()):
        for gateway in self.gateways:
            gateway.network.silence(keep)

    async def write_entry(self, name, **changes):
        await self.store.put(
            f"servers/{name}", json.dumps({**_ENTRY, **changes}).encode()
        )

    async def write_configuration(self, version):
        value = {**samples.CONFIGURATION, "version": version}
        await self.store.put("config/main", json.dumps(value).encode())

    async def start(self):
        await self.write_configuration(7)
        for name in ("i-1", "i-2", "i-3"):
            await self.write_entry(name)
        await trio.sleep(8.37)
        for gateway in self.gateways:
            assert _list_names(gateway) == ["i-1", "i-2", "i-3"]


def _list_names(gateway):
    return sorted(t.name for t in gateway.state.targets.list_service("llm"))


async def _leave(fleet, name, how):
    if how == "drains":
        await fleet.write_entry(name, state="draining")
    else:
        await fleet.store.delete(f"servers/{name}")


async def _wait_all(fleet, is_done, until):
    """Wait until all gateways that run know; return those that do not."""
    while trio.current_time() < until:
        if all(is_done(g) for g in fleet.gateways if g.alive):
            return []
        await trio.sleep(0.01)
    return [g.name for g in fleet.gateways if g.alive and not is_done(g)]


@pytest.mark.parametrize("how", ["drains", "is removed"])
@pytest.mark.parametrize("after", [0.0, 0.5, 0.9, 2.0, 4.0, 9.0])
@pytest.mark.parametrize("count", [1, 2, 6])
async def test_silent_channels_hide_no_engine_that_leaves(
    autojump_clock, nursery, count, after, how
):
    """An engine leaves after the channels to the store went silent, and
    requests go to it until it ends, since the gateways wait on them.
    """
    fleet = _Fleet(nursery, count)
    await fleet.start()
    for round_ in range(3):
        await trio.sleep(3.0 + 0.43 * round_)
        name = f"i-{round_ + 1}"
        silent = trio.current_time()
        fleet.silence()
        await trio.sleep(after)
        await _leave(fleet, name, how)
        until = max(silent + _CONTACT, trio.current_time() + _DRAIN) + _MARGIN
        late = await _wait_all(
            fleet, lambda g, name=name: name not in _list_names(g), until
        )
        assert not late, f"round {round_}"


@pytest.mark.parametrize("after", [0.0, 0.5, 2.0, 9.0])
@pytest.mark.parametrize("count", [1, 6])
async def test_silent_channels_hide_no_configuration(
    autojump_clock, nursery, count, after
):
    """A configuration is written after the channels went silent.  The leader
    has to read it in time; the others take it from the leader.
    """
    fleet = _Fleet(nursery, count)
    await fleet.start()
    for round_ in range(3):
        await trio.sleep(3.0 + 0.43 * round_)
        silent = trio.current_time()
        fleet.silence()
        await trio.sleep(after)
        version = 10 + round_
        await fleet.write_configuration(version)
        until = max(silent + _CONTACT, trio.current_time() + _APPLY)
        leader = fleet.leader
        while leader.state.routes.version != version:
            await trio.sleep(0.01)
            assert trio.current_time() < until, f"round {round_}"


@pytest.mark.parametrize("keep", ["leases", "servers", "config"])
async def test_one_working_channel_hides_no_silent_one(
    autojump_clock, nursery, keep
):
    """One channel to the store works on, so that its calls are answered, and
    the others are silent.  Calls that are answered must not prove that the
    watches are.
    """
    fleet = _Fleet(nursery, 2)
    await fleet.start()
    silent = trio.current_time()
    fleet.silence(keep=[keep])
    await trio.sleep(0.5)
    await _leave(fleet, "i-1", "is removed")
    late = await _wait_all(
        fleet,
        lambda g: "i-1" not in _list_names(g),
        silent + _CONTACT + _MARGIN,
    )
    assert not late


@pytest.mark.parametrize("after", [0.0, 0.4])
async def test_followers_notice_silence_without_their_leader(
    autojump_clock, nursery, after
):
    """The channels go silent and the leader, on whose news the others rely,
    ends.  They must not wait for its news until their long watches end.
    """
    fleet = _Fleet(nursery, 4)
    await fleet.start()
    silent = trio.current_time()
    fleet.silence()
    await trio.sleep(after)
    fleet.leader.scope.cancel()
    await _leave(fleet, "i-1", "is removed")
    late = await _wait_all(
        fleet,
        lambda g: "i-1" not in _list_names(g),
        silent + after + _CONTACT + _MARGIN,
    )
    assert not late


async def test_a_silent_channel_is_no_outage(autojump_clock, nursery):
    """The store answers all the time.  An engine that leaves right after the
    silence must not be kept as one whose entry lapsed in an outage.
    """
    fleet = _Fleet(nursery, 2)
    await fleet.start()
    fleet.silence()
    await trio.sleep(0.5)
    await _leave(fleet, "i-1", "is removed")
    await trio.sleep(4.0)
    for gateway in fleet.gateways:
        kinds = [e.kind for e in gateway.state.recorder.list_events()]
        assert "target-missing" not in kinds
        assert "target-gone" in kinds


async def test_the_leader_keeps_its_lease_through_a_silence(
    autojump_clock, nursery
):
    """A renewal of the lease is lost on a silent channel.  If the leader
    waits with the next one, its lease expires although the store answers.
    """
    fleet = _Fleet(nursery, 2)
    await fleet.start()
    leader = fleet.leader
    for _ in range(4):
        fleet.silence()
        for _ in range(60):
            await trio.sleep(0.05)
            assert leader.leadership.acting
        await trio.sleep(0.43)


@pytest.mark.parametrize("path", ["/stream/1", "/once/1"])
async def test_a_stream_is_not_lost_on_a_silent_idle_connection(path):
    """An idle connection to an engine is silent, and the engine works.  A
    stream that is sent on it brings nothing until its caller's time is over.
    """
    script, silence = stubs.fall_silent(stubs.serve_whole)
    async with stubs.open_harness() as harness:
        await harness.add("i-1", script, layers=(0, 80))
        for _ in range(2):
            with trio.fail_after(6.0):
                answer = await stubs.ask_stream(harness, path)
            assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
            silence()


async def test_a_plain_request_is_not_lost_on_a_silent_idle_connection():
    script, silence = stubs.fall_silent(
        stubs.answer_with(stubs.make_answer(b"ok"))
    )
    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2"):
            await harness.add(name, script)
        for _ in range(3):
            with trio.fail_after(1.0):
                assert (await harness.ask("/get/1")).endswith(b"ok")
            silence()
