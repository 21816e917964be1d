"""Choosing the engines that one request passes through.

Engines hand a request on by themselves; whoever sends it names the whole
path.  A path runs every layer once and in order, uses an engine once, and
leaves room for the request in the memory of each.
"""

from collections import defaultdict
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.targets import LayerRange
from magnoliacove.wire.network import Address

__all__ = [
    "HOP_SECONDS",
    "Path",
    "PathCosts",
    "PathStage",
    "StageOption",
    "describe_bottlenecks",
    "find_detour",
    "find_path",
]

# What handing a token to the next engine takes beside its wait for the
# engine's present pass, in seconds: two link delays and a queue's turn.
HOP_SECONDS = 0.0005
# A token that arrives waits for half a pass on the mean.
_PASS_WAIT = 0.5


@dataclass(frozen=True)
class StageOption:
    """An engine and what it could run.

    :param target: the engine's name.
    :param layers: what it holds.
    :param room: token-layers of memory that are free for a new request.
    :param requests: requests that pass through it now.
    :param slowness: 1 for usual speed, more when it is slow.
    """

    target: str
    address: Address
    data_centre: str
    accelerator: str
    layers: LayerRange
    room: float
    requests: int = 0
    slowness: float = 1.0


@dataclass(frozen=True)
class PathStage:
    """An engine and the layers that it runs for one request."""

    target: str
    address: Address
    data_centre: str
    first: int
    end: int


@dataclass(frozen=True)
class Path:
    """The engines of one request, in order.

    :param seconds: the expected time of the whole request.
    :param crossings: how often it goes from one data centre to another.
    """

    stages: tuple[PathStage, ...]
    seconds: float
    crossings: int

    @property
    def targets(self) -> tuple[str, ...]:
        """The names of the engines."""
        return tuple(stage.target for stage in self.stages)

    def describe(self) -> str:
        """Return the path in one line, for logs."""
        return " ".join(f"{s.target}:{s.first}-{s.end}" for s in self.stages)


@dataclass(frozen=True)
class PathCosts:
    """What a request costs on the engines of one model.

    :param prompt: tokens that are read first.
    :param answer: tokens that are written, one step each.
    :param crossing: seconds that each hop between data centres adds.
    """

    shape: ModelShape
    prompt: float
    answer: float
    crossing: float

    @property
    def tokens(self) -> float:
        """Tokens that the request holds in memory at its end."""
        return self.prompt + self.answer

    def layer_seconds(self, option: StageOption) -> float:
        """Return the seconds that the request takes in one layer."""
        shape = self.shape
        kind = shape.accelerators[option.accelerator]
        others = option.requests + 1
        context = others * shape.usual_tokens / 1000
        step = (
            shape.step
            + others * shape.step_per_request
            + context * shape.step_per_kilotoken
        ) * kind.step_factor
        reading = self.prompt / shape.prefill_per_second * kind.prefill_factor
        seconds = self.answer * step + reading
        return seconds * option.slowness / shape.layers

    def hop_seconds(self, option: StageOption) -> float:
        """Return what entering an engine takes over the whole answer."""
        shape = self.shape
        kind = shape.accelerators[option.accelerator]
        share = option.layers.count / shape.layers
        wait = shape.step * kind.step_factor * share * option.slowness
        return self.answer * (HOP_SECONDS + _PASS_WAIT * wait)


def find_path(
    options: Sequence[StageOption],
    costs: PathCosts,
    firsts: Collection[str] | None = None,
) -> Path | None:
    """Return the quickest path with room for the request, or None.

    :param firsts: the engines that may be first, None when all may.

    Paths inside one data centre are looked at first.  The pipe between
    data centres is shared by all and moves one transfer after another, so
    it is used only while no data centre has a whole path of its own.
    """
    if firsts is not None:
        options = [
            option
            for option in options
            if option.layers.first > 0 or option.target in firsts
        ]
    by_place: dict[str, list[StageOption]] = defaultdict(list)
    for option in options:
        by_place[option.data_centre].append(option)
    inside = [_search(group, costs) for group in by_place.values()]
    found = [path for path in inside if path is not None]
    if found:
        return min(found, key=lambda path: path.seconds)
    return _search(options, costs) if len(by_place) > 1 else None


def find_detour(
    path: Path,
    lost: Collection[str],
    options: Sequence[StageOption],
    costs: PathCosts,
) -> Path | None:
    """Return a path with other engines in place of lost ones, or None.

    The other stages stay as they are, so what they hold of the request is
    kept and only the new ones read it again.

    :param lost: engines of the path that are to be left; not the first.
    """
    kept = {name for name in path.targets if name not in lost}
    free = [o for o in options if o.target not in kept]
    stages: list[PathStage] = []
    for stage in path.stages:
        if stage.target not in lost:
            stages.append(stage)
            continue
        part = _search_cuts(free, costs, None, stage.first, stage.end)
        if part is None:
            return None
        stages.extend(part.stages)
        used = set(part.targets)
        free = [o for o in free if o.target not in used]
    return Path(tuple(stages), path.seconds, _count_crossings(stages))


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


def _search(options: Sequence[StageOption], costs: PathCosts) -> Path | None:
    """Return the quickest path over all layers by dynamic programming."""
    if measure_room(options, costs.shape.layers)[1] < costs.tokens:
        return None
    path = _search_cuts(options, costs, _list_cuts(options, costs))
    if path is not None and len(set(path.targets)) < len(path.stages):
        # An engine that is left and entered again would be named twice,
        # which engines refuse.  Ending each stage where its engine's
        # layers end cannot come back to it.
        path = _search_cuts(options, costs, None)
    return path


def _list_cuts(options: Sequence[StageOption], costs: PathCosts) -> list[int]:
    return sorted({o.layers.first for o in options} | {costs.shape.layers})


def _search_cuts(
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
    return Path(tuple(stages), seconds, _count_crossings(stages))


def _count_crossings(stages: Sequence[PathStage]) -> int:
    return sum(
        a.data_centre != b.data_centre
        for a, b in zip(stages, stages[1:], strict=False)
    )
