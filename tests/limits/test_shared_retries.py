"""The retry budget that all gateways share."""

from dataclasses import dataclass

from magnoliacove.limits import RetryLog
from magnoliacove.limits import SharedRetryBudget
from magnoliacove.timeline import Recorder


@dataclass(frozen=True)
class _Report:
    name: str
    services: dict[str, tuple[int, int]]


def test_retries_of_all_gateways_share_one_bound():
    """Three gateways observe the same failure, and each would retry.  The
    retries of the others count, so together they stay below the bound.
    """
    budgets = [SharedRetryBudget(0.2, 20, 10.0, lambda: 0.0) for _ in "abc"]
    for _ in range(30):
        for budget in budgets:
            budget.note_request("llm")
    spent = 0
    for _ in range(40):
        for number, budget in enumerate(budgets):
            spent += budget.try_spend("llm")
            for other in budgets:
                if other is not budget:
                    other.take(_Report(f"g-{number}", budget.list_counts()))
    assert 0.5 * (0.2 * 90 + 20) < spent <= 0.2 * 90 + 20


def test_retries_leave_the_window():
    now = 0.0
    budget = SharedRetryBudget(0.0, 10, 10.0, lambda: now)
    assert [budget.try_spend("llm") for _ in range(8)].count(True) == 7
    now = 10.5
    assert budget.try_spend("llm")
    assert budget.try_spend("desk")


def test_a_line_a_second_tells_what_the_budget_was_computed_from():
    now, recorder = 100.0, Recorder("g-1")
    budget = SharedRetryBudget(
        0.2, 10, 10.0, lambda: now, RetryLog(recorder, lambda: now)
    )
    budget.take(_Report("g-2", {"llm": (50, 3)}))
    budget.note_request("llm")
    for _ in range(12):
        budget.try_spend("llm")
        now += 0.125
    first, second = recorder.list_events()
    assert (first.kind, first.detail["spent"]) == ("retries-used", 1)
    assert second.detail["spent"] + second.detail["denied"] == 8
    assert second.detail["peer_requests"] == 50
    assert second.detail["peer_retries"] == 3
    assert second.detail["oldest_report"] == 1.0
