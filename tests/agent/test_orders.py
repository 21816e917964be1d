"""Orders are fenced, whether or not the engine checks the number."""

import pytest
import trio

from magnoliacove import directory
from magnoliacove import timeline
from magnoliacove.agent.orders import ORDERS_LEASE
from magnoliacove.agent.orders import OrderGate
from magnoliacove.standins import engine
from magnoliacove.standins import object_api
from magnoliacove.wire import messages


def _lease(store, owner):
    recorder = timeline.Recorder(owner)
    return directory.Lease(store, recorder, ORDERS_LEASE, owner)


def _order(holder, fence, argument):
    return messages.Order(b"o" * 16, holder, fence, "load", argument)


@pytest.mark.parametrize("checks", [True, False])
@pytest.mark.parametrize("restarted", [True, False])
async def test_holder_that_wakes_changes_nothing(
    checks, restarted, autojump_clock
):
    """A holder is paused past its lease and wakes believing it holds it.

    Meanwhile another took the lease and gave an order.  The late order is
    refused by the agent, also by one that has just started and knows no
    number, and also beside an engine that checks nothing.
    """
    store = object_api.ObjectStore()
    model = engine.StandInEngine(8, checks_orders=checks)
    gate = OrderGate("t", model, store, timeline.Recorder("t"))
    paused, other = _lease(store, "paused"), _lease(store, "other")
    assert await paused.try_acquire()
    old_fence = paused.fence
    await gate.give(_order("paused", old_fence, "first"))
    await other.try_acquire()
    await trio.sleep(10)
    assert not paused.held
    assert await other.try_acquire()
    assert other.fence > old_fence
    if restarted:
        gate = OrderGate("t", model, store, timeline.Recorder("t"))
    else:
        assert (await gate.give(_order("other", other.fence, "new"))).applied
    late = await gate.give(_order("paused", old_fence, "late"))
    assert not late.applied
    assert "no longer holds" in late.reason
    assert "late" not in [order[2] for order in model.orders]


async def test_unknown_number_in_an_outage(autojump_clock):
    """A new agent cannot learn the number, so it obeys nobody."""
    store = object_api.ObjectStore()
    store.faults.outage = True
    model = engine.StandInEngine(8)
    gate = OrderGate("t", model, store, timeline.Recorder("t"))
    assert not (await gate.give(_order("x", 99, "y"))).applied
    assert not model.orders


async def test_two_never_hold_a_lease(autojump_clock):
    """Holders renew, pause and lose answers; never do two hold it."""
    store = object_api.ObjectStore()
    leases = [_lease(store, f"p{n}") for n in range(3)]

    async def act(lease, pauses):
        for pause in pauses:
            try:
                await lease.try_acquire()
            except Exception:
                await trio.sleep(0.2)
            await trio.sleep(pause)

    async def watch():
        while True:
            assert sum(lease.held for lease in leases) <= 1
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        async with trio.open_nursery() as actors:
            for number, lease in enumerate(leases):
                pauses = [1, 9, 1, 0.5, 7, 1, 1, 6][number:] * 4
                actors.start_soon(act, lease, pauses)
            for _ in range(8):
                await trio.sleep(5)
                store.faults.lost_answers = 1
        nursery.cancel_scope.cancel()
