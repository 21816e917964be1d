"""Search for a path over engines with capacity for some of their layers.

The engines of a loaded fleet have free memory for a request in fewer layers
than they hold.  The search by position alone then returns to an engine: each
of two stages fits into its free memory, and both together do not.  Here each
partial path remembers its engines.
"""

from collections import defaultdict
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.routing.costs import PathCosts
from magnoliacove.routing.search import measure_capacity
from magnoliacove.routing.stages import Path
from magnoliacove.routing.stages import PathStage
from magnoliacove.routing.stages import StageOption
from magnoliacove.routing.stages import make_path

__all__ = ["search_pieces"]

# Engines refuse a path with more stages.
_MAX_STAGES = 32


@dataclass(frozen=True)
class _Engine:
    """An engine, and what the request costs on it.

    :param fitting: how many of its layers have capacity for the request.
    :param per_layer: seconds in one layer.
    :param hop: seconds for each stage on it.
    """

    option: StageOption
    fitting: int
    per_layer: float
    hop: float


@dataclass(frozen=True)
class _Partial:
    """A path from the first layer up to the end of its last stage.

    :param used: the names of its engines.
    """

    seconds: float
    stages: tuple[PathStage, ...]
    used: frozenset[str]


def search_pieces(
    options: Sequence[StageOption], costs: PathCosts
) -> Path | None:
    """Return a fast path that names no engine twice, or None.

    A stage may end where the layers of an engine begin or end, and where the
    capacity of an engine does.  The fastest partial path is kept for each
    layer and last engine, so the result need not be the fastest path.

    :param options: engines of one data centre.
    """
    last = costs.shape.layers
    if measure_capacity(options, last)[1] < costs.tokens:
        return None
    engines = _list_engines(options, costs)
    cuts = _list_cuts(engines, last)
    partials: dict[int, dict[str, _Partial]] = defaultdict(dict)
    partials[0][""] = _Partial(0.0, (), frozenset())
    for number, at in enumerate(cuts[:-1]):
        if at not in partials:
            continue
        for engine in engines:
            layers = engine.option.layers
            if layers.first <= at < layers.end:
                most = min(layers.end, at + engine.fitting)
                ends = [cut for cut in cuts[number + 1 :] if cut <= most]
                _extend(partials, engine, at, ends)
    complete = partials[last].values() if last in partials else ()
    best = min(complete, key=lambda partial: partial.seconds, default=None)
    return make_path(best.stages, best.seconds) if best else None


def _list_engines(
    options: Sequence[StageOption], costs: PathCosts
) -> list[_Engine]:
    """Return the engines with capacity for at least one layer."""
    tokens = max(1.0, costs.tokens)
    return [
        _Engine(
            option,
            int(option.capacity // tokens),
            costs.layer_seconds(option),
            costs.hop_seconds(option),
        )
        for option in options
        if option.capacity >= tokens
    ]


def _list_cuts(engines: Sequence[_Engine], last: int) -> list[int]:
    """Return the layers at which a stage may begin or end.

    An engine that cannot run all of its layers can run the last ones, so the
    preceding stage may end where they begin; or those from another cut on.
    """
    cuts = {0, last}
    for engine in engines:
        layers = engine.option.layers
        cuts.update((layers.first, min(layers.end, last)))
    capacity_cuts = set()
    for engine in engines:
        layers, fitting = engine.option.layers, engine.fitting
        if fitting < layers.count:
            capacity_cuts.add(layers.end - fitting)
            capacity_cuts.update(
                cut + fitting
                for cut in cuts
                if layers.first <= cut < layers.end - fitting
            )
    return sorted(cut for cut in cuts | capacity_cuts if cut <= last)


def _extend(
    partials: dict[int, dict[str, _Partial]],
    engine: _Engine,
    at: int,
    ends: Sequence[int],
) -> None:
    """Extend the best partial path up to a layer by a stage on an engine."""
    option = engine.option
    before = _choose_before(partials[at].values(), option.target)
    if before is None:
        return
    used = before.used | {option.target}
    for end in ends:
        seconds = before.seconds + engine.hop + engine.per_layer * (end - at)
        present = partials[end].get(option.target)
        if present is not None and present.seconds <= seconds:
            continue
        stage = PathStage(
            option.target, option.address, option.data_centre, at, end
        )
        partials[end][option.target] = _Partial(
            seconds, (*before.stages, stage), used
        )


def _choose_before(
    partials: Collection[_Partial], target: str
) -> _Partial | None:
    """Return the partial path to extend by an engine, None without one."""
    return min(
        (
            partial
            for partial in partials
            if target not in partial.used and len(partial.stages) < _MAX_STAGES
        ),
        key=lambda partial: partial.seconds,
        default=None,
    )
