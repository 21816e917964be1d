"""Which engine is to hold which layers.

Each data centre gets a path of its own: a token that crosses between data
centres takes its turn in a pipe that all share.  What memory is left holds
layers a second time, so that the loss of an engine leaves a whole path or
a small gap.  A gap is closed with the fewest loads: by an engine that
holds nothing, or one whose layers others hold as well.

Memory is shared out so that every layer has room for as many requests.  An
engine that shares its layers with another needs room for half of them and
can hold more layers.  With the same room on every engine, the layers that
are held once would bound the whole path, and the room beside the others
would lie idle.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.targets import LayerRange

__all__ = ["EngineState", "PlacedLayers", "make_plan"]

# Requests of usual length that the paths of one data centre have room for.
# Calm traffic keeps 20 to 30 in progress in each of three; twice that lets
# two of them carry what the third one cannot, and a burst.
STREAMS_PER_PLACE = 36


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


def count_layers(shape: ModelShape, accelerator: str, copies: int) -> int:
    """Return how many layers an engine is to hold.

    :param copies: how many engines share the requests of those layers.
    """
    kind = shape.accelerators[accelerator]
    streams = STREAMS_PER_PLACE / copies
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
        if len(self._empty) == len(self._engines):
            self._lay_out()
        self._close_gaps()
        for engine in self._empty:
            size = self._size(engine, 2)
            if size:
                window = self._find_thinnest(size)
                self._place(engine.target, window, closes_gap=False)
        return self._placed

    def _lay_out(self) -> None:
        """Place all engines at once, when none holds anything yet.

        The first layers, which the quickest engines run, are held twice.
        As many are as memory allows: the loss of a quick engine takes the
        longest to make good.
        """
        best: list[tuple[EngineState, LayerRange]] = []
        for shared in range(self._shape.layers + 1):
            layout = self._try_layout(shared)
            if layout is None:
                break
            best = layout
        for number, (engine, layers) in enumerate(best):
            covers = any(
                self._counts[n] == 0 for n in range(layers.first, layers.end)
            )
            self._place(
                engine.target, layers, closes_gap=covers or number == 0
            )
        placed = {engine.target for engine, _ in best}
        self._empty = [e for e in self._empty if e.target not in placed]

    def _try_layout(
        self, shared: int
    ) -> list[tuple[EngineState, LayerRange]] | None:
        """Lay engines in turn, with so many first layers held twice.

        :returns: None when there are too few engines.
        """
        last = self._shape.layers
        waiting = list(self._empty)
        layout: list[tuple[EngineState, LayerRange]] = []
        for end in (last, shared):
            at = 0
            while at < end:
                if not waiting:
                    return None
                engine = waiting.pop(0)
                size = self._size(engine, 2 if at < shared else 1)
                if not size:
                    continue
                # The last one of a row reaches back over its neighbour.
                first = min(at, last - size)
                layout.append((engine, LayerRange(first, first + size)))
                at = first + size
        return layout

    def _size(self, engine: EngineState, copies: int) -> int:
        return count_layers(self._shape, engine.accelerator, copies)

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
            size = self._size(engine, 1)
            if size < gap.count:
                # Less room for requests is better than no path at all.
                size = min(self._size(engine, 2), gap.count)
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
            size = self._size(engine, 2)
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
