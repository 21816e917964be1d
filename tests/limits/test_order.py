"""The order of waiting requests: urgency, accounts and chance to be on time.

The properties are checked on random loads at one gateway: requests arrive and
capacity for one of them gets free, in any sequence.
"""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.limits.order import OrderPolicy
from magnoliacove.limits.order import WaitingOrder

_TODAY = OrderPolicy()
_FULL = OrderPolicy(by_urgency=True, by_account=True)


@dataclass(frozen=True)
class _Request:
    number: int
    priority: int = 0
    account: str = ""
    fresh: bool = True


class _Line:
    """Requests that wait, and grants of capacity to the next one."""

    def __init__(self, policy):
        self.order, self.policy = WaitingOrder(), policy
        self.waiting = []

    def add(self, **values):
        request = _Request(self.order_number(), **values)
        self.order.note_waiting(request, self.waiting)
        self.waiting.append(request)
        return request

    def order_number(self):
        self.number = getattr(self, "number", 0) + 1
        return self.number

    def list_in_order(self):
        return self.order.sort(self.waiting, self.policy, lambda r: r.fresh)

    def grant(self):
        first = self.list_in_order()[0]
        self.waiting.remove(first)
        self.order.note_granted(first, self.waiting)
        return first


@pytest.mark.parametrize(
    ("policy", "expected"),
    [(_TODAY, [4, 3, 1, 2]), (_FULL, [4, 2, 3, 1])],
)
def test_urgency_precedes_the_chance_to_be_on_time(policy, expected):
    """A late patient, a late urgent and a patient request wait, and an answer
    that has begun.  Where urgencies differ, the urgent one precedes both;
    elsewhere the late ones go last, by priority and arrival as before.
    """
    line = _Line(policy)
    line.add(priority=1, fresh=False)
    line.add(priority=0 if policy.by_urgency else 1, fresh=False)
    line.add(priority=1)
    line.add(priority=-1)
    assert [r.number for r in line.list_in_order()] == expected


def test_a_large_account_does_not_hold_back_a_small_one():
    """One account sends 50 requests before another sends five."""
    line = _Line(_FULL)
    for account in ["large"] * 50 + ["small"] * 5:
        line.add(account=account)
    granted = [line.grant().account for _ in range(10)]
    assert granted.count("small") == 5


def test_an_account_share_costs_no_answer_that_is_on_time():
    line = _Line(_FULL)
    for _ in range(4):
        line.add(account="large")
    line.add(account="small", fresh=False)
    assert [line.grant().account for _ in range(4)] == ["large"] * 4


def test_an_account_that_is_always_late_does_not_starve():
    """The engines are too slow for the objective of one account's route."""
    line = _Line(_FULL)
    line.add(account="late", fresh=False)
    granted = []
    for _ in range(40):
        line.add(account="other")
        granted.append(line.grant().account)
    assert "late" in granted


def test_patient_requests_get_a_bounded_share_of_an_overload():
    """Urgent requests alone are more than the capacity, for a long time."""
    line = _Line(_FULL)
    for priority in (1, 2):
        for _ in range(20):
            line.add(priority=priority)
    granted = []
    for _ in range(160):
        line.add(priority=0)
        granted.append(line.grant().priority)
    assert granted.count(1) == granted.count(2) == 5


_STEPS = st.lists(
    st.one_of(
        st.just("grant"),
        st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.booleans()),
    ),
    max_size=200,
)


@given(_STEPS)
def test_urgency_is_overturned_by_the_bounded_share_alone(steps):
    """Whatever arrives, of sixteen grants in a row at most one goes to a less
    urgent request while a more urgent one waits.
    """
    line, overturned, grants = _Line(_FULL), [-16], 0
    for step in steps:
        if step != "grant":
            priority, account, fresh = step
            line.add(priority=priority, account=account, fresh=fresh)
        elif line.waiting:
            granted, grants = line.grant(), grants + 1
            if any(r.priority < granted.priority for r in line.waiting):
                assert grants - overturned[-1] >= 16
                overturned.append(grants)


@given(st.lists(st.sampled_from("aaaabc"), min_size=30, max_size=200))
def test_no_account_starves(arrivals):
    """Each account that waits gets one of the next grants for each account,
    whatever the others send meanwhile.
    """
    line = _Line(_FULL)
    passed = dict.fromkeys("abc", 0)
    for number, account in enumerate(arrivals):
        line.add(account=account)
        if number < 5:
            continue
        granted = line.grant().account
        for other in {r.account for r in line.waiting} - {granted}:
            passed[other] += 1
            assert passed[other] <= 6
        passed[granted] = 0
