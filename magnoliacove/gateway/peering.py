"""What one gateway tells its peers and takes from them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from magnoliacove import wire
from magnoliacove.directory.holdings import Holding
from magnoliacove.directory.listed import split_incarnation
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.limit_sharing import LimitSharing
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.peers import Heartbeat
from magnoliacove.peers import Heartbeats
from magnoliacove.peers import ReportedCrash
from magnoliacove.peers import ReportedHolding
from magnoliacove.peers import ReportedQuarantine
from magnoliacove.peers import ReportedSuspicion
from magnoliacove.placement.leadership import STORE_AWAY
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.routing.owners import choose_owner

if TYPE_CHECKING:
    from magnoliacove.peers.snapshots import PeerSnapshot

__all__ = ["PeerExchange"]

# A peer's configuration or list is asked for after our own view has been
# behind for so long; the store's own answer mostly comes first.
_BEHIND = 0.4
# Peers are given snapshots this long after the start, in seconds.  The first
# callers of a fleet that starts would wait while what that needs is loaded; a
# peer asks another gateway meanwhile.
_SNAPSHOTS_AFTER = 1.0
# Engines of which one heartbeat tells what they hold: more than a few hundred
# gateways need, and a third of what one datagram has room for.
_MOST_HOLDINGS = 1_000


class PeerExchange:
    """The heartbeats and snapshots of one gateway.

    :param is_acting: whether this gateway does the placement duty.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreFollower,
        settings: NodeSettings,
        incarnation: int,
        is_acting: Callable[[], bool],
        crashes: CrashWatch,
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._store = store
        self._incarnation = incarnation
        self._is_acting = is_acting
        self._address = wire.Address(settings.host, settings.peer_port)
        self._network = wire.Network()
        self._behind_since: float | None = None
        self.heartbeats = Heartbeats(
            self._address,
            settings.seeds,
            state.recorder,
            self._make_heartbeat,
            self._take_heartbeat,
            self._lose_peers,
        )
        self._sharing = LimitSharing(
            state.name,
            state.targets,
            state.backpressure,
            state.grants,
            state.unreported,
            self.heartbeats.list_live,
            lambda: state.leaving,
        )
        state.backpressure.listen(self.heartbeats.send_soon)
        state.health.listen(lambda _: self.heartbeats.send_soon())
        state.listen_routes(self.heartbeats.send_soon)

    async def serve(self) -> None:
        """Answer peers that ask for a snapshot, until cancelled."""
        await trio.sleep(_SNAPSHOTS_AFTER)
        from magnoliacove.peers.snapshots import serve_snapshots

        await serve_snapshots(
            self._address,
            self._state.name,
            self._network,
            self._state.recorder,
            self._make_snapshot,
        )

    def _make_heartbeat(
        self, sequence: int, peers: tuple[str, ...]
    ) -> Heartbeat:
        state = self._state
        now = trio.current_time()
        table = state.routes
        grants = self._sharing.issue_grants()
        if grants:
            # Engines with a limit take further requests, as time goes by.
            state.room.fill()
        return Heartbeat(
            name=state.name,
            address=str(self._address),
            incarnation=self._incarnation,
            sequence=sequence,
            data_centre=state.data_centre,
            configuration_version=table.version if table else 0,
            leaving=state.leaving,
            store_reachable=self._store.reachable,
            crossings=state.loads.crossings,
            loads=dict(state.loads.list_own()),
            suspicions=tuple(
                ReportedSuspicion(
                    s.target, max(0.0, now - s.since), s.why, s.leaving
                )
                for s in state.health.list_suspicions()
            ),
            holdings=tuple(
                ReportedHolding(target, age, holding)
                for target, age, holding in self._list_holdings()
            ),
            services=state.budget.list_counts(),
            recent=state.unreported.list_counts(),
            counted_for=state.unreported.counted_for,
            peers=peers,
            acting=self._is_acting(),
            newest_change=state.targets.newest_change,
            store_era=self._store.era.number,
            crashes=self._list_crashes(),
            answered=state.crashes.list_answered(),
            limits=tuple(state.backpressure.list_own()),
            grants=grants,
            quarantines=tuple(
                ReportedQuarantine(
                    one.fingerprint, one.round, one.seconds, age, one.crashes
                )
                for one, age in state.quarantine.draw_told()
            ),
        )

    def _list_crashes(self) -> tuple[ReportedCrash, ...]:
        crashes = self._state.crashes
        return (
            *(ReportedCrash(run, age) for run, age in crashes.list_own()),
            *(
                ReportedCrash(run, age, silent=True)
                for run, age in crashes.silent.list_own()
            ),
        )

    def _list_holdings(self) -> list[tuple[str, float, Holding]]:
        """Return what the duty's holder, or a refusal, told of engines.

        Others each time where there are more than fit: a heartbeat that is
        too long for one datagram is not sent, and its sender taken for gone.
        """
        if self._is_acting():
            fresh = self._state.holdings.list_fresh()
            if len(fresh) <= _MOST_HOLDINGS:
                return fresh
            return self._state.rng.sample(fresh, _MOST_HOLDINGS)
        return self._state.holdings.list_corrected()

    def _take_heartbeat(self, heartbeat: Heartbeat) -> None:
        state = self._state
        self._store.update_era(heartbeat.store_era, heartbeat.name)
        state.loads.take_others(
            heartbeat.name, heartbeat.loads, heartbeat.crossings
        )
        state.budget.take_others(heartbeat.name, heartbeat.services)
        state.unreported.take_others(
            heartbeat.name, heartbeat.recent, heartbeat.counted_for
        )
        for found in heartbeat.suspicions:
            if state.targets.find(found.target) is None:
                # Gateways drop a target that is gone one after the other;
                # the slower ones would bring the suspicion back for ever.
                continue
            state.health.suspect(
                found.target,
                found.why,
                age=found.age,
                source=heartbeat.name,
                leaving=found.leaving,
            )
        for item in heartbeat.holdings:
            # Whoever asks the engines learns first that one started again.
            state.targets.observe(*split_incarnation(item.target))
            state.holdings.note(item.target, item.holding, item.age)
        self._take_crashes(heartbeat)
        self._sharing.take(heartbeat)
        state.room.fill()
        if heartbeat.acting and heartbeat.store_reachable:
            self._store.compare_list(heartbeat.newest_change)
        elif heartbeat.acting:
            self._store.record_outage()

    def _take_crashes(self, heartbeat: Heartbeat) -> None:
        """Take what a peer tells of requests that end targets."""
        state, now = self._state, trio.current_time()
        state.crashes.take_answered(heartbeat.name, heartbeat.answered)
        for found in heartbeat.crashes:
            if found.silent:
                state.crashes.silent.note(found.run, own=False)
            else:
                self._crashes.record_reported_crash(found.run, found.age)
        for told in heartbeat.quarantines:
            quarantine = Quarantine(
                told.fingerprint,
                told.round,
                now - told.age,
                told.seconds,
                told.crashes,
            )
            state.quarantine.take(quarantine, heartbeat.name)

    def owns(self, fingerprint: str) -> bool:
        """Return whether a request in quarantine is tried again here.

        Of the gateways that hear each other one is, so that a request that
        still ends targets costs one and not one for each gateway.
        """
        names = [peer.name for peer in self._list_live() if not peer.leaving]
        name = self._state.name
        return choose_owner(fingerprint, [name, *names]) == name

    def _lose_peers(self, names: list[str]) -> None:
        self._state.crashes.forget_peers(names)
        self._state.loads.forget(names)
        self._state.budget.forget(names)
        self._state.unreported.forget(names)
        self._sharing.lose(names)

    def announce_update(self) -> None:
        """Tell the others at once, and try who waits for room."""
        self.heartbeats.send_soon()
        self._state.room.fill()

    def is_fallback_leader(self) -> bool:
        """Return whether this gateway is to act while the store is away."""
        peers = self._list_live()
        if not peers:
            # It is more likely that this gateway is cut off from all
            # others than that they are gone with the store.
            return False
        # Who leaves neither takes the lease nor acts, and its last word on
        # the store may be old.
        staying = [one for one in peers if not one.leaving]
        if any(one.store_reachable or one.acting for one in staying):
            return False
        return all(self._state.name < other.name for other in staying)

    def has_acting_peer(self) -> bool:
        """Return whether a live peer does the placement duty."""
        return any(one.acting and not one.leaving for one in self._list_live())

    def has_acting_peer_with_store(self) -> bool:
        """Return whether a peer that reaches the store does the duty."""
        return any(
            one.acting and one.store_reachable for one in self._list_live()
        )

    def measure_store_outage(self) -> float:
        """Return seconds since the store was lost, 0 while it answers."""
        if self._store.reachable:
            return 0.0
        return trio.current_time() - self._store.unreachable_since

    def _list_live(self) -> list[Heartbeat]:
        """Return the last heartbeats of the peers that were heard lately."""
        return [peer.heartbeat for peer in self.heartbeats.list_live()]

    def _make_snapshot(self) -> "PeerSnapshot":
        from magnoliacove.peers.snapshots import PeerSnapshot

        return PeerSnapshot(
            self._store.configuration,
            tuple(self._state.targets.list_all()),
            self._state.targets.revision,
        )

    async def catch_up(self) -> None:
        """Take from a peer what the store does not give."""
        while True:
            await trio.sleep(_BEHIND / 2)
            peers = self._list_live()
            table = self._state.routes
            own = table.version if table else 0
            newest = max(
                peers,
                key=lambda one: one.configuration_version,
                default=None,
            )
            away = self.measure_store_outage() > STORE_AWAY
            better = [one for one in peers if one.store_reachable]
            now = trio.current_time()
            if newest and newest.configuration_version > own:
                self._behind_since = self._behind_since or now
                if now - self._behind_since >= _BEHIND:
                    await self._ask(newest)
                continue
            self._behind_since = None
            if away and better:
                await self._ask(self._state.rng.choice(better))
                await trio.sleep(_BEHIND)

    async def _ask(self, peer: Heartbeat) -> None:
        from magnoliacove.peers.snapshots import ask_snapshot

        found = await ask_snapshot(
            wire.Address.parse(peer.address),
            self._state.name,
            self._network,
            self._state.recorder,
        )
        if found is not None:
            self._take_snapshot(found, peer.name)

    def _take_snapshot(self, found: "PeerSnapshot", peer: str) -> None:
        source = f"the gateway {peer}"
        if found.configuration:
            self._store.apply_configuration(found.configuration, source)
        if found.revision > self._state.targets.revision:
            self._state.targets.replace(
                found.targets, found.revision, after_outage=False
            )
