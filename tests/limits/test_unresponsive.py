"""Requests at unresponsive targets, which are deferred for a short time."""

import pytest

from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.runs import CrashedRun

_BAD = "00c3b2a190817263"


class _Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def _run(number, attempt=None):
    return CrashedRun(_BAD, attempt or number, f"i-{number}", 0.1)


@pytest.fixture
def time():
    return _Time()


@pytest.fixture
def history(time):
    return CrashHistory(time)


def test_three_unresponsive_targets_defer_a_request(history):
    """Each target that ran a request has been unresponsive since.  Before one
    is back and reports its restart, the request would crash all others too.
    """
    for number in (1, 2):
        history.unresponsive.note(_run(number))
        assert not history.is_deferred(_BAD)
    assert history.is_suspected(_BAD)
    history.unresponsive.note(_run(3), own=False)
    assert history.is_deferred(_BAD)


def test_a_single_attempt_is_not_deferred(history):
    """A whole data centre becomes unresponsive while a stream is rerouted."""
    for number in (1, 2, 3):
        history.unresponsive.note(_run(number, attempt=9))
    assert not history.is_deferred(_BAD)


def test_an_answered_request_is_not_deferred(history):
    for number in (1, 2, 3):
        history.unresponsive.note(_run(number))
    history.note_answered(_BAD)
    assert not history.is_deferred(_BAD)


def test_a_target_that_answers_again_no_longer_counts(history):
    for number in (1, 2, 3):
        history.unresponsive.note(_run(number))
    history.unresponsive.drop(_run(2))
    assert not history.is_deferred(_BAD)


def test_crashed_and_unresponsive_targets_count_together(history):
    """Two targets are known to have crashed and a third is unresponsive.  Once
    the third is known to have crashed as well, the request is the cause.
    """
    history.note_crash(_run(1))
    history.note_crash(_run(2))
    history.unresponsive.note(_run(3))
    assert history.is_deferred(_BAD)
    assert not history.find_causes(())
    history.note_crash(_run(3))
    assert not history.is_deferred(_BAD)
    assert history.find_causes(()) == {_BAD: 3}


@pytest.mark.parametrize(("own", "seconds"), [(False, 7.0), (True, 31.0)])
def test_unresponsive_runs_expire(history, time, own, seconds):
    for number in (1, 2, 3):
        history.unresponsive.note(_run(number), own=own)
    assert history.is_deferred(_BAD)
    assert bool(history.unresponsive.list_own()) == own
    time.now += seconds
    assert not history.is_deferred(_BAD)
    assert not history.unresponsive.list_own()


def test_a_peer_report_does_not_shorten_an_own_observation(history, time):
    for number in (1, 2, 3):
        history.unresponsive.note(_run(number))
        history.unresponsive.note(_run(number), own=False)
    time.now += 10.0
    assert history.is_deferred(_BAD)
