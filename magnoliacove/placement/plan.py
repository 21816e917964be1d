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
from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.rooms import choose_room
from magnoliacove.placement.rooms import count_layers
from magnoliacove.placement.rooms import fit_room
from magnoliacove.placement.rooms import measure_layer

__all__ = [
    "EngineState",
    "PlacedLayers",
    "make_plan",
]

# The part of the usual room that an engine has at least which closes a gap
# that is too large for it else.
_TIGHT = 0.5


@dataclass(frozen=True)
class EngineState:
    """An engine as the plan sees it.

    :param layers: what it holds, or is about to hold; None for nothing.
    :param usable: whether it gets work; a lost one holds nothing.
    :param movable: whether it may be ordered to hold other layers now.
    :param requests: what passes through it.
    :param settled: whether it holds its layers already.
    :param foreign: whether it loads layers by an order that is not known,
        as of another gateway or one carried out late.
    """

    target: str
    data_centre: str
    accelerator: str
    layers: LayerRange | None
    usable: bool = True
    movable: bool = True
    requests: int = 0
    settled: bool = True
    foreign: bool = False


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
        # How many engines hold each layer, or are about to, and how many
        # serve it now.
        self._counts = [0] * shape.layers
        self._served = [0] * shape.layers
        self._held: dict[str, LayerRange] = {}
        self._engines = {engine.target: engine for engine in engines}
        self._streams = choose_room(
            (engine.accelerator for engine in engines), shape
        )
        self._placed: list[PlacedLayers] = []
        # Quick engines first: each path should run through them.
        self._empty = sorted(
            (e for e in engines if e.layers is None and e.movable),
            key=lambda e: (self._measure_layer(e), e.target),
        )
        for engine in engines:
            if engine.layers is not None:
                self._hold(engine.target, engine.layers)
            if engine.layers is not None and engine.settled:
                _count(self._served, engine.layers, 1)

    def make(self) -> list[PlacedLayers]:
        """Return the changes for this data centre."""
        if len(self._empty) == len(self._engines):
            self._lay_out()
        self._close_gaps()
        for engine in self._empty:
            # Whatever is left holds layers once more, from the first on,
            # which the quickest engines run: their loss takes the longest
            # to make good.
            size = self._size(engine)
            if size:
                window = self._find_thinnest(size)
                self._place(engine.target, window, closes_gap=False)
        return self._placed

    def _lay_out(self) -> None:
        """Place one path's engines, when none holds anything yet."""
        at, last = 0, self._shape.layers
        layout: list[tuple[EngineState, LayerRange]] = []
        for engine in self._empty:
            size = self._size(engine)
            if not size or at >= last:
                continue
            # The last one reaches back over its neighbour.
            first = min(at, last - size)
            layout.append((engine, LayerRange(first, first + size)))
            at = first + size
        if at < last:
            return
        for engine, layers in layout:
            self._place(engine.target, layers, closes_gap=True)
        placed = {engine.target for engine, _ in layout}
        self._empty = [e for e in self._empty if e.target not in placed]

    def _measure_layer(self, engine: EngineState) -> float:
        return measure_layer(self._shape, engine.accelerator, self._streams)

    def _size(self, engine: EngineState, part: float = 1.0) -> int:
        """Return how many layers an engine is to hold.

        :param part: the part of the usual room that it is to have.
        """
        return count_layers(
            self._shape, engine.accelerator, self._streams * part
        )

    def _close_gaps(self) -> None:
        for _ in range(len(self._engines)):
            gap = self._find_gap()
            if gap is None:
                return
            if self._empty:
                engine = self._empty.pop(0)
            elif any(e.foreign for e in self._engines.values()):
                # It may be closing this gap.  Two gateways that act at once
                # each moved engines for what the other's were loading, and
                # tore the path up again for seconds.
                return
            else:
                spare = self._find_spare(gap)
                if spare is None:
                    self._slide()
                    return
                engine = spare
                self._release(engine.target)
            size = self._size(engine)
            if size < gap.count:
                # Less room for requests is better than no path at all.
                size = min(self._size(engine, _TIGHT), gap.count)
            if size == 0:
                continue
            window = self._fit_window(gap, size)
            self._place(engine.target, window, closes_gap=True)

    def _slide(self) -> None:
        """Close all gaps by moving the range of every engine a little.

        No engine can be spared.  Each keeps most of its layers and loads
        few, which is done sooner than a whole range is loaded, and much
        sooner than a lost engine is back.
        """
        engines = [e for e in self._engines.values() if e.target in self._held]
        kinds = [engine.accelerator for engine in engines]
        streams = fit_room(kinds, self._shape)
        if not streams or any(not engine.movable for engine in engines):
            return
        at, last = 0, self._shape.layers
        for engine in sorted(engines, key=self._rank_slide):
            size = count_layers(self._shape, engine.accelerator, streams)
            if not size or at >= last:
                continue
            first = min(at, last - size)
            at = first + size
            layers = LayerRange(first, at)
            if layers != self._held[engine.target]:
                self._release(engine.target)
                self._place(engine.target, layers, closes_gap=True)

    def _rank_slide(self, engine: EngineState) -> tuple[int, str]:
        return self._held[engine.target].first, engine.target

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
            size = self._size(engine, _TIGHT)
            return size < gap.count, engine.requests, size, engine.target

        return min(spare, key=rank)

    def _is_spare(self, target: str) -> bool:
        """Return whether others serve what an engine holds.

        What is still being loaded does not count: a layer would be served
        by nobody until then.
        """
        held = self._held[target]
        counts = (
            self._served if self._engines[target].settled else self._counts
        )
        return all(counts[n] > 1 for n in range(held.first, held.end))

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
        # One order at a time to an engine: the last place found counts.
        self._placed = [p for p in self._placed if p.target != target]
        self._placed.append(PlacedLayers(target, layers, closes_gap))

    def _hold(self, target: str, layers: LayerRange) -> None:
        self._held[target] = layers
        _count(self._counts, layers, 1)

    def _release(self, target: str) -> None:
        held = self._held.pop(target)
        _count(self._counts, held, -1)
        engine = self._engines[target]
        if engine.settled and engine.layers == held:
            _count(self._served, held, -1)


def _count(counts: list[int], layers: LayerRange, change: int) -> None:
    """Add to the counts of some layers, as far as the model has them."""
    for n in range(layers.first, min(layers.end, len(counts))):
        counts[n] += change
