"""What stands against a path for a request that waits.

A path needs an engine with capacity for each stage, not for each layer.  So
free memory tells little by itself; what a path could use is told here, and
which of the other limits are in its way.
"""

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
import enum
import math

from magnoliacove.routing.search import list_ends
from magnoliacove.routing.search import measure_capacity
from magnoliacove.routing.stages import StageOption
from magnoliacove.routing.stages import list_permitted

__all__ = [
    "Obstacle",
    "describe_bottlenecks",
    "find_obstacles",
    "measure_path_capacity",
]


class Obstacle(enum.StrEnum):
    """A reason why a request has no path."""

    FIRST_ENGINE = "no engine may be first"
    LINK = "the link between data centres is full"
    SHARE = "this gateway's share of the free capacity is used"
    PAUSED = "engines paused after a refusal"
    PIECES = "free memory in pieces"
    MEMORY = "too little free memory"


@dataclass(frozen=True)
class _WidestPath:
    """The sequence of stages with the most capacity that ends at one layer.

    :param narrowest: where its stage with the least capacity begins.
    """

    tokens: float
    narrowest: int
    used: frozenset[str]


def measure_path_capacity(
    options: Sequence[StageOption], layers: int
) -> tuple[int, float]:
    """Return the tokens of the largest request that has a path.

    Unlike :func:`measure_capacity`, this accounts for all layers that an
    engine has to run for the same request.  Stages end where engines' layers
    begin or end.

    :returns: the layer at which the stage with the least capacity begins, or
        the first one that no stage reaches; and the tokens, 0 without a path.
    """
    cuts = sorted({o.layers.first for o in options} | {layers})
    widest = {0: _WidestPath(math.inf, 0, frozenset())}
    pending = {0}
    at = 0
    while pending:
        at = min(pending)
        pending.discard(at)
        path = widest[at]
        if at == layers:
            return path.narrowest, path.tokens
        for option in options:
            if option.target in path.used:
                continue
            if not option.layers.first <= at < option.layers.end:
                continue
            for end in list_ends(option, at, cuts, layers):
                tokens = option.capacity / (end - at)
                if (
                    tokens <= 0
                    or end in widest
                    and (min(tokens, path.tokens) <= widest[end].tokens)
                ):
                    continue
                widest[end] = _WidestPath(
                    min(tokens, path.tokens),
                    at if tokens < path.tokens else path.narrowest,
                    path.used.union((option.target,)),
                )
                pending.add(end)
    return at, 0.0


def find_obstacles(
    options: Sequence[StageOption],
    paused: Sequence[StageOption],
    first_engines: Collection[str] | None,
    tokens: float,
    layers: int,
    *,
    may_cross: bool,
) -> list[Obstacle]:
    """Return the reasons why a request has no path.

    Each of the limits but the memory is one if a path would exist without it.

    :param options: the engines that may be used.
    :param paused: engines that may not be used after a refusal.
    :param first_engines: the engines that may be first, None for all.
    :param may_cross: whether a path may use the link between data centres.
    """
    usable = list_permitted(options, first_engines)
    obstacles = []
    if _has_inner_path(usable, tokens, layers):
        # A gateway leaves it to the others while the service is full.
        return [Obstacle.SHARE]
    if measure_path_capacity(usable, layers)[1] >= tokens:
        obstacles.append(Obstacle.SHARE if may_cross else Obstacle.LINK)
    resumed = [*usable, *list_permitted(paused, first_engines)]
    if paused and _has_inner_path(resumed, tokens, layers):
        obstacles.append(Obstacle.PAUSED)
    if obstacles:
        return obstacles
    if not any(option.layers.first == 0 for option in usable):
        return [Obstacle.FIRST_ENGINE]
    free = measure_capacity(usable, layers)[1] >= tokens
    return [Obstacle.PIECES if free else Obstacle.MEMORY]


def describe_bottlenecks(
    options: Sequence[StageOption], layers: int
) -> dict[str, str]:
    """Return the bottleneck of the paths inside each data centre.

    The text explains why a request waits: ``7: 0`` means that no path gets
    beyond layer 7, ``7: 412`` that a request of 412 tokens has a path, and
    that the stage that begins at layer 7 has no capacity for a larger one.
    """
    bottlenecks = {}
    for data_centre, inside in _group_by_data_centre(options).items():
        layer, tokens = measure_path_capacity(inside, layers)
        bottlenecks[data_centre] = f"{layer}: {tokens:.0f}"
    return bottlenecks


def _has_inner_path(
    options: Sequence[StageOption], tokens: float, layers: int
) -> bool:
    """Return whether a request has a path inside some data centre."""
    return any(
        measure_path_capacity(group, layers)[1] >= tokens
        for group in _group_by_data_centre(options).values()
    )


def _group_by_data_centre(
    options: Sequence[StageOption],
) -> dict[str, list[StageOption]]:
    groups: dict[str, list[StageOption]] = {}
    for option in sorted(options, key=lambda option: option.data_centre):
        groups.setdefault(option.data_centre, []).append(option)
    return groups
