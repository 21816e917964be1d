"""The duty of keeping layers placed, held by one gateway at a time.

The holder of a lease in the platform's store asks the engines how they are
and orders layers onto them.  While the store is away the last holder goes
on, or else the live gateway whose name comes first: orders name the number
of orders that the engine has begun, so of two that cross only one counts.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove import errors
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.health import Health
from magnoliacove.directory.holdings import Holding
from magnoliacove.directory.holdings import Holdings
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.engines import was_process_delayed
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.permits import Permits
from magnoliacove.placement.balance import find_better
from magnoliacove.placement.leadership import Leadership
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers
from magnoliacove.placement.plan import make_plan
from magnoliacove.platform.engines import EngineReport
from magnoliacove.platform.engines import OrderResult
from magnoliacove.timeline import Recorder

__all__ = ["DutySources", "PlacementDuty"]

_ROUND = 0.1
# Each engine is asked twice a second: a lost one is found out within about
# a second even where no stream passes, and a report is cheap.
_REPORT_EVERY = 0.5
# One that takes layers, or is suspected, is asked more often: until its
# answer a data centre may lack a path.
_REPORT_SOON = 0.2
_REPORT_TIMEOUT = 0.35
# For one that a gateway suspects, which asked twice already.
_SUSPECT_TIMEOUT = 0.2
# Reports that fail in a row before an engine is suspected; one may be
# lost on a bad link.
_FAILURES = 2
# The list of targets fills over some seconds after a start.  A placement
# on a part of it would be made again, so it is awaited to stand still.
_SETTLED = 1.5
_MOST_WAIT = 6.0
# Orders are answered within 10 ms.  One that is not may have been taken all
# the same, or be carried out seconds later; one whose engine shows no sign
# of it for so long, in seconds, is given again.  Both name the same number
# of orders before, so only one counts.  What an engine says is 0.2 s old.
_ANSWER_TIMEOUT = 0.3
_ORDER_TIMEOUT = 0.6
# How often each data centre without gaps is looked at for a better
# placement; the search takes some 10 ms.
_BALANCE_EVERY = 1.0


@dataclass(frozen=True)
class DutySources:
    """What the duty reads and tells.

    :param list_models: the services that run on engines, by name.
    :param is_settled: whether traffic has begun, so nothing is awaited.
    :param tell: called when engines hold other layers than before.
    """

    targets: TargetList
    health: Health
    holdings: Holdings
    loads: LoadBook
    permits: Permits
    calls: EngineCalls
    recorder: Recorder
    list_models: Callable[[], dict[str, ModelShape]]
    is_settled: Callable[[], bool]
    tell: Callable[[], None]


@dataclass
class _Engine:
    """What the duty knows of one engine.

    :param ordered: what it was ordered to hold, until it shows.
    :param ordered_at: when the order was given.
    :param interrupted: the order cuts off what passes through old layers.
    """

    report: EngineReport | None = None
    asked_at: float = -1e9
    failures: int = 0
    ordered: LayerRange | None = None
    ordered_at: float = 0.0
    interrupted: bool = False

    def forget_order(self) -> None:
        """Take the last order for done, or for lost."""
        self.ordered = None
        self.interrupted = False


class PlacementDuty:
    """Takes part in the duty and does it while it is held."""

    def __init__(self, sources: DutySources, leadership: Leadership) -> None:
        self._sources = sources
        self._leadership = leadership
        self._engines: dict[str, _Engine] = {}
        self._started = trio.current_time()
        self._balanced_at = 0.0
        self._turn = 0

    async def run(self) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leadership.run)
            while True:
                if self._leadership.decide():
                    self._engines.clear()
                if self._leadership.acting:
                    await self._do_round(nursery)
                await trio.sleep(_ROUND)

    # One round.

    async def _do_round(self, nursery: trio.Nursery) -> None:
        sources = self._sources
        now = trio.current_time()
        models = sources.list_models()
        known = {t.name for t in sources.targets.list_all()}
        for name in set(self._engines) - known:
            del self._engines[name]
        for service, shape in models.items():
            for target in sources.targets.list_service(service):
                engine = self._engines.setdefault(target.name, _Engine())
                awaited = engine.ordered is not None or (
                    not sources.health.is_usable(target.name)
                )
                pause = _REPORT_SOON if awaited else _REPORT_EVERY
                if engine.failures:
                    # A second failure in a row tells that it is lost.
                    pause = min(pause, _REPORT_TIMEOUT)
                due = now - engine.asked_at >= pause
                if due and sources.permits.try_call_for_duty(target.name):
                    engine.asked_at = now
                    nursery.start_soon(self._ask, target, engine)
            if self._may_plan(service):
                self._give_orders(nursery, service, shape)

    def _may_plan(self, service: str) -> bool:
        """Return whether enough is known to place layers."""
        sources = self._sources
        now = trio.current_time()
        targets = sources.targets.list_service(service)
        if not targets:
            return False
        answered = [
            t for t in targets if self._engines[t.name].report is not None
        ]
        asked_for = now - self._leadership.since
        if len(answered) < len(targets) and asked_for < _REPORT_EVERY * 2:
            return False
        if sources.is_settled():
            return True
        still = now - sources.targets.changed_at
        return still >= _SETTLED or now - self._started > _MOST_WAIT

    async def _ask(self, target: ListedTarget, engine: _Engine) -> None:
        report: EngineReport | None = None
        suspected = not self._sources.health.is_usable(target.name)
        timeout = _SUSPECT_TIMEOUT if suspected else _REPORT_TIMEOUT
        began = trio.current_time()
        with trio.move_on_after(timeout):
            try:
                report = await self._sources.calls.read_report(target)
            except TargetError as why:
                engine.failures += 1
                if why.outcome is errors.Outcome.NOT_RUN:
                    # Nobody listens there: there is no need to ask again.
                    engine.failures = _FAILURES
        if report is not None:
            if self._sources.targets.observe(
                target.entry, report.incarnation, directly=True
            ):
                # It is planned for anew, as one that holds nothing.
                self._sources.tell()
                return
            self._take_report(target, engine, report)
            return
        refused = engine.failures >= _FAILURES
        if not refused and was_process_delayed(began, timeout):
            # All engines that were asked would be suspected by all gateways
            # at once, and all streams led around them.
            return
        engine.failures += 1
        suspected = not self._sources.health.is_usable(target.name)
        if engine.failures >= _FAILURES or suspected:
            engine.report = None
            self._sources.health.suspect(target.name, "it gives no reports")

    def _take_report(
        self, target: ListedTarget, engine: _Engine, report: EngineReport
    ) -> None:
        engine.failures = 0
        engine.report = report
        if engine.ordered is not None:
            self._check_order(target, engine, report)
        layers = report.layers
        ordered = engine.ordered
        if ordered is not None and layers is not None and layers != ordered:
            # What is being given up takes no new work.
            layers = layers.intersect(ordered)
        moving = engine.interrupted and layers != report.layers
        changed = self._sources.holdings.note(
            target.name,
            Holding(
                layers, report.loading, report.slowness, report.used, moving
            ),
        )
        if changed:
            self._sources.tell()

    def _check_order(
        self, target: ListedTarget, engine: _Engine, report: EngineReport
    ) -> None:
        """Forget an order that is done, or that the engine never began."""
        now = trio.current_time()
        if report.layers == engine.ordered and not report.loading:
            self._sources.recorder.record(
                "layers-placed",
                target=target.name,
                layers=_describe(engine.ordered),
                seconds=round(now - engine.ordered_at, 2),
            )
            engine.forget_order()
        elif not report.loading and now - engine.ordered_at > _ORDER_TIMEOUT:
            self._sources.recorder.record(
                "order-lost",
                target=target.name,
                layers=_describe(engine.ordered),
                why="the engine neither holds nor loads the layers",
            )
            engine.forget_order()

    # Orders.

    def _give_orders(
        self, nursery: trio.Nursery, service: str, shape: ModelShape
    ) -> None:
        states = [
            self._describe_engine(target)
            for target in self._sources.targets.list_service(service)
        ]
        loading = sum(
            1
            for name in (state.target for state in states)
            if self._engines[name].ordered is not None
        )
        plan = make_plan(states, shape)
        if not plan and not loading:
            plan = self._find_improvements(states, shape)
        if self._sources.is_settled():
            # More loads at a time take longer each; what closes a gap
            # should not wait for what does not.
            plan = plan[: max(0, shape.parallel_loads - loading)]
        for item in plan:
            target = self._sources.targets.find(item.target)
            if target is None:
                continue
            engine = self._engines[item.target]
            engine.ordered = item.layers
            engine.ordered_at = trio.current_time()
            engine.interrupted = item.closes_gap
            nursery.start_soon(self._order, target, engine, item)

    def _find_improvements(
        self, states: list[EngineState], shape: ModelShape
    ) -> list[PlacedLayers]:
        """Return at most one move, now and then.

        The data centres take turns: one search after the other would hold
        up the events that this process passes on, three or more in a row.
        """
        now = trio.current_time()
        places = sorted({state.data_centre for state in states})
        pause = _BALANCE_EVERY / max(1, len(places))
        if now - self._balanced_at < pause:
            return []
        self._balanced_at = now
        self._turn = (self._turn + 1) % len(places)
        place = places[self._turn]
        found = find_better(
            [s for s in states if s.usable and s.data_centre == place], shape
        )
        return [found] if found is not None else []

    def _describe_engine(self, target: ListedTarget) -> EngineState:
        engine = self._engines[target.name]
        report = engine.report
        suspicion = self._sources.health.find(target.name)
        leaving = self._sources.permits.is_leaving(target.name) or (
            suspicion is not None and suspicion.leaving
        )
        askable = self._sources.permits.may_call_for_duty(target.name)
        withheld = not askable and not engine.failures
        layers = engine.ordered
        if layers is None:
            # One that wants no questions now serves what it is known to hold.
            layers = (
                report.layers
                if report is not None
                else self._sources.holdings.read(target).layers
            )
        return EngineState(
            target=target.name,
            data_centre=target.data_centre,
            accelerator=target.accelerator,
            layers=layers,
            # An engine is lost when it gives no reports.  A suspicion
            # alone may come from a cut between two others.
            usable=(report is not None or withheld) and not leaving,
            movable=engine.ordered is None
            and askable
            and report is not None
            and not report.loading,
            requests=self._sources.loads.read(target.name).requests,
            settled=engine.ordered is None,
            foreign=engine.ordered is None
            and report is not None
            and report.loading,
        )

    async def _order(
        self, target: ListedTarget, engine: _Engine, item: PlacedLayers
    ) -> None:
        if not self._sources.permits.try_call_for_duty(target.name):
            engine.forget_order()
            return
        report = engine.report
        passing = self._sources.loads.read(target.name).requests
        result = "lost"
        self._note_giving_up(target, report, item)
        with trio.move_on_after(_ANSWER_TIMEOUT):
            try:
                result = await self._sources.calls.place(
                    target,
                    item.layers,
                    # The data centre has no path while it waits for what
                    # passes through; what is cut off is led around the
                    # engine sooner.
                    interrupt=item.closes_gap,
                    orders=report.orders if report else None,
                )
            except TargetError as why:
                result = f"lost: {why}"
        self._sources.recorder.record(
            "order-given",
            target=target.name,
            layers=_describe(item.layers),
            closes_gap=item.closes_gap,
            held=_describe(report.layers if report else None),
            requests=passing,
            orders=report.orders if report else None,
            result=str(result),
            fence=self._leadership.fence,
        )
        if result in (OrderResult.CONFLICT, OrderResult.REFUSED):
            # Another order came first; the next report tells which.
            engine.forget_order()
            engine.asked_at = -1e9

    def _note_giving_up(
        self,
        target: ListedTarget,
        report: EngineReport | None,
        item: PlacedLayers,
    ) -> None:
        """Tell everybody at once which layers the engine gives up."""
        held = report.layers if report else None
        kept = held.intersect(item.layers) if held else None
        moving = item.closes_gap and kept != held
        holding = Holding(kept, True, moving=moving)
        if self._sources.holdings.note(target.name, holding):
            self._sources.tell()


def _describe(layers: LayerRange | None) -> str:
    return f"{layers.first}-{layers.end}" if layers else ""
