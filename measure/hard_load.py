"""Who is served when more is asked than the engines can do.

Simulates gateways with their real capacity queues in front of scripted
engines, without a network.  Requests of three urgencies and several client
accounts arrive unevenly over the gateways, which know each other's loads and
queues by heartbeats only.  The program compares gateways that each take what
they find with gateways that keep one order of waiting.

Run as ``python -m measure.hard_load``; results go to ``measure/results``.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import math
import random
from typing import Any

import trio
from trio.testing import MockClock

from magnoliacove import errors
from magnoliacove.limits.capacity import CapacityQueue
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.load import Reservation
from magnoliacove.limits.order import OrderPolicy
from magnoliacove.limits.shared_waiting import SharedWaiting
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathStage
from magnoliacove.wire import Address
from measure import common

_SERVICE = "llm"
# Seconds of simulated time, and those at the start that are not counted.
_SECONDS = 10.0
_WARM_UP = 2.0
# Requests at once on an engine, gateways for each engine, and seconds that a
# request takes.
_SLOTS = 24
_GATEWAYS_PER_ENGINE = 2
_DURATION = 2.0
# Seconds until an engine's refusal of a request is known.
_REFUSAL_DELAY = 0.05
# Seconds for which a gateway takes an engine that refused one for full.
_FULL_SECONDS = 0.25
# Share of the requests, latency objective in seconds, by urgency.
_URGENCIES = ((0.5, 0.5), (0.3, 0.6), (0.2, 1.2))
_CALLER_TIMEOUT = 4.0
# Share of an urgency's requests that must be answered for a comparison of
# accounts: a handful of answers cannot be divided equally.
_MIN_COMPARED = 0.2
_ACCOUNTS = ("large", "usual", "small")
_ACCOUNT_SHARES = (0.6, 0.3, 0.1)
# A third of the gateways gets this many times the requests of another.
_UNEVENNESS = 3.0
# Seconds between heartbeats of a gateway: the minimum, and the time for each
# of its peers.
_MIN_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
_DEMANDS = (0.5, 1.0, 1.5, 2.0, 3.0, 5.0)
_SIZES = (4, 32, 68)


@dataclass
class Result:
    """What became of the requests, by urgency, account and gateway."""

    asked: Counter[tuple[int, str, int]] = field(default_factory=Counter)
    answered: Counter[tuple[int, str, int]] = field(default_factory=Counter)
    on_time: Counter[int] = field(default_factory=Counter)
    refused_runs: int = 0
    # Slots that were free while requests waited, summed over looks at them.
    idle: int = 0
    looks: int = 0

    def share(self, part: int, value: object) -> float:
        """Return the share that was answered of one urgency or so."""
        asked, answered = (
            sum(n for key, n in counts.items() if key[part] == value)
            for counts in (self.asked, self.answered)
        )
        return answered / asked if asked else math.nan

    def list_shares(self, part: int) -> list[float]:
        """Return the shares of all urgencies, accounts or gateways."""
        values = sorted({key[part] for key in self.asked})
        return [self.share(part, value) for value in values]

    def compare_gateways(self) -> float:
        """Return the share at busy gateways relative to that at the others."""
        shares = []
        for wanted in (True, False):
            asked, answered = (
                sum(
                    n
                    for key, n in counts.items()
                    if _is_busy(key[2]) == wanted
                )
                for counts in (self.asked, self.answered)
            )
            shares.append(answered / asked)
        return shares[0] / shares[1]

    def compute_fairness(self) -> float:
        """Return the lowest of Jain's indexes within the urgencies."""
        return min(
            self._compute_jain(urgency)
            for urgency in range(len(_URGENCIES))
            if self.share(0, urgency) >= _MIN_COMPARED
        )

    def _compute_jain(self, urgency: int) -> float:
        """Return how equally accounts are served within one urgency."""
        shares = []
        for account in _ACCOUNTS:
            asked, answered = (
                sum(counts[key] for key in counts if key[:2] == wanted)
                for wanted in [(urgency, account)]
                for counts in (self.asked, self.answered)
            )
            if asked:
                shares.append(answered / asked)
        squares = sum(share * share for share in shares)
        return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


