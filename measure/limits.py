"""Ways to keep one engine's limit over many gateways, without a network.

``python -m measure.limits`` prints for each way, and for 4 to 330 gateways,
the most requests that the engine got in 4 s beside what it allows, and the
part of its limit that it got.  Gateways are killed, cut off and started.
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

__all__ = ["WAYS", "Play", "Result"]

ENGINE = "i-1"
_SERVICE = "llm"
_STEP = 0.01
# As the gateways' heartbeats.
_LEAST_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
_GONE = 1.2
_GONE_INTERVALS = 6
_SOON = 0.03
# The users' rule: counted from so long after the engine first said so, from
# gateways that were told so long ago and not killed or cut off since.
_CONTACT = 3.0
_TOLD = 0.5
_WINDOW = 4.0
_NAMED_AT = 4.0
_DOWN = 0.7
_CUT = 4.0


@dataclass(frozen=True)
class News:
    """One gateway's heartbeat, as far as limits go."""

    name: str
    counted_for: float
    recent: dict[str, int]
    limits: tuple[ReportedLimit, ...]
    grants: tuple[Grant, ...]
    leaving: bool = False


@dataclass(frozen=True)
class Heard:
    """A heartbeat, and when it came."""

    heartbeat: News
    received_at: float


@dataclass
class Clock:
    """The time of a play, in seconds."""

    now: float = 0.0

    def read(self) -> float:
        """Return the present moment."""
        return self.now


class Gateway:
    """One gateway of a play: what it hears and what it knows."""

    def __init__(self, name: str, clock: Clock, rng: random.Random) -> None:
        self.name = name
        self.clock = clock
        self.cut_until = -math.inf
        self.excused_at = -math.inf
        self.told_at = math.inf
        self.heard: dict[str, Heard] = {}
        self.next_beat = clock.now + rng.uniform(0.0, _LEAST_INTERVAL)
        self.saved, self.saved_at = 0.0, clock.now
        # The time of day differs a little between gateways.
        self.time_off = rng.uniform(-0.05, 0.05)
        recorder = Recorder(name)
        targets = TargetList(recorder, grace=1.0, read_time=clock.read)
        targets.apply(ListedTarget(ENGINE, _SERVICE, Address("x", 1), "a"))
        self.book = BackpressureBook(recorder, clock.read)
        self.grants = GrantBook(name, clock.read)
        self.unheard = UnreportedRequests(clock.read)
        self.sharing = LimitSharing(
            name,
            targets,
            self.book,
            self.grants,
            self.unheard,
            self.list_live,
            lambda: False,
            clock.read,
        )
        self.book.listen(self._beat_soon)

    @property
    def interval(self) -> float:
        """Seconds between heartbeats."""
        return max(_LEAST_INTERVAL, _INTERVAL_PER_PEER * len(self.heard))

    def list_live(self) -> list[Heard]:
        """Return the gateways that are heard."""
        gone = max(_GONE, _GONE_INTERVALS * self.interval)
        limit = self.clock.now - gone
        return [one for one in self.heard.values() if one.received_at >= limit]

    def list_names(self) -> list[str]:
        """Return the gateways that are heard, and this one."""
        return [self.name, *(one.heartbeat.name for one in self.list_live())]

    def beat(self) -> News:
        """Return a heartbeat; the next one is due an interval later."""
        self.next_beat = self.clock.now + self.interval
        return News(
            self.name,
            self.unheard.counted_for,
            self.unheard.list_counts(),
            tuple(self.book.list_own()),
            self.sharing.issue_grants(),
        )

    def hear(self, news: News) -> None:
        """Take another gateway's heartbeat."""
        self.heard[news.name] = Heard(news, self.clock.now)
        self.unheard.take_others(news.name, news.recent, news.counted_for)
        self.sharing.take(news)

    def save(self, rate: float) -> bool:
        """Save up at a rate; return whether one request is saved."""
        now = self.clock.now
        self.saved = min(1.0, self.saved + rate * (now - self.saved_at))
        self.saved_at = now
        return self.saved >= 1.0

    def _beat_soon(self) -> None:
        self.next_beat = min(self.next_beat, self.clock.now + _SOON)


class Way(Protocol):
    """Whether a gateway that knows the limit may send a request now."""

    def __call__(self, gateway: Gateway, rate: float) -> bool:
        """Count the request if it may go."""


def share_evenly(gateway: Gateway, rate: float) -> bool:
    """Each gateway has the same part, by how many it hears."""
    if not gateway.save(rate / len(gateway.list_names())):
        return False
    gateway.saved -= 1.0
    return True


def take_turns(gateway: Gateway, rate: float) -> bool:
    """Time is cut into turns of one request, drawn among those heard."""
    turn = int((gateway.clock.now + gateway.time_off) * rate)
    owner = choose_owner(f"{ENGINE} {turn}", gateway.list_names())
    if gateway.name != owner or gateway.saved == turn:
        return False
    gateway.saved = turn
    return True


