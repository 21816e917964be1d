"""Planning of which engine loads which layers.

Each data centre gets a path of its own, because a token that crosses between
data centres queues for a link that all requests share.  The remaining memory
holds second replicas of layers, so that a path stays complete or has only a
small gap when an engine fails.  A gap is closed with the fewest loads: by an
engine that has no layers loaded, or by one whose layers other engines have
loaded as well.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.capacity import choose_capacity
from magnoliacove.placement.capacity import count_layers
from magnoliacove.placement.capacity import estimate_layer_seconds
from magnoliacove.placement.capacity import find_max_capacity

__all__ = [
    "EngineState",
    "PlacedLayers",
    "make_plan",
]

# Minimum capacity, as a fraction of the usual one, of an engine that closes a
# gap for which its memory is otherwise too small.
_MIN_CAPACITY_FRACTION = 0.5


@dataclass(frozen=True)
class EngineState:
    """The state of one engine, as input of a plan.

    :param layers: the layers that it has loaded, or is ordered to load; None
        for none.
    :param usable: whether it receives work; the layers of an unusable engine
        do not count.
    :param movable: whether it may be ordered to load other layers now.
    :param requests: the number of requests in progress on it.
    :param settled: whether it has loaded its layers already.
    :param foreign: whether it loads layers because of an order that this
        gateway has no record of, such as one from another gateway or one
        that was applied late.
    :param used: the capacity that requests have reserved, in token-layers.
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
    used: float = 0.0


@dataclass(frozen=True)
class PlacedLayers:
    """An engine and the layers that it is to load.

    :param closes_gap: whether the data centre has no complete path without
        it.
    """

    target: str
    layers: LayerRange
    closes_gap: bool


