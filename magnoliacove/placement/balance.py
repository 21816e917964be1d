"""Rebalancing of the layers of one data centre.

After engines fail, move and are replaced, some layers are loaded on a single
engine that is short of memory, while others have redundant replicas.  The
layer with the least capacity limits the throughput of the whole data centre,
so an idle engine is moved to it, or an engine that has it loaded gives up
other layers.
"""

from collections.abc import Iterator
from collections.abc import Sequence

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.capacity import choose_capacity
from magnoliacove.placement.capacity import count_layers
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers
from magnoliacove.placement.ratings import ROUNDING
from magnoliacove.placement.ratings import OtherEngines
from magnoliacove.placement.ratings import Rating
from magnoliacove.placement.ratings import compute_totals
from magnoliacove.placement.ratings import rate_totals

__all__ = ["find_improvement"]

# Minimum gain of a move: a fraction of the required capacity, or a number of
# additional layers with a second replica.  A smaller gain is not worth the
# seconds that loading the layers takes.
_MIN_GAIN = 0.08
_MIN_REPLICATED_GAIN = 6


def find_improvement(
    engines: Sequence[EngineState], shape: ModelShape
) -> PlacedLayers | None:
    """Return the move that improves one data centre most, or None.

    :param engines: all usable engines of one data centre; while one of
        them is not movable, no move is returned.
    """
    if any(not engine.movable for engine in engines):
        return None
    totals = compute_totals(engines, shape)
    if not all(totals.counts):
        return None
    streams = choose_capacity((e.accelerator for e in engines), shape)
    required = streams * shape.usual_tokens
    current = rate_totals(totals, required)
    capacities = totals.capacities
    weakest = min(range(shape.layers), key=capacities.__getitem__)
    best, best_move = current, None
    for engine in engines:
        others = OtherEngines(engine, engines, shape)
        for layers in _list_windows(engine, shape, weakest, current, streams):
            rating = others.rate_with(layers, required)
            if _is_better(rating, best, current, required):
                best = rating
                best_move = PlacedLayers(engine.target, layers, False)
    return best_move


def _is_better(
    rating: Rating, best: Rating, current: Rating, required: float
) -> bool:
    if rating.slowness > current.slowness + ROUNDING:
        # A layer would lose its fastest engine, which slows down every
        # stream; a shortage of capacity affects only a few.
        return False
    gained = rating.tokens - current.tokens
    enough = gained >= _MIN_GAIN * required or (
        gained >= 0
        and rating.replicated - current.replicated >= _MIN_REPLICATED_GAIN
    )
    if not enough:
        return False
    return (rating.tokens, rating.replicated) > (
        best.tokens,
        best.replicated,
    )


def _list_windows(
    engine: EngineState,
    shape: ModelShape,
    weakest: int,
    current: Rating,
    streams: int,
) -> Iterator[LayerRange]:
    """Yield layer ranges that an engine could serve instead of its own."""
    own = engine.layers
    if own is not None and own.first <= weakest < own.end:
        # Giving up layers loads nothing, so a busy engine may do it too.
        for size in range(max(1, own.count // 2), own.count):
            for first in range(own.first, own.end - size + 1):
                if first <= weakest < first + size:
                    yield LayerRange(first, first + size)
    if engine.requests:
        return
    # With enough capacity a move only adds replicas, so the range may be
    # anywhere in the model.  Otherwise it must contain the weakest layer.
    has_capacity = current.tokens >= streams * shape.usual_tokens
    # Ranges for the full number of streams, and larger ones that leave
    # memory for half of them.
    for fraction in (1.0, 0.5):
        size = count_layers(shape, engine.accelerator, streams * fraction)
        if not size:
            continue
        low = 0 if has_capacity else max(0, weakest - size + 1)
        high = shape.layers - size
        if not has_capacity:
            high = min(high, weakest)
        for first in range(low, high + 1):
            yield LayerRange(first, first + size)
