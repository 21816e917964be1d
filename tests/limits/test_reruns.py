"""Decision whether a stream may run once more."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.limits.reruns import RerunOptions
from magnoliacove.limits.reruns import find_refusal

_FREE = {
    "begun": False,
    "repeatable": True,
    "quarantined": False,
    "retries_left": 10.0,
    "refusals": 0,
    "seconds_left": 5.0,
}
_OPTIONS = st.builds(
    RerunOptions,
    begun=st.booleans(),
    repeatable=st.booleans(),
    quarantined=st.booleans(),
    retries_left=st.floats(-10.0, 10.0),
    refusals=st.integers(0, 20),
    seconds_left=st.floats(-1.0, 20.0),
)


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({}, ""),
        ({"repeatable": False}, "route"),
        ({"quarantined": True}, "crash"),
        ({"refusals": 5}, "refused"),
        ({"refusals": 4}, ""),
        ({"refusals": 5, "begun": True}, ""),
        ({"seconds_left": 0.0}, "deadline"),
    ],
)
def test_each_obstacle_is_named(changes, words):
    refusal = find_refusal(RerunOptions(**{**_FREE, **changes}))
    assert words in refusal
    assert bool(refusal) == bool(words)


@given(_OPTIONS)
def test_a_run_is_never_repeated_against_its_route(options):
    """Guards against a second run of a request that may run once."""
    if not options.repeatable:
        assert find_refusal(options)


@given(_OPTIONS)
def test_a_refused_request_may_go_elsewhere_on_any_route(options):
    """Guards against failing a request that no engine has run."""
    if options.seconds_left > 0.0 and options.refusals <= 4:
        assert not find_refusal(options, ran=False)
