"""Many gateways choose paths by old news: who herds, and what it costs.

Plays gateways before engines without a network: requests arrive at random
gateways, each chooses by the heartbeats that it has, and engines' true loads
are kept beside.  Compared are ways to choose, with a decider that knows
every load at once as the bound.

Run as ``python -m measure.herd``; results go to ``measure/results``.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
import functools
import heapq
import itertools
import random
import statistics

from magnoliacove.limits import LoadBook
from magnoliacove.limits import UnreportedRequests
from magnoliacove.limits.load import Reservation
from magnoliacove.placement.plan import EngineState
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import StageOption
from magnoliacove.routing.paths import find_path
from measure import common
from measure import gateway

_SERVICE = "llm"
_SECONDS = 6.0
# The fleet fills from nothing; what happens before this is not counted.
_WARM_UP = 2.0
# When engines are lost, in seconds, if any are.
_LOST_AT = 4.0
# Requests a second for each engine.
_PACE = 1.15
# Between heartbeats of one gateway: at least, and for each other one.
_LEAST_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
_SHAPE = replace(gateway.SHAPE, prefill_chunk=512.0, steps_per_pass=4)
_COSTS = PathCosts(_SHAPE, 772, 140, 0.05)


@dataclass(frozen=True)
class Fleet:
    """Gateways and engines, and the news between them.

    :param interval: seconds between two heartbeats of a gateway.
    :param lost: engines that all gateways find lost at the same moment.
    """

    gateways: int
    engines: int
    places: int
    interval: float
    lost: int = 0


@dataclass(frozen=True)
class Result:
    """What came of one play.

    :param first_part: the largest part of a second's requests that began at
        the same engine.
    :param overfilled: the part of all choices for which an engine of the
        path had no room.
    :param led_overfilled: the same of the requests led away from lost
        engines.
    :param mean_seconds: of a request, by the true loads at its start.
    """

    first_part: float
    overfilled: float
    led_overfilled: float
    mean_seconds: float


@dataclass
class Gateway:
    """One decider, with what it was told."""

    name: str
    loads: LoadBook
    unheard: UnreportedRequests


@dataclass(eq=False)
class _Request:
    """A request on its path, as its gateway counts it and as it is."""

    decider: Gateway
    path: Path
    own: Reservation
    true: Reservation


class World:
    """Engines with their true load, and the gateways before them."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.truth = LoadBook()
        self.lost: set[str] = set()
        self.options = _place(fleet)
        self.gateways = [
            Gateway(f"g-{n}", LoadBook(), UnreportedRequests(lambda: self.now))
            for n in range(fleet.gateways)
        ]

    def read_options(self, book: LoadBook) -> list[StageOption]:
        """Return the engines that live with the loads that a book tells."""
        return [
            replace(
                option,
                requests=load.requests,
                room=option.room - load.token_layers,
            )
            for option in self.options
            if option.target not in self.lost
            for load in (book.read(option.target),)
        ]

    def count_displaced(self, book: LoadBook) -> int:
        """Return others' requests on lost engines, by a book's news."""
        return sum(book.read_others(name).requests for name in self.lost)

    def send_heartbeat(self, sender: Gateway) -> None:
        """Tell all others what one gateway sent."""
        loads = dict(sender.loads.list_own())
        counts = sender.unheard.list_counts()
        seconds = sender.unheard.counted_for
        for other in self.gateways:
            if other is not sender:
                other.loads.take_others(sender.name, loads, 0)
                other.unheard.take_others(sender.name, counts, seconds)


Chooser = Callable[[World, Gateway], Path | None]


def _place(fleet: Fleet) -> list[StageOption]:
    """Return engines as the placement lays them out at a start."""
    kinds = itertools.cycle(gateway.GROUP)
    states = [
        EngineState(
            f"i-{n}", f"place-{n * fleet.places // fleet.engines}", kind, None
        )
        for n, kind in zip(range(fleet.engines), kinds, strict=False)
    ]
    return gateway.place_options(states, _SHAPE)


# Ways to choose.


def choose_as_if_fresh(world: World, decider: Gateway) -> Path | None:
    """Take the news for the present state of the engines."""
    return find_path(world.read_options(decider.loads), _COSTS)


def choose_after_unheard(world: World, decider: Gateway) -> Path | None:
    """Place what is not heard of yet first."""
    displaced = world.count_displaced(decider.loads)
    ahead = decider.unheard.sample_ahead(_SERVICE, world.rng, displaced)
    options = world.read_options(decider.loads)
    return find_path(options, _COSTS, None, ahead)


def _choose_knowing_all(world: World, decider: Gateway) -> Path | None:
    return find_path(world.read_options(world.truth), _COSTS)


def _choose_of_two(world: World, decider: Gateway) -> Path | None:
    """Take the better of two data centres that are drawn."""
    options = world.read_options(decider.loads)
    places = sorted({option.data_centre for option in options})
    drawn = world.rng.sample(places, min(2, len(places)))
    return _search_in(options, drawn)


def _choose_in_subset(world: World, decider: Gateway) -> Path | None:
    """Keep to two data centres for each gateway, by rendezvous."""
    options = world.read_options(decider.loads)
    places = {option.data_centre for option in options}
    ranked = sorted(
        places,
        key=lambda place: random.Random(place + decider.name).random(),
    )
    return _search_in(options, ranked[:2])


