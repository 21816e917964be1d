"""Policies that enforce one engine's rate limit across many gateways.

``python -m measure.limits`` simulates them without a network.  For each
policy, and for 4 to 330 gateways, it prints by how much the busiest 4 s
exceed the requests that the engine allows, and the share of its limit that
it received.  Gateways are killed, partitioned and started.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import math
import random
import sys
from typing import Protocol

from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.limit_sharing import LimitSharing
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.backpressure import ReportedLimit
from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.limits.grants import Grant
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.unreported import UnreportedRequests
from magnoliacove.routing.owners import choose_owner
from magnoliacove.timeline import Recorder
from magnoliacove.wire import Address

__all__ = ["POLICIES", "Result", "Simulation"]

ENGINE = "i-1"
_SERVICE = "llm"
# Seconds of one simulation step.
_STEP = 0.01
# Timing of the heartbeats of real gateways, in seconds: the minimum interval,
# the interval for each peer, the time after which a peer is unreachable and
# its minimum in intervals, and the delay of an urgent heartbeat.
_MIN_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
_PEER_TIMEOUT = 1.2
_PEER_TIMEOUT_INTERVALS = 6
_URGENT_DELAY = 0.03
# The users' rule: requests count from `_CONVERGENCE_TIME` seconds after the
# engine first announced its limit, if their gateway received the limit at
# least `_NOTICE_DELAY` seconds before and was not killed or partitioned since.
_CONVERGENCE_TIME = 3.0
_NOTICE_DELAY = 0.5
# Seconds over which requests are counted against the limit.
_WINDOW = 4.0
# Seconds from the start until the engine announces its limit.
_LIMIT_AT = 4.0
# Seconds from the kill of a gateway until its restart.
_RESTART_DELAY = 0.7
# Seconds for which a gateway is partitioned.
_PARTITION_SECONDS = 4.0


@dataclass(frozen=True)
class LimitHeartbeat:
    """The fields of a gateway's heartbeat that concern limits."""

    name: str
    counted_for: float
    recent: dict[str, int]
    limits: tuple[ReportedLimit, ...]
    grants: tuple[Grant, ...]
    leaving: bool = False


@dataclass(frozen=True)
class ReceivedHeartbeat:
    """A heartbeat and the time at which it was received."""

    heartbeat: LimitHeartbeat
    received_at: float


@dataclass
class Clock:
    """The simulated time in seconds."""

    now: float = 0.0

    def read(self) -> float:
        """Return the current time."""
        return self.now


class Gateway:
    """A simulated gateway with real limit sharing."""

    def __init__(self, name: str, clock: Clock, rng: random.Random) -> None:
        self.name = name
        self.clock = clock
        self.partitioned_until = -math.inf
        self.last_fault_at = -math.inf
        self.informed_at = math.inf
        self.received: dict[str, ReceivedHeartbeat] = {}
        self.next_heartbeat_at = clock.now + rng.uniform(0.0, _MIN_INTERVAL)
        self.tokens, self.tokens_at = 0.0, clock.now
        # Simulates clock skew between gateways.
        self.clock_skew = rng.uniform(-0.05, 0.05)
        recorder = Recorder(name)
        targets = TargetList(recorder, grace=1.0, read_time=clock.read)
        targets.apply(ListedTarget(ENGINE, _SERVICE, Address("x", 1), "a"))
        self.book = BackpressureBook(recorder, clock.read)
        self.grants = GrantBook(name, clock.read)
        self.unreported = UnreportedRequests(clock.read)
        self.sharing = LimitSharing(
            name,
            targets,
            self.book,
            self.grants,
            self.unreported,
            self.list_live,
            lambda: False,
            clock.read,
        )
        self.book.listen(self._hasten_heartbeat)

    @property
    def interval(self) -> float:
        """Seconds between heartbeats."""
        return max(_MIN_INTERVAL, _INTERVAL_PER_PEER * len(self.received))

    def list_live(self) -> list[ReceivedHeartbeat]:
        """Return the latest heartbeats of the reachable peers."""
        peer_timeout = max(
            _PEER_TIMEOUT, _PEER_TIMEOUT_INTERVALS * self.interval
        )
        limit = self.clock.now - peer_timeout
        return [
            peer
            for peer in self.received.values()
            if peer.received_at >= limit
        ]

    def list_names(self) -> list[str]:
        """Return the names of the reachable peers and this gateway."""
        return [self.name, *(peer.heartbeat.name for peer in self.list_live())]

    def make_heartbeat(self) -> LimitHeartbeat:
        """Return a heartbeat and schedule the next one an interval later."""
        self.next_heartbeat_at = self.clock.now + self.interval
        return LimitHeartbeat(
            self.name,
            self.unreported.counted_for,
            self.unreported.list_counts(),
            tuple(self.book.list_own()),
            self.sharing.issue_grants(),
        )

    def receive(self, heartbeat: LimitHeartbeat) -> None:
        """Process a heartbeat of another gateway."""
        self.received[heartbeat.name] = ReceivedHeartbeat(
            heartbeat, self.clock.now
        )
        self.unreported.take_others(
            heartbeat.name, heartbeat.recent, heartbeat.counted_for
        )
        self.sharing.take(heartbeat)

    def refill(self, rate: float) -> bool:
        """Refill the token bucket; return whether it allows a request."""
        now = self.clock.now
        self.tokens = min(1.0, self.tokens + rate * (now - self.tokens_at))
        self.tokens_at = now
        return self.tokens >= 1.0

    def _hasten_heartbeat(self) -> None:
        self.next_heartbeat_at = min(
            self.next_heartbeat_at, self.clock.now + _URGENT_DELAY
        )


