"""A gateway process, assembled from its parts."""

import random
import socket
import time

import trio

from magnoliacove import limits
from magnoliacove import platform
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory import Lease
from magnoliacove.directory import Membership
from magnoliacove.gateway.assembly import StateInputs
from magnoliacove.gateway.assembly import make_state
from magnoliacove.gateway.attribution import CrashAttribution
from magnoliacove.gateway.caller_listeners import CallerListeners
from magnoliacove.gateway.caller_listeners import CallerMemories
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.draining import Drain
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.gauges import read_gauges
from magnoliacove.gateway.peering import PeerExchange
from magnoliacove.gateway.quarantine_records import QuarantineRecords
from magnoliacove.gateway.relay import Relay
from magnoliacove.gateway.stalls import StallWatch
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.gateway.supervision import run_supervised
from magnoliacove.metrics import Meters
from magnoliacove.metrics import serve_meters
from magnoliacove.placement import controller
from magnoliacove.placement import leadership
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.sockets import bind_socket
from magnoliacove.timeline import Recorder

__all__ = ["Gateway"]

# Seconds after an outage of the store within which an entry that expired
# during the outage is written again.  A target without an entry after that is
# removed.
_EXPIRY_GRACE = 2.0
# Seconds of the drain time that pass until the removal of an entry is known
# here and a request that is being sent has arrived.  An entry may also be
# missing because its target is leaving.  Such a target must get no request
# after the drain time, so the grace time above ends this much before it.
_REMOVAL_DELAY = 0.5
# Seconds between removals of expired state.
_TIDY_INTERVAL = 1.0
# Seconds after the start until metrics are served.
_METERS_DELAY = 2.0
# Maximum seconds in the metric of the store's outage, reported when the store
# was never reached.
_MAX_STORE_OUTAGE = 1e6