def _is_busy(gateway: int) -> bool:
    return gateway % 3 == 0


class _Gateway:
    """A gateway: its queue, the loads that it knows, and what it shares."""

    def __init__(
        self, number: int, fleet: "_Fleet", shares_order: bool
    ) -> None:
        self.number = number
        self.loads = LoadBook()
        self.fleet = fleet
        self.sharing = SharedWaiting(fleet.rng) if shares_order else None
        policy = OrderPolicy(by_urgency=True, by_account=True)
        self.queue = CapacityQueue(
            sharing=self.sharing, read_policy=lambda _: policy
        )
        # Until when engines that refused a request count as full.
        self.full_until: dict[str, float] = {}

    async def send_heartbeats(self, interval: float) -> None:
        await trio.sleep(self.fleet.rng.uniform(0.0, interval))
        while True:
            loads = dict(self.loads.list_own())
            waiting = tuple(self.queue.summarize())
            rates = {_SERVICE: self.queue.read_grant_rate(_SERVICE)}
            for other in self.fleet.gateways:
                if other is self:
                    continue
                other.loads.take_others(str(self.number), loads, 0)
                if other.sharing is not None:
                    other.sharing.take_others(str(self.number), waiting, rates)
                other.queue.fill()
            await trio.sleep(interval)

    async def compare(self) -> None:
        while self.sharing is not None:
            self.sharing.note_own(
                self.queue.summarize(), self.queue.read_grant_rate
            )
            self.queue.fill()
            await trio.sleep(0.1)

    async def serve(self, urgency: int, account: str) -> None:
        """Serve one request from its arrival to its end."""
        fleet, arrived = self.fleet, trio.current_time()
        key = (urgency, account, self.number)
        age = arrived - fleet.started
        counted = _WARM_UP <= age < _SECONDS - _DURATION
        fleet.result.asked[key] += counted
        objective = _URGENCIES[urgency][1]
        while True:
            reserved: list[Reservation] = []
            try:
                path = await self.queue.wait_path(
                    lambda found=reserved: self._find_path(found),
                    priority=urgency,
                    fresh_until=arrived + objective,
                    timeout=arrived + _CALLER_TIMEOUT - trio.current_time(),
                    service=_SERVICE,
                    account=account,
                )
            except errors.RequestError:
                return
            engine = path.targets[0]
            if fleet.running[engine] < _SLOTS:
                break
            fleet.result.refused_runs += counted
            await trio.sleep(_REFUSAL_DELAY)
            self.full_until[engine] = trio.current_time() + _FULL_SECONDS
            self.loads.release(reserved[0])
        fleet.running[engine] += 1
        fleet.result.answered[key] += counted
        late = trio.current_time() > arrived + objective
        fleet.result.on_time[urgency] += counted and not late
        await trio.sleep(_DURATION * fleet.rng.uniform(0.5, 1.5))
        fleet.running[engine] -= 1
        self.loads.release(reserved[0])
        self.queue.fill()

    def _find_path(self, reserved: list[Reservation]) -> Path | None:
        """Reserve an engine by what seems free, None if all are full."""
        now = trio.current_time()
        free = [
            max(0, _SLOTS - self.loads.read(name).requests)
            if now >= self.full_until.get(name, 0.0)
            else 0
            for name in self.fleet.engines
        ]
        if not any(free):
            return None
        name = self.fleet.rng.choices(self.fleet.engines, free)[0]
        stage = PathStage(name, Address("10.0.0.1", 80), "a", 0, 1)
        path = Path((stage,), 0.0, 0)
        reserved.append(self.loads.reserve_path(path, 1.0))
        return path


