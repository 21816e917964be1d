"""Rebalancing of the layers of one data centre.

After engines fail, move and are replaced, some layers are loaded on a single
engine that is short of memory, while others have redundant replicas.  The
layer with the least capacity limits the throughput of the whole data centre,
so an idle engine is moved to it, or an engine that has it loaded gives up
other layers.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate
import math

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.capacity import choose_capacity
from magnoliacove.placement.capacity import count_layers
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers

__all__ = ["find_improvement"]

# Minimum gain of a move: a fraction of the required capacity, or a number of
# additional layers with a second replica.  A smaller gain is not worth the
# seconds that loading the layers takes.
_MIN_GAIN = 0.08
_MIN_REPLICATED_GAIN = 6
# Step factor of a layer that no engine has loaded.
_UNLOADED_FACTOR = 1e9
# Tolerance for floating-point sums that are added up in a different order.
_ROUNDING = 1e-6


@dataclass(frozen=True)
class _Rating:
    """The rating of a placement; capacity is compared first.

    :param tokens: the capacity of the weakest layer in tokens, limited to
        the required capacity.
    :param replicated: the number of layers that at least two engines have
        loaded.
    :param slowness: the sum over all layers of the step factor of the
        fastest engine that has the layer loaded.
    """

    tokens: float
    replicated: int
    slowness: float


def find_improvement(
    engines: Sequence[EngineState], shape: ModelShape
) -> PlacedLayers | None:
    """Return the move that improves one data centre most, or None.

    :param engines: all usable engines of one data centre; while one of
        them is not movable, no move is returned.
    """
    if any(not engine.movable for engine in engines):
        return None
    totals = _compute_totals(engines, shape)
    if not all(totals.counts):
        return None
    streams = choose_capacity((e.accelerator for e in engines), shape)
    required = streams * shape.usual_tokens
    current = _rate(totals, required)
    capacities = totals.capacities
    weakest = min(range(shape.layers), key=capacities.__getitem__)
    best, best_move = current, None
    for engine in engines:
        others = _OtherEngines(engine, engines, shape)
        for layers in _list_windows(engine, shape, weakest, current, streams):
            rating = others.rate_with(layers, required)
            if _is_better(rating, best, current, required):
                best = rating
                best_move = PlacedLayers(engine.target, layers, False)
    return best_move


@dataclass(frozen=True)
class _LayerTotals:
    """Totals for each layer over all engines that have it loaded.

    :param capacities: the capacity in tokens.
    :param counts: the number of engines.
    :param factors: the step factor of the fastest engine.
    """

    capacities: list[float]
    counts: list[int]
    factors: list[float]


def _compute_totals(
    engines: Iterable[EngineState], shape: ModelShape
) -> _LayerTotals:
    capacities, counts = [0.0] * shape.layers, [0] * shape.layers
    factors = [_UNLOADED_FACTOR] * shape.layers
    for engine in engines:
        layers = engine.layers
        if layers is None:
            continue
        tokens = _count_capacity(engine, layers, shape)
        factor = shape.accelerators[engine.accelerator].step_factor
        for n in range(layers.first, min(layers.end, shape.layers)):
            capacities[n] += tokens
            counts[n] += 1
            if factor < factors[n]:
                factors[n] = factor
    return _LayerTotals(capacities, counts, factors)


def _count_capacity(
    engine: EngineState, layers: LayerRange, shape: ModelShape
) -> float:
    """Return how many tokens fit in an engine's memory beside its layers."""
    capacity = shape.compute_capacity(engine.accelerator, layers.count)
    return capacity / layers.count


def _rate(totals: _LayerTotals, required: float) -> _Rating:
    replicated = sum(count > 1 for count in totals.counts)
    tokens = min(min(totals.capacities), required)
    return _Rating(tokens, replicated, sum(totals.factors))


class _OtherEngines:
    """A placement without one engine, to rate layer ranges for that engine.

    The search rates several hundred ranges for each engine, in a process
    that relays events at the same time.  Prefix sums reduce each rating to a
    few operations.
    """

    def __init__(
        self,
        engine: EngineState,
        engines: Sequence[EngineState],
        shape: ModelShape,
    ) -> None:
        totals = _compute_totals(
            (e for e in engines if e is not engine), shape
        )
        factor = shape.accelerators[engine.accelerator].step_factor
        self._engine = engine
        self._shape = shape
        self._capacities = totals.capacities
        # Minimum capacity of the layers before each index, and from each
        # index on.
        self._before = list(
            accumulate(totals.capacities, min, initial=math.inf)
        )
        self._after = list(
            accumulate(reversed(totals.capacities), min, initial=math.inf)
        )[::-1]
        self._loaded = _sum_prefixes(count > 0 for count in totals.counts)
        self._replicated = _sum_prefixes(count > 1 for count in totals.counts)
        self._slowness = _sum_prefixes(totals.factors)
        self._slowness_with = _sum_prefixes(
            min(f, factor) for f in totals.factors
        )

    def rate_with(self, layers: LayerRange, required: float) -> _Rating:
        """Return the rating of the placement with a range on the engine."""
        first, end = layers.first, min(layers.end, self._shape.layers)
        capacity = _count_capacity(self._engine, layers, self._shape)
        tokens = min(
            self._before[first],
            min(self._capacities[first:end]) + capacity,
            self._after[end],
            required,
        )
        replicated = (
            self._replicated[-1]
            - (self._replicated[end] - self._replicated[first])
            + (self._loaded[end] - self._loaded[first])
        )
        slowness = (
            self._slowness[-1]
            - (self._slowness[end] - self._slowness[first])
            + (self._slowness_with[end] - self._slowness_with[first])
        )
        return _Rating(tokens, int(replicated), slowness)


def _sum_prefixes(values: Iterable[float]) -> list[float]:
    """Return the sum of all values before each position."""
    return list(accumulate(values, initial=0.0))


def _is_better(
    rating: _Rating, best: _Rating, current: _Rating, required: float
) -> bool:
    if rating.slowness > current.slowness + _ROUNDING:
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
    current: _Rating,
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
