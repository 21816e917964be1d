"""Admission, rate limits and retry budgets: fair, work-conserving, bounded."""

import pytest
import trio

from magnoliacove import errors
from magnoliacove import limits


async def _run_request(
    admission, log, account, weight=1.0, priority=0, seconds=1.0
):
    async with admission.admit(account, weight, priority, 1000.0):
        log.append(account)
        await trio.sleep(seconds)


async def _run_all(admission, demands):
    """Run requests that arrive together; return the order of admission."""
    log = []
    async with trio.open_nursery() as nursery:
        for account, count, weight, priority in demands:
            for _ in range(count):
                nursery.start_soon(
                    _run_request, admission, log, account, weight, priority
                )
                await trio.sleep(0.001)
    return log


async def test_small_account_is_not_crowded_out(autojump_clock):
    """A large account queues 100 requests before a small one queues ten."""
    admission = limits.Admission(lambda: 2)
    log = await _run_all(
        admission, [("large", 100, 1.0, 0), ("small", 10, 1.0, 0)]
    )
    last_small = max(i for i, name in enumerate(log) if name == "small")
    assert last_small < 25


async def test_capacity_is_shared_by_weight(autojump_clock):
    admission = limits.Admission(lambda: 4)
    log = await _run_all(
        admission, [("heavy", 90, 3.0, 0), ("light", 90, 1.0, 0)]
    )
    middle = log[10:90]
    assert 2.4 < middle.count("heavy") / middle.count("light") < 3.6


async def test_priority_goes_first(autojump_clock):
    admission = limits.Admission(lambda: 1)
    log = await _run_all(
        admission, [("summary", 20, 1.0, 0), ("bid", 3, 1.0, 10)]
    )
    assert log[1:4] == ["bid"] * 3


async def test_idle_capacity_is_used(autojump_clock):
    """A single account may use the whole capacity."""
    admission = limits.Admission(lambda: 10)
    began = trio.current_time()
    await _run_all(admission, [("only", 50, 1.0, 0)])
    assert trio.current_time() - began < 6


async def test_refusal_is_early_and_has_a_retry_after(autojump_clock):
    """A request that cannot run in time is refused at once, not queued."""
    admission = limits.Admission(lambda: 1)
    refusals = []

    async def ask():
        began = trio.current_time()
        try:
            async with admission.admit("a", 1.0, 0, 5.0):
                await trio.sleep(1.0)
        except errors.RequestError as exc:
            refusals.append((exc, trio.current_time() - began))

    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(ask)
    assert refusals
    for exc, waited in refusals:
        assert waited < 0.1
        assert (exc.status, exc.outcome) == (429, errors.Outcome.NOT_RUN)
        assert exc.retry_after >= 1
    assert admission.running == admission.waiting == 0


async def test_queued_request_is_refused_as_soon_as_it_is_late(
    autojump_clock,
):
    """Requests take ten times longer than those before them.

    Requests that were queued with the old estimate are refused as soon as the
    estimate changes, well before their deadline, so that their callers can
    try elsewhere.
    """
    admission = limits.Admission(lambda: 1)
    waits = []

    async def ask(seconds, timeout):
        began = trio.current_time()
        try:
            async with admission.admit("a", 1.0, 0, timeout):
                await trio.sleep(seconds)
        except errors.RequestError:
            waits.append(trio.current_time() - began)

    async with trio.open_nursery() as nursery:
        for _ in range(30):
            nursery.start_soon(ask, 10.0, 40.0)
    assert len(waits) > 20
    assert max(waits) < 39


async def test_caller_who_leaves_the_queue(autojump_clock):
    admission = limits.Admission(lambda: 1)
    log = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_request, admission, log, "first")
        await trio.sleep(0.1)
        with trio.move_on_after(0.2):
            await _run_request(admission, log, "leaves")
        nursery.start_soon(_run_request, admission, log, "last")
    assert log == ["first", "last"]
    assert admission.running == admission.waiting == 0


async def test_rate_limit_is_split_over_entries(autojump_clock):
    rates = limits.RateLimit(lambda: 4)
    granted = 0
    for _ in range(1000):
        try:
            rates.check("a", 40.0)
            granted += 1
        except errors.RequestError as exc:
            assert 0 < exc.retry_after <= 0.11
        await trio.sleep(0.01)
    assert 100 <= granted <= 111


@pytest.mark.parametrize(("requests", "allowed"), [(0, 20), (100, 20 + 0)])
async def test_retries_are_a_fraction_of_requests(requests, allowed):
    """Retries stay a tenth of the requests, however many requests fail."""
    budget = limits.RetryBudget()
    for _ in range(requests):
        budget.note_request()
    spent = sum(budget.try_spend() for _ in range(1000))
    assert spent == allowed
    for _ in range(100):
        budget.note_request()
    assert sum(budget.try_spend() for _ in range(1000)) in (9, 10)
