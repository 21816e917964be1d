"""A move that gives the layers of a full data centre more capacity.

After engines failed, a few layers have less capacity than the others and
limit the whole data centre, although each of its paths has the capacity that
was planned for it.  An engine that the other layers can spare is moved to
them.  It may be in use: it completes its requests first, and until its new
layers are loaded no layer has less capacity than the weakest had before.
"""

from collections.abc import Iterator
from collections.abc import Sequence

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.capacity import count_layers
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers
from magnoliacove.placement.ratings import ROUNDING
from magnoliacove.placement.ratings import LayerTotals
from magnoliacove.placement.ratings import OtherEngines
from magnoliacove.placement.ratings import compute_totals
from magnoliacove.placement.ratings import rate_totals
from magnoliacove.placement.ratings import sum_prefixes

__all__ = ["find_relief"]

# Capacity that each layer is to have, as a multiple of the weakest layer's.
_WANTED_FACTOR = 1.6
# Minimum gain of a move, as a fraction of all missing capacity.
_MIN_GAIN = 0.2


def find_relief(
    engines: Sequence[EngineState], shape: ModelShape
) -> PlacedLayers | None:
    """Return the move that adds most of the missing capacity, or None.

    No layer has a slower engine afterwards, and no fewer layers have a
    second replica.

    :param engines: all usable engines of one data centre; while one of
        them is not movable, no move is returned.
    """
    if any(not engine.movable for engine in engines):
        return None
    totals = compute_totals(engines, shape)
    if not all(totals.counts):
        return None
    wanted = min(totals.capacities) * _WANTED_FACTOR
    least = sum(_list_missing(totals.capacities, wanted)) * (1 - _MIN_GAIN)
    best_move = None
    required = min(totals.capacities)
    current = rate_totals(totals, required)
    for engine in engines:
        others = OtherEngines(engine, engines, shape)
        if not _can_spare(others.totals, totals):
            continue
        for layers, missing in _list_moves(engine, others, shape, wanted):
            if missing >= least:
                continue
            rating = others.rate_with(layers, required)
            if rating.replicated >= current.replicated:
                least = missing
                best_move = PlacedLayers(engine.target, layers, False)
    return best_move


def _can_spare(others: LayerTotals, totals: LayerTotals) -> bool:
    """Return whether an engine may give up all of its layers.

    No layer has less capacity without it than the weakest has now, and each
    keeps an engine as fast as its fastest.  If the fast first engine of most
    paths moved, they would begin at a slow one.
    """
    return min(others.capacities) >= min(totals.capacities) - ROUNDING and (
        others.factors == totals.factors
    )


def _list_moves(
    engine: EngineState,
    others: OtherEngines,
    shape: ModelShape,
    wanted: float,
) -> Iterator[tuple[LayerRange, float]]:
    """Yield other ranges for an engine and the capacity missing with each.

    A range that overlaps the present one is left out: the memory of the
    layers that both lack is free only after the requests there complete.
    """
    own = engine.layers
    capacities = others.totals.capacities
    before = sum_prefixes(_list_missing(capacities, wanted))
    streams = wanted / shape.usual_tokens
    for fraction in (1.0, 0.5):
        size = count_layers(shape, engine.accelerator, streams * fraction)
        if not size:
            continue
        capacity = shape.compute_capacity(engine.accelerator, size) / size
        after = sum_prefixes(_list_missing(capacities, wanted - capacity))
        for first in range(shape.layers - size + 1):
            layers = LayerRange(first, first + size)
            if own is not None and own.intersect(layers) is not None:
                continue
            gained = before[layers.end] - before[first]
            left = after[layers.end] - after[first]
            yield layers, before[-1] - gained + left


def _list_missing(capacities: Sequence[float], wanted: float) -> list[float]:
    """Return the capacity in tokens that each layer lacks."""
    return [max(0.0, wanted - capacity) for capacity in capacities]
