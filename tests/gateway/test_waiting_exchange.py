"""What gateways tell each other about requests that wait for capacity."""

import pytest
import trio

from magnoliacove.gateway.gauges import read_gauges
from magnoliacove.gateway.waiting_exchange import WaitingExchange
from magnoliacove.limits.waiting import WaitingSummary
from tests.gateway import stubs
from tests.peers.samples import make_heartbeat


def _wait(state, priority, service="llm"):
    return state.capacity_queue.add(
        lambda: None, priority=priority, fresh_until=0.0, service=service
    )


def _make_news(**changes):
    rows = (WaitingSummary("llm", 0, 40, 0.0, 2.0),)
    values = {"waiting": rows, "grant_rates": {"llm": 4.0}, **changes}
    return make_heartbeat("g-2", **values)


def _list_events(state, *kinds):
    events = state.recorder.list_events()
    return [event for event in events if event.kind in kinds]


async def test_nothing_is_reported_while_nothing_waits():
    async with stubs.open_harness() as harness:
        exchange = WaitingExchange(harness.state)
        assert exchange.summarize() == ()
        assert exchange.read_grant_rates(()) == {}
        _wait(harness.state, 1)
        assert exchange.summarize()[0].requests == 1


@pytest.mark.parametrize("gateways", [4, 32, 68, 330])
async def test_the_bytes_of_what_waits_are_bounded(gateways):
    """Many services, urgencies and a full queue.  A gateway of a large fleet
    receives about 83 heartbeats a second, whatever its size.
    """
    async with stubs.open_harness() as harness:
        for number in range(256):
            _wait(harness.state, number % 9, f"model-{number % 30}")
        exchange = WaitingExchange(harness.state)
        rows = exchange.summarize()
        assert {row.priority for row in rows} <= {0, 1, 2, 3}
        idle = make_heartbeat(waiting=(), grant_rates={})
        told = make_heartbeat(
            waiting=rows, grant_rates=exchange.read_grant_rates(rows)
        )
        added = len(told.encode()) - len(idle.encode())
        interval = max(0.15, 0.012 * (gateways - 1))
        assert added <= 600
        assert added * (gateways - 1) / interval <= 50_000


async def test_leaving_capacity_is_logged_once_and_so_is_its_end():
    """Operators ask why a request waits while there is room."""
    async with stubs.open_harness() as harness:
        state = harness.state
        now = trio.current_time()
        exchange = WaitingExchange(state, lambda: now)
        exchange.take(_make_news())
        state.shared_waiting._ranks = lambda _: True
        for _ in range(3):
            assert not state.shared_waiting.may_use("llm", 2, 0.5)
            assert exchange.compare()
        assert read_gauges(state)["room_left_to_others"] == 1
        assert read_gauges(state)["requests_waiting_elsewhere_urgency_0"] == 40
        exchange.take(_make_news(waiting=()))
        now += 1.5
        assert not exchange.compare()
        begun, ended = _list_events(state, "room-left", "room-used-again")
        assert begun.detail["gateways"] == ["g-2"]
        assert begun.detail["waiting_there"] == 40
        assert begun.detail["priority"] == 2
        assert ended.detail["seconds"] == 1.5


async def test_a_request_that_is_held_back_is_tried_without_any_change(
    autojump_clock,
):
    """The gateway with urgent requests is cut off, and no stream ends here.

    Nothing but the comparison itself can have the request tried again.
    """
    async with stubs.open_harness() as harness:
        state = harness.state
        state.shared_waiting._ranks = lambda _: True
        exchange = WaitingExchange(state)
        exchange.take(_make_news())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchange.run)
            nursery.start_soon(state.capacity_queue.run)
            tried = trio.Event()
            state.capacity_queue.add(
                tried.set, priority=2, fresh_until=0.0, service="llm"
            )
            with trio.fail_after(2.0):
                await tried.wait()
            nursery.cancel_scope.cancel()