def _search_in(
    options: Sequence[StageOption], places: Sequence[str]
) -> Path | None:
    inside = [o for o in options if o.data_centre in places]
    return find_path(inside, _COSTS)


_WAYS: dict[str, Chooser] = {
    "as if fresh": choose_as_if_fresh,
    "best of two data centres": _choose_of_two,
    "two data centres each": _choose_in_subset,
    "after the unheard": choose_after_unheard,
    "knowing all": _choose_knowing_all,
}


class _Play:
    """One play of a fleet with one way to choose."""

    def __init__(self, fleet: Fleet, choose: Chooser, seed: int) -> None:
        self._fleet = fleet
        self._choose = choose
        self._world = World(fleet, seed)
        self._numbers = itertools.count()
        # Time, a number that orders equals, and what happens then.
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        # In the order of their start, so that a play repeats.
        self._running: dict[_Request, None] = {}
        self._firsts: dict[int, Counter[str]] = {}
        self._seconds: list[float] = []
        self._overfilled = 0
        self._led = [0, 0]

    def run(self) -> Result:
        """Play to the end."""
        world, fleet = self._world, self._fleet
        for number, one in enumerate(world.gateways):
            at = number / fleet.gateways * fleet.interval
            self._add(at, functools.partial(self._beat, one))
        self._add(0.0, self._arrive)
        if fleet.lost:
            self._add(_LOST_AT, self._lose)
        while self._events[0][0] < _SECONDS:
            world.now, _, happen = heapq.heappop(self._events)
            happen()
        parts = [max(c.values()) / c.total() for c in self._firsts.values()]
        return Result(
            max(parts),
            self._overfilled / len(self._seconds),
            self._led[1] / self._led[0] if self._led[0] else 0.0,
            statistics.mean(self._seconds),
        )

    def _add(self, at: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), happen))

    def _beat(self, sender: Gateway) -> None:
        self._world.send_heartbeat(sender)
        at = self._world.now + self._fleet.interval
        self._add(at, functools.partial(self._beat, sender))

    def _arrive(self) -> None:
        world = self._world
        pause = world.rng.expovariate(_PACE * self._fleet.engines)
        self._add(world.now + pause, self._arrive)
        decider = world.rng.choice(world.gateways)
        decider.unheard.note_request(_SERVICE)
        found = self._begin(decider)
        if found is None or world.now < _WARM_UP:
            return
        path, seconds, fits = found
        counts = self._firsts.setdefault(int(world.now), Counter())
        counts[path.targets[0]] += 1
        self._seconds.append(seconds)
        self._overfilled += not fits

    def _begin(self, decider: Gateway) -> tuple[Path, float, bool] | None:
        """Send a request; return its path, its seconds, and if it fits."""
        world = self._world
        path = self._choose(world, decider)
        if path is None:
            return None
        seconds, fits = _follow(world, path)
        request = _Request(
            decider,
            path,
            decider.loads.reserve_path(path, _COSTS.tokens),
            world.truth.reserve_path(path, _COSTS.tokens),
        )
        self._running[request] = None
        self._add(world.now + seconds, functools.partial(self._end, request))
        return path, seconds, fits

    def _end(self, request: _Request) -> None:
        if request not in self._running:
            return
        del self._running[request]
        request.decider.loads.release(request.own)
        self._world.truth.release(request.true)

    def _lose(self) -> None:
        """Lose the busiest engines; all gateways lead away from them."""
        world = self._world
        busy = sorted(
            world.options,
            key=lambda option: -world.truth.read(option.target).requests,
        )
        world.lost = {o.target for o in busy[: self._fleet.lost]}
        left = [r for r in self._running if world.lost & {*r.path.targets}]
        for request in sorted(left, key=lambda r: r.decider.name):
            self._end(request)
            found = self._begin(request.decider)
            if found is not None:
                self._led[0] += 1
                self._led[1] += not found[2]


def play(fleet: Fleet, choose: Chooser, seed: int) -> Result:
    """Play one way to choose and return what came of it."""
    return _Play(fleet, choose, seed).run()


def _follow(world: World, path: Path) -> tuple[float, bool]:
    """Return what a path takes by the true loads, and whether it has room."""
    on_path = {stage.target: stage for stage in path.stages}
    seconds, fits = 0.0, True
    for option in world.read_options(world.truth):
        stage = on_path.get(option.target)
        if stage is None:
            continue
        count = stage.end - stage.first
        seconds += _COSTS.layer_seconds(option) * count
        seconds += _COSTS.hop_seconds(option)
        fits = fits and option.room >= _COSTS.tokens * count
    return seconds, fits


def main() -> None:
    """Play every way before fleets of four sizes and write the results."""
    rows = []
    for gateways, engines, places in (
        (5, 42, 3),
        (32, 52, 3),
        (68, 130, 5),
        (330, 850, 6),
    ):
        usual = max(_LEAST_INTERVAL, _INTERVAL_PER_PEER * gateways)
        for interval in sorted({usual, max(usual, 1.0)}):
            lost = engines // 13
            fleet = Fleet(gateways, engines, places, interval, lost)
            for name, choose in _WAYS.items():
                result = asdict(play(fleet, choose, seed=1))
                row = {"way": name, **asdict(fleet), **result}
                rows.append(row)
                common.write_result("herd", {"rows": rows})
    common.show_table(rows)


if __name__ == "__main__":
    main()
