"""The state that the parts of a gateway share."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random

import trio

from magnoliacove.configuration.routes import RouteTable
from magnoliacove.directory.engine_status import EngineStatuses
from magnoliacove.directory.health import Health
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.open_requests import OpenRequests
from magnoliacove.gateway.pool import ChannelPool
from magnoliacove.gateway.stopping import CallLimits
from magnoliacove.limits.answer_memory import AnswerMemory
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.capacity import CapacityQueue
from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.crashing_parts import PartHistory
from magnoliacove.limits.gaps import GapEstimator
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.permits import Permits
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.limits.room_shares import RoomShares
from magnoliacove.limits.runs import RunSubject
from magnoliacove.limits.saturation import Saturation
from magnoliacove.limits.shared_retries import SharedRetryBudget
from magnoliacove.limits.shared_waiting import SharedWaiting
from magnoliacove.limits.unreported import UnreportedRequests
from magnoliacove.metrics import Meters
from magnoliacove.routing.candidates import Candidates
from magnoliacove.timeline import Recorder

__all__ = ["GatewayState"]


@dataclass
class GatewayState:
    """The shared state and services of one gateway.

    :param unreported: estimates the requests of other gateways that no
        heartbeat reports yet.
    :param shared_waiting: decides when this gateway leaves capacity to the
        others.
    :param answer_memory: bounds the answers that are read whole.
    :param routes: the configuration in force, None before the first.
    :param routes_applied_at: when it was applied, by trio's clock.
    :param leaving: whether this process is about to stop.
    :param seen_traffic: whether a caller's request has arrived yet.
    :param in_progress: the callers' requests in progress.
    :param call_limits: ends the calls in progress when this process stops.
    """

    name: str
    data_centre: str
    recorder: Recorder
    meters: Meters
    targets: TargetList
    health: Health
    engine_statuses: EngineStatuses
    loads: LoadBook
    unreported: UnreportedRequests
    retry_budget: SharedRetryBudget
    capacity_queue: CapacityQueue
    shared_waiting: SharedWaiting
    pool: ChannelPool
    candidates: Candidates
    saturation: Saturation
    room_shares: RoomShares
    rng: random.Random
    crash_history: CrashHistory
    part_history: PartHistory
    backpressure: BackpressureBook
    grants: GrantBook
    permits: Permits
    quarantine: QuarantineBook
    answer_memory: AnswerMemory
    routes: RouteTable | None = None
    routes_applied_at: float = 0.0
    leaving: bool = False
    seen_traffic: bool = False
    in_progress: OpenRequests = field(default_factory=OpenRequests)
    call_limits: CallLimits = field(default_factory=CallLimits)
    _gaps: dict[str, GapEstimator] = field(default_factory=dict)
    _route_listeners: list[Callable[[], None]] = field(default_factory=list)
    _routes_applied: trio.Event = field(default_factory=trio.Event)

    @property
    def open_requests(self) -> int:
        """The number of requests in progress."""
        return len(self.in_progress)

    def get_gap_estimator(self, service: str) -> GapEstimator:
        """Return the estimator of the gaps in a model's layers."""
        return self._gaps.setdefault(service, GapEstimator())

    def list_quarantines(self, subject: RunSubject) -> list[Quarantine]:
        """Return the quarantines of a request and of parts of its prompt."""
        found = map(
            self.quarantine.find, (subject.fingerprint, *subject.parts)
        )
        return [quarantine for quarantine in found if quarantine is not None]

    def may_repeat(self, subject: RunSubject) -> bool:
        """Return whether a request that broke off may run once more.

        A request may not if it is quarantined or suspected of crashing
        targets, or a part of its prompt.  Its caller may retry later, when
        more is known.
        """
        if self.list_quarantines(subject):
            return False
        if self.crash_history.is_suspected(subject.fingerprint):
            return False
        return not any(map(self.part_history.is_suspected, subject.parts))

    def apply_routes(self, table: RouteTable, source: str) -> bool:
        """Apply a configuration if it is newer than the one in force.

        :param source: the origin of the configuration, for the log.
        :returns: whether the configuration was applied.
        """
        if self.routes is not None and table.version <= self.routes.version:
            return False
        self.routes = table
        self._routes_applied.set()
        self.routes_applied_at = trio.current_time()
        self.recorder.version = table.version
        self.recorder.record(
            "configuration-in-force",
            why=f"from {source}",
            routes=len(table.routes),
        )
        for listener in self._route_listeners:
            listener()
        return True

    async def wait_for_routes(self) -> None:
        """Wait until routes and targets are known."""
        if self.routes is None:
            await self._routes_applied.wait()
        if not self.targets.populated.is_set():
            await self.targets.populated.wait()

    def listen_routes(self, listener: Callable[[], None]) -> None:
        """Call a function after each new configuration."""
        self._route_listeners.append(listener)