class Gateway:
    """Serves callers until it is drained.

    :param meters_port: port of the metrics, 0 to serve none.
    :param listener: a socket that already listens at the callers' address, or
        None.
    :param shares_waiting: whether requests leave capacity to those that wait
        at other gateways.
    """

    def __init__(
        self,
        settings: NodeSettings,
        api: platform.ObjectApi,
        meters_port: int,
        listener: socket.socket | None = None,
        *,
        shares_waiting: bool = False,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._api = api
        self._meters_port = meters_port
        self._shares_waiting = shares_waiting
        self._incarnation = time.time_ns() // 1_000_000
        recorder = Recorder(settings.name)
        self.recorder = recorder
        bounds = settings.bounds
        self._memories = CallerMemories(settings)
        grace = min(_EXPIRY_GRACE, bounds.drain - _REMOVAL_DELAY)
        expects_peers = any(
            seed.host != settings.host for seed in settings.seeds
        )
        self.state = make_state(
            StateInputs(
                recorder=recorder,
                data_centre=settings.data_centre,
                meters=Meters(self._read_gauges, self._is_ready),
                retry_budget=limits.SharedRetryBudget(
                    bounds.retry_ratio,
                    bounds.retry_slack,
                    bounds.retry_window,
                    log=limits.RetryLog(recorder),
                    restarted=not settings.first_start,
                    expects_peers=expects_peers,
                ),
                rng=random.Random(),
                grace=max(0.0, grace),
                owns=lambda fingerprint: self._peers.owns(fingerprint),
                shares_waiting=shares_waiting,
                expects_peers=expects_peers,
                memory=self._memories.callers,
            )
        )
        state = self.state
        self._calls = EngineCalls(state.pool)
        self._quarantines = QuarantineRecords(api, state.quarantine, recorder)
        self._attribution = CrashAttribution(
            state,
            lambda: self._peers.heartbeats.send_soon(),
            self._quarantines.save,
        )
        self._crash_watch = CrashWatch(
            state,
            self._calls,
            self._attribution,
            lambda: self._peers.heartbeats.send_soon(),
            self._quarantines.request_read,
        )
        self._store = StoreFollower(
            self.state,
            api,
            lambda: self._peers.relies_on_peers(),
            bounds.drain,
        )
        self._peers = PeerExchange(
            self.state,
            self._store,
            settings,
            self._incarnation,
            lambda: self._leadership.acting,
            self._attribution,
        )
        self._stalls = StallWatch(
            self.state, self._calls, self._peers.heartbeats.send_soon
        )
        self._relay = Relay(self.state, self._stalls, self._crash_watch)
        owner = f"{settings.name}/{self._incarnation}"
        lease = Lease(
            api,
            recorder,
            leadership.LEASE,
            owner,
            duration=leadership.LEASE_SECONDS,
            membership=Membership(
                state.retry_budget.count_gateways,
                state.retry_budget.expect_gateways,
            ),
        )
        self._leadership = leadership.Leadership(
            leadership.LeadershipInputs(
                self._peers.measure_store_outage,
                self._peers.is_fallback_leader,
                self._peers.has_acting_peer,
                self._peers.has_acting_peer_with_store,
                self._store.contact.record_answer,
                self._store.contact.record_failure,
                self._store.contact.record_silence,
            ),
            lease,
            recorder,
        )
        self._placement = controller.PlacementController(
            controller.ControllerInputs(
                targets=state.targets,
                health=state.health,
                engine_statuses=state.engine_statuses,
                loads=state.loads,
                permits=state.permits,
                calls=self._calls,
                recorder=recorder,
                list_models=self._list_models,
                is_settled=lambda: (
                    self.state.seen_traffic or not settings.first_start
                ),
                publish_status=self._peers.announce_update,
            ),
            self._leadership,
        )
        self._drain = Drain(
            state,
            lambda: self._settings.bounds.grace,
            self._leadership.release,
            self._peers.has_staying_peer,
        )
        self._listeners = CallerListeners(
            state,
            self._memories,
            self._drain,
            self._relay.serve,
            self._is_ready,
        )
        state.targets.listen(state.capacity_queue.fill)

    async def run(self) -> None:
        """Serve until cancelled."""
        settings, state = self._settings, self.state
        async with trio.open_nursery() as nursery:
            state.pool.start_soon = nursery.start_soon
            tasks = {
                "heartbeats": self._peers.heartbeats.run,
                "store": self._store.run,
                "snapshots": self._peers.serve,
                "placement": self._placement.run,
                "stalls": self._stalls.run,
                "crashes": self._crash_watch.run,
                "attribution": self._attribution.run,
                "quarantines": self._quarantines.run,
                "room": self.state.capacity_queue.run,
                "tidy": self._tidy,
                "catch-up": self._peers.catch_up,
                "probes": self._serve_probes,
                "meters": self._serve_meters,
                "callers": self._serve_callers,
            }
            if self._shares_waiting:
                tasks["shared waiting"] = self._peers.waiting.run
            for name, task in tasks.items():
                nursery.start_soon(run_supervised, name, task, self.recorder)
            self.recorder.record(
                "started",
                address=str(settings.callers),
                data_centre=settings.data_centre,
                first_start=settings.first_start,
                incarnation=self._incarnation,
            )

    async def drain(self) -> None:
        """Accept no new callers and return once all are answered."""
        self._peers.heartbeats.send_soon()
        await self._drain.run()

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings, as far as they can change in place."""
        fixed = (settings.name, settings.callers, settings.peer_port)
        old = self._settings
        changed = fixed != (old.name, old.callers, old.peer_port)
        for seed in settings.seeds:
            self._peers.heartbeats.add_address(seed)
        self._settings = settings
        self._memories.apply(settings)
        self.recorder.record(
            "reloaded",
            why="a name or an address changed; it applies after a restart"
            if changed
            else "",
        )

    # Listening.

    async def _serve_callers(self) -> None:
        await self._listeners.serve_callers(
            self._settings.callers, self._listener
        )

    async def _serve_probes(self) -> None:
        await self._listeners.serve_probes(self._settings.readiness)

    async def _serve_meters(self) -> None:
        if not self._meters_port:
            await trio.sleep_forever()
        # The tasks that serve callers start first.
        await trio.sleep(_METERS_DELAY)
        listener = bind_socket(self._settings.host, self._meters_port)
        await serve_meters(self.state.meters, listener)

    def _is_ready(self) -> bool:
        return self.state.routes is not None and not self.state.leaving

    # Housekeeping.

    def _list_models(self) -> dict[str, ModelShape]:
        table = self.state.routes
        if table is None:
            return {}
        return {
            name: service.model
            for name, service in table.services.items()
            if service.model is not None
        }

    async def _tidy(self) -> None:
        state = self.state
        while True:
            await trio.sleep(_TIDY_INTERVAL)
            state.targets.expire()
            listed = {target.name for target in state.targets.list_all()}
            state.health.discard_unlisted(listed)
            state.engine_statuses.discard_unlisted(listed)
            state.candidates.discard_unlisted(listed)
            state.backpressure.discard_unlisted(listed)
            state.permits.discard_unlisted(listed)
            self._stalls.discard_unlisted(listed)
            self._crash_watch.discard_old()
            self._attribution.discard_old()
            state.retry_budget.write_log()
            await state.pool.close_expired(listed)

    def _read_gauges(self) -> dict[str, float]:
        return {
            **read_gauges(self.state),
            "store_silence_seconds": min(
                _MAX_STORE_OUTAGE, self._peers.measure_store_outage()
            ),
            "store_era": self._store.era.number,
            "store_calls": getattr(self._api, "calls", 0),
            "store_objects_skipped": getattr(self._api, "skipped", 0),
            "engine_reports": self._calls.reports,
            "engine_orders": self._calls.orders,
            "peers_live": len(self._peers.heartbeats.list_live()),
            "placement_duty": float(self._leadership.acting),
            "placement_reliefs": self._placement.reliefs,
        }
