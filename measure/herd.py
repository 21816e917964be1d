"""Herding of gateways that choose paths by outdated load reports.

Simulates gateways and engines without a network.  Requests arrive at random
gateways, which choose by the heartbeats that they have received; the actual
loads of the engines are recorded separately.  The program compares policies;
the bound is a policy that always sees the actual loads.

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
# Seconds of simulated time.
_SECONDS = 6.0
# Seconds at the start that are not counted, since the fleet starts idle.
_WARM_UP = 2.0
# Seconds from the start until engines fail, if any do.
_FAILURE_AT = 4.0
# Requests per second and engine.
_REQUEST_RATE = 1.15
# Seconds between heartbeats of a gateway: the minimum, and the time for each
# of its peers.
_MIN_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
_SHAPE = replace(gateway.SHAPE, prefill_chunk=512.0, steps_per_pass=4)
_COSTS = PathCosts(_SHAPE, 772, 140, 0.05)


@dataclass(frozen=True)
class Fleet:
    """The size of a fleet and the interval of its heartbeats.

    :param places: number of data centres.
    :param interval: seconds between two heartbeats of a gateway.
    :param lost: number of engines whose failure all gateways detect at the
        same moment.
    """

    gateways: int
    engines: int
    places: int
    interval: float
    lost: int = 0


@dataclass(frozen=True)
class Result:
    """The result of one simulation.

    :param first_part: the largest share of the requests of one second whose
        paths start at the same engine.
    :param overfilled: the share of all choices for which an engine of the
        path had no capacity.
    :param led_overfilled: the same share of the requests that were rerouted
        around failed engines.
    :param mean_seconds: the mean duration of a request, by the actual loads
        at its start.
    """

    first_part: float
    overfilled: float
    led_overfilled: float
    mean_seconds: float


@dataclass
class Gateway:
    """A gateway with the reports that it has received."""

    name: str
    loads: LoadBook
    unreported: UnreportedRequests


@dataclass(eq=False)
class _Request:
    """A request with its reservation at its gateway and its actual load."""

    decider: Gateway
    path: Path
    reserved: Reservation
    actual: Reservation


class World:
    """Engines with their actual loads, and the gateways."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.actual_loads = LoadBook()
        self.failed: set[str] = set()
        self.options = _place(fleet)
        self.gateways = [
            Gateway(f"g-{n}", LoadBook(), UnreportedRequests(lambda: self.now))
            for n in range(fleet.gateways)
        ]

    def read_options(self, book: LoadBook) -> list[StageOption]:
        """Return the running engines with the loads from a load book."""
        return [
            replace(
                option,
                requests=load.requests,
                capacity=option.capacity - load.token_layers,
            )
            for option in self.options
            if option.target not in self.failed
            for load in (book.read(option.target),)
        ]

    def count_displaced(self, book: LoadBook) -> int:
        """Return the requests of other gateways on failed engines.

        The number is taken from a gateway's load book.
        """
        return sum(book.read_others(name).requests for name in self.failed)

    def send_heartbeat(self, sender: Gateway) -> None:
        """Deliver a heartbeat of one gateway to all others."""
        loads = dict(sender.loads.list_own())
        counts = sender.unreported.list_counts()
        seconds = sender.unreported.counted_for
        for other in self.gateways:
            if other is not sender:
                other.loads.take_others(sender.name, loads, 0)
                other.unreported.take_others(sender.name, counts, seconds)


Policy = Callable[[World, Gateway], Path | None]


def _place(fleet: Fleet) -> list[StageOption]:
    """Return the engines with their initial placement."""
    kinds = itertools.cycle(gateway.GROUP)
    states = [
        EngineState(
            f"i-{n}", f"place-{n * fleet.places // fleet.engines}", kind, None
        )
        for n, kind in zip(range(fleet.engines), kinds, strict=False)
    ]
    return gateway.place_options(states, _SHAPE)


# Policies.


def choose_by_reported_loads(world: World, decider: Gateway) -> Path | None:
    """Assume that the received loads are current."""
    return find_path(world.read_options(decider.loads), _COSTS)


def choose_with_unreported(world: World, decider: Gateway) -> Path | None:
    """Account for requests that other gateways have not reported yet."""
    displaced = world.count_displaced(decider.loads)
    ahead = decider.unreported.sample_ahead(_SERVICE, world.rng, displaced)
    options = world.read_options(decider.loads)
    return find_path(options, _COSTS, None, ahead)


def _choose_by_actual_loads(world: World, decider: Gateway) -> Path | None:
    return find_path(world.read_options(world.actual_loads), _COSTS)


def _choose_of_two(world: World, decider: Gateway) -> Path | None:
    """Choose the better of two random data centres."""
    options = world.read_options(decider.loads)
    places = sorted({option.data_centre for option in options})
    sampled = world.rng.sample(places, min(2, len(places)))
    return _search_in(options, sampled)


def _choose_in_subset(world: World, decider: Gateway) -> Path | None:
    """Use two data centres for each gateway, by rendezvous hashing."""
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


_POLICIES: dict[str, Policy] = {
    "as if fresh": choose_by_reported_loads,
    "best of two data centres": _choose_of_two,
    "two data centres each": _choose_in_subset,
    "after the unheard": choose_with_unreported,
    "knowing all": _choose_by_actual_loads,
}


