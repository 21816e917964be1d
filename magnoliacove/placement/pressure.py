"""Whether the capacity of a data centre is used up while requests come.

Each request needs capacity in all layers, so the layer with the least free
capacity decides how many more a data centre can run.  It is observed for some
seconds: streams begin and end all the time, and loading layers takes longer
than a short peak.
"""

from collections import defaultdict
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
import math

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.placement.plan import EngineState

__all__ = ["LayerRoom", "PressureWatch", "measure_room"]

# Time constant of the mean over the observations, in seconds.
_MEAN_SECONDS = 5.0
# Maximum seconds that one observation stands for.  None is made while layers
# load, and a peak at the end of that time is no shortage.
_MAX_STEP = 1.0
# Fraction of the time without room from which on a data centre is full.
_FULL_FRACTION = 0.6
# Maximum number of moves in a data centre within some seconds.  Each one
# keeps an engine from new requests for seconds, so more of them would cost
# more capacity than they gain.
_MAX_MOVES = 3
_MOVES_SECONDS = 300.0


@dataclass(frozen=True)
class LayerRoom:
    """The layer with the least free capacity.

    :param tokens: the largest request that one engine has capacity for, in
        tokens.
    """

    layer: int
    tokens: float


def measure_room(
    engines: Iterable[EngineState], shape: ModelShape
) -> LayerRoom:
    """Return the layer of a data centre with the least free capacity."""
    rooms = [0.0] * shape.layers
    for engine in engines:
        layers = engine.layers
        if layers is None or not engine.settled:
            continue
        capacity = shape.compute_capacity(engine.accelerator, layers.count)
        tokens = (capacity - engine.used) / layers.count
        for n in range(layers.first, min(layers.end, shape.layers)):
            rooms[n] = max(rooms[n], tokens)
    layer = min(range(shape.layers), key=rooms.__getitem__)
    return LayerRoom(layer, rooms[layer])


@dataclass
class _Observations:
    """What was observed of one data centre.

    :param noted_at: time of the last observation, by trio's clock.
    :param full: weighted fraction of the time without room.
    """

    noted_at: float
    full: float = 0.0


class PressureWatch:
    """Observes for how long each data centre has been without room."""

    def __init__(self) -> None:
        self._observations: dict[str, _Observations] = {}
        self._moves: dict[str, deque[float]] = defaultdict(deque)

    def note_room(
        self, data_centre: str, room: LayerRoom, needed: float, now: float
    ) -> None:
        """Note the free capacity of a data centre.

        :param needed: tokens of a usual request.
        :param now: the time by trio's clock.
        """
        seen = self._observations.setdefault(data_centre, _Observations(now))
        is_full = 1.0 if room.tokens < needed else 0.0
        elapsed = min(now - seen.noted_at, _MAX_STEP)
        weight = math.exp(-elapsed / _MEAN_SECONDS)
        seen.full = weight * seen.full + (1.0 - weight) * is_full
        seen.noted_at = now

    def may_move(self, data_centre: str, now: float) -> bool:
        """Return whether an engine may be moved to relieve a data centre."""
        seen = self._observations.get(data_centre)
        if seen is None or seen.full < _FULL_FRACTION:
            return False
        moves = self._moves[data_centre]
        while moves and now - moves[0] > _MOVES_SECONDS:
            moves.popleft()
        return len(moves) < _MAX_MOVES

    def note_move(self, data_centre: str, now: float) -> None:
        """Count a move, and observe its effect before the next."""
        self._moves[data_centre].append(now)
        del self._observations[data_centre]
