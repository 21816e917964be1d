"""Making the weakest part of a data centre's paths stronger.

After engines were lost, moved and replaced, some layers are held by one
engine that is short of memory, while others are held twice without need.
The weakest layer bounds what the whole data centre carries, so an idle
engine is moved to it, or one that holds it gives up other layers.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate
import math

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers
from magnoliacove.placement.rooms import choose_room
from magnoliacove.placement.rooms import count_layers

__all__ = ["find_better"]

# What a move must gain: a part of the room wanted, or so many more layers
# that are held twice.  Less is not worth the seconds of a load.
_LEAST_GAIN = 0.08
_LEAST_DOUBLED = 6
# The step factor of a layer that nobody holds.
_NOBODY = 1e9
# Sums that are built up in another order differ in their last digits.
_ROUNDING = 1e-6


@dataclass(frozen=True)
class _Strength:
    """How good a placement is; more room first.

    :param tokens: the room of the weakest layer, up to what is wanted.
    :param doubled: layers that at least two engines hold.
    :param slowness: step factors of the quickest holders, over all layers.
    """

    tokens: float
    doubled: int
    slowness: float


def find_better(
    engines: Sequence[EngineState], shape: ModelShape
) -> PlacedLayers | None:
    """Return the move that makes one data centre strongest, or None.

    :param engines: all usable engines of one data centre; when one of
        them is on the move already, nothing else is moved.
    """
    if any(not engine.movable for engine in engines):
        return None
    layered = _measure(engines, shape)
    if not all(layered.counts):
        return None
    streams = choose_room((e.accelerator for e in engines), shape)
    wanted = streams * shape.usual_tokens
    now = _rate(layered, wanted)
    rooms = layered.rooms
    weakest = min(range(shape.layers), key=rooms.__getitem__)
    best, found = now, None
    for engine in engines:
        others = _Others(engine, engines, shape)
        for layers in _list_windows(engine, shape, weakest, now, streams):
            strength = others.rate_with(layers, wanted)
            if _is_better(strength, best, now, wanted):
                best = strength
                found = PlacedLayers(engine.target, layers, False)
    return found


@dataclass(frozen=True)
class _Layered:
    """For each layer: tokens of room, holders, the quickest step factor."""

    rooms: list[float]
    counts: list[int]
    factors: list[float]


def _measure(engines: Iterable[EngineState], shape: ModelShape) -> _Layered:
    rooms, counts = [0.0] * shape.layers, [0] * shape.layers
    factors = [_NOBODY] * shape.layers
    for engine in engines:
        layers = engine.layers
        if layers is None:
            continue
        tokens = _read_room(engine, layers, shape)
        factor = shape.accelerators[engine.accelerator].step_factor
        for n in range(layers.first, min(layers.end, shape.layers)):
            rooms[n] += tokens
            counts[n] += 1
            if factor < factors[n]:
                factors[n] = factor
    return _Layered(rooms, counts, factors)


def _read_room(
    engine: EngineState, layers: LayerRange, shape: ModelShape
) -> float:
    """Return the tokens that an engine has room for beside its layers."""
    room = shape.compute_capacity(engine.accelerator, layers.count)
    return room / layers.count


def _rate(layered: _Layered, wanted: float) -> _Strength:
    doubled = sum(count > 1 for count in layered.counts)
    tokens = min(min(layered.rooms), wanted)
    return _Strength(tokens, doubled, sum(layered.factors))


class _Others:
    """A placement without one engine, to which a range of it is added.

    The search looks at some hundred ranges of each engine, in a process
    that passes events on meanwhile.  Running sums make each a few steps.
    """

    def __init__(
        self,
        engine: EngineState,
        engines: Sequence[EngineState],
        shape: ModelShape,
    ) -> None:
        rest = _measure((e for e in engines if e is not engine), shape)
        factor = shape.accelerators[engine.accelerator].step_factor
        self._engine = engine
        self._shape = shape
        self._rooms = rest.rooms
        # The least room of all layers before one, and from one on.
        self._before = list(accumulate(rest.rooms, min, initial=math.inf))
        self._after = list(
            accumulate(reversed(rest.rooms), min, initial=math.inf)
        )[::-1]
        self._held = _add_up(count > 0 for count in rest.counts)
        self._doubled = _add_up(count > 1 for count in rest.counts)
        self._slowness = _add_up(rest.factors)
        self._slowness_with = _add_up(min(f, factor) for f in rest.factors)

    def rate_with(self, layers: LayerRange, wanted: float) -> _Strength:
        """Return how good the placement is with a range of the engine."""
        first, end = layers.first, min(layers.end, self._shape.layers)
        room = _read_room(self._engine, layers, self._shape)
        tokens = min(
            self._before[first],
            min(self._rooms[first:end]) + room,
            self._after[end],
            wanted,
        )
        doubled = (
            self._doubled[-1]
            - (self._doubled[end] - self._doubled[first])
            + (self._held[end] - self._held[first])
        )
        slowness = (
            self._slowness[-1]
            - (self._slowness[end] - self._slowness[first])
            + (self._slowness_with[end] - self._slowness_with[first])
        )
        return _Strength(tokens, int(doubled), slowness)


def _add_up(values: Iterable[float]) -> list[float]:
    """Return the sums of all values before each position."""
    return list(accumulate(values, initial=0.0))


def _is_better(
    strength: _Strength, best: _Strength, now: _Strength, wanted: float
) -> bool:
    if strength.slowness > now.slowness + _ROUNDING:
        # A layer would lose its quickest engine: every stream would feel
        # that, and only few the want of room.
        return False
    gained = strength.tokens - now.tokens
    enough = gained >= _LEAST_GAIN * wanted or (
        gained >= 0 and strength.doubled - now.doubled >= _LEAST_DOUBLED
    )
    if not enough:
        return False
    return (strength.tokens, strength.doubled) > (best.tokens, best.doubled)


def _list_windows(
    engine: EngineState,
    shape: ModelShape,
    weakest: int,
    now: _Strength,
    streams: int,
) -> Iterator[LayerRange]:
    """Return ranges that an engine might hold instead of its own."""
    held = engine.layers
    if held is not None and held.first <= weakest < held.end:
        # Giving layers up takes no load, so a busy engine may do it too.
        for size in range(max(1, held.count // 2), held.count):
            for first in range(held.first, held.end - size + 1):
                if first <= weakest < first + size:
                    yield LayerRange(first, first + size)
    if engine.requests:
        return
    anywhere = now.tokens >= streams * shape.usual_tokens
    for part in (1.0, 0.5):
        size = count_layers(shape, engine.accelerator, streams * part)
        if not size:
            continue
        low = 0 if anywhere else max(0, weakest - size + 1)
        high = shape.layers - size
        if not anywhere:
            high = min(high, weakest)
        for first in range(low, high + 1):
            yield LayerRange(first, first + size)