class _Simulation:
    """A simulation of a fleet with one policy."""

    def __init__(self, fleet: Fleet, policy: Policy, seed: int) -> None:
        self._fleet = fleet
        self._policy = policy
        self._world = World(fleet, seed)
        self._numbers = itertools.count()
        # Time, a sequence number that orders simultaneous events, and action.
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        # Ordered by start, so that the simulation is reproducible.
        self._running: dict[_Request, None] = {}
        self._first_engines: dict[int, Counter[str]] = {}
        self._seconds: list[float] = []
        self._overfilled = 0
        # Rerouted requests, and those among them without capacity.
        self._rerouted = [0, 0]

    def run(self) -> Result:
        """Run the simulation."""
        world, fleet = self._world, self._fleet
        for number, sender in enumerate(world.gateways):
            at = number / fleet.gateways * fleet.interval
            self._schedule(at, functools.partial(self._send_heartbeat, sender))
        self._schedule(0.0, self._arrive)
        if fleet.lost:
            self._schedule(_FAILURE_AT, self._fail_engines)
        while self._events[0][0] < _SECONDS:
            world.now, _, action = heapq.heappop(self._events)
            action()
        shares = [
            max(c.values()) / c.total() for c in self._first_engines.values()
        ]
        return Result(
            max(shares),
            self._overfilled / len(self._seconds),
            self._rerouted[1] / self._rerouted[0]
            if self._rerouted[0]
            else 0.0,
            statistics.mean(self._seconds),
        )

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _send_heartbeat(self, sender: Gateway) -> None:
        self._world.send_heartbeat(sender)
        at = self._world.now + self._fleet.interval
        self._schedule(at, functools.partial(self._send_heartbeat, sender))

    def _arrive(self) -> None:
        world = self._world
        pause = world.rng.expovariate(_REQUEST_RATE * self._fleet.engines)
        self._schedule(world.now + pause, self._arrive)
        decider = world.rng.choice(world.gateways)
        decider.unreported.note_request(_SERVICE)
        choice = self._begin(decider)
        if choice is None or world.now < _WARM_UP:
            return
        path, seconds, fits = choice
        counts = self._first_engines.setdefault(int(world.now), Counter())
        counts[path.targets[0]] += 1
        self._seconds.append(seconds)
        self._overfilled += not fits

    def _begin(self, decider: Gateway) -> tuple[Path, float, bool] | None:
        """Start a request.

        :return: its path, its duration and whether the engines of the path
            have capacity, None if there is no path.
        """
        world = self._world
        path = self._policy(world, decider)
        if path is None:
            return None
        seconds, fits = _evaluate_path(world, path)
        request = _Request(
            decider,
            path,
            decider.loads.reserve_path(path, _COSTS.tokens),
            world.actual_loads.reserve_path(path, _COSTS.tokens),
        )
        self._running[request] = None
        self._schedule(
            world.now + seconds, functools.partial(self._end, request)
        )
        return path, seconds, fits

    def _end(self, request: _Request) -> None:
        if request not in self._running:
            return
        del self._running[request]
        request.decider.loads.release(request.reserved)
        self._world.actual_loads.release(request.actual)

    def _fail_engines(self) -> None:
        """Fail the busiest engines; all gateways reroute their requests."""
        world = self._world
        busy = sorted(
            world.options,
            key=lambda option: (
                -world.actual_loads.read(option.target).requests
            ),
        )
        world.failed = {o.target for o in busy[: self._fleet.lost]}
        affected = [
            r for r in self._running if world.failed & {*r.path.targets}
        ]
        for request in sorted(affected, key=lambda r: r.decider.name):
            self._end(request)
            choice = self._begin(request.decider)
            if choice is not None:
                self._rerouted[0] += 1
                self._rerouted[1] += not choice[2]


def simulate(fleet: Fleet, policy: Policy, seed: int) -> Result:
    """Simulate a fleet with one policy and return the result."""
    return _Simulation(fleet, policy, seed).run()


def _evaluate_path(world: World, path: Path) -> tuple[float, bool]:
    """Return the duration of a path by the actual loads, and if it fits."""
    on_path = {stage.target: stage for stage in path.stages}
    seconds, fits = 0.0, True
    for option in world.read_options(world.actual_loads):
        stage = on_path.get(option.target)
        if stage is None:
            continue
        count = stage.end - stage.first
        seconds += _COSTS.layer_seconds(option) * count
        seconds += _COSTS.hop_seconds(option)
        fits = fits and option.capacity >= _COSTS.tokens * count
    return seconds, fits


def main() -> None:
    """Simulate every policy at four fleet sizes and write the results."""
    rows = []
    for gateways, engines, places in (
        (5, 42, 3),
        (32, 52, 3),
        (68, 130, 5),
        (330, 850, 6),
    ):
        base_interval = max(_MIN_INTERVAL, _INTERVAL_PER_PEER * gateways)
        for interval in sorted({base_interval, max(base_interval, 1.0)}):
            lost = engines // 13
            fleet = Fleet(gateways, engines, places, interval, lost)
            for name, policy in _POLICIES.items():
                result = asdict(simulate(fleet, policy, seed=1))
                row = {"way": name, **asdict(fleet), **result}
                rows.append(row)
                common.write_result("herd", {"rows": rows})
    common.show_table(rows)


if __name__ == "__main__":
    main()