def make_plan(
    engines: Sequence[EngineState], shape: ModelShape
) -> list[PlacedLayers]:
    """Return the changes to make, the most urgent first.

    Engines that need no change are omitted, so the plan for a fleet without
    gaps or unused engines is empty.
    """
    by_data_centre: dict[str, list[EngineState]] = defaultdict(list)
    for engine in engines:
        if engine.usable and engine.accelerator in shape.accelerators:
            by_data_centre[engine.data_centre].append(engine)
    plans = [
        _DataCentrePlan(group, shape).make()
        for _, group in sorted(
            by_data_centre.items(),
            key=lambda item: -_sum_speed(item[1], shape),
        )
    ]
    placed = [item for plan in plans for item in plan]
    # Changes that close gaps come first in all data centres.  The sort is
    # stable, so the order inside a data centre stays, and a fleet without
    # loaded layers completes one path before it begins the next.
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
        # How many engines have each layer loaded or are ordered to load it,
        # and how many serve it now.
        self._assigned_counts = [0] * shape.layers
        self._served_counts = [0] * shape.layers
        self._assigned: dict[str, LayerRange] = {}
        self._engines = {engine.target: engine for engine in engines}
        self._streams = choose_capacity(
            (engine.accelerator for engine in engines), shape
        )
        self._placed: list[PlacedLayers] = []
        # Fast engines come first, so that each path uses them.
        self._empty = sorted(
            (e for e in engines if e.layers is None and e.movable),
            key=lambda e: (self._estimate_layer_seconds(e), e.target),
        )
        for engine in engines:
            if engine.layers is not None:
                self._assign(engine.target, engine.layers)
            if engine.layers is not None and engine.settled:
                _add_count(self._served_counts, engine.layers, 1)

    def make(self) -> list[PlacedLayers]:
        """Return the changes for this data centre."""
        if len(self._empty) == len(self._engines):
            self._assign_first_path()
        self._close_gaps()
        for engine in self._empty:
            # The remaining engines load additional replicas, beginning with
            # the first layers.  The fastest engines run these, and replacing
            # one of them takes longest.
            size = self._count_layers(engine)
            if size:
                window = self._find_least_replicated(size)
                self._place(engine.target, window, closes_gap=False)
        return self._placed

    def _assign_first_path(self) -> None:
        """Assign the engines of one path while no engine has layers."""
        position, layer_count = 0, self._shape.layers
        layout: list[tuple[EngineState, LayerRange]] = []
        for engine in self._empty:
            size = self._count_layers(engine)
            if not size or position >= layer_count:
                continue
            # The range of the last engine overlaps that of its predecessor.
            first = min(position, layer_count - size)
            layout.append((engine, LayerRange(first, first + size)))
            position = first + size
        if position < layer_count:
            return
        for engine, layers in layout:
            self._place(engine.target, layers, closes_gap=True)
        placed = {engine.target for engine, _ in layout}
        self._empty = [e for e in self._empty if e.target not in placed]

    def _estimate_layer_seconds(self, engine: EngineState) -> float:
        return estimate_layer_seconds(
            self._shape, engine.accelerator, self._streams
        )

    def _count_layers(self, engine: EngineState, fraction: float = 1.0) -> int:
        """Return how many layers an engine is to load.

        :param fraction: its capacity as a fraction of the usual capacity.
        """
        return count_layers(
            self._shape, engine.accelerator, self._streams * fraction
        )

    def _close_gaps(self) -> None:
        for _ in range(len(self._engines)):
            gap = self._find_gap()
            if gap is None:
                return
            if self._empty:
                engine = self._empty.pop(0)
            elif any(e.foreign for e in self._engines.values()):
                # That engine may be closing this gap.  Two gateways that
                # both act as the placement leader would otherwise each move
                # engines to layers that the other's engines are loading, and
                # interrupt the path again for seconds.
                return
            else:
                spare = self._find_spare(gap)
                if spare is None:
                    self._shift_ranges()
                    return
                engine = spare
                self._unassign(engine.target)
            size = self._count_layers(engine)
            if size < gap.count:
                # Less capacity is better than no path at all.
                size = min(
                    self._count_layers(engine, _MIN_CAPACITY_FRACTION),
                    gap.count,
                )
            if size == 0:
                continue
            window = self._fit_window(gap, size)
            self._place(engine.target, window, closes_gap=True)

    def _shift_ranges(self) -> None:
        """Close all gaps by shifting the range of every engine a little.

        This is for a data centre in which no engine can be spared.  Each
        engine keeps most of its layers and loads only a few, which takes less
        time than loading a whole range, and much less time than a failed
        engine needs to return.
        """
        engines = [
            e for e in self._engines.values() if e.target in self._assigned
        ]
        kinds = [engine.accelerator for engine in engines]
        streams = find_max_capacity(kinds, self._shape)
        if not streams or any(not engine.movable for engine in engines):
            return
        position, layer_count = 0, self._shape.layers
        for engine in sorted(engines, key=self._rank_shift):
            size = count_layers(self._shape, engine.accelerator, streams)
            if not size or position >= layer_count:
                continue
            first = min(position, layer_count - size)
            position = first + size
            layers = LayerRange(first, position)
            if layers != self._assigned[engine.target]:
                self._unassign(engine.target)
                self._place(engine.target, layers, closes_gap=True)

    def _rank_shift(self, engine: EngineState) -> tuple[int, str]:
        return self._assigned[engine.target].first, engine.target

    def _find_gap(self) -> LayerRange | None:
        first = next(
            (n for n, c in enumerate(self._assigned_counts) if not c), None
        )
        if first is None:
            return None
        end = first
        while (
            end < len(self._assigned_counts) and not self._assigned_counts[end]
        ):
            end += 1
        return LayerRange(first, end)

    def _find_spare(self, gap: LayerRange) -> EngineState | None:
        """Return an engine whose layers others serve too, or None.

        An engine that closes the whole gap is preferred, then the one with
        the fewest requests, because these have to complete first or are
        interrupted.
        """
        spare = [
            engine
            for name, engine in self._engines.items()
            if engine.movable
            and name in self._assigned
            and self._is_spare(name)
        ]
        if not spare:
            return None

        def rank(engine: EngineState) -> tuple[bool, int, int, str]:
            size = self._count_layers(engine, _MIN_CAPACITY_FRACTION)
            return size < gap.count, engine.requests, size, engine.target

        return min(spare, key=rank)

    def _is_spare(self, target: str) -> bool:
        """Return whether other engines serve all layers of an engine.

        Layers that are still being loaded do not count, because no engine
        would serve them until the load completes.
        """
        layers = self._assigned[target]
        counts = (
            self._served_counts
            if self._engines[target].settled
            else self._assigned_counts
        )
        return all(counts[n] > 1 for n in range(layers.first, layers.end))

    def _fit_window(self, gap: LayerRange, size: int) -> LayerRange:
        """Return the range of a size that covers as much of a gap as possible.

        A range longer than the gap also covers the adjacent layers that the
        fewest engines have loaded.
        """
        if size <= gap.count:
            return LayerRange(gap.first, gap.first + size)
        last = self._shape.layers - size
        starts = range(max(0, gap.end - size), min(gap.first, last) + 1)
        # Among equals the last is chosen, so that a path that is being built
        # continues upwards.
        first = min(starts, key=lambda n: (self._sum_counts(n, size), -n))
        return LayerRange(first, first + size)

    def _find_least_replicated(self, size: int) -> LayerRange:
        """Return the range whose layers the fewest engines have loaded."""
        starts = range(self._shape.layers - size + 1)
        first = min(starts, key=lambda n: (self._sum_counts(n, size), n))
        return LayerRange(first, first + size)

    def _sum_counts(self, first: int, size: int) -> int:
        return sum(self._assigned_counts[first : first + size])

    def _place(
        self, target: str, layers: LayerRange, *, closes_gap: bool
    ) -> None:
        self._assign(target, layers)
        # Each engine gets one order at a time: the last assignment counts.
        self._placed = [p for p in self._placed if p.target != target]
        self._placed.append(PlacedLayers(target, layers, closes_gap))

    def _assign(self, target: str, layers: LayerRange) -> None:
        self._assigned[target] = layers
        _add_count(self._assigned_counts, layers, 1)

    def _unassign(self, target: str) -> None:
        layers = self._assigned.pop(target)
        _add_count(self._assigned_counts, layers, -1)
        engine = self._engines[target]
        if engine.settled and engine.layers == layers:
            _add_count(self._served_counts, layers, -1)


def _add_count(counts: list[int], layers: LayerRange, change: int) -> None:
    """Add a change to the counts of all layers that exist in the model."""
    for n in range(layers.first, min(layers.end, len(counts))):
        counts[n] += change