class Policy(Protocol):
    """Decides whether a gateway that has the limit may send a request now."""

    def __call__(self, gateway: Gateway, rate: float) -> bool:
        """Return whether the request may be sent, and count it if so."""


def share_evenly(gateway: Gateway, rate: float) -> bool:
    """Divide the limit evenly by the number of reachable gateways."""
    if not gateway.refill(rate / len(gateway.list_names())):
        return False
    gateway.tokens -= 1.0
    return True


def take_turns(gateway: Gateway, rate: float) -> bool:
    """Divide time into slots of one request; hash each to a gateway."""
    slot = int((gateway.clock.now + gateway.clock_skew) * rate)
    owner = choose_owner(f"{ENGINE} {slot}", gateway.list_names())
    if gateway.name != owner or gateway.tokens == slot:
        return False
    gateway.tokens = slot
    return True


def send_for_all(gateway: Gateway, rate: float) -> bool:
    """Let a single gateway send requests to the engine."""
    owner = choose_owner(ENGINE, gateway.list_names())
    if gateway.name != owner or not gateway.refill(rate):
        return False
    gateway.tokens -= 1.0
    return True


def use_grants(gateway: Gateway, _: float) -> bool:
    """Use the grants that the limit's owner issues, as gateways do."""
    if not gateway.grants.may_send(ENGINE):
        return False
    gateway.grants.spend(ENGINE)
    return True


POLICIES: dict[str, Callable[[Gateway, float], bool]] = {
    "even shares": share_evenly,
    "turns in time": take_turns,
    "one sends for all": send_for_all,
    "granted shares": use_grants,
}


@dataclass
class Result:
    """The requests that the engine received.

    :param excess: the requests in the busiest window, less what is allowed.
    :param part: the received share of the limit over the counted period.
    """

    excess: float
    part: float


