"""One gateway process, put together from its parts."""

import random
import socket
import time
import traceback

import trio

from magnoliacove import limits
from magnoliacove import platform
from magnoliacove import wire
from magnoliacove.configuration.routes import CallerLimits
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory import Lease
from magnoliacove.directory.health import Health
from magnoliacove.directory.holdings import Holdings
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.callers import CallerConnection
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.gauges import read_gauges
from magnoliacove.gateway.notices import make_listener
from magnoliacove.gateway.peering import PeerExchange
from magnoliacove.gateway.pool import ChannelPool
from magnoliacove.gateway.quarantine_records import QuarantineRecords
from magnoliacove.gateway.relay import Relay
from magnoliacove.gateway.stalls import StallWatch
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.gateway.supervision import run_supervised
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.permits import Permits
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.metrics import Meters
from magnoliacove.metrics import serve_meters
from magnoliacove.placement import duty
from magnoliacove.placement import leadership
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.routing.candidates import Candidates
from magnoliacove.sockets import bind_socket
from magnoliacove.timeline import Recorder

__all__ = ["Gateway"]

# An entry that lapsed while the store was away is back about so many
# seconds after the store; what is missing then is gone.
_LAPSE_GRACE = 2.0
# An entry may also be missing since its target leaves, which must get nothing
# once the bound for that is over.  So much of the bound, in seconds, goes by
# until the removal is known here and a request that is on its way is there.
_REMOVAL_KNOWN = 0.5
# The balancer asks each second and takes an entry out after two misses, so
# callers still come for so long after this process began to leave.
_BALANCER_NOTICES = 2.6
# What is left of the grace time for the last bytes and the log.
_STOP_RESERVE = 0.7
_TIDY_EVERY = 1.0
# Seconds after the start until metrics are served.
_METERS_AFTER = 2.0
# A store that was never reached is told as one lost so long ago, seconds.
_MOST_SILENCE = 1e6


