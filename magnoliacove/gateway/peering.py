"""The exchange of heartbeats and snapshots between a gateway and its peers."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from magnoliacove import wire
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import split_incarnation
from magnoliacove.gateway.attribution import CrashAttribution
from magnoliacove.gateway.limit_sharing import LimitSharing
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.gateway.waiting_exchange import WaitingExchange
from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.crashing_parts import PartHistory
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.peers import Heartbeat
from magnoliacove.peers import Heartbeats
from magnoliacove.peers import ReportedCrash
from magnoliacove.peers import ReportedEngineStatus
from magnoliacove.peers import ReportedQuarantine
from magnoliacove.peers import ReportedSuspicion
from magnoliacove.placement.leadership import STORE_OUTAGE_SECONDS
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.routing.owners import choose_owner

if TYPE_CHECKING:
    from magnoliacove.peers.snapshots import PeerSnapshot

__all__ = ["PeerExchange"]

# Seconds for which this gateway's configuration or list of targets must be
# behind before a peer's is requested.  The store mostly answers first.
_CATCH_UP_DELAY = 0.4
# Seconds until a peer counts as unreachable, up to which gateways rely on the
# placement leader alone to learn of changes.
_MAX_LEADER_TIMEOUT = 1.5
# Seconds after the start until snapshots are served to peers.  Otherwise the
# first callers of a fleet that starts would wait while the modules for it are
# loaded.  Meanwhile a peer asks another gateway.
_SNAPSHOT_SERVER_DELAY = 1.0
# Maximum number of engines whose status one heartbeat reports: more than a few
# hundred gateways need, and a third of the capacity of one datagram.
_MAX_REPORTED_STATUSES = 1_000
# Maximum age in seconds that a heartbeat reports of a suspicion.  Heartbeats
# have room for 49 days.
_MAX_REPORTED_AGE = 86_400.0


class PeerExchange:
    """The heartbeats and snapshots of one gateway.

    :param is_acting: whether this gateway acts as placement leader.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreFollower,
        settings: NodeSettings,
        incarnation: int,
        is_acting: Callable[[], bool],
        attribution: CrashAttribution,
    ) -> None:
        self._state = state
        self._attribution = attribution
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
            self._remove_peers,
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
        self.waiting = WaitingExchange(state)
        state.backpressure.listen(self.heartbeats.send_soon)
        state.health.listen(lambda _: self.heartbeats.send_soon())
        state.listen_routes(self.heartbeats.send_soon)
        state.targets.listen_departures(self._announce_departure)

    async def serve(self) -> None:
        """Serve snapshots to peers until cancelled."""
        await trio.sleep(_SNAPSHOT_SERVER_DELAY)
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
            # Engines with a limit admit further requests as time passes.
            state.capacity_queue.fill()
        waiting = self.waiting.summarize()
        return Heartbeat(
            name=state.name,
            address=str(self._address),
            incarnation=self._incarnation,
            sequence=sequence,
            data_centre=state.data_centre,
            configuration_version=table.version if table else 0,
            leaving=state.leaving,
            store_reachable=self._store.contact.reachable,
            crossings=state.loads.crossings,
            loads=dict(state.loads.list_own()),
            suspicions=tuple(
                ReportedSuspicion(
                    s.target,
                    min(max(0.0, now - s.since), _MAX_REPORTED_AGE),
                    s.why,
                    s.leaving,
                )
                for s in state.health.list_reported()
            ),
            holdings=tuple(
                ReportedEngineStatus(target, age, status)
                for target, age, status in self._list_engine_statuses()
            ),
            services=state.retry_budget.list_counts(),
            recent=state.unreported.list_counts(),
            counted_for=state.unreported.counted_for,
            peers=peers,
            acting=self._is_acting(),
            newest_change=state.targets.newest_change,
            store_era=self._store.era.number,
            crashes=_list_crashes(state.crash_history),
            part_crashes=_list_crashes(state.part_history),
            sound_parts=tuple(state.part_history.list_sound()),
            answered=state.crash_history.list_answered(),
            limits=tuple(state.backpressure.list_own()),
            grants=grants,
            waiting=waiting,
            grant_rates=self.waiting.read_grant_rates(waiting),
            quarantines=tuple(
                ReportedQuarantine(
                    q.fingerprint, q.round, q.seconds, age, q.crashes
                )
                for q, age in state.quarantine.sample_for_heartbeat()
            ),
        )

    def _list_engine_statuses(self) -> list[tuple[str, float, EngineStatus]]:
        """Return the engine statuses to report in a heartbeat.

        The placement leader reports all fresh ones, the others those that a
        refusal corrected.  If there are too many, a random sample is reported
        each time: a heartbeat that is too long for one datagram is not sent,
        and its sender is considered unreachable.
        """
        if self._is_acting():
            fresh = self._state.engine_statuses.list_fresh()
            if len(fresh) <= _MAX_REPORTED_STATUSES:
                return fresh
            return self._state.rng.sample(fresh, _MAX_REPORTED_STATUSES)
        return self._state.engine_statuses.list_corrected()

    def _take_heartbeat(self, heartbeat: Heartbeat) -> None:
        state = self._state
        self._store.update_era(heartbeat.store_era, heartbeat.name)
        state.loads.take_others(
            heartbeat.name, heartbeat.loads, heartbeat.crossings
        )
        state.retry_budget.take(heartbeat)
        state.unreported.take_others(
            heartbeat.name, heartbeat.recent, heartbeat.counted_for
        )
        for suspicion in heartbeat.suspicions:
            if state.targets.find(suspicion.target) is None:
                # Gateways discard a removed target one after the other.  The
                # slower ones would bring the suspicion back indefinitely.
                continue
            state.health.suspect(
                suspicion.target,
                suspicion.why,
                age=suspicion.age,
                source=heartbeat.name,
                leaving=suspicion.leaving,
            )
        for item in heartbeat.holdings:
            # The gateway that polls the engines is the first to detect that
            # one restarted.
            state.targets.note_incarnation(*split_incarnation(item.target))
            state.engine_statuses.note(item.target, item.holding, item.age)
        self._take_crashes(heartbeat)
        self._sharing.take(heartbeat)
        self.waiting.take(heartbeat)
        state.capacity_queue.fill()
        if heartbeat.store_reachable:
            self._store.compare_list(heartbeat.newest_change)
        if heartbeat.acting:
            self._store.contact.record_leader_contact(
                heartbeat.store_reachable
            )

    def _take_crashes(self, heartbeat: Heartbeat) -> None:
        """Record what a peer reports about requests that crash targets."""
        state, now = self._state, trio.current_time()
        state.crash_history.take_answered(heartbeat.name, heartbeat.answered)
        for crash in heartbeat.crashes:
            if crash.silent:
                state.crash_history.unresponsive.note(crash.run, own=False)
            else:
                self._attribution.record_reported_crash(crash.run, crash.age)
        for crash in heartbeat.part_crashes:
            if crash.silent:
                state.part_history.unresponsive.note(crash.run, own=False)
            else:
                self._attribution.record_reported_part(crash.run, crash.age)
        self._attribution.record_reported_sound(heartbeat.sound_parts)
        for reported in heartbeat.quarantines:
            quarantine = Quarantine(
                reported.fingerprint,
                reported.round,
                now - reported.age,
                reported.seconds,
                reported.crashes,
            )
            self._attribution.record_reported_quarantine(
                quarantine, heartbeat.name
            )

    def owns(self, fingerprint: str) -> bool:
        """Return whether this gateway retries a request in quarantine.

        Among the gateways that reach each other only one does, so that a
        request that still crashes targets costs one target and not one for
        each gateway.
        """
        names = [peer.name for peer in self._list_live() if not peer.leaving]
        name = self._state.name
        return choose_owner(fingerprint, [name, *names]) == name

    def _remove_peers(self, names: list[str]) -> None:
        self._state.crash_history.forget_peers(names)
        self._state.loads.forget_peers(names)
        self._state.retry_budget.forget_peers(names)
        self._state.unreported.forget_peers(names)
        self._sharing.remove_peers(names)
        self._state.shared_waiting.forget_peers(names)

    def announce_update(self) -> None:
        """Send a heartbeat at once and retry the requests in the queue."""
        self.heartbeats.send_soon()
        self._state.capacity_queue.fill()

    def is_fallback_leader(self) -> bool:
        """Return whether this gateway leads placement in a store outage."""
        peers = self._list_live()
        if not peers:
            # It is more likely that this gateway is partitioned from all
            # others than that they are unreachable along with the store.
            return False
        # A gateway that is leaving neither takes the lease nor acts, and its
        # last report about the store may be old.
        staying = [peer for peer in peers if not peer.leaving]
        if any(peer.store_reachable or peer.acting for peer in staying):
            return False
        return all(self._state.name < other.name for other in staying)

    def has_staying_peer(self) -> bool:
        """Return whether another live gateway takes callers."""
        return any(not peer.leaving for peer in self._list_live())

    def has_acting_peer(self) -> bool:
        """Return whether a live, staying peer acts as placement leader."""
        return any(
            peer.acting and not peer.leaving for peer in self._list_live()
        )

    def has_acting_peer_with_store(self) -> bool:
        """Return whether an acting placement leader reaches the store."""
        return any(
            peer.acting and peer.store_reachable for peer in self._list_live()
        )

    def relies_on_peers(self) -> bool:
        """Return whether peers report changes of the store in time.

        The placement leader does.  In a large fleet it takes seconds until a
        leader that ended is missed, so the first gateway by name reports
        changes as well, whether there is a leader or not.
        """
        if self._is_acting():
            return False
        if self.heartbeats.peer_timeout <= _MAX_LEADER_TIMEOUT:
            return self.has_acting_peer_with_store()
        return any(
            peer.store_reachable
            and not peer.leaving
            and peer.name < self._state.name
            for peer in self._list_live()
        )

    def _announce_departure(self) -> None:
        """Tell peers at once if they wait for this gateway's news."""
        if not self.relies_on_peers():
            self.heartbeats.send_soon()

    def measure_store_outage(self) -> float:
        """Return seconds since the store became unreachable, else 0."""
        if self._store.contact.reachable:
            return 0.0
        return trio.current_time() - self._store.contact.unreachable_since

    def _list_live(self) -> list[Heartbeat]:
        """Return the last heartbeat of each live peer."""
        return [peer.heartbeat for peer in self.heartbeats.list_live()]

    def _make_snapshot(self) -> "PeerSnapshot":
        from magnoliacove.peers.snapshots import PeerSnapshot

        return PeerSnapshot(
            self._store.configuration,
            tuple(self._state.targets.list_all()),
            self._state.targets.revision,
        )

    async def catch_up(self) -> None:
        """Fetch from a peer what the store does not provide."""
        while True:
            await trio.sleep(_CATCH_UP_DELAY / 2)
            peers = self._list_live()
            table = self._state.routes
            own = table.version if table else 0
            newest = max(
                peers,
                key=lambda peer: peer.configuration_version,
                default=None,
            )
            in_outage = self.measure_store_outage() > STORE_OUTAGE_SECONDS
            reaching_store = [peer for peer in peers if peer.store_reachable]
            now = trio.current_time()
            if newest and newest.configuration_version > own:
                self._behind_since = self._behind_since or now
                if now - self._behind_since >= _CATCH_UP_DELAY:
                    self._store.record_newer_configuration(newest.name)
                    await self._fetch_snapshot(newest)
                continue
            self._behind_since = None
            if in_outage and reaching_store:
                await self._fetch_snapshot(
                    self._state.rng.choice(reaching_store)
                )
                await trio.sleep(_CATCH_UP_DELAY)

    async def _fetch_snapshot(self, peer: Heartbeat) -> None:
        from magnoliacove.peers.snapshots import ask_snapshot

        snapshot = await ask_snapshot(
            wire.Address.parse(peer.address),
            self._state.name,
            self._network,
            self._state.recorder,
        )
        if snapshot is not None:
            self._take_snapshot(snapshot, peer.name)

    def _take_snapshot(self, snapshot: "PeerSnapshot", peer: str) -> None:
        source = f"the gateway {peer}"
        if snapshot.configuration:
            self._store.apply_configuration(snapshot.configuration, source)
        if snapshot.revision > self._state.targets.revision:
            self._state.targets.replace(
                snapshot.targets, snapshot.revision, after_outage=False
            )


def _list_crashes(
    history: CrashHistory | PartHistory,
) -> tuple[ReportedCrash, ...]:
    """Return the crashes that a heartbeat reports."""
    return (
        *(ReportedCrash(run, age) for run, age in history.list_own()),
        *(
            ReportedCrash(run, age, silent=True)
            for run, age in history.unresponsive.list_own()
        ),
    )
