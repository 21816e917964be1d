"""Estimates of waits: who is refused, from which counts."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.limits.waits import FlowMeter
from magnoliacove.limits.waits import Prospect
from magnoliacove.limits.waits import find_refusal


class _Load:
    """Arrivals and grants at a steady rate, seen by a meter."""

    def __init__(self):
        self.now = 0.0
        self.meter = FlowMeter(lambda: self.now)

    def run(self, seconds, arrivals, grants, priority=0, waiting=True):
        """Play a load; rates are per second."""
        self.meter.note_waiting(waiting)
        for tick in range(round(seconds * 100)):
            self.now += 0.01
            for _ in range(_count(arrivals, tick)):
                self.meter.note_arrival(priority)
            for _ in range(_count(grants, tick)):
                self.meter.note_granted(priority, waited=waiting)
        return self.meter.read()


def _count(rate, tick):
    """Return the events of a rate within one hundredth of a second."""
    return int((tick + 1) * rate / 100) - int(tick * rate / 100)


def _prospect(**values):
    usual = {
        "priority": 0,
        "ahead": 4,
        "is_first": False,
        "patience": 1.5,
        "objective": 0.5,
        "objective_left": 0.5,
    }
    return Prospect(**{**usual, **values})


def test_twice_the_demand_refuses_what_cannot_be_on_time():
    flow = _Load().run(3.0, arrivals=20, grants=10)
    refusal = find_refusal(flow, _prospect(ahead=8))
    assert refusal is not None
    assert refusal.wait == pytest.approx(0.9, abs=0.05)
    assert "8 ahead" in refusal.describe()
    assert find_refusal(flow, _prospect(ahead=1)) is None


def test_late_requests_wait_on_while_room_comes_back():
    """A burst is over: more is granted than arrives, and late answers are
    still worth something to their callers.
    """
    load = _Load()
    load.run(0.5, arrivals=40, grants=10)
    flow = load.run(0.6, arrivals=5, grants=10)
    assert find_refusal(flow, _prospect(objective_left=-0.5)) is None


def test_a_short_queue_refuses_none():
    """Requests waited only for a moment, so nothing is known of the rate."""
    flow = _Load().run(0.3, arrivals=100, grants=0)
    assert find_refusal(flow, _prospect(ahead=30)) is None


def test_a_wait_beyond_the_callers_patience_is_refused():
    flow = _Load().run(2.0, arrivals=4, grants=4)
    assert find_refusal(flow, _prospect(ahead=20)) is not None
    assert find_refusal(flow, _prospect(ahead=20, patience=9.0)) is None


def test_urgent_arrivals_lengthen_the_wait_of_patient_requests():
    """Urgent requests take nine of ten grants."""
    flow = _Load().run(2.0, arrivals=9, grants=10)
    assert flow.estimate_wait(0, 3) < 0.5 < flow.estimate_wait(1, 3)


def test_an_urgent_request_waits_on_while_patient_ones_get_capacity():
    """Urgent requests come in bursts that exceed the grants, and between them
    patient ones get capacity.  The next capacity may be an urgent one's.
    """
    load = _Load()
    load.run(1.0, arrivals=20, grants=5, priority=2)
    flow = load.run(1.0, arrivals=20, grants=5, priority=0)
    assert flow.is_overloaded(0)
    assert find_refusal(flow, _prospect(ahead=6)) is None
    late = _prospect(ahead=6, objective_left=-0.1)
    assert find_refusal(flow, late) is not None


def test_a_few_delayed_first_events_do_not_change_what_is_expected():
    load = _Load()
    for seconds in [0.1, 0.1, 0.1, 0.1, 3.0] * 6:
        load.meter.note_first_event(seconds)
    assert load.meter.read().first_event == 0.1


def test_slow_engines_are_no_reason_to_refuse_all():
    """First events come later than the objective, for each request alike."""
    load = _Load()
    for _ in range(50):
        load.meter.note_first_event(3.0)
    flow = load.run(3.0, arrivals=20, grants=10)
    assert find_refusal(flow, _prospect(ahead=1)) is None


@given(
    arrivals=st.integers(0, 60),
    grants=st.integers(0, 30),
    seconds=st.floats(0.0, 3.0),
    ahead=st.integers(0, 40),
    left=st.floats(-1.0, 1.0),
)
def test_refusals_are_true(arrivals, grants, seconds, ahead, left):
    """What is refused would, at the rate of grants, not be served in time:
    neither before its caller leaves, nor before later arrivals that take all.
    """
    flow = _Load().run(seconds, arrivals, grants)
    prospect = _prospect(ahead=ahead, objective_left=left)
    refusal = find_refusal(flow, prospect)
    if refusal is None:
        return
    assert flow.waited >= 0.6
    late = refusal.wait + flow.first_event > left
    never_reached = late and arrivals > grants
    # Even with the counted grants and the next one, its caller leaves first.
    outlasts = ahead / (flow.granted + 1) * flow.waited > 1.0
    assert never_reached or outlasts


def test_the_first_of_an_urgency_stays():
    """It takes the share that is kept for its urgency."""
    flow = _Load().run(3.0, arrivals=40, grants=10)
    prospect = _prospect(priority=2, ahead=30, is_first=True)
    assert find_refusal(flow, prospect) is None


def test_counts_leave_the_window():
    load = _Load()
    load.run(2.0, arrivals=20, grants=10)
    flow = load.run(3.0, arrivals=0, grants=0, waiting=False)
    assert (flow.waited, flow.granted) == (pytest.approx(0.0), 0)
    assert load.meter.read_grant_rate() == 0.0
