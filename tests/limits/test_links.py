"""What waits at the link between data centres."""

import pytest

from magnoliacove.limits.links import BegunHops
from magnoliacove.limits.links import Link

# A prompt of 500 tokens takes 50 ms.
_LINK = Link(token_seconds=1e-4, usual_prompt=500.0, usual_answer=300.0)


def test_backlog_is_what_the_link_has_not_carried():
    """Prompts that begin together are carried one after another; a pause
    before them saves nothing.
    """
    begun = BegunHops()
    begun.update(10, now=100.0)
    assert begun.read_backlog(100.0, rate=20.0) == 10.0
    begun.update(14, now=100.25)
    assert begun.read_backlog(100.25, rate=20.0) == 9.0
    assert begun.read_backlog(101.0, rate=20.0) == 0.0
    begun.update(15, now=101.5)
    assert begun.read_backlog(101.5, rate=20.0) == 1.0
    assert begun.read_rate(101.5) == 7.5
    assert begun.read_rate(104.0) == 0.0


def test_prompt_waits_no_longer_than_its_first_event_may():
    """A burst of callers reaches a data centre without room of its own."""
    begun = BegunHops()
    total, now = 0, 0.0
    for step in range(200):
        now = step / 100
        if _LINK.may_begin(begun, hops=0, now=now):
            total += 1
            begun.update(total, now)
    assert begun.read_backlog(now, 1 / 0.05) * 0.05 < 0.15
    # The link carries twenty a second, of which a quarter is headroom.
    assert total == pytest.approx(15 * now, abs=3)


def test_answers_leave_less_for_prompts():
    assert _LINK.compute_prompt_rate(0) == pytest.approx(15.0)
    assert _LINK.compute_prompt_rate(30) == pytest.approx(9.0)
    assert _LINK.compute_prompt_rate(80) == 0.0
    assert not _LINK.may_begin(BegunHops(), hops=80, now=0.0)


def test_hop_without_bytes_is_free():
    link = Link(token_seconds=0.0, usual_prompt=500.0, usual_answer=300.0)
    begun = BegunHops()
    begun.update(1000, now=0.0)
    assert link.may_begin(begun, hops=1000, now=0.0)
    assert link.estimate_hop_seconds(500.0, 300.0, begun, now=0.0) == 0.0