def send_for_all(gateway: Gateway, rate: float) -> bool:
    """One gateway alone sends to the engine."""
    owner = choose_owner(ENGINE, gateway.list_names())
    if gateway.name != owner or not gateway.save(rate):
        return False
    gateway.saved -= 1.0
    return True


def use_grants(gateway: Gateway, _: float) -> bool:
    """Go by the parts that a keeper hands out, as gateways do."""
    if not gateway.grants.may_send(ENGINE):
        return False
    gateway.grants.spend(ENGINE)
    return True


WAYS: dict[str, Callable[[Gateway, float], bool]] = {
    "even shares": share_evenly,
    "turns in time": take_turns,
    "one sends for all": send_for_all,
    "handed out": use_grants,
}


@dataclass
class Result:
    """What the engine got.

    :param excess: the most in any window, less what is allowed.
    :param part: of its limit, from the time on that counts.
    """

    excess: float
    part: float


@dataclass
class Play:
    """One play of gateways before an engine that names a limit.

    :param rate: requests a second that the engine takes.
    :param demand: requests a second of each gateway for this engine.
    :param kill_every: seconds between two kills, 0 for none.
    :param all_at: when all are killed, 0 for never.
    :param cut_every: seconds between two cuts of one gateway, 0 for none.
    :param quiet_until: once the limit is known no gateway has a request for
        the engine until then; its part counts from then on.
    """

    way: Callable[[Gateway, float], bool]
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
        """Play for so many seconds."""
        self._rng = random.Random(self.seed)
        self._clock = Clock()
        self._down: list[tuple[float, str]] = []
        self._up = [self._start(f"g-{n}") for n in range(self.count)]
        steps = int(seconds / _STEP)
        for step in range(steps):
            self._clock.now = step * _STEP
            self._trouble(step)
            self._beat()
            self._send()
        return self._judge(seconds)

    def _start(self, name: str) -> Gateway:
        gateway = Gateway(name, self._clock, self._rng)
        gateway.excused_at = self._clock.now
        return gateway

    def _trouble(self, step: int) -> None:
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
            self._rng.choice(self._up).cut_until = now + _CUT

    def _kill(self, gateways: Iterable[Gateway]) -> None:
        for gateway in gateways:
            self._up.remove(gateway)
            self._down.append((self._clock.now + _DOWN, gateway.name))

    def _beat(self) -> None:
        now = self._clock.now
        for gateway in self._up:
            if gateway.next_beat > now:
                continue
            news = gateway.beat()
            if gateway.cut_until > now:
                continue
            for other in self._up:
                if other is not gateway and other.cut_until <= now:
                    other.hear(news)

    def _send(self) -> None:
        now = self._clock.now
        for gateway in self._up:
            if self._rng.random() >= self.demand * _STEP:
                continue
            gateway.unheard.note_request(_SERVICE)
            if _NAMED_AT + _CONTACT <= now < self.quiet_until:
                continue
            known = gateway.book.read_limit(ENGINE)
            if known is None or self.way(gateway, known):
                self._arrive(gateway, now)

    def _arrive(self, gateway: Gateway, now: float) -> None:
        self.sent.append(now)
        if gateway.cut_until > now:
            gateway.excused_at = now
        told = gateway.told_at <= now - _TOLD
        if told and now - gateway.excused_at >= _CONTACT:
            self.counted.append(now)
        if now >= _NAMED_AT:
            gateway.told_at = min(gateway.told_at, now)
            notice = TargetNotice(rate_limit=self.rate)
            gateway.book.take(ENGINE, notice, "play")

    def _judge(self, seconds: float) -> Result:
        begin = max(_NAMED_AT + _CONTACT, self.quiet_until)
        counted = [at for at in self.counted if at >= begin]
        most = max(
            (
                sum(1 for other in counted if at - _WINDOW < other <= at)
                for at in counted
            ),
            default=0,
        )
        allowed = 1.5 * self.rate * _WINDOW + 5
        got = sum(1 for at in self.sent if at >= begin)
        usual = self.rate * (seconds - begin)
        return Result(most - allowed, got / usual if usual else math.inf)


_TROUBLES: dict[str, dict[str, float]] = {
    "none": {},
    "a kill each 3 s": {"kill_every": 3.0},
    "all killed": {"all_at": 12.0},
    "a cut each 3 s": {"cut_every": 3.0},
    "a quiet minute": {"quiet_until": 67.0},
}


def main() -> None:
    """Print a table; the arguments are numbers of gateways."""
    counts = [int(text) for text in sys.argv[1:]] or [4, 12, 68]
    print("gateways | limit | way | trouble | most over allowed | part got")
    for count in counts:
        for rate in (1.2, 12.0):
            for name, way in WAYS.items():
                for trouble, kinds in _TROUBLES.items():
                    play = Play(way, count, rate, **kinds)
                    result = play.run(max(24.0, play.quiet_until + 10.0))
                    print(
                        f"{count} | {rate:g} | {name} | {trouble} | "
                        f"{result.excess:+.1f} | {result.part:.2f}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
