"""An agent's connections to other agents."""

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
# Seconds to wait for the answer to a request to another agent.
_REQUEST_TIMEOUT = 10.0
# Seconds to wait for a connection whose last attempt failed.
_RECONNECT_TIMEOUT = 0.1
# Seconds to wait for the answer to a check of an open connection.
_VERIFY_TIMEOUT = 0.4


class NeighbourLinks:
    """Opens connections to other agents when a stage needs them.

    :param make_hello: returns the first message on a new connection.
    :param on_link_lost: called with an agent's name and a reason when the
        connection to it is lost.
    """

    def __init__(
        self,
        network: wire.Network,
        recorder: Recorder,
        view: View,
        make_hello: Callable[[], messages.Hello],
        on_link_lost: Callable[[str, str], None],
    ) -> None:
        self._network = network
        self._recorder = recorder
        self._view = view
        self._make_hello = make_hello
        self._on_link_lost = on_link_lost
        self._peers: dict[str, wire.Peer] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the connections open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def connect(
        self, name: str, address: str, *, verify: bool = False
    ) -> bool:
        """Open a connection if there is none; return whether it is up.

        :param verify: whether to check first that an open connection still
            answers.  A stream that stalled may have lost its steps on a
            connection that is unresponsive but not yet detected as such.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = self._start_peer(name, address)
        elif verify and peer.connection is not None:
            connection = peer.connection
            if not await connection.probe(_VERIFY_TIMEOUT):
                connection.close()
                await trio.lowlevel.checkpoint()
        # The peer already retries a connection that failed recently.
        # Waiting longer for it would delay each new stream.
        is_failing = peer.failures > 0
        timeout = (
            _RECONNECT_TIMEOUT if is_failing else defaults.CONNECT_TIMEOUT
        )
        with trio.move_on_after(timeout):
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
        """Return a stage's KV cache from another agent, or None."""
        return await self._request(address, request, messages.Cache)

    async def ask_former_owner(
        self, target: str, request: messages.Vouch
    ) -> bool | None:
        """Return whether the target saw the key, or None if unknown."""
        instance = self._view.find_instance(target)
        if instance is None:
            return None
        answer = await self._request(
            instance.address, request, messages.Vouched
        )
        return answer.seen if answer else None

    async def _request(
        self, address: str, request: messages.Message, kind: type[_T]
    ) -> _T | None:
        return await wire.ask(
            self._network,
            wire.Address.parse(address),
            self._recorder.clock,
            self._make_hello,
            request,
            kind,
            _REQUEST_TIMEOUT,
        )

    def _start_peer(self, name: str, address: str) -> wire.Peer:
        assert self._nursery is not None
        peer = wire.Peer(
            name,
            wire.Address.parse(address),
            self._network,
            self._recorder,
            self._make_hello,
            _ignore,
            on_disconnected=self._handle_peer_down,
            get_heartbeat_interval=self._get_heartbeat_interval,
        )
        self._peers[address] = peer
        self._nursery.start_soon(peer.run)
        return peer

    def _get_heartbeat_interval(self, active: bool) -> float:
        """Return the seconds between heartbeats on an idle connection."""
        traffic = len(self._peers) * defaults.HEARTBEAT_BYTES
        return traffic / defaults.CONTROL_BUDGET * (1 if active else 4)

    def _handle_peer_down(self, peer: wire.Peer, reason: str) -> None:
        if peer.failures == 1:
            self._on_link_lost(peer.name, reason)
        if peer.failures > 3:
            # The instance has been replaced by one at another address.
            self._peers.pop(str(peer.address), None)
            peer.stop()


async def _ignore(_: wire.Connection, message: messages.Message) -> None:
    return None
