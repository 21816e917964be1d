"""Ratings of a placement: what its layers hold, and how safe they are.

A search for a better placement rates several hundred layer ranges for each
engine, in a process that relays events at the same time, so a change of one
engine is rated by prefix sums.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate
import math

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.plan import EngineState

__all__ = [
    "ROUNDING",
    "LayerTotals",
    "OtherEngines",
    "Rating",
    "compute_totals",
    "count_capacity",
    "rate_totals",
    "sum_prefixes",
]

# Tolerance for floating-point sums that are added up in a different order.
ROUNDING = 1e-6
# Step factor of a layer that no engine has loaded.
_UNLOADED_FACTOR = 1e9


@dataclass(frozen=True)
class Rating:
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


@dataclass(frozen=True)
class LayerTotals:
    """Totals for each layer over all engines that have it loaded.

    :param capacities: the capacity in tokens.
    :param counts: the number of engines.
    :param factors: the step factor of the fastest engine.
    """

    capacities: list[float]
    counts: list[int]
    factors: list[float]


def compute_totals(
    engines: Iterable[EngineState], shape: ModelShape
) -> LayerTotals:
    """Return the totals for each layer over some engines."""
    capacities, counts = [0.0] * shape.layers, [0] * shape.layers
    factors = [_UNLOADED_FACTOR] * shape.layers
    for engine in engines:
        layers = engine.layers
        if layers is None:
            continue
        tokens = count_capacity(engine, layers, shape)
        factor = shape.accelerators[engine.accelerator].step_factor
        for n in range(layers.first, min(layers.end, shape.layers)):
            capacities[n] += tokens
            counts[n] += 1
            if factor < factors[n]:
                factors[n] = factor
    return LayerTotals(capacities, counts, factors)


def count_capacity(
    engine: EngineState, layers: LayerRange, shape: ModelShape
) -> float:
    """Return how many tokens fit in an engine's memory beside its layers."""
    capacity = shape.compute_capacity(engine.accelerator, layers.count)
    return capacity / layers.count


def rate_totals(totals: LayerTotals, required: float) -> Rating:
    """Return the rating of a placement with these totals.

    :param required: tokens above which capacity does not count.
    """
    replicated = sum(count > 1 for count in totals.counts)
    tokens = min(min(totals.capacities), required)
    return Rating(tokens, replicated, sum(totals.factors))


class OtherEngines:
    """A placement without one engine, to rate layer ranges for that engine.

    The search rates several hundred ranges for each engine, in a process
    that relays events at the same time.  Prefix sums reduce each rating to a
    few operations.

    :ivar totals: the totals of the other engines.
    """

    def __init__(
        self,
        engine: EngineState,
        engines: Sequence[EngineState],
        shape: ModelShape,
    ) -> None:
        totals = compute_totals((e for e in engines if e is not engine), shape)
        factor = shape.accelerators[engine.accelerator].step_factor
        self.totals = totals
        self._engine = engine
        self._shape = shape
        # Minimum capacity of the layers before each index, and from each
        # index on.
        self._before = list(
            accumulate(totals.capacities, min, initial=math.inf)
        )
        self._after = list(
            accumulate(reversed(totals.capacities), min, initial=math.inf)
        )[::-1]
        self._loaded = sum_prefixes(count > 0 for count in totals.counts)
        self._replicated = sum_prefixes(count > 1 for count in totals.counts)
        self._slowness = sum_prefixes(totals.factors)
        self._slowness_with = sum_prefixes(
            min(f, factor) for f in totals.factors
        )

    def rate_with(self, layers: LayerRange, required: float) -> Rating:
        """Return the rating of the placement with a range on the engine."""
        first, end = layers.first, min(layers.end, self._shape.layers)
        capacity = count_capacity(self._engine, layers, self._shape)
        tokens = min(
            self._before[first],
            min(self.totals.capacities[first:end]) + capacity,
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
        return Rating(tokens, int(replicated), slowness)


def sum_prefixes(values: Iterable[float]) -> list[float]:
    """Return the sum of all values before each position."""
    return list(accumulate(values, initial=0.0))
