"""The gauges of a gateway that are computed from its state."""

import trio

from magnoliacove.gateway.state import GatewayState

__all__ = ["read_gauges"]


def read_gauges(state: GatewayState) -> dict[str, float]:
    """Return the current value of each gauge."""
    table = state.routes
    return {
        "configuration_version": table.version if table else 0,
        "configuration_age_seconds": trio.current_time()
        - state.routes_applied_at,
        "targets_listed": len(state.targets.list_all()),
        "targets_suspected": len(
            {s.target for s in state.health.list_suspicions()}
        ),
        "targets_limited": len(state.backpressure.list_limits()),
        "calls_withheld": state.permits.withheld,
        "requests_in_progress": state.open_requests,
        "requests_waiting": state.capacity_queue.waiting,
        "requests_refused": state.capacity_queue.refused,
        "services_full": len(state.saturation.list_full()),
        "retries_denied": state.retry_budget.denied,
        "requests_quarantined": len(state.quarantine.list_all()),
        "quarantine_refusals": state.quarantine.refused,
        "connections_opened": state.pool.opened,
    }
