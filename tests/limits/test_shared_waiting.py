"""One order of waiting: who leaves capacity to whom, and for how long."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.limits.reported_waiting import REPORT_LIFETIME
from magnoliacove.limits.room_trials import MAX_HOLD
from magnoliacove.limits.shared_waiting import SharedWaiting
from magnoliacove.limits.waiting import WaitingSummary


class _Clock:
    now = 100.0

    def __call__(self):
        return self.now


def _wait(requests, priority=0, service="llm"):
    return WaitingSummary(service, priority, requests, 0.0, 1.0)


def _make(clock, ranks=True):
    return SharedWaiting(random.Random(1), lambda _: ranks, clock)


@given(
    st.lists(st.tuples(st.integers(0, 4), st.floats(0.0, 20.0))),
    st.lists(st.integers(1, 200)),
)
def test_without_waiting_elsewhere_nothing_is_held_back(requests, own):
    """A fleet where nothing waits decides as one without these reports."""
    clock = _Clock()
    sharing = _make(clock)
    sharing.take_others("g-2", (_wait(9),), {"llm": 1.0})
    sharing.take_others("g-2", (), {})
    rows = [_wait(count, n) for n, count in enumerate(own)]
    sharing.note_own(rows, lambda _: 1.0)
    for priority, waited in requests:
        assert sharing.may_use("llm", priority, waited)
        sharing.note_used("llm", priority)
    assert not sharing.held_at


def test_less_urgent_requests_leave_capacity_to_more_urgent_ones():
    """Patient requests arrive at one gateway while urgent ones wait at
    another.  What is as urgent, or for another service, goes on.
    """
    sharing = _make(_Clock())
    sharing.take_others("g-2", (_wait(20, 0),), {"llm": 5.0})
    assert not sharing.may_use("llm", 1, 9.0)
    assert sharing.may_use("llm", 0, 9.0)
    assert sharing.may_use("desk", 1, 0.0)


def test_urgency_counts_only_where_the_configuration_ranks():
    sharing = _make(_Clock(), ranks=False)
    sharing.take_others("g-2", (_wait(20, 0),), {"llm": 5.0})
    assert sharing.may_use("llm", 1, 0.0)


def test_an_arrival_does_not_overtake_those_that_wait_elsewhere():
    """Sixty requests wait at the gateways of a loaded data centre.  One of an
    idle data centre takes no more than its part of the grants.
    """
    clock = _Clock()
    sharing, used = _make(clock), 0
    for look in range(200):
        sharing.take_others("g-2", (_wait(60),), {"llm": 20.0})
        sharing.note_own([_wait(2)], lambda _: 5.0)
        if sharing.may_use("llm", 0, 0.0) and look % 2:
            used += 1
            sharing.note_used("llm", 0)
        clock.now += 0.05
    # Its part is 1.4 of 25 requests a second, besides trials in 10 seconds.
    assert 10 <= used <= 14 + 2 * 20


def test_the_gateway_with_the_longest_wait_holds_nothing_back():
    """Otherwise all gateways could leave capacity to each other."""
    sharing = _make(_Clock())
    sharing.take_others("g-2", (_wait(10),), {"llm": 5.0})
    sharing.note_own([_wait(30)], lambda _: 5.0)
    assert all(sharing.may_use("llm", 0, 0.0) for _ in range(20))


@given(st.integers(1, 400), st.floats(0.0, 50.0), st.integers(0, 3), st.data())
def test_unused_capacity_is_not_left_beyond_the_bound(
    waiting, rate, priority, data
):
    """The gateway that reports waiting requests hangs, is killed, or cannot
    use what is free; its reports go on, are old or end at any moment.
    """
    clock = _Clock()
    sharing = _make(clock)
    ends = data.draw(st.floats(0.0, 4.0))
    started, free = clock.now, 16
    while free:
        if clock.now - started <= ends:
            sharing.take_others("g-2", (_wait(waiting),), {"llm": rate})
        if sharing.may_use("llm", priority, clock.now - started):
            free -= 1
            sharing.note_used("llm", priority)
        clock.now += 0.005
        assert clock.now - started <= MAX_HOLD + 1.0


@pytest.mark.parametrize("age", [0.0, 0.5, REPORT_LIFETIME, 4.0])
def test_news_is_trusted_less_the_older_it_is(age):
    clock = _Clock()
    sharing = _make(clock)
    sharing.take_others("g-2", (_wait(3),), {"llm": 1.0})
    clock.now += age
    assert sharing.may_use("llm", 1, 0.0) == (age >= REPORT_LIFETIME)


def test_an_unreachable_gateway_is_left_nothing():
    """A gateway is killed while its queue is long."""
    sharing = _make(_Clock())
    sharing.take_others("g-2", (_wait(90),), {"llm": 1.0})
    assert not sharing.may_use("llm", 1, 0.0)
    sharing.forget_peers(["g-2"])
    assert sharing.may_use("llm", 1, 0.0)


@given(
    st.lists(st.booleans(), max_size=400),
    st.integers(1, 3),
    st.floats(0.02, 0.4),
)
def test_less_urgent_requests_take_a_bounded_share(free, priority, interval):
    """Urgent requests wait elsewhere all the time and use what is free.

    A less urgent request that could have been replaced by one that has waited
    for longer than the news takes gets capacity in trials only.
    """
    clock = _Clock()
    sharing, used, reported_at, before = _make(clock), 0, 0.0, False
    for fits in free:
        if clock.now - reported_at >= interval:
            sharing.take_others("g-2", (_wait(50),), {"llm": 9.0})
            reported_at = clock.now
        # The others look as often: no capacity is free for two looks.
        fits = fits and not before
        if sharing.may_use("llm", priority, 0.3) and fits:
            sharing.note_used("llm", priority)
            used += 1
        clock.now += 0.025
        before = fits
    assert used <= 2 * (1 + len(free) * 0.025 / (MAX_HOLD / 2))
