"""An entry's connections to agents, and the state of their targets."""

from dataclasses import dataclass
import hashlib
from typing import Protocol

import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import routing
from magnoliacove import wire
from magnoliacove.process import Process
from magnoliacove.wire import messages

__all__ = ["PeerChanged", "Receiver", "TargetPool"]

# Agents that an entry connects to for each range of layers.  Connecting
# every entry to every agent would take 280,000 connections at the planned
# size; their heartbeats alone would exceed the control budget.
_MAX_PEERS_PER_RANGE = 12
# Seconds between two checks of the receivers for overdue messages.
_CHECK_INTERVAL = 0.25


@dataclass(frozen=True)
class PeerChanged:
    """Notifies a request that one of its agents was lost or drains.

    :param lost: whether the connection was lost; the agent drains if not.
    """

    name: str
    lost: bool
    reason: str


class Receiver(Protocol):
    """A request in progress that receives messages from agents."""

    def receive(self, source: str, message: object) -> None:
        """Queue a message without waiting.

        :param source: the name of the agent that sent it.
        """

    def depends_on(self, name: str) -> bool:
        """Return whether the request depends on an agent."""

    def check_timeout(self, now: float) -> None:
        """Detect overdue messages; called periodically."""


class TargetPool:
    """The connections to the agents that this entry may use."""

    def __init__(
        self,
        process: Process,
        *,
        peers_per_range: int = _MAX_PEERS_PER_RANGE,
    ) -> None:
        self.estimates = routing.Estimates(process.identity.name)
        self.receivers: dict[bytes, Receiver] = {}
        self._process = process
        self._peers_per_range = peers_per_range
        self._peers: dict[str, wire.Peer] = {}
        self._draining: set[str] = set()
        self._active_count = 0
        self._options: dict[str, list[routing.StageOption]] = {}
        self._listed: dict[str, list[routing.StageOption]] = {}
        self._nursery: trio.Nursery | None = None
        self._peer_connected = trio.Event()

    @property
    def connected(self) -> int:
        """The number of connected agents."""
        return sum(peer.up for peer in self._peers.values())

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Maintain the connections that the configuration requires."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._update_targets()
            self._process.view.listen(self._update_targets)
            task_status.started()
            while True:
                await trio.sleep(_CHECK_INTERVAL)
                now = trio.current_time()
                self._active_count = sum(
                    self.estimates.target(name).own > 0 for name in self._peers
                )
                for receiver in tuple(self.receivers.values()):
                    receiver.check_timeout(now)

    # Choosing among targets.

    def find(self, name: str) -> wire.Peer | None:
        """Return the connection to a target's agent, if it is open."""
        peer = self._peers.get(name)
        return peer if peer is not None and peer.up else None

    def is_reconnecting(self, name: str) -> bool:
        """Return whether the first attempt to reconnect is in progress."""
        peer = self._peers.get(name)
        return peer is not None and not peer.up and peer.failures < 2

    def is_usable(self, name: str) -> bool:
        """Return whether a target may receive new work."""
        return self.find(name) is not None and not self.is_draining(name)

    def is_draining(self, name: str) -> bool:
        """Return whether a target drains, as its agent or the view reports."""
        return name in self._draining or self._process.view.is_leaving(name)

    def list_options(
        self, service: str, without: frozenset[str] = frozenset()
    ) -> list[routing.StageOption]:
        """Return the usable targets of a model."""
        return [
            option
            for option in self._options.get(service, ())
            if option.target not in without and self.is_usable(option.target)
        ]

    def list_listed(
        self, service: str, without: frozenset[str]
    ) -> list[routing.StageOption]:
        """Return a model's active targets, connected or not."""
        return [
            option
            for option in self._listed.get(service, ())
            if option.target not in without
        ]

    def list_plain(self, service: str) -> list[str]:
        """Return the usable targets of a plain service."""
        return [option.target for option in self.list_options(service)]

    async def wait_for_connection(self) -> None:
        """Wait until another agent is connected."""
        await self._peer_connected.wait()

    # Sending.

    def post(self, name: str, message: messages.Message) -> None:
        """Send a message to a target's agent.

        :raises magnoliacove.errors.PeerError: when it is not connected.
        """
        peer = self._peers.get(name)
        if peer is None:
            raise errors.PeerError(f"{name} is not connected")
        peer.post(message)

    # Connections.

    def _update_targets(self) -> None:
        """Apply the current configuration and directory."""
        assert self._nursery is not None
        view = self._process.view
        addresses: dict[str, str] = {}
        self._options = {}
        self._listed = {}
        ranges: dict[tuple[str, int, int], list[configuration.Target]] = {}
        for target in view.document.list_items(configuration.Target):
            key = (target.service, target.first_layer, target.end_layer)
            ranges.setdefault(key, []).append(target)
        for targets in ranges.values():
            for target in self._pick_subset(targets):
                option = routing.StageOption(
                    target.name, target.first_layer, target.end_layer
                )
                if target.state == "active":
                    self._listed.setdefault(target.service, []).append(option)
                instance = view.find_instance(target.name)
                if instance is None or instance.state == "gone":
                    continue
                addresses[target.name] = instance.address
                self._options.setdefault(target.service, []).append(option)
        self._reconnect(addresses)
        for name in list(self._peers):
            if self._process.view.is_leaving(name):
                self._mark_draining(name, "announced")

    def _pick_subset(
        self, targets: list[configuration.Target]
    ) -> list[configuration.Target]:
        """Return the targets of one range of layers to connect to.

        These are all targets of a plain service.  For a model, each entry
        chooses its own subset, which does not depend on the targets' order.
        """
        service = self._process.view.document.find(
            configuration.Service, targets[0].service
        )
        if service is None or service.form == "plain":
            return targets
        own = self._process.identity.name

        def score(target: configuration.Target) -> bytes:
            data = f"{own}\0{target.name}".encode()
            return hashlib.blake2b(data, digest_size=8).digest()

        return sorted(targets, key=score)[: self._peers_per_range]

    def _reconnect(self, addresses: dict[str, str]) -> None:
        assert self._nursery is not None
        for name, peer in list(self._peers.items()):
            if addresses.get(name) == str(peer.address):
                continue
            if peer.up and self._in_use(name):
                # A removed target still completes its running requests.
                continue
            del self._peers[name]
            self._draining.discard(name)
            peer.stop()
            self._notify(PeerChanged(name, True, "it was removed or replaced"))
        for name, address in addresses.items():
            if name in self._peers:
                continue
            peer = wire.Peer(
                name,
                wire.Address.parse(address),
                self._process.network,
                self._process.recorder,
                self._process.make_hello,
                self._handle,
                on_connected=self._on_connected,
                on_disconnected=self._on_disconnected,
                get_heartbeat_interval=self._get_heartbeat_interval,
            )
            self._peers[name] = peer
            self._nursery.start_soon(peer.run)
        self.estimates.discard_unlisted(set(addresses))

    def _get_heartbeat_interval(self, active: bool) -> float:
        """Return the seconds between heartbeats on an idle connection.

        Connections with and without work each have their share of the
        control budget.  If a large fleet makes heartbeats infrequent, a
        stream detects an unresponsive part of its chain by its own stall
        timeout.
        """
        count = self._active_count if active else len(self._peers)
        return count * 2 * defaults.HEARTBEAT_BYTES / defaults.CONTROL_BUDGET

    def _in_use(self, name: str) -> bool:
        return any(r.depends_on(name) for r in self.receivers.values())

    def _on_connected(self, peer: wire.Peer) -> None:
        self._draining.discard(peer.name)
        self._peer_connected.set()
        self._peer_connected = trio.Event()

    def _on_disconnected(self, peer: wire.Peer, reason: str) -> None:
        self.estimates.target(peer.name).failed_at = trio.current_time()
        if peer.failures > 1:
            return
        self._process.recorder.record(
            "target-lost", target=peer.name, why=reason
        )
        self._notify(PeerChanged(peer.name, True, reason))

    def _mark_draining(self, name: str, reason: str) -> None:
        if name in self._draining:
            return
        self._draining.add(name)
        self._process.recorder.record(
            "target-leaving", target=name, why=reason
        )
        self._notify(PeerChanged(name, False, reason))

    def _notify(self, change: PeerChanged) -> None:
        for receiver in tuple(self.receivers.values()):
            if receiver.depends_on(change.name):
                receiver.receive(change.name, change)

    async def _handle(
        self, connection: wire.Connection, message: messages.Message
    ) -> None:
        name = connection.name
        match message:
            case messages.Tokens():
                for token in message.items:
                    receiver = self.receivers.get(token.stream)
                    if receiver is not None:
                        receiver.receive(name, token)
            case messages.Answer():
                if not message.more and not message.replayed:
                    self._record_load(name, message.load)
                self._deliver(message.request, name, message)
            case messages.StageOpened():
                self._record_load(name, message.load)
                self._deliver(message.stream, name, message)
            case messages.Refused() | messages.StageLost():
                if _is_own_engine_failure(message, name):
                    self.estimates.target(name).failed_at = trio.current_time()
                self._deliver(message.stream, name, message)
            case messages.Claimed():
                self._deliver(message.request, name, message)
            case messages.Pong():
                self._record_load(name, message.load)
            case messages.Instances():
                self._process.feed.handle(connection, message)
            case _:
                return

    def _deliver(self, request: bytes, source: str, message: object) -> None:
        receiver = self.receivers.get(request)
        if receiver is not None:
            receiver.receive(source, message)

    def _record_load(self, name: str, load: messages.Load) -> None:
        self.estimates.target(name).note_report(load)
        if load.draining:
            self._mark_draining(name, "its agent announced it")
        elif not self._process.view.is_leaving(name):
            # The operator has cancelled the drain.
            self._draining.discard(name)


def _is_own_engine_failure(
    message: messages.Refused | messages.StageLost, source: str
) -> bool:
    """Return whether an agent reports a failure of its own engine."""
    if isinstance(message, messages.Refused):
        return message.code == "engine_failing"
    return message.name == source
