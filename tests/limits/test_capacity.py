"""The capacity queue: order, refusals and cost; and loads."""

import pytest
import trio

from magnoliacove import errors
from magnoliacove.limits.capacity import CapacityQueue
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.load import TargetLoad
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathStage
from magnoliacove.wire import Address

_PATH = Path(
    (
        PathStage("i-1", Address("10.0.0.1", 80), "a", 0, 30),
        PathStage("i-2", Address("10.0.0.2", 80), "b", 30, 80),
    ),
    1.0,
    1,
)


class _Slots:
    """A number of slots, taken one at a time."""

    def __init__(self, free):
        self.free = free
        self.order = []

    def take(self, name):
        """Return a function that takes a slot for a name."""

        def find():
            if not self.free:
                return None
            self.free -= 1
            self.order.append(name)
            return _PATH

        return find


async def test_fresh_and_urgent_requests_go_first(autojump_clock):
    """No slot is free.  Three requests wait: one that is already late, one of
    low priority and one of high priority.  Slots become free one by one:
    requests that can still be in time go first, by priority, and the late one
    goes last.
    """
    slots, queue = _Slots(0), CapacityQueue()

    async def wait(name, priority, fresh):
        await queue.wait_path(
            slots.take(name),
            priority=priority,
            fresh_until=trio.current_time() + fresh,
            timeout=5.0,
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.run)
        for task in (("late", 0, -1.0), ("low", 5, 3.0), ("high", 1, 3.0)):
            nursery.start_soon(wait, *task)
            await trio.sleep(0.1)
        for _ in range(3):
            slots.free += 1
            queue.fill()
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert slots.order == ["high", "low", "late"]


async def test_a_request_without_capacity_is_refused_with_a_retry_after(
    autojump_clock,
):
    queue = CapacityQueue()
    began = trio.current_time()
    with pytest.raises(errors.RequestError) as caught:
        await queue.wait_path(
            lambda: None, priority=1, fresh_until=0.0, timeout=0.7
        )
    assert trio.current_time() - began == pytest.approx(0.7, abs=0.05)
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert caught.value.retry_after > 0
    assert queue.waiting == 0


async def test_a_full_queue_refuses_at_once(autojump_clock):
    queue = CapacityQueue(max_waiting=0)
    began = trio.current_time()
    with pytest.raises(errors.RequestError):
        await queue.wait_path(
            lambda: None, priority=1, fresh_until=0.0, timeout=5.0
        )
    assert trio.current_time() == began


async def test_many_changes_cost_few_tries(autojump_clock):
    """Forty requests wait while hundreds of releases and heartbeats arrive.

    Each try is a search over the engines.  One try for each change and each
    waiting request used up the processor and delayed the detection of callers
    that disconnect.
    """
    tries = 0
    queue = CapacityQueue()

    def find():
        nonlocal tries
        tries += 1

    async def wait():
        with pytest.raises(errors.RequestError):
            await queue.wait_path(
                find, priority=1, fresh_until=0.0, timeout=1.0
            )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.run)
        for _ in range(40):
            nursery.start_soon(wait)
        for _ in range(500):
            queue.fill()
            await trio.sleep(0.002)
        nursery.cancel_scope.cancel()
    assert tries <= 8 * 1.0 / 0.025 + 41


async def test_one_change_serves_all_that_can_be_served(autojump_clock):
    """Guards against requests that wait although there is capacity.

    Twenty requests wait when capacity for all of them gets free, and nothing
    changes after that.
    """
    queue, slots = CapacityQueue(), _Slots(0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.run)
        for number in range(20):
            queue.add(slots.take(number), priority=1, fresh_until=0.0)
        await trio.sleep(1.0)
        slots.free = 20
        queue.fill()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    assert sorted(slots.order) == list(range(20))


def test_load_is_the_sum_of_own_and_reported_load():
    book = LoadBook()
    first = book.reserve_path(_PATH, 100.0)
    assert book.read("i-1") == TargetLoad(1, 3000.0)
    book.take_others("entry-2", {"i-1": TargetLoad(4, 500.0)}, 2)
    assert book.read("i-1") == TargetLoad(5, 3500.0)
    assert book.all_crossings == 3
    book.release(first)
    book.forget_peers(["entry-2"])
    assert book.read("i-1") == TargetLoad()
    assert book.all_crossings == 0
    assert not book.list_own()
