"""The placement controller, active on one gateway at a time.

The gateway that holds a lease in the platform's store is the placement
leader.  It requests status reports from the engines and orders them to load
layers.  While the store is unreachable, the last leader continues, or else
the live gateway whose name sorts first acts.  Each order states how many
orders the engine has begun so far, so the engine applies only one of two
concurrent orders.
"""

from collections import defaultdict
from collections.abc import Sequence

import trio

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.placement.balance import find_improvement
from magnoliacove.placement.inputs import ControllerInputs
from magnoliacove.placement.leadership import Leadership
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers
from magnoliacove.placement.plan import make_plan
from magnoliacove.placement.pressure import PressureWatch
from magnoliacove.placement.pressure import measure_room
from magnoliacove.placement.relief import find_relief
from magnoliacove.placement.reports import REPORT_INTERVAL
from magnoliacove.placement.reports import EngineRecord
from magnoliacove.placement.reports import EngineReports
from magnoliacove.placement.reports import format_layers
from magnoliacove.platform.engines import EngineReport
from magnoliacove.platform.engines import OrderResult

__all__ = ["ControllerInputs", "PlacementController"]

# Seconds between rounds.
_ROUND_INTERVAL = 0.1
# Seconds without a change of the target list before the first plan.  The list
# fills over some seconds after a start, and a placement on a part of it would
# have to be redone.
_TARGETS_STABLE_TIME = 1.5
# Maximum seconds to wait for a stable target list.
_MAX_START_WAIT = 6.0
# Seconds to wait for the answer to an order; engines answer within 10 ms.  An
# order without an answer may still have been accepted, or be applied seconds
# later.
_ANSWER_TIMEOUT = 0.3
# Seconds between searches for a better placement in each data centre without
# gaps; a search takes some 10 ms.
_BALANCE_INTERVAL = 1.0


