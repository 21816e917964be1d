"""What the soak takes for a broken promise."""

from soak.callers import Callers
from soak.callers import Reply
from soak.targets import Ledger
from soak.targets import count_events
from soak.targets import make_body
from soak.targets import make_event


def _make():
    ledger = Ledger()
    return Callers([], ledger, 1), ledger


def _make_events(request, numbers):
    return b"".join(make_event(request, number) for number in numbers)


def test_whole_answers_are_in_order():
    callers, _ = _make()
    count = count_events("stream-1")
    body = _make_events("stream-1", range(1, count + 1))
    callers._check(Reply("stream", "stream-1", 200, body, True))
    callers._check(Reply("stream", "stream-1", 200, body[:40], False))
    callers._check(Reply("once", "once-1", 200, make_body("once-1"), True))
    assert callers.broken == []


def test_an_answer_of_another_request_is_seen():
    callers, _ = _make()
    callers._check(Reply("once", "once-1", 200, make_body("once-2"), True))
    assert len(callers.broken) == 1


def test_gaps_doubles_and_early_ends_are_seen():
    """An event is missing, one comes twice, and a stream that lacks its
    last event ends as if it were whole.
    """
    callers, _ = _make()
    count = count_events("stream-1")
    for numbers, whole in (
        ([1, 3], False),
        ([1, 1], False),
        (range(1, count), True),
    ):
        body = _make_events("stream-1", numbers)
        callers._check(Reply("stream", "stream-1", 200, body, whole))
    assert len(callers.broken) == 3


def test_what_ran_in_spite_of_a_refusal_is_seen():
    callers, ledger = _make()
    callers._check(Reply("once", "once-1", 503, b"", True))
    callers._check(Reply("once", "once-2", 502, b"", True))
    ledger.runs["once-1"].append("desk-1")
    ledger.runs["once-2"].append("desk-1")
    callers.check_refused()
    assert len(callers.broken) == 1


def test_a_second_run_is_seen():
    callers, ledger = _make()
    ledger.runs["once-1"] += ["desk-1", "desk-2"]
    ledger.runs["idempotent-1"] += ["desk-1", "desk-2"]
    callers.check_runs()
    assert len(callers.broken) == 1
