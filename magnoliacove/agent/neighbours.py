"""An agent's connections to the agents of the next stages."""

from collections.abc import Callable
from typing import TypeVar

import trio
import trio.lowlevel

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import wire
from magnoliacove.directory import View
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["NeighbourLinks"]

_T = TypeVar("_T")
_FETCH_TIMEOUT = 10.0
_KNOWN_DOWN = 0.1
_VERIFY_TIMEOUT = 0.4


class NeighbourLinks:
    """Dials other agents when a stage needs them.

    :param went_down: called with a name and a reason when a link is lost.
    """

    def __init__(
        self,
        network: wire.Network,
        recorder: Recorder,
        view: View,
        hello: Callable[[], messages.Hello],
        went_down: Callable[[str, str], None],
    ) -> None:
        self._network = network
        self._recorder = recorder
        self._view = view
        self._hello = hello
        self._went_down = went_down
        self._peers: dict[str, wire.Peer] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Hold the connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def connect(
        self, name: str, address: str, *, verify: bool = False
    ) -> bool:
        """Open a connection if there is none; return whether it is up.

        :param verify: whether an open connection is asked for a sign of
            life first: a stream that stalled may have lost its steps on a
            connection that is silent and not yet found to be.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = self._start_peer(name, address)
        elif verify and peer.connection is not None:
            connection = peer.connection
            if not await connection.probe(_VERIFY_TIMEOUT):
                connection.close()
                await trio.lowlevel.checkpoint()
        # A neighbour that could not be reached a moment ago is being
        # dialled already; waiting for it would delay each new stream.
        known_down = peer.failures > 0
        limit = _KNOWN_DOWN if known_down else defaults.CONNECT_TIMEOUT
        with trio.move_on_after(limit):
            await peer.wait_up()
        return peer.up

    def send_step(self, name: str, address: str, item: messages.Step) -> None:
        """Send one step to the agent of the next stage."""
        peer = self._peers.get(address)
        if peer is None:
            raise errors.PeerError(f"{name} at {address} is not connected")
        peer.post(messages.Steps((item,)))

    async def fetch_cache(
        self, address: str, request: messages.FetchCache
    ) -> messages.Cache | None:
        """Take a stage's KV cache from another agent, or None."""
        return await self._ask(address, request, messages.Cache)

    async def ask_former_owner(
        self, target: str, request: messages.Vouch
    ) -> bool | None:
        """Return whether it saw the key, or None when it cannot say."""
        instance = self._view.find_instance(target)
        if instance is None:
            return None
        answer = await self._ask(instance.address, request, messages.Vouched)
        return answer.seen if answer else None

    async def _ask(
        self, address: str, request: messages.Message, kind: type[_T]
    ) -> _T | None:
        return await wire.ask(
            self._network,
            wire.Address.parse(address),
            self._recorder.clock,
            self._hello,
            request,
            kind,
            _FETCH_TIMEOUT,
        )

    def _start_peer(self, name: str, address: str) -> wire.Peer:
        assert self._nursery is not None
        peer = wire.Peer(
            name,
            wire.Address.parse(address),
            self._network,
            self._recorder,
            self._hello,
            _ignore,
            went_down=self._note_down,
            get_heartbeat_interval=self._read_pace,
        )
        self._peers[address] = peer
        self._nursery.start_soon(peer.run)
        return peer

    def _read_pace(self, active: bool) -> float:
        """Return the seconds between heartbeats on a quiet connection."""
        size = len(self._peers) * defaults.HEARTBEAT_BYTES
        return size / defaults.CONTROL_BUDGET * (1 if active else 4)

    def _note_down(self, peer: wire.Peer, reason: str) -> None:
        if peer.failures == 1:
            self._went_down(peer.name, reason)
        if peer.failures > 3:
            # The instance was replaced; its successor has another address.
            self._peers.pop(str(peer.address), None)
            peer.stop()


async def _ignore(_: wire.Connection, message: messages.Message) -> None:
    return None
