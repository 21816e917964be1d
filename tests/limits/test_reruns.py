"""Decision whether a stream may run once more."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.limits.reruns import Obstacle
from magnoliacove.limits.reruns import RerunFacts
from magnoliacove.limits.reruns import find_obstacle

_FREE = {
    "begun": False,
    "repeatable": True,
    "quarantined": False,
    "retries_left": 10.0,
    "refusals": 0,
    "seconds_left": 5.0,
}
_OPTIONS = st.builds(
    RerunFacts,
    begun=st.booleans(),
    repeatable=st.booleans(),
    quarantined=st.booleans(),
    retries_left=st.floats(-10.0, 10.0),
    refusals=st.integers(0, 20),
    seconds_left=st.floats(-1.0, 20.0),
)


@pytest.mark.parametrize(
    ("changes", "obstacle"),
    [
        ({}, None),
        ({"repeatable": False}, Obstacle.ROUTE),
        ({"quarantined": True}, Obstacle.CRASHES),
        ({"refusals": 5}, Obstacle.REFUSALS),
        ({"refusals": 4}, None),
        ({"refusals": 5, "begun": True}, None),
        ({"seconds_left": 0.0}, Obstacle.DEADLINE),
    ],
)
def test_each_obstacle_is_named(changes, obstacle):
    facts = RerunFacts(**{**_FREE, **changes})
    assert find_obstacle(facts) is obstacle


@given(_OPTIONS)
def test_a_run_is_never_repeated_against_its_route(facts):
    """Guards against a second run of a request that may run once."""
    if not facts.repeatable:
        assert find_obstacle(facts)


@given(_OPTIONS)
def test_a_refused_request_may_go_elsewhere_on_any_route(facts):
    """Guards against failing a request that no engine has run."""
    if facts.seconds_left > 0.0 and facts.refusals <= 4:
        assert not find_obstacle(facts, ran=False)
