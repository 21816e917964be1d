"""An entry's connections to agents, and what it knows of their targets."""

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

# An entry stays connected to so many agents of each range of layers.  Every
# entry connected to every agent would be 280,000 connections at the size
# planned for, whose heartbeats alone exceed the control budget.
_PEERS_PER_RANGE = 12
_CHECK_EVERY = 0.25


@dataclass(frozen=True)
class PeerChanged:
    """Tells a request that an agent it uses was lost or begins to leave."""

    name: str
    lost: bool
    reason: str


class Receiver(Protocol):
    """A request that messages of agents belong to."""

    def receive(self, source: str, message: object) -> None:
        """Take a message without waiting.

        :param source: the name of the agent that sent it.
        """

    def uses(self, name: str) -> bool:
        """Return whether the request depends on an agent."""

    def check(self, now: float) -> None:
        """Notice what is overdue; called now and then."""


class TargetPool:
    """The agents that this entry may use."""

    def __init__(
        self,
        process: Process,
        *,
        peers_per_range: int = _PEERS_PER_RANGE,
    ) -> None:
        self.estimates = routing.Estimates(process.identity.name)
        self.receivers: dict[bytes, Receiver] = {}
        self._process = process
        self._peers_per_range = peers_per_range
        self._peers: dict[str, wire.Peer] = {}
        self._draining: set[str] = set()
        self._active = 0
        self._options: dict[str, list[routing.StageOption]] = {}
        self._nursery: trio.Nursery | None = None
        self._came_up = trio.Event()

    @property
    def connected(self) -> int:
        """How many agents are connected."""
        return sum(peer.up for peer in self._peers.values())

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the connections that the configuration asks for."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._refresh()
            self._process.view.listen(self._refresh)
            task_status.started()
            while True:
                await trio.sleep(_CHECK_EVERY)
                now = trio.current_time()
                self._active = sum(
                    self.estimates.target(name).own > 0 for name in self._peers
                )
                for receiver in tuple(self.receivers.values()):
                    receiver.check(now)

    # Choosing among targets.

    def find(self, name: str) -> wire.Peer | None:
        """Return the connection to a target's agent, if it is open."""
        peer = self._peers.get(name)
        return peer if peer is not None and peer.up else None

    def is_reconnecting(self, name: str) -> bool:
        """Return whether a new connection is being tried the first time."""
        peer = self._peers.get(name)
        return peer is not None and not peer.up and peer.failures < 2

    def is_usable(self, name: str) -> bool:
        """Return whether new work may go to a target."""
        return self.find(name) is not None and not self.is_draining(name)

    def is_draining(self, name: str) -> bool:
        """Return whether a target is leaving, by anybody's word."""
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

    def list_plain(self, service: str) -> list[str]:
        """Return the usable targets of a plain service."""
        return [option.target for option in self.list_options(service)]

    async def wait_came_up(self) -> None:
        """Wait until another agent is connected."""
        await self._came_up.wait()

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

    def _refresh(self) -> None:
        """Follow the configuration and the directory."""
        assert self._nursery is not None
        view = self._process.view
        wanted: dict[str, str] = {}
        self._options = {}
        ranges: dict[tuple[str, int, int], list[configuration.Target]] = {}
        for target in view.document.list_items(configuration.Target):
            key = (target.service, target.first_layer, target.end_layer)
            ranges.setdefault(key, []).append(target)
        for targets in ranges.values():
            for target in self._pick_subset(targets):
                instance = view.find_instance(target.name)
                if instance is None or instance.state == "gone":
                    continue
                wanted[target.name] = instance.address
                self._options.setdefault(target.service, []).append(
                    routing.StageOption(
                        target.name, target.first_layer, target.end_layer
                    )
                )
        self._reconnect(wanted)
        for name in list(self._peers):
            if self._process.view.is_leaving(name):
                self._note_draining(name, "announced")

    def _pick_subset(
        self, targets: list[configuration.Target]
    ) -> list[configuration.Target]:
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

    def _reconnect(self, wanted: dict[str, str]) -> None:
        assert self._nursery is not None
        for name, peer in list(self._peers.items()):
            if wanted.get(name) == str(peer.address):
                continue
            if peer.up and self._in_use(name):
                # A target that was removed still ends what it runs.
                continue
            del self._peers[name]
            self._draining.discard(name)
            peer.stop()
            self._tell(PeerChanged(name, True, "it was removed or replaced"))
        for name, address in wanted.items():
            if name in self._peers:
                continue
            peer = wire.Peer(
                name,
                wire.Address.parse(address),
                self._process.network,
                self._process.recorder,
                self._process.make_hello,
                self._handle,
                came_up=self._note_up,
                went_down=self._note_down,
                read_pace=self._read_pace,
            )
            self._peers[name] = peer
            self._nursery.start_soon(peer.run)
        self.estimates.forget(set(wanted))

    def _read_pace(self, active: bool) -> float:
        """Return the seconds between heartbeats on a quiet connection.

        Connections with work and those without share the budget.  Where a
        large fleet slows heartbeats down, a stream notices by its own
        stall that something in its chain is silent.
        """
        count = self._active if active else len(self._peers)
        return count * 2 * defaults.HEARTBEAT_BYTES / defaults.CONTROL_BUDGET

    def _in_use(self, name: str) -> bool:
        return any(r.uses(name) for r in self.receivers.values())

    def _note_up(self, peer: wire.Peer) -> None:
        self._draining.discard(peer.name)
        self._came_up.set()
        self._came_up = trio.Event()

    def _note_down(self, peer: wire.Peer, reason: str) -> None:
        self.estimates.target(peer.name).failed_at = trio.current_time()
        if peer.failures > 1:
            return
        self._process.recorder.record(
            "target-lost", target=peer.name, why=reason
        )
        self._tell(PeerChanged(peer.name, True, reason))

    def _note_draining(self, name: str, why: str) -> None:
        if name in self._draining:
            return
        self._draining.add(name)
        self._process.recorder.record("target-leaving", target=name, why=why)
        self._tell(PeerChanged(name, False, why))

    def _tell(self, change: PeerChanged) -> None:
        for receiver in tuple(self.receivers.values()):
            if receiver.uses(change.name):
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
                    self._note_load(name, message.load)
                self._pass_on(message.request, name, message)
            case messages.StageOpened():
                self._note_load(name, message.load)
                self._pass_on(message.stream, name, message)
            case messages.Refused() | messages.StageLost():
                if _is_failure(message, name):
                    self.estimates.target(name).failed_at = trio.current_time()
                self._pass_on(message.stream, name, message)
            case messages.Claimed():
                self._pass_on(message.request, name, message)
            case messages.Pong():
                self._note_load(name, message.load)
            case messages.Instances():
                self._process.feed.handle(connection, message)
            case _:
                return

    def _pass_on(self, request: bytes, source: str, message: object) -> None:
        receiver = self.receivers.get(request)
        if receiver is not None:
            receiver.receive(source, message)

    def _note_load(self, name: str, load: messages.Load) -> None:
        self.estimates.target(name).note_report(load)
        if load.draining:
            self._note_draining(name, "its agent said so")
        elif not self._process.view.is_leaving(name):
            # The operator took the drain back.
            self._draining.discard(name)


def _is_failure(
    message: messages.Refused | messages.StageLost, source: str
) -> bool:
    """Return whether an agent says that its own engine fails."""
    if isinstance(message, messages.Refused):
        return message.code == "engine_failing"
    return message.name == source
