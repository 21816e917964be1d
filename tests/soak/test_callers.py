"""Which answers and runs the soak reports as violations."""

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


def test_correct_answers_are_no_violation():
    callers, _ = _make()
    count = count_events("stream-1")
    body = _make_events("stream-1", range(1, count + 1))
    callers._check(Reply("stream", "stream-1", 200, body, True))
    callers._check(Reply("stream", "stream-1", 200, body[:40], False))
    callers._check(Reply("once", "once-1", 200, make_body("once-1"), True))
    assert callers.violations == []


def test_an_answer_to_another_request_is_a_violation():
    callers, _ = _make()
    callers._check(Reply("once", "once-1", 200, make_body("once-2"), True))
    assert len(callers.violations) == 1


def test_gaps_duplicates_and_early_ends_are_violations():
    """One event is missing, one is repeated, and a stream without its last
    event ends as if it were complete.
    """
    callers, _ = _make()
    count = count_events("stream-1")
    for numbers, complete in (
        ([1, 3], False),
        ([1, 1], False),
        (range(1, count), True),
    ):
        body = _make_events("stream-1", numbers)
        callers._check(Reply("stream", "stream-1", 200, body, complete))
    assert len(callers.violations) == 3


def test_a_run_after_a_refusal_is_a_violation():
    callers, ledger = _make()
    callers._check(Reply("once", "once-1", 503, b"", True))
    callers._check(Reply("once", "once-2", 502, b"", True))
    ledger.runs["once-1"].append("desk-1")
    ledger.runs["once-2"].append("desk-1")
    callers.check_refused()
    assert len(callers.violations) == 1


def test_a_second_run_is_a_violation():
    callers, ledger = _make()
    ledger.runs["once-1"] += ["desk-1", "desk-2"]
    ledger.runs["idempotent-1"] += ["desk-1", "desk-2"]
    callers.check_runs()
    assert len(callers.violations) == 1
