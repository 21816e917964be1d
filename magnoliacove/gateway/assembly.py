"""Assembly of the state that the parts of a gateway share."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random

import trio

from magnoliacove.configuration.routes import RouteTable
from magnoliacove.directory.engine_status import EngineStatuses
from magnoliacove.directory.health import Health
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.notices import make_notice_handler
from magnoliacove.gateway.pool import ChannelPool
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits import CapacityQueue
from magnoliacove.limits import LoadBook
from magnoliacove.limits import SharedRetryBudget
from magnoliacove.limits import UnreportedRequests
from magnoliacove.limits.answer_memory import AnswerMemory
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.crashing_parts import PartHistory
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.order import OrderPolicy
from magnoliacove.limits.permits import Permits
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.limits.room_shares import RoomShares
from magnoliacove.limits.saturation import Saturation
from magnoliacove.limits.shared_waiting import SharedWaiting
from magnoliacove.metrics import Meters
from magnoliacove.routing.candidates import Candidates
from magnoliacove.timeline import Recorder

__all__ = ["StateInputs", "make_state"]


@dataclass(frozen=True)
class StateInputs:
    """What differs between the states of two gateways.

    :param grace: seconds for which an entry that expired during an outage of
        the store stays listed.
    :param start_soon: starts a task that may outlive an exchange.
    :param owns: returns whether this gateway admits the first trial of the
        quarantined request with a fingerprint.
    :param shares_waiting: whether requests leave capacity to those that wait
        at other gateways.
    :param expects_peers: whether there are other gateways.
    :param memory: the account of all that is held for callers.
    """

    recorder: Recorder
    data_centre: str
    meters: Meters
    retry_budget: SharedRetryBudget
    rng: random.Random
    grace: float
    start_soon: Callable[..., object] = trio.lowlevel.spawn_system_task
    owns: Callable[[str], bool] = lambda _: True
    shares_waiting: bool = False
    expects_peers: bool = False
    memory: CallerMemory = field(default_factory=CallerMemory)


def make_state(inputs: StateInputs) -> GatewayState:
    """Return the state of a gateway that knows no target yet."""
    recorder = inputs.recorder
    targets = TargetList(recorder, grace=inputs.grace)
    health, engine_statuses = Health(recorder), EngineStatuses()
    loads = LoadBook()
    unreported = UnreportedRequests(expects_peers=inputs.expects_peers)
    backpressure = BackpressureBook(recorder)
    grants = GrantBook(recorder.process)
    permits = Permits(backpressure, grants)
    on_answer = make_notice_handler(backpressure, health)

    def read_policy(service: str) -> OrderPolicy:
        return _read_policy(state.routes, service)

    shared_waiting = SharedWaiting(
        inputs.rng, lambda service: read_policy(service).by_urgency
    )
    state = GatewayState(
        name=recorder.process,
        data_centre=inputs.data_centre,
        recorder=recorder,
        meters=inputs.meters,
        targets=targets,
        health=health,
        engine_statuses=engine_statuses,
        loads=loads,
        unreported=unreported,
        retry_budget=inputs.retry_budget,
        capacity_queue=CapacityQueue(
            sharing=shared_waiting if inputs.shares_waiting else None,
            read_policy=read_policy,
        ),
        shared_waiting=shared_waiting,
        pool=ChannelPool(inputs.start_soon, on_answer),
        candidates=Candidates(
            inputs.data_centre,
            targets,
            health,
            engine_statuses,
            loads,
            unreported,
            permits,
            inputs.rng,
        ),
        saturation=Saturation(recorder),
        room_shares=RoomShares(inputs.rng),
        rng=inputs.rng,
        crash_history=CrashHistory(),
        part_history=PartHistory(),
        backpressure=backpressure,
        grants=grants,
        permits=permits,
        quarantine=QuarantineBook(recorder, inputs.owns),
        answer_memory=AnswerMemory(inputs.memory),
    )
    return state


def _read_policy(table: RouteTable | None, service: str) -> OrderPolicy:
    """Return how the configuration in force orders a service's requests."""
    if table is None:
        return OrderPolicy()
    by_urgency = table.differs_in_urgency(service)
    return OrderPolicy(by_urgency, by_urgency or table.needs_keys)
