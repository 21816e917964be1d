"""The quickest path over engines with room, by dynamic programming."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.routing.costs import PathCosts
from magnoliacove.routing.stages import Path
from magnoliacove.routing.stages import PathStage
from magnoliacove.routing.stages import StageOption
from magnoliacove.routing.stages import make_path

__all__ = [
    "describe_bottlenecks",
    "measure_room",
    "search_cuts",
    "search_path",
]


def measure_room(
    options: Sequence[StageOption], layers: int
) -> tuple[int, float]:
    """Return the layer with the least room, and the tokens it has room for.

    No request with more tokens has a path over these engines.  It is much
    quicker to know than by a search.
    """
    rooms = [0.0] * layers
    for option in options:
        # An engine may run a part of its layers only, so in one layer it
        # has room for as many tokens as it has token-layers.
        for n in range(option.layers.first, min(option.layers.end, layers)):
            rooms[n] = max(rooms[n], option.room)
    least = min(range(layers), key=rooms.__getitem__)
    return least, rooms[least]


def describe_bottlenecks(
    options: Sequence[StageOption], layers: int
) -> dict[str, str]:
    """Return for each data centre the layer with the least room.

    It says why a request waits: ``7: 0`` that no engine with room holds
    layer 7, ``7: 412`` that the roomiest has room for 412 tokens there.
    """
    found = {}
    for place in sorted({option.data_centre for option in options}):
        inside = [o for o in options if o.data_centre == place]
        layer, room = measure_room(inside, layers)
        found[place] = f"{layer}: {room:.0f}"
    return found


@dataclass(frozen=True)
class _Step:
    """The best way to have run the layers before one position."""

    seconds: float
    before: "tuple[int, str] | None"
    option: StageOption | None


def search_path(
    options: Sequence[StageOption], costs: PathCosts
) -> Path | None:
    """Return the quickest path over all layers by dynamic programming."""
    options = _drop_dominated(options, costs)
    if measure_room(options, costs.shape.layers)[1] < costs.tokens:
        return None
    path = search_cuts(options, costs, _list_cuts(options, costs))
    if path is not None and len(set(path.targets)) < len(path.stages):
        # An engine that is left and entered again would be named twice,
        # which engines refuse.  Ending each stage where its engine's
        # layers end cannot come back to it.
        path = search_cuts(options, costs, None)
    return path


def _drop_dominated(
    options: Sequence[StageOption], costs: PathCosts
) -> list[StageOption]:
    """Return the engines without those that another one makes needless.

    One that holds the same layers or more, takes no longer for any of them
    and has room for the request in all of them can always stand in.  Few are
    left of a data centre's engines, which makes the search quick.
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
            and other.room >= costs.tokens * other.layers.count
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
    """Search among stages that end at a cut or where an engine ends.

    :param first: the layer to begin with.
    :param last: one past the last layer to run; 0 for all.
    """
    last = last or costs.shape.layers
    known = [
        (o, costs.layer_seconds(o), costs.hop_seconds(o)) for o in options
    ]
    best: dict[int, dict[str, _Step]] = defaultdict(dict)
    best[first][""] = _Step(0.0, None, None)
    positions = {first}
    while positions:
        at = min(positions)
        positions.discard(at)
        if at == last:
            break
        for option, per_layer, hop in known:
            if not option.layers.first <= at < option.layers.end:
                continue
            place = option.data_centre
            base, before = min(
                (
                    step.seconds
                    + (costs.crossing if from_place not in ("", place) else 0),
                    from_place,
                )
                for from_place, step in best[at].items()
            )
            for end in _list_ends(option, at, cuts, last):
                if costs.tokens * (end - at) > option.room:
                    continue
                seconds = base + hop + per_layer * (end - at)
                present = best[end].get(place)
                if present is None or seconds < present.seconds:
                    best[end][place] = _Step(seconds, (at, before), option)
                    positions.add(end)
    if not best[last]:
        return None
    return _trace(best, last)


def _list_ends(
    option: StageOption, at: int, cuts: Sequence[int] | None, last: int
) -> list[int]:
    end = min(option.layers.end, last)
    if cuts is None:
        return [end]
    return [cut for cut in cuts if at < cut < end] + [end]


def _trace(best: dict[int, dict[str, _Step]], last: int) -> Path:
    place = min(best[last], key=lambda name: best[last][name].seconds)
    seconds = best[last][place].seconds
    stages: list[PathStage] = []
    at = last
    while True:
        step = best[at][place]
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
        at, place = step.before
    stages.reverse()
    return make_path(stages, seconds)
