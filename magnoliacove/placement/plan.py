"""Which engine is to hold which layers.

Each data centre gets a path of its own: a token that crosses between data
centres takes its turn in a pipe that all share.  What memory is left holds
layers a second time, so that the loss of an engine leaves a whole path or
a small gap.  A gap is closed with the fewest loads: by an engine that
holds nothing, or one whose layers others hold as well.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.targets import LayerRange

__all__ = ["EngineState", "PlacedLayers", "make_plan"]

# Requests of usual length that an engine keeps memory for beside its
# layers.  About as many run on one path at a time in calm traffic; with
# fewer the layers fit in more often, but a loss leaves no room.
STREAMS_PER_ENGINE = 24


@dataclass(frozen=True)
class EngineState:
    """An engine as the plan sees it.

    :param layers: what it holds, or is about to hold; None for nothing.
    :param usable: whether it gets work; a lost one holds nothing.
    :param movable: whether it may be ordered to hold other layers now.
    :param requests: what passes through it.
    """

    target: str
    data_centre: str
    accelerator: str
    layers: LayerRange | None
    usable: bool = True
    movable: bool = True
    requests: int = 0


@dataclass(frozen=True)
class PlacedLayers:
    """An engine and the layers that it is to hold from now on.

    :param closes_gap: without it a data centre has no whole path.
    """

    target: str
    layers: LayerRange
    closes_gap: bool


def make_plan(
    engines: Sequence[EngineState], shape: ModelShape
) -> list[PlacedLayers]:
    """Return what to change, the most urgent first.

    Engines that need no change are not named, so a plan for a fleet in
    order is empty.
    """
    by_place: dict[str, list[EngineState]] = defaultdict(list)
    for engine in engines:
        if engine.usable and engine.accelerator in shape.accelerators:
            by_place[engine.data_centre].append(engine)
    plans = [
        _DataCentrePlan(group, shape).make()
        for _, group in sorted(
            by_place.items(), key=lambda item: -_sum_speed(item[1], shape)
        )
    ]
    placed = [item for plan in plans for item in plan]
    # Closing gaps goes first everywhere; the order inside a data centre
    # stays, so a cold fleet gets one whole path before the next begins.
    return sorted(placed, key=lambda item: not item.closes_gap)


def count_layers(
    shape: ModelShape, accelerator: str, streams: int = STREAMS_PER_ENGINE
) -> int:
    """Return how many layers an engine holds beside so many requests."""
    kind = shape.accelerators[accelerator]
    tokens = streams * shape.usual_tokens
    per_layer = shape.layer_mb + tokens * shape.token_mb / shape.layers
    fitting = int(kind.memory_mb / per_layer)
    return max(0, min(fitting, shape.layers))


def _sum_speed(engines: Iterable[EngineState], shape: ModelShape) -> float:
    return sum(
        1 / shape.accelerators[engine.accelerator].step_factor
        for engine in engines
    )


class _DataCentrePlan:
    """The plan of one data centre."""

    def __init__(
        self, engines: Sequence[EngineState], shape: ModelShape
    ) -> None:
        self._shape = shape
        self._counts = [0] * shape.layers
        self._held: dict[str, LayerRange] = {}
        self._engines = {engine.target: engine for engine in engines}
        self._placed: list[PlacedLayers] = []
        # Quick engines first: each path should run through them.
        self._empty = sorted(
            (e for e in engines if e.layers is None and e.movable),
            key=lambda e: (
                shape.accelerators[e.accelerator].step_factor,
                -shape.accelerators[e.accelerator].memory_mb,
                e.target,
            ),
        )
        for engine in engines:
            if engine.layers is not None:
                self._hold(engine.target, engine.layers)

    def make(self) -> list[PlacedLayers]:
        """Return the changes for this data centre."""
        self._close_gaps()
        for engine in self._empty:
            size = count_layers(self._shape, engine.accelerator)
            if size:
                window = self._find_thinnest(size)
                self._place(engine.target, window, closes_gap=False)
        return self._placed

    def _close_gaps(self) -> None:
        for _ in range(len(self._engines)):
            gap = self._find_gap()
            if gap is None:
                return
            if self._empty:
                engine = self._empty.pop(0)
            else:
                spare = self._find_spare(gap)
                if spare is None:
                    return
                engine = spare
                self._release(engine.target)
            size = count_layers(self._shape, engine.accelerator)
            if size == 0:
                continue
            window = self._fit_window(gap, size)
            self._place(engine.target, window, closes_gap=True)

    def _find_gap(self) -> LayerRange | None:
        first = next((n for n, c in enumerate(self._counts) if not c), None)
        if first is None:
            return None
        end = first
        while end < len(self._counts) and not self._counts[end]:
            end += 1
        return LayerRange(first, end)

    def _find_spare(self, gap: LayerRange) -> EngineState | None:
        """Return an engine whose layers others hold too, or None.

        One that closes the whole gap goes first, then the one with the
        fewest requests, since those have to end or are cut off.
        """
        spare = [
            engine
            for name, engine in self._engines.items()
            if engine.movable and name in self._held and self._is_spare(name)
        ]
        if not spare:
            return None

        def rank(engine: EngineState) -> tuple[bool, int, int, str]:
            size = count_layers(self._shape, engine.accelerator)
            return size < gap.count, engine.requests, size, engine.target

        return min(spare, key=rank)

    def _is_spare(self, target: str) -> bool:
        held = self._held[target]
        return all(self._counts[n] > 1 for n in range(held.first, held.end))

    def _fit_window(self, gap: LayerRange, size: int) -> LayerRange:
        """Return a range of a size that closes a gap as far as it can.

        A range longer than the gap reaches over the layers beside it that
        the fewest others hold.
        """
        if size <= gap.count:
            return LayerRange(gap.first, gap.first + size)
        last = self._shape.layers - size
        starts = range(max(0, gap.end - size), min(gap.first, last) + 1)
        # The last of equals: a path that is being laid goes on upwards.
        first = min(starts, key=lambda n: (self._weigh(n, size), -n))
        return LayerRange(first, first + size)

    def _find_thinnest(self, size: int) -> LayerRange:
        """Return the range whose layers the fewest engines hold."""
        starts = range(self._shape.layers - size + 1)
        first = min(starts, key=lambda n: (self._weigh(n, size), n))
        return LayerRange(first, first + size)

    def _weigh(self, first: int, size: int) -> int:
        return sum(self._counts[first : first + size])

    def _place(
        self, target: str, layers: LayerRange, *, closes_gap: bool
    ) -> None:
        self._hold(target, layers)
        self._placed.append(PlacedLayers(target, layers, closes_gap))

    def _hold(self, target: str, layers: LayerRange) -> None:
        self._held[target] = layers
        for n in range(layers.first, min(layers.end, len(self._counts))):
            self._counts[n] += 1

    def _release(self, target: str) -> None:
        held = self._held.pop(target)
        for n in range(held.first, min(held.end, len(self._counts))):
            self._counts[n] -= 1