class Gateway:
    """Serves callers until it is told to leave.

    :param meters_port: where metrics are served, 0 for nowhere.
    :param listener: what listens at the callers' address already, or None.
    """

    def __init__(
        self,
        settings: NodeSettings,
        api: platform.ObjectApi,
        meters_port: int,
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._api = api
        self._meters_port = meters_port
        self._incarnation = time.time_ns() // 1_000_000
        recorder = Recorder(settings.name)
        self.recorder = recorder
        rng = random.Random()
        bounds = settings.bounds
        grace = min(_LAPSE_GRACE, bounds.drain - _REMOVAL_KNOWN)
        targets = TargetList(recorder, grace=max(0.0, grace))
        health, holdings = Health(recorder), Holdings()
        loads, unheard = limits.LoadBook(), limits.UnheardRequests()
        backpressure = BackpressureBook(recorder)
        grants = GrantBook(settings.name)
        permits = Permits(backpressure, grants)
        pool = ChannelPool(on_answer=make_listener(backpressure, health))
        self.state = GatewayState(
            name=settings.name,
            data_centre=settings.data_centre,
            recorder=recorder,
            meters=Meters(self._read_gauges, self._is_ready),
            targets=targets,
            health=health,
            holdings=holdings,
            loads=loads,
            unheard=unheard,
            budget=limits.SharedRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            ),
            room=limits.RoomQueue(),
            pool=pool,
            candidates=Candidates(
                settings.data_centre,
                targets,
                health,
                holdings,
                loads,
                unheard,
                permits,
                rng,
            ),
            rng=rng,
            crashes=CrashHistory(),
            backpressure=backpressure,
            grants=grants,
            permits=permits,
            quarantine=QuarantineBook(
                recorder, lambda fingerprint: self._peers.owns(fingerprint)
            ),
        )
        self._calls = EngineCalls(pool)
        self._quarantines = QuarantineRecords(
            api, self.state.quarantine, recorder
        )
        self._crashes = CrashWatch(
            self.state,
            self._calls,
            lambda: self._peers.heartbeats.send_soon(),
            self._quarantines.save,
            self._quarantines.look,
        )
        self._store = StoreFollower(
            self.state,
            api,
            lambda: self._peers.is_replaced(),
            bounds.drain,
        )
        self._peers = PeerExchange(
            self.state,
            self._store,
            settings,
            self._incarnation,
            lambda: self._leadership.acting,
            self._crashes,
        )
        self._stalls = StallWatch(
            self.state, self._calls, self._peers.heartbeats.send_soon
        )
        self._relay = Relay(self.state, self._stalls, self._crashes)
        owner = f"{settings.name}/{self._incarnation}"
        lease = Lease(
            api,
            recorder,
            leadership.LEASE,
            owner,
            duration=leadership.LEASE_SECONDS,
        )
        self._leadership = leadership.Leadership(
            leadership.LeadershipSources(
                self._peers.read_store_silence,
                self._peers.is_first,
                self._peers.is_done_elsewhere,
                self._peers.is_replaced,
                self._store.note_answered,
                self._store.note_lost,
            ),
            lease,
            recorder,
        )
        self._duty = duty.PlacementDuty(
            duty.DutySources(
                targets=targets,
                health=health,
                holdings=holdings,
                loads=loads,
                permits=permits,
                calls=self._calls,
                recorder=recorder,
                list_models=self._list_models,
                is_settled=lambda: (
                    self.state.seen_traffic or not settings.first_start
                ),
                tell=self._peers.tell_news,
            ),
            self._leadership,
        )
        self._connections: set[CallerConnection] = set()
        self._accepting = trio.CancelScope()
        targets.listen(self.state.room.fill)

    async def run(self) -> None:
        """Serve until cancelled."""
        settings, state = self._settings, self.state
        async with trio.open_nursery() as nursery:
            state.pool.start_soon = nursery.start_soon
            tasks = {
                "heartbeats": self._peers.heartbeats.run,
                "store": self._store.run,
                "snapshots": self._peers.serve,
                "placement": self._duty.run,
                "stalls": self._stalls.run,
                "crashes": self._crashes.run,
                "quarantines": self._quarantines.run,
                "room": self.state.room.run,
                "tidy": self._tidy,
                "catch-up": self._peers.catch_up,
                "readiness": self._serve_readiness,
                "meters": self._serve_meters,
                "callers": self._serve_callers,
            }
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
        """Take no new callers and return once all are answered."""
        state = self.state
        state.leaving = True
        began = trio.current_time()
        self.recorder.record("stopping", open_requests=state.open_requests)
        self._peers.heartbeats.send_soon()
        await self._leadership.release()
        limit = began + self._settings.bounds.grace - _STOP_RESERVE
        while trio.current_time() < limit:
            noticed = trio.current_time() - began >= _BALANCER_NOTICES
            if noticed:
                # A balancer without another gateway in this data centre
                # goes on sending callers here.  One that is refused tries
                # elsewhere; one that is taken now would be cut off when the
                # grace time ends.
                self._accepting.cancel()
                for connection in tuple(self._connections):
                    connection.close_if_idle()
            if noticed and not state.open_requests and not self._connections:
                break
            await trio.sleep(0.05)
        self.recorder.record(
            "stopped",
            open_requests=state.open_requests,
            why="the grace time is over" if state.open_requests else "",
        )

    def reload(self, settings: NodeSettings) -> None:
        """Take changed settings, as far as they can change in place."""
        fixed = (settings.name, settings.callers, settings.peer_port)
        known = self._settings
        changed = fixed != (known.name, known.callers, known.peer_port)
        for seed in settings.seeds:
            self._peers.heartbeats.add_address(seed)
        self._settings = settings
        self.recorder.record(
            "reloaded",
            why="a name or an address differs; it counts from the next start"
            if changed
            else "",
        )

    # Listening.

    async def _serve_callers(self) -> None:
        listener = _listen(self._settings.callers, self._listener)
        async with trio.open_nursery() as nursery:
            with self._accepting:
                await trio.serve_listeners(
                    self._serve_caller, [listener], handler_nursery=nursery
                )
            # It stopped listening for good; what is open goes on.
            await trio.sleep_forever()

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self._read_limits,
            self._relay.serve,
            lambda: self.state.leaving,
            lambda: self._accepting.cancel_called,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception as why:
            # One caller's connection must not end all others.
            self.recorder.record(
                "connection-failed",
                why=repr(why),
                traceback=traceback.format_exc(),
            )
        finally:
            self._connections.discard(connection)

    async def _serve_readiness(self) -> None:
        async def answer(stream: trio.SocketStream) -> None:
            connection = CallerConnection(
                stream, CallerLimits, self._answer_readiness, lambda: False
            )
            await connection.run()

        listener = _listen(self._settings.readiness)
        await trio.serve_listeners(answer, [listener])

    async def _answer_readiness(self, exchange: Exchange) -> None:
        ready = self._is_ready()
        await exchange.answer(200 if ready else 503, [], b"")

    async def _serve_meters(self) -> None:
        if not self._meters_port:
            await trio.sleep_forever()
        # What answers callers starts first.
        await trio.sleep(_METERS_AFTER)
        listener = bind_socket(self._settings.host, self._meters_port)
        await serve_meters(self.state.meters, listener)

    def _is_ready(self) -> bool:
        return self.state.routes is not None and not self.state.leaving

    def _read_limits(self) -> CallerLimits:
        table = self.state.routes
        return table.limits if table else CallerLimits()

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
            await trio.sleep(_TIDY_EVERY)
            state.targets.expire()
            known = {target.name for target in state.targets.list_all()}
            state.health.forget(known)
            state.holdings.forget(known)
            state.candidates.forget(known)
            state.backpressure.forget(known)
            state.permits.forget(known)
            self._stalls.discard_unlisted(known)
            self._crashes.forget()
            await state.pool.close_expired(known)

    def _read_gauges(self) -> dict[str, float]:
        return {
            **read_gauges(self.state),
            "store_silence_seconds": min(
                _MOST_SILENCE, self._peers.read_store_silence()
            ),
            "store_era": self._store.era.number,
            "store_calls": getattr(self._api, "calls", 0),
            "engine_reports": self._calls.reports,
            "engine_orders": self._calls.orders,
            "peers_live": len(self._peers.heartbeats.list_live()),
            "placement_duty": float(self._leadership.acting),
        }


def _listen(
    address: wire.Address, listener: socket.socket | None = None
) -> trio.SocketListener:
    """Return what listens at an address.

    :param listener: taken if it is bound to the address, else closed: the
        settings name another address than the process was started with.
    """
    wanted = (address.host, address.port)
    if listener is not None and listener.getsockname()[:2] != wanted:
        listener.close()
        listener = None
    if listener is None:
        listener = bind_socket(*wanted)
    return trio.SocketListener(trio.socket.from_stdlib_socket(listener))
