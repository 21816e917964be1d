"""Heartbeats among gateways: who lives, what runs where, what is lost.

Each gateway sends its own news to all others as datagrams.  A lost one
matters little, since the next says all of it again; and unlike a
connection, a datagram cannot fall silent for good.
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

# Seconds between heartbeats, for few peers and for each further one; the
# cost of a gateway's heartbeats stays the same as the fleet grows.
_LEAST_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
# The first one goes out so long after the start, in seconds: callers that
# wait go before what it has to load.
_FIRST_AFTER = 0.15
# News that cannot wait is sent at once, but not more often than this.
_LEAST_PAUSE = 0.03
# A peer unheard for so many intervals is taken for gone, at least _GONE.
_GONE_INTERVALS = 6
_GONE = 1.2
# A peer unheard for so long is no longer written to.
_FORGOTTEN = 30.0
_MOST_PEERS_NAMED = 64
_MOST_DATAGRAM = 60_000


@functools.lru_cache(maxsize=1024)
def _parse_address(text: str) -> Address:
    """Return an address; the same ones are sent to and heard of each time."""
    return Address.parse(text)


@dataclass
class Peer:
    """Another gateway, as last heard."""

    heartbeat: Heartbeat
    heard_at: float


class Heartbeats:
    """Sends this gateway's heartbeats and takes the others'.

    :param make: returns this gateway's present heartbeat, told its
        sequence and the peers' addresses.
    :param take: called with each newer heartbeat.
    :param lose: called with the names of peers that are gone.
    """

    def __init__(
        self,
        address: Address,
        seeds: Sequence[Address],
        recorder: Recorder,
        make: Callable[[int, tuple[str, ...]], Heartbeat],
        take: Callable[[Heartbeat], None],
        lose: Callable[[list[str]], None],
    ) -> None:
        self.bytes_sent = 0
        self._address = address
        self._recorder = recorder
        self._make = make
        self._take = take
        self._lose = lose
        self._peers: dict[str, Peer] = {}
        # By address, as heartbeats name them.
        self._heard: dict[str, float] = {}
        self._seeds = {str(seed) for seed in seeds if seed != address}
        self._sequence = 0
        self._news = trio.Event()
        self._live: set[str] = set()
        # Heard since the last line that told so.
        self._untold: list[str] = []

    def list_live(self) -> list[Peer]:
        """Return the peers that were heard lately, by name."""
        limit = trio.current_time() - self._gone_after
        return [
            self._peers[name]
            for name in sorted(self._peers)
            if self._peers[name].heard_at >= limit
        ]

    def add_address(self, address: Address) -> None:
        """Write to one more address from now on."""
        if address != self._address:
            self._heard.setdefault(str(address), trio.current_time())

    def send_soon(self) -> None:
        """Send the next heartbeat at once."""
        self._news.set()

    async def run(self) -> None:
        """Send and take heartbeats until cancelled."""
        socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        with socket:
            await socket.bind((self._address.host, self._address.port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, socket)
                await trio.sleep(_FIRST_AFTER)
                while True:
                    await self._send(socket)
                    await trio.sleep(_LEAST_PAUSE)
                    with trio.move_on_after(self._interval - _LEAST_PAUSE):
                        await self._news.wait()

    @property
    def _interval(self) -> float:
        return max(_LEAST_INTERVAL, _INTERVAL_PER_PEER * len(self._heard))

    @property
    def _gone_after(self) -> float:
        return max(_GONE, _GONE_INTERVALS * self._interval)

    async def _send(self, socket: trio.socket.SocketType) -> None:
        self._news = trio.Event()
        self._tell_heard()
        self._notice_lost()
        self._sequence += 1
        # Only who was heard is named; else gateways would go on telling
        # each other of one that is long gone.
        named = tuple(peer.heartbeat.address for peer in self._draw_named())
        data = self._make(self._sequence, named).encode()
        if len(data) > _MOST_DATAGRAM:
            self._recorder.record(
                "heartbeat-too-long",
                why=f"{len(data)} bytes do not fit one datagram",
            )
            return
        for text in {*self._heard, *self._seeds}:
            address = _parse_address(text)
            try:
                await socket.sendto(data, (address.host, address.port))
                self.bytes_sent += len(data)
            except OSError:
                # An unreachable peer is noticed by its own silence.
                continue

    def _draw_named(self) -> list[Peer]:
        """Return the peers that the next heartbeat names.

        Where there are more than fit, others each time: with always the
        same, the others would never learn of each other, and send their
        callers to engines that are full.
        """
        live = self.list_live()
        if len(live) <= _MOST_PEERS_NAMED:
            return live
        return random.sample(live, _MOST_PEERS_NAMED)

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await socket.recvfrom(65536)
            except OSError:
                # A peer's port was closed; its silence tells the rest.
                continue
            try:
                self._take_one(Heartbeat.decode(data))
            except errors.Error as why:
                self._recorder.record("heartbeat-unreadable", why=str(why))

    def _take_one(self, heartbeat: Heartbeat) -> None:
        now = trio.current_time()
        known = self._peers.get(heartbeat.name)
        rank = (heartbeat.incarnation, heartbeat.sequence)
        if known is not None:
            before = known.heartbeat
            if rank <= (before.incarnation, before.sequence):
                return
        self._peers[heartbeat.name] = Peer(heartbeat, now)
        self._heard[str(_parse_address(heartbeat.address))] = now
        for text in {*heartbeat.peers} - self._heard.keys():
            self.add_address(_parse_address(text))
        if heartbeat.name not in self._live:
            self._live.add(heartbeat.name)
            self._untold.append(heartbeat.name)
        self._take(heartbeat)

    def _tell_heard(self) -> None:
        """Write down which peers are new: all of them after a start."""
        if self._untold:
            self._recorder.record("peers-heard", targets=self._untold)
            self._untold = []

    def _notice_lost(self) -> None:
        live = {peer.heartbeat.name for peer in self.list_live()}
        lost = sorted(self._live - live)
        self._live = live
        for name in lost:
            self._recorder.record("peer-silent", target=name)
        if lost:
            self._lose(lost)
        limit = trio.current_time() - _FORGOTTEN
        for text, heard_at in list(self._heard.items()):
            if heard_at < limit:
                del self._heard[text]
