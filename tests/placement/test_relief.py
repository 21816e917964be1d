"""The move that relieves a full data centre after engines failed."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import make_plan
from magnoliacove.placement.ratings import compute_totals
from magnoliacove.placement.relief import find_relief
from tests.shapes import KINDS
from tests.shapes import make_shape

_SHAPE = make_shape(token_mb=0.656)
_KINDS = {"h100": 1, "a100s": 1, "l4": 8, "t4": 10}


def _place(kinds):
    engines = [
        EngineState(f"{kind}-{n}", "a", kind, None)
        for kind, count in kinds.items()
        for n in range(count)
    ]
    placed = {p.target: p.layers for p in make_plan(engines, _SHAPE)}
    return [replace(e, layers=placed.get(e.target)) for e in engines]


def _lose(engines, losses):
    remaining = list(engines)
    for loss in losses:
        del remaining[loss % len(remaining)]
    changes = {p.target: p.layers for p in make_plan(remaining, _SHAPE)}
    return [
        replace(e, requests=30, layers=changes.get(e.target, e.layers))
        for e in remaining
    ]


def _move(engines, move):
    return [
        replace(e, layers=move.layers) if e.target == move.target else e
        for e in engines
    ]


def test_an_engine_in_use_moves_to_the_layers_that_lack_capacity():
    """A burst after two engines failed: the layers that both had loaded have
    half the capacity of the others, and the callers wait for those.
    """
    placed = _place(_KINDS)
    window = next(e.layers for e in placed if e.accelerator == "t4")
    lost = [
        n
        for n, e in enumerate(placed)
        if e.layers.first < window.end
        and window.first < e.layers.end
        and e.accelerator in ("l4", "t4")
    ][:2]
    engines = _lose(placed, sorted(lost, reverse=True))
    before = compute_totals(engines, _SHAPE)
    move = find_relief(engines, _SHAPE)
    assert move is not None and not move.closes_gap
    after = compute_totals(_move(engines, move), _SHAPE)
    assert min(after.capacities) >= min(before.capacities)
    assert after.capacities[window.first] > before.capacities[window.first]


def test_an_even_placement_stays():
    """All layers have nearly the same capacity, and more demand than that
    cannot be served by a move.
    """
    ranges = [LayerRange(n, n + 8) for n in range(0, 80, 8)] * 2
    engines = [
        EngineState(f"i-{n}", "a", "l4", layers, requests=40)
        for n, layers in enumerate(ranges)
    ]
    assert find_relief(engines, _SHAPE) is None


@given(st.lists(st.integers(0, 40), max_size=6))
def test_moves_are_few_and_never_weaken_a_placement(losses):
    """Any engines fail while the data centre is full.

    Neither during nor after a move has any layer less capacity than the
    weakest had, a slower engine, or more layers a single replica.  No order
    exceeds an engine's memory, and the moves end.
    """
    engines = _lose(_place(_KINDS), losses)
    for _ in range(12):
        totals = compute_totals(engines, _SHAPE)
        move = find_relief(engines, _SHAPE)
        if move is None:
            return
        assert all(totals.counts)
        moved = next(e for e in engines if e.target == move.target)
        others = [e for e in engines if e is not moved]
        during = compute_totals(others, _SHAPE)
        engines = _move(engines, move)
        after = compute_totals(engines, _SHAPE)
        weakest = min(totals.capacities) - 1e-6
        assert min(during.capacities) >= weakest
        assert min(after.capacities) >= weakest
        assert during.factors == totals.factors
        assert sum(n > 1 for n in after.counts) >= sum(
            n > 1 for n in totals.counts
        )
        used = move.layers.count * _SHAPE.layer_mb
        assert used <= KINDS[moved.accelerator].memory_mb
    raise AssertionError("the moves do not end")
