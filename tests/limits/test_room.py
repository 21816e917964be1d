"""Waiting for room: who goes first, who is refused, and when."""

import pytest
import trio

from magnoliacove import errors
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.load import TargetLoad
from magnoliacove.limits.retries import SharedRetryBudget
from magnoliacove.limits.room import RoomQueue
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


class _Places:
    """A number of places, taken one at a time."""

    def __init__(self, free):
        self.free = free
        self.order = []

    def take(self, name):
        """Return a function that takes a place for a name."""

        def find():
            if not self.free:
                return None
            self.free -= 1
            self.order.append(name)
            return _PATH

        return find


async def test_fresh_and_urgent_requests_go_first(autojump_clock):
    """No place is free.  Three requests wait: one that is late already,
    one of low priority, one of high.  Places come one by one: the one that
    can still be in time goes first, by priority; the late one last.
    """
    places, queue = _Places(0), RoomQueue()

    async def wait(name, priority, fresh):
        await queue.wait_path(
            places.take(name),
            priority=priority,
            fresh_until=trio.current_time() + fresh,
            patience=5.0,
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.run)
        for task in (("late", 0, -1.0), ("low", 5, 3.0), ("high", 1, 3.0)):
            nursery.start_soon(wait, *task)
            await trio.sleep(0.1)
        for _ in range(3):
            places.free += 1
            queue.fill()
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert places.order == ["high", "low", "late"]


async def test_no_room_in_time_is_told_with_a_time_to_return(
    autojump_clock,
):
    queue = RoomQueue()
    began = trio.current_time()
    with pytest.raises(errors.RequestError) as caught:
        await queue.wait_path(
            lambda: None, priority=1, fresh_until=0.0, patience=0.7
        )
    assert trio.current_time() - began == pytest.approx(0.7, abs=0.05)
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert caught.value.retry_after > 0
    assert queue.waiting == 0


async def test_a_queue_that_is_full_refuses_at_once(autojump_clock):
    queue = RoomQueue(most_waiting=0)
    began = trio.current_time()
    with pytest.raises(errors.RequestError):
        await queue.wait_path(
            lambda: None, priority=1, fresh_until=0.0, patience=5.0
        )
    assert trio.current_time() == began


async def test_many_changes_cost_few_tries(autojump_clock):
    """Forty requests wait, and releases and heartbeats come by hundreds.

    Each try is a search over the engines.  One try for each change and
    each waiter used up the processor, and callers' leaving went unseen.
    """
    tries = 0
    queue = RoomQueue()

    def find():
        nonlocal tries
        tries += 1

    async def wait():
        with pytest.raises(errors.RequestError):
            await queue.wait_path(
                find, priority=1, fresh_until=0.0, patience=1.0
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


def test_load_is_own_and_others():
    book = LoadBook()
    first = book.reserve_path(_PATH, 100.0)
    assert book.read("i-1") == TargetLoad(1, 3000.0)
    book.take_others("entry-2", {"i-1": TargetLoad(4, 500.0)}, 2)
    assert book.read("i-1") == TargetLoad(5, 3500.0)
    assert book.all_crossings == 3
    book.release(first)
    book.forget(["entry-2"])
    assert book.read("i-1") == TargetLoad()
    assert book.all_crossings == 0
    assert not book.list_own()


def test_repeats_of_all_entries_share_one_bound():
    """Three entries see the same failure and each would repeat.  What the
    others spent counts, so together they stay below the bound.
    """
    budgets = [SharedRetryBudget(0.2, 20, 10.0, lambda: 0.0) for _ in "abc"]
    for _ in range(30):
        for budget in budgets:
            budget.note_request("llm")
    spent = 0
    for _ in range(40):
        for number, budget in enumerate(budgets):
            spent += budget.try_spend("llm")
            for other in budgets:
                if other is not budget:
                    other.take_others(str(number), budget.list_counts())
    assert 0.5 * (0.2 * 90 + 20) < spent <= 0.2 * 90 + 20


def test_the_window_of_repeats_moves_on():
    now = 0.0
    budget = SharedRetryBudget(0.0, 10, 10.0, lambda: now)
    assert [budget.try_spend("llm") for _ in range(8)].count(True) == 7
    now = 10.5
    assert budget.try_spend("llm")
    assert budget.try_spend("desk")