class PlacementController:
    """Plans placements and sends orders while this gateway is the leader.

    :ivar reliefs: moves that this gateway began for full data centres.
    """

    def __init__(
        self, inputs: ControllerInputs, leadership: Leadership
    ) -> None:
        self._inputs = inputs
        self._leadership = leadership
        self._reports = EngineReports(inputs)
        self._engines: dict[str, EngineRecord] = {}
        self._started = trio.current_time()
        self._balanced_at = 0.0
        self._next_data_centre = 0
        self._pressures: dict[str, PressureWatch] = defaultdict(PressureWatch)
        self.reliefs = 0

    async def run(self) -> None:
        """Run the leader election and the controller until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leadership.run)
            while True:
                if self._leadership.decide():
                    self._engines.clear()
                    self._pressures.clear()
                if self._leadership.acting:
                    await self._do_round(nursery)
                await trio.sleep(_ROUND_INTERVAL)

    async def _do_round(self, nursery: trio.Nursery) -> None:
        inputs = self._inputs
        models = inputs.list_models()
        listed = {t.name for t in inputs.targets.list_all()}
        for name in set(self._engines) - listed:
            del self._engines[name]
        for service, shape in models.items():
            for target in inputs.targets.list_service(service):
                engine = self._engines.setdefault(target.name, EngineRecord())
                self._reports.request_if_due(nursery, target, engine)
            if self._may_plan(service):
                self._send_orders(nursery, service, shape)

    def _may_plan(self, service: str) -> bool:
        """Return whether the reports and the target list suffice to plan."""
        inputs = self._inputs
        now = trio.current_time()
        targets = inputs.targets.list_service(service)
        if not targets:
            return False
        answered = [
            t for t in targets if self._engines[t.name].report is not None
        ]
        leading_for = now - self._leadership.since
        if len(answered) < len(targets) and leading_for < REPORT_INTERVAL * 2:
            return False
        if inputs.is_settled():
            return True
        stable_for = now - inputs.targets.changed_at
        return (
            stable_for >= _TARGETS_STABLE_TIME
            or now - self._started > _MAX_START_WAIT
        )

    def _send_orders(
        self, nursery: trio.Nursery, service: str, shape: ModelShape
    ) -> None:
        states = [
            self._describe_engine(target)
            for target in self._inputs.targets.list_service(service)
        ]
        loading = sum(
            1
            for name in (state.target for state in states)
            if self._engines[name].ordered is not None
        )
        plan = make_plan(states, shape)
        if not plan and not loading:
            plan = self._find_improvements(service, states, shape)
        if self._inputs.is_settled():
            # Each of several concurrent loads takes longer, and a load that
            # closes a gap should not wait for one that does not.
            plan = plan[: max(0, shape.parallel_loads - loading)]
        for item in plan:
            target = self._inputs.targets.find(item.target)
            if target is None:
                continue
            engine = self._engines[item.target]
            engine.ordered = item.layers
            engine.ordered_at = trio.current_time()
            engine.interrupted = item.closes_gap
            nursery.start_soon(self._send_order, target, engine, item)

    def _find_improvements(
        self, service: str, states: list[EngineState], shape: ModelShape
    ) -> list[PlacedLayers]:
        """Return at most one move, searched for at intervals.

        Each call searches at most one data centre, in turn, because three or
        more consecutive searches would delay the events that this process
        relays.
        """
        now = trio.current_time()
        data_centres = sorted({state.data_centre for state in states})
        interval = _BALANCE_INTERVAL / max(1, len(data_centres))
        if now - self._balanced_at < interval:
            return []
        self._balanced_at = now
        self._next_data_centre = (self._next_data_centre + 1) % len(
            data_centres
        )
        data_centre = data_centres[self._next_data_centre]
        usable = [
            s for s in states if s.usable and s.data_centre == data_centre
        ]
        move = find_improvement(usable, shape) or self._find_relief(
            service, data_centre, usable, shape
        )
        return [move] if move is not None else []

    def _find_relief(
        self,
        service: str,
        data_centre: str,
        usable: Sequence[EngineState],
        shape: ModelShape,
    ) -> PlacedLayers | None:
        """Return a move for a data centre that has been full, or None."""
        now = trio.current_time()
        pressure = self._pressures[service]
        room = measure_room(usable, shape)
        pressure.note_room(data_centre, room, shape.usual_tokens, now)
        if not pressure.may_move(data_centre, now):
            return None
        move = find_relief(usable, shape)
        if move is None:
            return None
        pressure.note_move(data_centre, now)
        self.reliefs += 1
        self._inputs.recorder.record(
            "capacity-short",
            target=move.target,
            why="no engine has room for a usual request on the layer",
            data_centre=data_centre,
            layer=room.layer,
            room=round(room.tokens),
            layers=format_layers(move.layers),
        )
        return move

    def _describe_engine(self, target: ListedTarget) -> EngineState:
        engine = self._engines[target.name]
        report = engine.report
        suspicion = self._inputs.health.find(target.name)
        leaving = self._inputs.permits.is_leaving(target.name) or (
            suspicion is not None and suspicion.leaving
        )
        askable = self._inputs.permits.may_call_as_leader(target.name)
        withheld = not askable and not engine.failures
        layers = engine.ordered
        if layers is None:
            # An engine that must not be asked now keeps the layers that were
            # last reported.
            layers = (
                report.layers
                if report is not None
                else self._inputs.engine_statuses.read(target).layers
            )
        load = self._inputs.loads.read(target.name)
        return EngineState(
            target=target.name,
            data_centre=target.data_centre,
            accelerator=target.accelerator,
            layers=layers,
            # An engine counts as failed when it sends no reports.  A
            # suspicion alone may result from a broken link between two other
            # processes.
            usable=(report is not None or withheld) and not leaving,
            movable=engine.ordered is None
            and askable
            and report is not None
            and not report.loading,
            requests=load.requests,
            settled=engine.ordered is None,
            foreign=engine.ordered is None
            and report is not None
            and report.loading,
            used=max(load.token_layers, report.used if report else 0.0),
        )

    async def _send_order(
        self, target: ListedTarget, engine: EngineRecord, item: PlacedLayers
    ) -> None:
        if not self._inputs.permits.try_call_as_leader(target.name):
            engine.clear_order()
            return
        report = engine.report
        in_progress = self._inputs.loads.read(target.name).requests
        result = "lost"
        self._announce_released_layers(target, report, item)
        with trio.move_on_after(_ANSWER_TIMEOUT):
            try:
                result = await self._inputs.calls.place(
                    target,
                    item.layers,
                    # The data centre has no path while it waits for requests
                    # in progress to complete; interrupted requests are
                    # rerouted around the engine sooner.
                    interrupt=item.closes_gap,
                    orders=report.orders if report else None,
                )
            except TargetError as exc:
                result = f"lost: {exc}"
        self._inputs.recorder.record(
            "order-given",
            target=target.name,
            layers=format_layers(item.layers),
            closes_gap=item.closes_gap,
            held=format_layers(report.layers if report else None),
            requests=in_progress,
            orders=report.orders if report else None,
            result=str(result),
            fence=self._leadership.fence,
        )
        if result in (OrderResult.CONFLICT, OrderResult.REFUSED):
            # Another order came first; the next report shows its layers.
            engine.clear_order()
            engine.report_requested_at = -1e9

    def _announce_released_layers(
        self,
        target: ListedTarget,
        report: EngineReport | None,
        item: PlacedLayers,
    ) -> None:
        """Publish at once which layers the engine gives up."""
        loaded = report.layers if report else None
        kept = loaded.intersect(item.layers) if loaded else None
        moving = item.closes_gap and kept != loaded
        status = EngineStatus(kept, True, moving=moving)
        if self._inputs.engine_statuses.note(target.name, status):
            self._inputs.publish_status()
