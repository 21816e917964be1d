"""Status reports of engines, as the placement leader requests them.

A report shows which layers an engine has loaded, whether an order is complete,
and that the engine is alive: after missing reports it is suspected.
"""

from dataclasses import dataclass

import trio

from magnoliacove import errors
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import was_process_delayed
from magnoliacove.placement.inputs import ControllerInputs
from magnoliacove.platform.engines import EngineReport

__all__ = ["REPORT_INTERVAL", "EngineRecord", "EngineReports", "format_layers"]

# Seconds between reports of an engine.  Two reports per second detect a
# failed engine within about a second even if it serves no stream, and a
# report is cheap.
REPORT_INTERVAL = 0.5
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
# Seconds after which an order is repeated if no report of the engine shows
# it.  Both orders state the same number of previous orders, so the engine
# applies only one.  Reports are up to 0.2 s old.
_ORDER_TIMEOUT = 0.6


@dataclass
class EngineRecord:
    """What the placement leader knows of one engine and its last order.

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


class EngineReports:
    """Requests the reports of engines and notes what they show."""

    def __init__(self, inputs: ControllerInputs) -> None:
        self._inputs = inputs

    def request_if_due(
        self, nursery: trio.Nursery, target: ListedTarget, engine: EngineRecord
    ) -> None:
        """Request an engine's report if its interval has passed."""
        inputs = self._inputs
        now = trio.current_time()
        urgent = engine.ordered is not None or inputs.health.is_failed(
            target.name
        )
        interval = _URGENT_REPORT_INTERVAL if urgent else REPORT_INTERVAL
        if engine.failures:
            # A second consecutive failure marks it as failed.
            interval = min(interval, _REPORT_TIMEOUT)
        due = now - engine.report_requested_at >= interval
        if due and inputs.permits.try_call_as_leader(target.name):
            engine.report_requested_at = now
            nursery.start_soon(self._request_report, target, engine)

    async def _request_report(
        self, target: ListedTarget, engine: EngineRecord
    ) -> None:
        report: EngineReport | None = None
        suspected = self._inputs.health.is_failed(target.name)
        timeout = _SUSPECT_TIMEOUT if suspected else _REPORT_TIMEOUT
        began = trio.current_time()
        with trio.move_on_after(timeout):
            try:
                # An idle connection may be silent although the engine works.
                report = await self._inputs.calls.read_report(
                    target, fresh=engine.failures > 0
                )
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
        self, target: ListedTarget, engine: EngineRecord, report: EngineReport
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
        self, target: ListedTarget, engine: EngineRecord, report: EngineReport
    ) -> None:
        """Clear an order that is complete or that the engine never began."""
        now = trio.current_time()
        if report.layers == engine.ordered and not report.loading:
            self._inputs.recorder.record(
                "layers-placed",
                target=target.name,
                layers=format_layers(engine.ordered),
                seconds=round(now - engine.ordered_at, 2),
            )
            engine.clear_order()
        elif not report.loading and now - engine.ordered_at > _ORDER_TIMEOUT:
            self._inputs.recorder.record(
                "order-lost",
                target=target.name,
                layers=format_layers(engine.ordered),
                why="the engine has not loaded the layers nor begun to",
            )
            engine.clear_order()


def format_layers(layers: LayerRange | None) -> str:
    """Return layers in the form of the log, "" for none."""
    return f"{layers.first}-{layers.end}" if layers else ""
