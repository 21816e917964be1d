"""The placement controller, active on one gateway at a time.

The gateway that holds a lease in the platform's store is the placement
leader.  It requests status reports from the engines and orders them to load
layers.  While the store is unreachable, the last leader continues, or else
the live gateway whose name sorts first acts.  Each order states how many
orders the engine has begun so far, so the engine applies only one of two
concurrent orders.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove import errors
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.engine_status import EngineStatuses
from magnoliacove.directory.health import Health
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.engines import was_process_delayed
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.permits import Permits
from magnoliacove.placement.balance import find_improvement
from magnoliacove.placement.leadership import Leadership
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers
from magnoliacove.placement.plan import make_plan
from magnoliacove.platform.engines import EngineReport
from magnoliacove.platform.engines import OrderResult
from magnoliacove.timeline import Recorder

__all__ = ["ControllerInputs", "PlacementController"]

# Seconds between rounds.
_ROUND_INTERVAL = 0.1
# Seconds between reports of an engine.  Two reports per second detect a
# failed engine within about a second even if it serves no stream, and a
# report is cheap.
_REPORT_INTERVAL = 0.5
# Seconds between reports of an engine that loads layers or is suspected.  It
# reports more often because a data centre may lack a path until it answers.
_URGENT_REPORT_INTERVAL = 0.2
# Seconds to wait for a report.
_REPORT_TIMEOUT = 0.35
# Seconds to wait for a report of an engine that a gateway already suspects;
# that gateway has already asked it twice.
_SUSPECT_TIMEOUT = 0.2
# Consecutive missing reports after which an engine is suspected; a single
# report may be lost on a bad link.
_FAILURES_TO_SUSPECT = 2
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
# Seconds after which an order is repeated if no report of the engine shows
# it.  Both orders state the same number of previous orders, so the engine
# applies only one.  Reports are up to 0.2 s old.
_ORDER_TIMEOUT = 0.6
# Seconds between searches for a better placement in each data centre without
# gaps; a search takes some 10 ms.
_BALANCE_INTERVAL = 1.0


@dataclass(frozen=True)
class ControllerInputs:
    """What the controller reads, and what it reports to.

    :param list_models: returns the services that run on engines, by name.
    :param is_settled: whether traffic has begun, so that plans do not wait
        for a stable target list.
    :param publish_status: called when the status of an engine has changed.
    """

    targets: TargetList
    health: Health
    engine_statuses: EngineStatuses
    loads: LoadBook
    permits: Permits
    calls: EngineCalls
    recorder: Recorder
    list_models: Callable[[], dict[str, ModelShape]]
    is_settled: Callable[[], bool]
    publish_status: Callable[[], None]


@dataclass
class _Engine:
    """The controller's state of one engine.

    :param report: the last report; None before the first one and while the
        engine counts as failed.
    :param report_requested_at: when a report was last requested, by trio's
        clock; far in the past to request one in the next round.
    :param failures: failed reports since the last one that arrived; one that
        raises an error counts at least twice.
    :param ordered: the layers that it is ordered to load, until a report
        shows them.
    :param ordered_at: when the order was sent, by trio's clock.
    :param interrupted: whether the order interrupts the requests that use
        the old layers.
    """

    report: EngineReport | None = None
    report_requested_at: float = -1e9
    failures: int = 0
    ordered: LayerRange | None = None
    ordered_at: float = 0.0
    interrupted: bool = False

    def clear_order(self) -> None:
        """Clear the last order because it is complete or lost."""
        self.ordered = None
        self.interrupted = False


class PlacementController:
    """Plans placements and sends orders while this gateway is the leader."""

    def __init__(
        self, inputs: ControllerInputs, leadership: Leadership
    ) -> None:
        self._inputs = inputs
        self._leadership = leadership
        self._engines: dict[str, _Engine] = {}
        self._started = trio.current_time()
        self._balanced_at = 0.0
        self._next_data_centre = 0

    async def run(self) -> None:
        """Run the leader election and the controller until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leadership.run)
            while True:
                if self._leadership.decide():
                    self._engines.clear()
                if self._leadership.acting:
                    await self._do_round(nursery)
                await trio.sleep(_ROUND_INTERVAL)

    async def _do_round(self, nursery: trio.Nursery) -> None:
        inputs = self._inputs
        now = trio.current_time()
        models = inputs.list_models()
        listed = {t.name for t in inputs.targets.list_all()}
        for name in set(self._engines) - listed:
            del self._engines[name]
        for service, shape in models.items():
            for target in inputs.targets.list_service(service):
                engine = self._engines.setdefault(target.name, _Engine())
                urgent = engine.ordered is not None or inputs.health.is_failed(
                    target.name
                )
                interval = (
                    _URGENT_REPORT_INTERVAL if urgent else _REPORT_INTERVAL
                )
                if engine.failures:
                    # A second consecutive failure marks it as failed.
                    interval = min(interval, _REPORT_TIMEOUT)
                due = now - engine.report_requested_at >= interval
                if due and inputs.permits.try_call_as_leader(target.name):
                    engine.report_requested_at = now
                    nursery.start_soon(self._request_report, target, engine)
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
        if len(answered) < len(targets) and leading_for < _REPORT_INTERVAL * 2:
            return False
        if inputs.is_settled():
            return True
        stable_for = now - inputs.targets.changed_at
        return (
            stable_for >= _TARGETS_STABLE_TIME
            or now - self._started > _MAX_START_WAIT
        )

    async def _request_report(
        self, target: ListedTarget, engine: _Engine
    ) -> None:
        report: EngineReport | None = None
        suspected = self._inputs.health.is_failed(target.name)
        timeout = _SUSPECT_TIMEOUT if suspected else _REPORT_TIMEOUT
        began = trio.current_time()
        with trio.move_on_after(timeout):
            try:
                report = await self._inputs.calls.read_report(target)
            except TargetError as exc:
                engine.failures += 1
                if exc.outcome is errors.Outcome.NOT_RUN:
                    # Nothing listens on its address, so no second report is
                    # needed.
                    engine.failures = _FAILURES_TO_SUSPECT
        if report is not None:
            if self._inputs.targets.note_incarnation(
                target.entry, report.incarnation, directly=True
            ):
                # The new incarnation is planned for as an engine without
                # layers.
                self._inputs.publish_status()
                return
            self._process_report(target, engine, report)
            return
        refused = engine.failures >= _FAILURES_TO_SUSPECT
        if not refused and was_process_delayed(began, timeout):
            # This process was delayed itself.  Otherwise all gateways would
            # suspect all engines with a pending report at once and reroute
            # all streams around them.
            return
        engine.failures += 1
        suspected = self._inputs.health.is_failed(target.name)
        if engine.failures >= _FAILURES_TO_SUSPECT or suspected:
            engine.report = None
            self._inputs.health.suspect(target.name, "it gives no reports")

    def _process_report(
        self, target: ListedTarget, engine: _Engine, report: EngineReport
    ) -> None:
        engine.failures = 0
        engine.report = report
        if engine.ordered is not None:
            self._check_order(target, engine, report)
        layers = report.layers
        ordered = engine.ordered
        if ordered is not None and layers is not None and layers != ordered:
            # Layers that the engine is giving up receive no new work.
            layers = layers.intersect(ordered)
        moving = engine.interrupted and layers != report.layers
        changed = self._inputs.engine_statuses.note(
            target.name,
            EngineStatus(
                layers, report.loading, report.slowness, report.used, moving
            ),
        )
        if changed:
            self._inputs.publish_status()

    def _check_order(
        self, target: ListedTarget, engine: _Engine, report: EngineReport
    ) -> None:
        """Clear an order that is complete or that the engine never began."""
        now = trio.current_time()
        if report.layers == engine.ordered and not report.loading:
            self._inputs.recorder.record(
                "layers-placed",
                target=target.name,
                layers=_format_layers(engine.ordered),
                seconds=round(now - engine.ordered_at, 2),
            )
            engine.clear_order()
        elif not report.loading and now - engine.ordered_at > _ORDER_TIMEOUT:
            self._inputs.recorder.record(
                "order-lost",
                target=target.name,
                layers=_format_layers(engine.ordered),
                why="the engine has not loaded the layers nor begun to",
            )
            engine.clear_order()

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
            plan = self._find_improvements(states, shape)
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
        self, states: list[EngineState], shape: ModelShape
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
        move = find_improvement(
            [s for s in states if s.usable and s.data_centre == data_centre],
            shape,
        )
        return [move] if move is not None else []

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
            requests=self._inputs.loads.read(target.name).requests,
            settled=engine.ordered is None,
            foreign=engine.ordered is None
            and report is not None
            and report.loading,
        )

    async def _send_order(
        self, target: ListedTarget, engine: _Engine, item: PlacedLayers
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
            layers=_format_layers(item.layers),
            closes_gap=item.closes_gap,
            held=_format_layers(report.layers if report else None),
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


def _format_layers(layers: LayerRange | None) -> str:
    return f"{layers.first}-{layers.end}" if layers else ""
