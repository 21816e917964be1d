"""Chains cover all layers once, in order, and avoid slow links."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove import routing
from magnoliacove.wire import messages

_LAYERS = 12
_CHOOSERS = [
    routing.ExpectedDelay,
    routing.RandomChoice,
    routing.RoundRobin,
    routing.LeastLoad,
    routing.TwoChoices,
]
_RANGES = st.lists(
    st.tuples(st.integers(0, _LAYERS - 1), st.integers(1, _LAYERS)).filter(
        lambda pair: pair[0] < pair[1]
    ),
    max_size=12,
)


def _can_cover(ranges):
    reached = 0
    while reached < _LAYERS:
        ends = [end for first, end in ranges if first <= reached < end]
        if not ends:
            return False
        reached = max(ends)
    return True


@pytest.mark.parametrize("chooser", _CHOOSERS)
@given(ranges=_RANGES, seed=st.integers(0, 99))
def test_chain_covers_each_layer_once(chooser, ranges, seed):
    options = [
        routing.StageOption(f"t{n}", first, end)
        for n, (first, end) in enumerate(ranges)
    ]
    chooser = (
        chooser(rng=random.Random(seed))
        if chooser is not routing.ExpectedDelay
        else chooser(sample=99, rng=random.Random(seed))
    )
    chain = chooser.choose(
        options, 0, _LAYERS, routing.Estimates("entry", lambda: 0.0)
    )
    if chain is None:
        assert not _can_cover(ranges)
        return
    ranges_by_target = {
        o.target: (o.first_layer, o.end_layer) for o in options
    }
    at = 0
    for stage in chain:
        first, end = ranges_by_target[stage.target]
        assert stage.first_layer == at
        assert first <= stage.first_layer < stage.end_layer <= end
        at = stage.end_layer
    assert at == _LAYERS
    names = [stage.target for stage in chain]
    assert len(names) == len(set(names))


def _report_steps(estimate, fixed, slope):
    for running in (1, 4, 8, 16):
        micros = int((fixed + slope * running) * 1e6)
        estimate.note_report(messages.Load(running, 0, micros))
    estimate.note_report(messages.Load(0, 0, int(fixed * 1e6)))


def test_step_time_line_is_estimated():
    estimate = routing.TargetEstimate()
    _report_steps(estimate, 0.02, 0.001)
    fixed, slope = estimate.line
    assert abs(fixed - 0.02) < 0.002
    assert abs(slope - 0.001) < 0.0002


def test_slow_link_is_avoided():
    """One link is a hundred times slower; chains avoid it."""
    options = [
        routing.StageOption(name, first, first + 6)
        for name, first in (("a1", 0), ("a2", 0), ("b1", 6), ("b2", 6))
    ]
    estimates = routing.Estimates("entry", lambda: 0.0)
    for name in ("a1", "a2", "b1", "b2"):
        _report_steps(estimates.target(name), 0.01, 0.0)
    for _ in range(50):
        for names in (("a1", "b1"), ("a1", "b2"), ("a2", "b1"), ("a2", "b2")):
            slow = 0.1 if names == ("a1", "b1") else 0.001
            estimates.note_token(names, 0.02 + slow)
    chooser = routing.ExpectedDelay(rng=random.Random(1))
    chains = [chooser.choose(options, 0, 12, estimates) for _ in range(50)]
    names = [tuple(s.target for s in chain) for chain in chains]
    assert ("a1", "b1") not in names


def test_own_streams_count_between_reports():
    """Every entry has the same outdated report of an idle target.

    An entry must count the streams that it started since the report, or it
    sends all of them to that target until the next report.
    """
    estimates = routing.Estimates("entry", lambda: 0.0)
    options = [routing.StageOption(f"t{n}", 0, 12) for n in range(3)]
    for option in options:
        _report_steps(estimates.target(option.target), 0.01, 0.001)
    chooser = routing.ExpectedDelay(rng=random.Random(1))
    counts = dict.fromkeys(("t0", "t1", "t2"), 0)
    for _ in range(30):
        chain = chooser.choose(options, 0, 12, estimates)
        counts[chain[0].target] += 1
        estimates.target(chain[0].target).own += 1
    assert set(counts.values()) == {10}
