"""Choice of the engines that one request passes through.

Engines forward a request by themselves; the sender names the whole path.  A
path runs every layer once and in order, uses each engine at most once, and
fits into the free memory of each.

Other gateways choose at the same time with the same load reports.  Some of
their requests are assumed to precede this one.  The search first places each
of those on its fastest path, and then this one.  If every gateway took the
fastest path by the reports, all would take the same one, and prompts would
queue at its engines for seconds.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import replace
import math
from typing import Protocol

from magnoliacove.routing.costs import HOP_SECONDS
from magnoliacove.routing.costs import PathCosts
from magnoliacove.routing.pieces import search_pieces
from magnoliacove.routing.search import search_cuts
from magnoliacove.routing.search import search_path
from magnoliacove.routing.stages import NO_REQUESTS_AHEAD
from magnoliacove.routing.stages import Path
from magnoliacove.routing.stages import PathStage
from magnoliacove.routing.stages import RequestsAhead
from magnoliacove.routing.stages import StageOption
from magnoliacove.routing.stages import list_permitted
from magnoliacove.routing.stages import make_path

__all__ = [
    "HOP_SECONDS",
    "NO_REQUESTS_AHEAD",
    "RequestsAhead",
    "Path",
    "PathCosts",
    "PathStage",
    "StageOption",
    "find_reroute",
    "find_path",
]

# Maximum number of groups in which preceding requests are placed on paths.
# Each group costs a search of one data centre.
_MAX_GROUPS = 8


def find_path(
    options: Sequence[StageOption],
    costs: PathCosts,
    first_engines: Collection[str] | None = None,
    ahead: RequestsAhead = NO_REQUESTS_AHEAD,
    *,
    may_cross: bool = True,
) -> Path | None:
    """Return the fastest path with capacity for the request, or None.

    :param first_engines: the engines that may be first, None for all.
    :param ahead: requests that are placed before this one, each on its
        fastest path.  They affect only which path is returned, not whether
        one is returned.
    :param may_cross: whether the path may use the link between data centres.

    Paths inside one data centre are preferred.  All gateways share the link
    between data centres, which carries one transfer after another, so it is
    used only while no data centre has a complete path of its own.  Engines
    with capacity for some of their layers only are used last: gateways that
    choose at the same time would compete for the same pieces.
    """
    options = list_permitted(options, first_engines)
    data_centres = _DataCentrePaths(options, costs)
    path = _choose_after(data_centres, ahead)
    if path is None and may_cross and len(data_centres.names) > 1:
        path = search_path(options, costs)
    if path is None:
        pieces = _DataCentrePaths(options, costs, search_pieces)
        path = _choose_after(pieces, ahead)
    return path


def find_reroute(
    path: Path,
    failed: Collection[str],
    options: Sequence[StageOption],
    costs: PathCosts,
    ahead: RequestsAhead = NO_REQUESTS_AHEAD,
) -> Path | None:
    """Return a path with other engines in place of the failed ones, or None.

    The other stages stay unchanged, so they keep their state of the request
    and only the new ones process its prompt again.

    :param failed: engines of the path to replace; not the first.
    :param ahead: requests that are rerouted around the same engines first.
    """
    return _choose_after(_ReroutedPaths(path, failed, options, costs), ahead)


class _PathSearch(Protocol):
    """A search for the fastest path that accounts for placed requests."""

    def find(self) -> Path | None:
        """Return the fastest path with capacity, or None."""

    def place(self, path: Path, placed: RequestsAhead) -> None:
        """Add the load of some requests to the engines of a path."""


def _choose_after(search: _PathSearch, ahead: RequestsAhead) -> Path | None:
    """Return the fastest path after the preceding requests are placed."""
    remaining = ahead.requests
    group = max(1, math.ceil(remaining / _MAX_GROUPS))
    chosen: list[Path] = []
    path = search.find()
    while path is not None and remaining > 0:
        chosen.append(path)
        search.place(path, RequestsAhead(min(group, remaining), ahead.seconds))
        remaining -= group
        path = search.find()
    if path is None and chosen:
        # The expected requests exceed the capacity, so any of the paths may
        # be as good as another.
        return chosen[ahead.requests % len(chosen)]
    return path


class _DataCentrePaths:
    """Complete paths, each inside one data centre.

    After requests are placed, only their data centre is searched again.
    """

    def __init__(
        self,
        options: Sequence[StageOption],
        costs: PathCosts,
        search: Callable[
            [Sequence[StageOption], PathCosts], Path | None
        ] = search_path,
    ) -> None:
        self._costs = costs
        self._search = search
        self._options: dict[str, list[StageOption]] = defaultdict(list)
        for option in options:
            self._options[option.data_centre].append(option)
        self._paths = {
            name: search(group, costs) for name, group in self._options.items()
        }

    @property
    def names(self) -> list[str]:
        """The data centres that have engines."""
        return list(self._options)

    def find(self) -> Path | None:
        """Return the fastest path of all data centres, or None."""
        paths = [path for path in self._paths.values() if path is not None]
        return min(paths, key=lambda path: path.seconds, default=None)

    def place(self, path: Path, placed: RequestsAhead) -> None:
        """Add the load of some requests to the engines of a path."""
        name = path.stages[0].data_centre
        loaded = _add_load(self._options[name], path, self._costs, placed, ())
        self._options[name] = loaded
        self._paths[name] = self._search(loaded, self._costs)


class _ReroutedPaths:
    """Paths with other engines in place of the failed ones of one path."""

    def __init__(
        self,
        path: Path,
        failed: Collection[str],
        options: Sequence[StageOption],
        costs: PathCosts,
    ) -> None:
        self._path = path
        self._failed = failed
        self._options = list(options)
        self._costs = costs
        self._kept = {name for name in path.targets if name not in failed}

    def find(self) -> Path | None:
        """Return the fastest rerouted path, or None."""
        available = [o for o in self._options if o.target not in self._kept]
        stages: list[PathStage] = []
        for stage in self._path.stages:
            if stage.target not in self._failed:
                stages.append(stage)
                continue
            part = search_cuts(
                available, self._costs, None, stage.first, stage.end
            )
            if part is None:
                return None
            stages.extend(part.stages)
            used = set(part.targets)
            available = [o for o in available if o.target not in used]
        return make_path(stages, self._path.seconds)

    def place(self, path: Path, placed: RequestsAhead) -> None:
        """Add the load of some requests to the new engines of a path."""
        self._options = _add_load(
            self._options, path, self._costs, placed, self._kept
        )


def _add_load(
    options: Sequence[StageOption],
    path: Path,
    costs: PathCosts,
    placed: RequestsAhead,
    kept: Collection[str],
) -> list[StageOption]:
    """Return the engines with the load of more requests on a path.

    :param kept: engines of the path that already ran these requests.
    """
    layer_counts = {
        stage.target: stage.end - stage.first
        for stage in path.stages
        if stage.target not in kept
    }
    tokens = placed.requests * costs.shape.usual_tokens
    return [
        replace(
            option,
            capacity=option.capacity - tokens * layer_counts[option.target],
            requests=option.requests + placed.requests,
            ahead=RequestsAhead(
                option.ahead.requests + placed.requests, placed.seconds
            ),
        )
        if option.target in layer_counts
        else option
        for option in options
    ]
