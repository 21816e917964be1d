"""Choosing the engines that one request passes through.

Engines hand a request on by themselves; whoever sends it names the whole
path.  A path runs every layer once and in order, uses an engine once, and
leaves room for the request in the memory of each.

Other gateways choose at the same time and by the same news.  Requests of
theirs that are taken to go first are placed where they are quickest, and
then this one: if each gateway took the quickest path of the news, all would
take the same one, and prompts would queue at its engines for seconds.
"""

from collections import defaultdict
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import replace
import math
from typing import Protocol

from magnoliacove.routing.costs import HOP_SECONDS
from magnoliacove.routing.costs import PathCosts
from magnoliacove.routing.search import describe_bottlenecks
from magnoliacove.routing.search import search_cuts
from magnoliacove.routing.search import search_path
from magnoliacove.routing.stages import NONE_AHEAD
from magnoliacove.routing.stages import Ahead
from magnoliacove.routing.stages import Path
from magnoliacove.routing.stages import PathStage
from magnoliacove.routing.stages import StageOption
from magnoliacove.routing.stages import make_path

__all__ = [
    "HOP_SECONDS",
    "NONE_AHEAD",
    "Ahead",
    "Path",
    "PathCosts",
    "PathStage",
    "StageOption",
    "describe_bottlenecks",
    "find_detour",
    "find_path",
]

# Requests ahead are placed in so many groups at most, each of which costs a
# search of one data centre.
_MOST_GROUPS = 8


def find_path(
    options: Sequence[StageOption],
    costs: PathCosts,
    firsts: Collection[str] | None = None,
    ahead: Ahead = NONE_AHEAD,
) -> Path | None:
    """Return the quickest path with room for the request, or None.

    :param firsts: the engines that may be first, None when all may.
    :param ahead: requests that are placed before this one, each where it is
        quickest.  They only change which path is chosen: one is found
        whenever one is found without them.

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
    places = _DataCentres(options, costs)
    found = _take_turn(places, ahead)
    if found is None and len(places.names) > 1:
        return search_path(options, costs)
    return found


def find_detour(
    path: Path,
    lost: Collection[str],
    options: Sequence[StageOption],
    costs: PathCosts,
    ahead: Ahead = NONE_AHEAD,
) -> Path | None:
    """Return a path with other engines in place of lost ones, or None.

    The other stages stay as they are, so what they hold of the request is
    kept and only the new ones read it again.

    :param lost: engines of the path that are to be left; not the first.
    :param ahead: requests that are led around the same engines before.
    """
    return _take_turn(_Detours(path, lost, options, costs), ahead)


class _Choice(Protocol):
    """What is quickest now, and what changes when requests go there."""

    def find(self) -> Path | None:
        """Return the quickest path with room, or None."""

    def load(self, path: Path, placed: Ahead) -> None:
        """Take some requests to be on a path."""


def _take_turn(choice: _Choice, ahead: Ahead) -> Path | None:
    """Return the path that is left after the requests ahead."""
    left = ahead.requests
    group = max(1, math.ceil(left / _MOST_GROUPS))
    taken: list[Path] = []
    path = choice.find()
    while path is not None and left > 0:
        taken.append(path)
        choice.load(path, Ahead(min(group, left), ahead.seconds))
        left -= group
        path = choice.find()
    if path is None and taken:
        # More are expected than there is room for, so any may be as good.
        return taken[ahead.requests % len(taken)]
    return path


class _DataCentres:
    """Whole paths, each inside one data centre.

    Only the data centre that took requests is searched again.
    """

    def __init__(
        self, options: Sequence[StageOption], costs: PathCosts
    ) -> None:
        self._costs = costs
        self._options: dict[str, list[StageOption]] = defaultdict(list)
        for option in options:
            self._options[option.data_centre].append(option)
        self._paths = {
            name: search_path(group, costs)
            for name, group in self._options.items()
        }

    @property
    def names(self) -> list[str]:
        """The data centres that have engines."""
        return list(self._options)

    def find(self) -> Path | None:
        """Return the quickest path of all, or None."""
        paths = [path for path in self._paths.values() if path is not None]
        return min(paths, key=lambda path: path.seconds, default=None)

    def load(self, path: Path, placed: Ahead) -> None:
        """Take some requests to be on a path."""
        name = path.stages[0].data_centre
        loaded = _add_load(self._options[name], path, self._costs, placed, ())
        self._options[name] = loaded
        self._paths[name] = search_path(loaded, self._costs)


class _Detours:
    """Ways around lost engines of one path; the others stay as they are."""

    def __init__(
        self,
        path: Path,
        lost: Collection[str],
        options: Sequence[StageOption],
        costs: PathCosts,
    ) -> None:
        self._path = path
        self._lost = lost
        self._options = list(options)
        self._costs = costs
        self._kept = {name for name in path.targets if name not in lost}

    def find(self) -> Path | None:
        """Return the quickest detour, or None."""
        free = [o for o in self._options if o.target not in self._kept]
        stages: list[PathStage] = []
        for stage in self._path.stages:
            if stage.target not in self._lost:
                stages.append(stage)
                continue
            part = search_cuts(free, self._costs, None, stage.first, stage.end)
            if part is None:
                return None
            stages.extend(part.stages)
            used = set(part.targets)
            free = [o for o in free if o.target not in used]
        return make_path(stages, self._path.seconds)

    def load(self, path: Path, placed: Ahead) -> None:
        """Take some requests to be on a detour."""
        self._options = _add_load(
            self._options, path, self._costs, placed, self._kept
        )


def _add_load(
    options: Sequence[StageOption],
    path: Path,
    costs: PathCosts,
    placed: Ahead,
    kept: Collection[str],
) -> list[StageOption]:
    """Return engines with some more requests on a path.

    :param kept: engines of the path that had these requests before.
    """
    counts = {
        stage.target: stage.end - stage.first
        for stage in path.stages
        if stage.target not in kept
    }
    tokens = placed.requests * costs.shape.usual_tokens
    return [
        replace(
            option,
            room=option.room - tokens * counts[option.target],
            requests=option.requests + placed.requests,
            ahead=Ahead(
                option.ahead.requests + placed.requests, placed.seconds
            ),
        )
        if option.target in counts
        else option
        for option in options
    ]