@dataclass
class Simulation:
    """A simulation of gateways and an engine that announces a limit.

    :param rate: the limit of the engine in requests per second.
    :param demand: requests per second of each gateway for the engine.
    :param kill_every: seconds between two kills of a gateway, 0 for none.
    :param all_at: when all gateways are killed, 0 for never.
    :param cut_every: seconds between two partitions of a gateway, 0 for none.
    :param quiet_until: the time until which gateways have no requests for the
        engine once the fleet has the limit; the received share counts from
        then on.
    """

    policy: Callable[[Gateway, float], bool]
    count: int
    rate: float = 1.2
    demand: float = 5.0
    kill_every: float = 0.0
    all_at: float = 0.0
    cut_every: float = 0.0
    quiet_until: float = 0.0
    seed: int = 1
    sent: list[float] = field(default_factory=list)
    counted: list[float] = field(default_factory=list)

    def run(self, seconds: float) -> Result:
        """Run the simulation for a number of seconds."""
        self._rng = random.Random(self.seed)
        self._clock = Clock()
        self._down: list[tuple[float, str]] = []
        self._up = [self._start(f"g-{n}") for n in range(self.count)]
        steps = int(seconds / _STEP)
        for step in range(steps):
            self._clock.now = step * _STEP
            self._inject_faults(step)
            self._exchange_heartbeats()
            self._send()
        return self._evaluate(seconds)

    def _start(self, name: str) -> Gateway:
        gateway = Gateway(name, self._clock, self._rng)
        gateway.last_fault_at = self._clock.now
        return gateway

    def _inject_faults(self, step: int) -> None:
        now = self._clock.now
        due = [name for at, name in self._down if at <= now]
        self._down = [item for item in self._down if item[0] > now]
        self._up += [self._start(name) for name in due]
        if (
            self.kill_every
            and step
            and not step % int(self.kill_every / _STEP)
        ):
            self._kill([self._rng.choice(self._up)])
        if self.all_at and step == int(self.all_at / _STEP):
            self._kill(list(self._up))
        if self.cut_every and step and not step % int(self.cut_every / _STEP):
            self._rng.choice(self._up).partitioned_until = (
                now + _PARTITION_SECONDS
            )

    def _kill(self, gateways: Iterable[Gateway]) -> None:
        for gateway in gateways:
            self._up.remove(gateway)
            self._down.append((self._clock.now + _RESTART_DELAY, gateway.name))

    def _exchange_heartbeats(self) -> None:
        now = self._clock.now
        for gateway in self._up:
            if gateway.next_heartbeat_at > now:
                continue
            heartbeat = gateway.make_heartbeat()
            if gateway.partitioned_until > now:
                continue
            for other in self._up:
                if other is not gateway and other.partitioned_until <= now:
                    other.receive(heartbeat)

    def _send(self) -> None:
        now = self._clock.now
        for gateway in self._up:
            if self._rng.random() >= self.demand * _STEP:
                continue
            gateway.unreported.note_request(_SERVICE)
            if _LIMIT_AT + _CONVERGENCE_TIME <= now < self.quiet_until:
                continue
            limit = gateway.book.read_limit(ENGINE)
            if limit is None or self.policy(gateway, limit):
                self._arrive(gateway, now)

    def _arrive(self, gateway: Gateway, now: float) -> None:
        self.sent.append(now)
        if gateway.partitioned_until > now:
            gateway.last_fault_at = now
        informed = gateway.informed_at <= now - _NOTICE_DELAY
        if informed and now - gateway.last_fault_at >= _CONVERGENCE_TIME:
            self.counted.append(now)
        if now >= _LIMIT_AT:
            gateway.informed_at = min(gateway.informed_at, now)
            notice = TargetNotice(rate_limit=self.rate)
            gateway.book.take(ENGINE, notice, "simulation")

    def _evaluate(self, seconds: float) -> Result:
        begin = max(_LIMIT_AT + _CONVERGENCE_TIME, self.quiet_until)
        counted = [at for at in self.counted if at >= begin]
        peak = max(
            (
                sum(1 for other in counted if at - _WINDOW < other <= at)
                for at in counted
            ),
            default=0,
        )
        allowed = 1.5 * self.rate * _WINDOW + 5
        received = sum(1 for at in self.sent if at >= begin)
        expected = self.rate * (seconds - begin)
        return Result(
            peak - allowed, received / expected if expected else math.inf
        )


_FAULTS: dict[str, dict[str, float]] = {
    "none": {},
    "a kill each 3 s": {"kill_every": 3.0},
    "all killed": {"all_at": 12.0},
    "a cut each 3 s": {"cut_every": 3.0},
    "a quiet minute": {"quiet_until": 67.0},
}


def main() -> None:
    """Print a table for the numbers of gateways given as arguments."""
    counts = [int(text) for text in sys.argv[1:]] or [4, 12, 68]
    print("gateways | limit | policy | fault | max excess | share received")
    for count in counts:
        for rate in (1.2, 12.0):
            for name, policy in POLICIES.items():
                for fault, settings in _FAULTS.items():
                    simulation = Simulation(policy, count, rate, **settings)
                    result = simulation.run(
                        max(24.0, simulation.quiet_until + 10.0)
                    )
                    print(
                        f"{count} | {rate:g} | {name} | {fault} | "
                        f"{result.excess:+.1f} | {result.part:.2f}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
