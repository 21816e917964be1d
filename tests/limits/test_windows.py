"""Counts of events in a sliding window."""

from magnoliacove.limits.windows import WindowCounts


def test_events_older_than_the_window_do_not_count():
    now = 0.0
    counts = WindowCounts(2.0, lambda: now)
    counts.note("llm")
    now = 1.5
    counts.note("llm")
    counts.note("desk")
    assert (counts.count("llm"), counts.count("desk")) == (2, 1)
    now = 2.5
    assert (counts.count("llm"), counts.count("desk")) == (1, 1)
    now = 9.0
    assert (counts.count("llm"), counts.count("never")) == (0, 0)
    assert counts.list_names() == {"llm", "desk"}
