"""Heartbeats among gateways, for failure detection and state exchange.

Each gateway sends its own state to all others as datagrams.  A lost datagram
matters little, since the next one repeats the whole state; and unlike a
connection, datagrams cannot stall permanently.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import functools
import random

import trio

from magnoliacove import errors
from magnoliacove.peers.datagram import Heartbeat
from magnoliacove.timeline import Recorder
from magnoliacove.wire.network import Address

__all__ = ["Heartbeats", "Peer"]

# Seconds between heartbeats: the minimum, and the part for each peer.  The
# interval grows with the number of peers so that the cost per gateway stays
# constant.
_MIN_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
# Seconds from the start to the first heartbeat: waiting callers are served
# before the libraries that a heartbeat needs are loaded.
_INITIAL_DELAY = 0.15
# Minimum seconds between two heartbeats, also when an urgent update is sent at
# once.
_MIN_PAUSE = 0.03
# A peer is unreachable after this many intervals without a heartbeat, and not
# before this many seconds.
_PEER_TIMEOUT_INTERVALS = 6
_MIN_PEER_TIMEOUT = 1.2
# Seconds without a heartbeat after which an address gets no more datagrams.
_ADDRESS_TIMEOUT = 30.0
# Maximum number of peers' addresses in one heartbeat.
_MAX_PEERS_NAMED = 64
# Maximum size of a datagram in bytes.
_MAX_DATAGRAM = 60_000


@functools.lru_cache(maxsize=1024)
def _parse_address(text: str) -> Address:
    """Return an address; cached, since each heartbeat repeats the same."""
    return Address.parse(text)


@dataclass
class Peer:
    """Another gateway: its latest heartbeat and when it was received."""

    heartbeat: Heartbeat
    received_at: float


class Heartbeats:
    """Sends this gateway's heartbeats and receives those of its peers.

    :param seeds: addresses of gateways that always get heartbeats.
    :param make: returns this gateway's current heartbeat, given its sequence
        number and the peers' addresses.
    :param take: called with each newer heartbeat of a peer.
    :param on_unreachable: called with the names of peers that became
        unreachable.
    """

    def __init__(
        self,
        address: Address,
        seeds: Sequence[Address],
        recorder: Recorder,
        make: Callable[[int, tuple[str, ...]], Heartbeat],
        take: Callable[[Heartbeat], None],
        on_unreachable: Callable[[list[str]], None],
    ) -> None:
        self.bytes_sent = 0
        self._address = address
        self._recorder = recorder
        self._make = make
        self._take = take
        self._on_unreachable = on_unreachable
        self._peers: dict[str, Peer] = {}
        # By address, when a heartbeat last came from it or it was added.
        self._addresses: dict[str, float] = {}
        self._seeds = {str(seed) for seed in seeds if seed != address}
        self._sequence = 0
        self._send_requested = trio.Event()
        self._live: set[str] = set()
        # Names of live peers that are not yet in the log.
        self._unlogged: list[str] = []

    def list_live(self) -> list[Peer]:
        """Return the reachable peers, sorted by name."""
        limit = trio.current_time() - self.peer_timeout
        return [
            self._peers[name]
            for name in sorted(self._peers)
            if self._peers[name].received_at >= limit
        ]

    def add_address(self, address: Address) -> None:
        """Send heartbeats to one more address from now on."""
        if address != self._address:
            self._addresses.setdefault(str(address), trio.current_time())

    def send_soon(self) -> None:
        """Send the next heartbeat at once."""
        self._send_requested.set()

    async def run(self) -> None:
        """Send and receive heartbeats until cancelled."""
        socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        with socket:
            await socket.bind((self._address.host, self._address.port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, socket)
                await trio.sleep(_INITIAL_DELAY)
                while True:
                    await self._send(socket)
                    await trio.sleep(_MIN_PAUSE)
                    with trio.move_on_after(self._interval - _MIN_PAUSE):
                        await self._send_requested.wait()

    @property
    def _interval(self) -> float:
        return max(_MIN_INTERVAL, _INTERVAL_PER_PEER * len(self._addresses))

    @property
    def peer_timeout(self) -> float:
        """Seconds without a heartbeat after which a peer is unreachable."""
        return max(_MIN_PEER_TIMEOUT, _PEER_TIMEOUT_INTERVALS * self._interval)

    async def _send(self, socket: trio.socket.SocketType) -> None:
        self._send_requested = trio.Event()
        self._log_new_peers()
        self._detect_unreachable()
        self._sequence += 1
        # Only peers whose heartbeats arrived recently are named; otherwise
        # gateways would keep announcing an unreachable one to each other.
        named = tuple(peer.heartbeat.address for peer in self._sample_named())
        data = self._make(self._sequence, named).encode()
        if len(data) > _MAX_DATAGRAM:
            self._recorder.record(
                "heartbeat-too-long",
                why=f"{len(data)} bytes do not fit one datagram",
            )
            return
        for text in {*self._addresses, *self._seeds}:
            address = _parse_address(text)
            try:
                await socket.sendto(data, (address.host, address.port))
                self.bytes_sent += len(data)
            except OSError:
                # An unreachable peer is detected by its missing heartbeats.
                continue

    def _sample_named(self) -> list[Peer]:
        """Return the peers that the next heartbeat names.

        When there are more than fit, they are a new random sample each time.
        If they were always the same, the remaining peers would never discover
        each other, and would send their callers to engines that are full.
        """
        live = self.list_live()
        if len(live) <= _MAX_PEERS_NAMED:
            return live
        return random.sample(live, _MAX_PEERS_NAMED)

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await socket.recvfrom(65536)
            except OSError:
                # A peer's port is closed; missing heartbeats will mark the
                # peer as unreachable.
                continue
            try:
                self._handle(Heartbeat.decode(data))
            except errors.Error as exc:
                self._recorder.record("heartbeat-unreadable", why=str(exc))

    def _handle(self, heartbeat: Heartbeat) -> None:
        now = trio.current_time()
        peer = self._peers.get(heartbeat.name)
        rank = (heartbeat.incarnation, heartbeat.sequence)
        if peer is not None:
            previous = peer.heartbeat
            if rank <= (previous.incarnation, previous.sequence):
                return
        self._peers[heartbeat.name] = Peer(heartbeat, now)
        self._addresses[str(_parse_address(heartbeat.address))] = now
        for text in {*heartbeat.peers} - self._addresses.keys():
            self.add_address(_parse_address(text))
        if heartbeat.name not in self._live:
            self._live.add(heartbeat.name)
            self._unlogged.append(heartbeat.name)
        self._take(heartbeat)

    def _log_new_peers(self) -> None:
        """Log which peers are new; after a start these are all peers."""
        if self._unlogged:
            self._recorder.record("peers-heard", targets=self._unlogged)
            self._unlogged = []

    def _detect_unreachable(self) -> None:
        live = {peer.heartbeat.name for peer in self.list_live()}
        unreachable = sorted(self._live - live)
        self._live = live
        for name in unreachable:
            self._recorder.record("peer-silent", target=name)
        if unreachable:
            self._on_unreachable(unreachable)
        limit = trio.current_time() - _ADDRESS_TIMEOUT
        for text, received_at in list(self._addresses.items()):
            if received_at < limit:
                del self._addresses[text]
