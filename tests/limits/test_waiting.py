"""What the capacity queue tells of itself, and what it asks of the sharing."""

import pytest
import trio

from magnoliacove.limits.capacity import CapacityQueue
from magnoliacove.limits.waiting import WaitingSummary
from magnoliacove.routing.paths import Path

_PATH = Path((), 1.0, 0)


class _Sharing:
    """Leaves capacity to others for a time, and records what it is told."""

    def __init__(self, until):
        self.until = until
        self.used = []

    def may_use(self, service, priority, waited):
        return waited >= self.until

    def note_used(self, service, priority):
        self.used.append((service, priority))


async def test_a_request_leaves_capacity_to_others_until_it_may_use_it(
    autojump_clock,
):
    """Capacity is free here, and a more urgent request waits elsewhere."""
    queue = CapacityQueue(sharing=_Sharing(0.3))
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.run)
        nursery.start_soon(_fill_often, queue)
        await queue.wait_path(
            lambda: _PATH,
            priority=2,
            fresh_until=began + 1.0,
            timeout=1.0,
            service="llm",
        )
        nursery.cancel_scope.cancel()
    assert trio.current_time() - began == pytest.approx(0.3, abs=0.06)
    assert queue.sharing.used == [("llm", 2)]
    assert queue.read_grant_rate("llm") > 0.0
    assert queue.read_grant_rate("desk") == 0.0


async def test_a_begun_answer_does_not_leave_capacity_to_others(
    autojump_clock,
):
    queue = CapacityQueue(sharing=_Sharing(9.0))
    began = trio.current_time()
    await queue.wait_path(
        lambda: _PATH, priority=-1, fresh_until=began, timeout=1.0
    )
    assert trio.current_time() == began


async def test_waiting_requests_are_summarized_by_service_and_urgency(
    autojump_clock,
):
    queue = CapacityQueue()
    for priority in (1, 0, 1, -1):
        queue.add(
            lambda: None,
            priority=priority,
            fresh_until=0.0,
            service="llm",
            tokens=100.0,
        )
        await trio.sleep(0.5)
    assert queue.summarize() == [
        WaitingSummary("llm", 0, 1, 100.0, pytest.approx(1.5)),
        WaitingSummary("llm", 1, 2, 200.0, pytest.approx(2.0)),
    ]


async def _fill_often(queue):
    while True:
        queue.fill()
        await trio.sleep(0.01)
