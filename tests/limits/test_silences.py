"""Requests whose targets answer nothing since: held back for a moment."""

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


def test_three_silent_targets_hold_a_request_back(history):
    """Each target that ran a request answers nothing since.  Before any is
    back and tells that it ended, the request would take all others too.
    """
    for number in (1, 2):
        history.silent.note(_run(number))
        assert not history.is_held(_BAD)
    assert history.is_suspected(_BAD)
    history.silent.note(_run(3), own=False)
    assert history.is_held(_BAD)


def test_one_attempt_holds_nothing_back(history):
    """A whole data centre falls silent under a stream that is led on."""
    for number in (1, 2, 3):
        history.silent.note(_run(number, attempt=9))
    assert not history.is_held(_BAD)


def test_an_answer_speaks_for_a_request(history):
    for number in (1, 2, 3):
        history.silent.note(_run(number))
    history.note_answered(_BAD)
    assert not history.is_held(_BAD)


def test_a_target_that_lives_counts_no_more(history):
    for number in (1, 2, 3):
        history.silent.note(_run(number))
    history.silent.drop(_run(2))
    assert not history.is_held(_BAD)


def test_ends_and_silence_count_together(history):
    """Two are known to have ended, the third answers nothing; once that is
    known to have ended as well, the request is its cause.
    """
    history.note_crash(_run(1))
    history.note_crash(_run(2))
    history.silent.note(_run(3))
    assert history.is_held(_BAD)
    assert not history.find_causes(())
    history.note_crash(_run(3))
    assert not history.is_held(_BAD)
    assert history.find_causes(()) == {_BAD: 3}


@pytest.mark.parametrize(("own", "seconds"), [(False, 7.0), (True, 31.0)])
def test_silence_counts_for_a_moment(history, time, own, seconds):
    for number in (1, 2, 3):
        history.silent.note(_run(number), own=own)
    assert history.is_held(_BAD)
    assert bool(history.silent.list_own()) == own
    time.now += seconds
    assert not history.is_held(_BAD)
    assert not history.silent.list_own()


def test_what_a_peer_says_shortens_nothing(history, time):
    for number in (1, 2, 3):
        history.silent.note(_run(number))
        history.silent.note(_run(number), own=False)
    time.now += 10.0
    assert history.is_held(_BAD)
