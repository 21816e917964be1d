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
from magnoliacove.routing.stages import Path
from magnoliacove.routing.stages import PathStage
from magnoliacove.routing.stages import StageOption
from magnoliacove.routing.stages import make_path

__all__ = ["search_pieces"]

# Engines refuse a path with more stages.
_MAX_STAGES = 32


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
    """
    last = costs.shape.layers
    cuts = _list_cuts(options, costs)
    fitting = {o.target: _count_fitting(o, costs) for o in options}
    partials: dict[int, dict[str, _Partial]] = defaultdict(dict)
    partials[0][""] = _Partial(0.0, (), frozenset())
    for at in cuts:
        if at == last or at not in partials:
            continue
        for option in options:
            if not option.layers.first <= at < option.layers.end:
                continue
            before = _choose_before(partials[at].values(), option, costs)
            if before is None:
                continue
            most = min(option.layers.end, last, at + fitting[option.target])
            for end in cuts:
                if at < end <= most:
                    extended = _extend(before, option, at, end, costs)
                    _keep_faster(partials[end], option.target, extended)
    complete = partials[last].values() if last in partials else ()
    best = min(complete, key=lambda partial: partial.seconds, default=None)
    return make_path(best.stages, best.seconds) if best else None


def _count_fitting(option: StageOption, costs: PathCosts) -> int:
    """Return how many layers of an engine have capacity for the request."""
    return int(option.capacity // max(1.0, costs.tokens))


def _list_cuts(options: Sequence[StageOption], costs: PathCosts) -> list[int]:
    """Return the layers at which a stage may begin or end.

    An engine that cannot run all of its layers can run the last ones, so the
    preceding stage may end where they begin; or those from another cut on.
    """
    last = costs.shape.layers
    cuts = {0, last}
    for option in options:
        cuts.update((option.layers.first, min(option.layers.end, last)))
    capacity_cuts = set()
    for option in options:
        layers, fitting = option.layers, _count_fitting(option, costs)
        if 0 < fitting < layers.count:
            capacity_cuts.add(layers.end - fitting)
            capacity_cuts.update(
                cut + fitting
                for cut in cuts
                if layers.first <= cut < layers.end - fitting
            )
    return sorted(cut for cut in cuts | capacity_cuts if cut <= last)


def _choose_before(
    partials: Collection[_Partial], option: StageOption, costs: PathCosts
) -> _Partial | None:
    """Return the partial path to extend by an engine, None without one."""
    return min(
        (
            partial
            for partial in partials
            if option.target not in partial.used
            and len(partial.stages) < _MAX_STAGES
        ),
        key=lambda p: p.seconds + _crossing_seconds(p, option, costs),
        default=None,
    )


def _crossing_seconds(
    partial: _Partial, option: StageOption, costs: PathCosts
) -> float:
    if not partial.stages:
        return 0.0
    crosses = partial.stages[-1].data_centre != option.data_centre
    return costs.crossing if crosses else 0.0


def _extend(
    before: _Partial, option: StageOption, at: int, end: int, costs: PathCosts
) -> _Partial:
    stage = PathStage(
        option.target, option.address, option.data_centre, at, end
    )
    seconds = (
        before.seconds
        + _crossing_seconds(before, option, costs)
        + costs.hop_seconds(option)
        + costs.layer_seconds(option) * (end - at)
    )
    return _Partial(
        seconds, (*before.stages, stage), before.used | {option.target}
    )


def _keep_faster(
    partials: dict[str, _Partial], target: str, partial: _Partial
) -> None:
    present = partials.get(target)
    if present is None or partial.seconds < present.seconds:
        partials[target] = partial
