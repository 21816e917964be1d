"""Making the weakest part of a data centre's paths stronger.

After engines were lost, moved and replaced, some layers are held by one
engine that is short of memory, while others are held twice without need.
The weakest layer bounds what the whole data centre carries, so an idle
engine is moved to it, or one that holds it gives up other layers.
"""

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
import math

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.targets import LayerRange
from magnoliacove.placement.plan import STREAMS_PER_PLACE
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import PlacedLayers
from magnoliacove.placement.plan import count_layers

__all__ = ["find_better"]

# What a move must gain: a part of the room wanted, or so many more layers
# that are held twice.  Less is not worth the seconds of a load.
_LEAST_GAIN = 0.08
_LEAST_DOUBLED = 6


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
    held = {e.target: e.layers for e in engines if e.layers is not None}
    layered = _measure(engines, held, shape)
    if not all(layered.counts):
        return None
    wanted = STREAMS_PER_PLACE * shape.usual_tokens
    now = _rate(layered, wanted)
    rooms = layered.rooms
    weakest = min(range(shape.layers), key=rooms.__getitem__)
    best, found = now, None
    for engine in engines:
        for layers in _list_windows(engine, shape, weakest, now, wanted):
            if not _leaves_whole(engine, layers, layered.counts):
                continue
            changed = {**held, engine.target: layers}
            strength = _rate(_measure(engines, changed, shape), wanted)
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


def _measure(
    engines: Sequence[EngineState],
    held: dict[str, LayerRange],
    shape: ModelShape,
) -> _Layered:
    rooms, counts = [0.0] * shape.layers, [0] * shape.layers
    factors = [math.inf] * shape.layers
    for engine in engines:
        layers = held.get(engine.target)
        if layers is None:
            continue
        room = shape.count_room(engine.accelerator, layers.count)
        tokens = room / layers.count
        factor = shape.accelerators[engine.accelerator].step_factor
        for n in range(layers.first, min(layers.end, shape.layers)):
            rooms[n] += tokens
            counts[n] += 1
            if factor < factors[n]:
                factors[n] = factor
    return _Layered(rooms, counts, factors)


def _rate(layered: _Layered, wanted: float) -> _Strength:
    doubled = sum(count > 1 for count in layered.counts)
    tokens = min(min(layered.rooms), wanted)
    return _Strength(tokens, doubled, sum(layered.factors))


def _is_better(
    strength: _Strength, best: _Strength, now: _Strength, wanted: float
) -> bool:
    if strength.slowness > now.slowness:
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
    wanted: float,
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
    anywhere = now.tokens >= wanted
    for copies in (1, 2):
        size = count_layers(shape, engine.accelerator, copies)
        if not size:
            continue
        low = 0 if anywhere else max(0, weakest - size + 1)
        high = shape.layers - size
        if not anywhere:
            high = min(high, weakest)
        for first in range(low, high + 1):
            yield LayerRange(first, first + size)


def _leaves_whole(
    engine: EngineState, layers: LayerRange, counts: Sequence[int]
) -> bool:
    """Return whether others hold what an engine would give up."""
    held = engine.layers
    if held is None:
        return True
    return all(
        counts[n] > 1
        for n in range(held.first, min(held.end, len(counts)))
        if not layers.first <= n < layers.end
    )