class _Fleet:
    """The engines with what really runs on them, and the gateways."""

    def __init__(self, gateways: int, shares_order: bool) -> None:
        self.rng = random.Random(1)
        self.result = Result()
        self.started = trio.current_time()
        count = gateways // _GATEWAYS_PER_ENGINE
        self.engines = [f"i-{number}" for number in range(count)]
        self.running = dict.fromkeys(self.engines, 0)
        self.gateways = [
            _Gateway(number, self, shares_order) for number in range(gateways)
        ]

    async def run(self, demand: float) -> None:
        """Let requests arrive until the time is over."""
        size = len(self.gateways)
        interval = max(_MIN_INTERVAL, _INTERVAL_PER_PEER * (size - 1))
        async with trio.open_nursery() as nursery:
            for gateway in self.gateways:
                nursery.start_soon(gateway.queue.run)
                nursery.start_soon(gateway.send_heartbeats, interval)
                nursery.start_soon(gateway.compare)
            nursery.start_soon(self._look)
            with trio.move_on_after(_SECONDS):
                await self._arrive(demand, nursery)
            nursery.cancel_scope.cancel()

    async def _arrive(self, demand: float, nursery: trio.Nursery) -> None:
        rate = demand * _SLOTS * len(self.engines) / _DURATION
        weights = [
            _UNEVENNESS if _is_busy(gateway.number) else 1.0
            for gateway in self.gateways
        ]
        shares = [share for share, _ in _URGENCIES]
        while True:
            await trio.sleep(self.rng.expovariate(rate))
            gateway = self.rng.choices(self.gateways, weights)[0]
            urgency = self.rng.choices(range(len(shares)), shares)[0]
            account = self.rng.choices(_ACCOUNTS, _ACCOUNT_SHARES)[0]
            nursery.start_soon(gateway.serve, urgency, account)

    async def _look(self) -> None:
        """Count the free slots while requests wait anywhere."""
        await trio.sleep(_WARM_UP)
        while True:
            if any(gateway.queue.waiting for gateway in self.gateways):
                self.result.looks += 1
                self.result.idle += sum(
                    _SLOTS - count for count in self.running.values()
                )
            await trio.sleep(0.05)


def simulate(gateways: int, demand: float, shares_order: bool) -> Result:
    """Simulate a fleet.

    :param demand: requests relative to what the engines can do.
    """

    async def run() -> Result:
        fleet = _Fleet(gateways, shares_order)
        await fleet.run(demand)
        return fleet.result

    return trio.run(run, clock=MockClock(autojump_threshold=0))


def _describe(
    gateways: int, demand: float, shares_order: bool
) -> dict[str, Any]:
    result = simulate(gateways, demand, shares_order)
    urgent, usual, patient = result.list_shares(0)
    by_gateway = result.list_shares(2)
    seconds = _SECONDS - _DURATION - _WARM_UP
    slots = _SLOTS * gateways // _GATEWAYS_PER_ENGINE
    return {
        "gateways": gateways,
        "demand": demand,
        "order": "one" if shares_order else "own",
        "urgent": urgent,
        "usual": usual,
        "patient": patient,
        "jain": result.compute_fairness(),
        "worst_gateway": min(by_gateway) / max(by_gateway),
        "busy_to_quiet": result.compare_gateways(),
        "goodput": result.on_time.total() / seconds,
        "urgent_goodput": result.on_time[0] / seconds,
        "answers": sum(result.answered.values()) / seconds,
        "refused_runs": result.refused_runs / seconds,
        "idle": result.idle / max(1, result.looks) / slots,
    }


def main() -> None:
    """Simulate both orders at each size and demand; write the results."""
    rows = []
    for gateways in _SIZES:
        for demand in _DEMANDS:
            for shares_order in (False, True):
                rows.append(_describe(gateways, demand, shares_order))
                common.write_result("hard-load", {"rows": rows})
    common.show_table(rows)


if __name__ == "__main__":
    main()
