"""Heartbeats and snapshots among gateways."""

import trio

from magnoliacove import peers
from magnoliacove import timeline
from magnoliacove import wire
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.peers import snapshots
from tests.peers.samples import make_heartbeat


class _Gateway:
    def __init__(self, name, address, seeds):
        self.taken = []
        self.unreachable = []
        self.recorder = timeline.Recorder(name)

        def make(sequence, named):
            return make_heartbeat(name, sequence, named, address=str(address))

        self.heartbeats = peers.Heartbeats(
            address,
            seeds,
            self.recorder,
            make,
            self.taken.append,
            self.unreachable.extend,
        )

    def list_live(self):
        return [p.heartbeat.name for p in self.heartbeats.list_live()]


def _free_port():
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as s:
        s._sock.bind(("127.0.0.1", 0))
        return wire.Address("127.0.0.1", s.getsockname()[1])


async def test_each_of_many_peers_is_eventually_named(nursery):
    """Guards against gateways that do not discover each other and so send
    callers to engines that the others have already filled.

    A heartbeat names at most 64 peers.  With 70 peers, if always the same 64
    were named, the other six would never receive each other's load.
    """
    address, named = _free_port(), set()

    def make(sequence, peers_named):
        named.update(peers_named)
        return make_heartbeat(sequence=sequence, address=str(address))

    heartbeats = peers.Heartbeats(
        address,
        (),
        timeline.Recorder("g"),
        make,
        lambda heartbeat: None,
        lambda names: None,
    )
    nursery.start_soon(heartbeats.run)
    wanted = {f"127.0.1.{n}:9" for n in range(1, 71)}
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as s:
        with trio.fail_after(3.0):
            while len(heartbeats.list_live()) < len(wanted):
                for text in wanted:
                    data = make_heartbeat(f"g-{text}", address=text).encode()
                    await s.sendto(data, (address.host, address.port))
                await trio.sleep(0.05)
    with trio.fail_after(3.0):
        while not wanted <= named:
            heartbeats.send_soon()
            await trio.sleep(0.05)


async def test_gateways_find_each_other_through_one_seed(nursery):
    """Three gateways start, and two have only the first as their seed.  All
    discover each other.  Then one stops, and the others detect it.
    """
    addresses = [_free_port() for _ in range(3)]
    gateways = [
        _Gateway(f"g-{n}", address, addresses[:1])
        for n, address in enumerate(addresses)
    ]
    scopes = []
    for gateway in gateways:
        scope = trio.CancelScope()
        scopes.append(scope)

        async def run(gateway=gateway, scope=scope):
            with scope:
                await gateway.heartbeats.run()

        nursery.start_soon(run)
    with trio.fail_after(3.0):
        while any(len(g.list_live()) < 2 for g in gateways):
            await trio.sleep(0.02)
    scopes[2].cancel()
    with trio.fail_after(3.0):
        while "g-2" not in gateways[0].unreachable:
            await trio.sleep(0.02)
    assert gateways[0].list_live() == ["g-1"]
    nursery.cancel_scope.cancel()


async def test_outdated_and_invalid_datagrams_are_ignored(nursery):
    """A datagram arrives late, after a newer one, and another contains no
    heartbeat.  Neither is applied.
    """
    address = _free_port()
    gateway = _Gateway("g-1", address, [])
    nursery.start_soon(gateway.heartbeats.run)
    await trio.sleep(0.05)
    with trio.socket.socket(
        trio.socket.AF_INET, trio.socket.SOCK_DGRAM
    ) as socket:
        for data in (
            make_heartbeat("g-2", 5).encode(),
            make_heartbeat("g-2", 4).encode(),
            b"nonsense",
            make_heartbeat("g-2", 6).encode(),
        ):
            await socket.sendto(data, (address.host, address.port))
            await trio.sleep(0.02)
    assert [taken.sequence for taken in gateway.taken] == [5, 6]
    nursery.cancel_scope.cancel()


async def test_a_peer_serves_its_snapshot(nursery):
    """A gateway starts while the store is unreachable.  A peer sends it its
    configuration and list of targets.
    """
    snapshot = snapshots.PeerSnapshot(
        b'{"version":7}',
        (
            ListedTarget(
                "i-1",
                "llm",
                wire.Address("10.0.0.1", 80),
                "a",
                layers=LayerRange(0, 9),
                revision=4,
            ),
        ),
        9,
    )
    address = _free_port()
    network, recorder = wire.Network(), timeline.Recorder("g-1")
    nursery.start_soon(
        snapshots.serve_snapshots,
        address,
        "g-1",
        network,
        recorder,
        lambda: snapshot,
    )
    await trio.sleep(0.05)
    answer = await snapshots.ask_snapshot(address, "g-2", network, recorder)
    assert answer == snapshot
    unused = _free_port()
    assert (
        await snapshots.ask_snapshot(unused, "g-2", network, recorder) is None
    )
    nursery.cancel_scope.cancel()
