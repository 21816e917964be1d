"""Search for the fastest path over engines with enough capacity.

The search uses dynamic programming over the layers.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.routing.costs import PathCosts
from magnoliacove.routing.stages import Path
from magnoliacove.routing.stages import PathStage
from magnoliacove.routing.stages import StageOption
from magnoliacove.routing.stages import make_path

__all__ = [
    "list_ends",
    "measure_capacity",
    "search_cuts",
    "search_path",
]


def measure_capacity(
    options: Sequence[StageOption], layers: int
) -> tuple[int, float]:
    """Return the layer with the lowest capacity, and its tokens.

    No request with more tokens has a path over these engines.  This check is
    much faster than a search.
    """
    capacities = [0.0] * layers
    for option in options:
        # An engine may run only one of its layers, so the capacity of a
        # single layer in tokens is all of the engine's free token-layers.
        for n in range(option.layers.first, min(option.layers.end, layers)):
            capacities[n] = max(capacities[n], option.capacity)
    bottleneck = min(range(layers), key=capacities.__getitem__)
    return bottleneck, capacities[bottleneck]


@dataclass(frozen=True)
class _BestStep:
    """The last step of the fastest path that ends at one position.

    :param before: position and data centre of the preceding step, None at
        the start of the path.
    """

    seconds: float
    before: "tuple[int, str] | None"
    option: StageOption | None


def search_path(
    options: Sequence[StageOption], costs: PathCosts
) -> Path | None:
    """Return the fastest path over all layers, or None."""
    options = _drop_dominated(options, costs)
    if measure_capacity(options, costs.shape.layers)[1] < costs.tokens:
        return None
    path = search_cuts(options, costs, _list_cuts(options, costs))
    if path is not None and len(set(path.targets)) < len(path.stages):
        # Engines refuse a path that names an engine twice.  If each stage
        # ends where the layers of its engine end, the path cannot return to
        # an engine.
        path = search_cuts(options, costs, None)
    return path


def _drop_dominated(
    options: Sequence[StageOption], costs: PathCosts
) -> list[StageOption]:
    """Return the engines without those that another engine dominates.

    An engine dominates another one if it has at least the same layers, is at
    least as fast and has capacity for the request in all of its layers.  Few
    engines of a data centre remain, which makes the search fast.
    """
    ranked = sorted(
        (costs.layer_seconds(option), -option.layers.count, number, option)
        for number, option in enumerate(options)
    )
    kept: list[tuple[StageOption, float]] = []
    for _, _, _, option in ranked:
        layers, hop = option.layers, costs.hop_seconds(option)
        if not any(
            other.layers.covers(layers.first, layers.end)
            and other_hop <= hop
            and other.capacity >= costs.tokens * other.layers.count
            for other, other_hop in kept
        ):
            kept.append((option, hop))
    return [option for option, _ in kept]


def _list_cuts(options: Sequence[StageOption], costs: PathCosts) -> list[int]:
    return sorted({o.layers.first for o in options} | {costs.shape.layers})


def search_cuts(
    options: Sequence[StageOption],
    costs: PathCosts,
    cuts: Sequence[int] | None,
    first: int = 0,
    last: int = 0,
) -> Path | None:
    """Return the fastest path of stages that end at cuts, or None.

    A stage may always end at the last layer of its engine.

    :param cuts: further layers at which a stage may end, None for none.
    :param first: the first layer to run.
    :param last: one past the last layer to run; 0 for all layers.
    """
    last = last or costs.shape.layers
    timed_options = [
        (o, costs.layer_seconds(o), costs.hop_seconds(o)) for o in options
    ]
    best: dict[int, dict[str, _BestStep]] = defaultdict(dict)
    best[first][""] = _BestStep(0.0, None, None)
    pending = {first}
    while pending:
        at = min(pending)
        pending.discard(at)
        if at == last:
            break
        for option, per_layer, hop in timed_options:
            if not option.layers.first <= at < option.layers.end:
                continue
            data_centre = option.data_centre
            base, before = min(
                (
                    step.seconds
                    + (
                        costs.crossing
                        if previous not in ("", data_centre)
                        else 0
                    ),
                    previous,
                )
                for previous, step in best[at].items()
            )
            for end in list_ends(option, at, cuts, last):
                if costs.tokens * (end - at) > option.capacity:
                    continue
                seconds = base + hop + per_layer * (end - at)
                present = best[end].get(data_centre)
                if present is None or seconds < present.seconds:
                    best[end][data_centre] = _BestStep(
                        seconds, (at, before), option
                    )
                    pending.add(end)
    if not best[last]:
        return None
    return _trace(best, last)


def list_ends(
    option: StageOption, at: int, cuts: Sequence[int] | None, last: int
) -> list[int]:
    """Return the layers at which a stage of an engine may end.

    :param at: the first layer of the stage.
    :param cuts: layers at which it may end beside its engine's last one.
    :param last: one past the last layer to run.
    """
    end = min(option.layers.end, last)
    if cuts is None:
        return [end]
    return [cut for cut in cuts if at < cut < end] + [end]


def _trace(best: dict[int, dict[str, _BestStep]], last: int) -> Path:
    """Return the fastest path, built backwards from its last step."""
    data_centre = min(best[last], key=lambda name: best[last][name].seconds)
    seconds = best[last][data_centre].seconds
    stages: list[PathStage] = []
    at = last
    while True:
        step = best[at][data_centre]
        if step.before is None or step.option is None:
            break
        option = step.option
        stages.append(
            PathStage(
                option.target,
                option.address,
                option.data_centre,
                step.before[0],
                at,
            )
        )
        at, data_centre = step.before
    stages.reverse()
    return make_path(stages, seconds)
