"""The gauges of a gateway that are computed from its state."""

import trio

from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.capacity import CapacityQueue

__all__ = ["read_gauges"]


def read_gauges(state: GatewayState) -> dict[str, float]:
    """Return the current value of each gauge."""
    table = state.routes
    now = trio.current_time()
    memory = state.answer_memory.memory
    elsewhere = state.shared_waiting.reported.count_requests(now)
    return {
        "configuration_version": table.version if table else 0,
        "configuration_age_seconds": now - state.routes_applied_at,
        "targets_listed": len(state.targets.list_all()),
        "targets_suspected": len(
            {s.target for s in state.health.list_suspicions()}
        ),
        "targets_limited": len(state.backpressure.list_limits()),
        "calls_withheld": state.permits.withheld,
        "requests_in_progress": state.open_requests,
        "requests_waiting": state.capacity_queue.waiting,
        "room_left_to_others": len(state.shared_waiting.held_at),
        **{
            f"requests_waiting_elsewhere_urgency_{priority}": count
            for priority, count in elsewhere.items()
        },
        "requests_refused": state.capacity_queue.refused,
        **_read_urgency_gauges(state.capacity_queue),
        "services_full": len(state.saturation.list_full()),
        "retries_denied": state.retry_budget.denied,
        "requests_quarantined": len(state.quarantine.list_all()),
        "quarantine_refusals": state.quarantine.refused,
        "connections_opened": state.pool.opened,
        "caller_connections": memory.connections,
        "caller_memory_used_bytes": memory.used,
        "caller_memory_limit_bytes": memory.limits.memory,
        "callers_evicted": memory.evicted,
        "callers_refused_for_memory": memory.refused,
    }


def _read_urgency_gauges(queue: CapacityQueue) -> dict[str, float]:
    """Return the gauges of the capacity queue for each urgency."""
    waiting = {
        f"requests_waiting_urgency_{urgency}": count
        for urgency, count in queue.count_by_urgency().items()
    }
    refused = {
        f"requests_refused_early_urgency_{urgency}": count
        for urgency, count in queue.refused_early.items()
    }
    return {**waiting, **refused}
