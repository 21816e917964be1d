"""The retry budget of a fleet, divided among its gateways.

In each window a service may get a fraction of its requests, plus a fixed
number, as retries of all gateways together.  What the others have spent is
known one heartbeat late, and not at all across a partition or after a start.
If each gateway spent what the whole budget seemed to have left, all would
spend the same rest.

So each gateway has a share that follows from what it knows by itself: the
fraction of its own requests, and an equal part of the fixed number.  Half of
the share is private.  The other half is pooled among the gateways that hear
each other, for one that has more failures than the others.  In each round of
heartbeats a gateway takes only its part of what the pool has left.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math
import random
from typing import Any
from typing import Protocol

import trio

from magnoliacove.limits.retry_log import RetryLog
from magnoliacove.limits.windows import WindowCounts

__all__ = ["PeerRetries", "SharedRetryBudget"]

# Fraction of a share that a gateway may use.
_USABLE_FRACTION = 0.85
# The same at the end of its first window after a start.  It does not know what
# it spent before: if all gateways start again when their shares are spent,
# both fractions together are the whole budget.
_FIRST_USABLE_FRACTION = 1.0 - _USABLE_FRACTION
# Fraction of each share that is pooled.
_POOLED_FRACTION = 0.5
# Fraction of what the pool has left that all gateways together may take in one
# round, as they may not know yet what was taken in the round before.
_ROUND_FRACTION = 0.5
# Seconds for which a gateway that is not heard from keeps its share: it may be
# on the other side of a partition and spend it there.
_MAX_ABSENCE = 7200.0


class PeerRetries(Protocol):
    """The part of another gateway's heartbeat that concerns retries."""

    @property
    def name(self) -> str:
        """The name of the other gateway."""

    @property
    def incarnation(self) -> int:
        """A number that is different after each start of the gateway."""

    @property
    def leaving(self) -> bool:
        """Whether the gateway is about to stop."""

    @property
    def services(self) -> Mapping[str, tuple[int, int]]:
        """Each service's requests and retries in the window."""


@dataclass(frozen=True)
class _Usage:
    """What one gateway has counted for a service in the window.

    :param running: seconds since the gateway started, or was first heard.
    """

    requests: int
    retries: int
    running: float


@dataclass(frozen=True)
class _Report:
    """What another gateway last reported.

    :param since: when it was first heard from after its last start.
    """

    name: str
    incarnation: int
    leaving: bool
    counts: Mapping[str, tuple[int, int]]
    since: float
    received_at: float

    def read(self, service: str) -> tuple[int, int]:
        """Return a service's requests and retries."""
        return self.counts.get(service, (0, 0))


@dataclass
class _Round:
    """The time until each other gateway has reported once more.

    :param awaited: the gateways that have not reported yet.
    :param left: by service, what this gateway may still take from the pool.
    """

    awaited: set[str] = field(default_factory=set)
    left: dict[str, float] = field(default_factory=dict)


class SharedRetryBudget:
    """Bounds the retries of a gateway by its part of the fleet's budget.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed beyond that in a window.
    :param window: length of the window in seconds.
    :param restarted: whether this gateway may have run just before, and spent
        retries that it does not know of.
    :param expects_peers: whether there are other gateways.  Until one is heard
        from, or the store tells, it is not known among how many the slack is
        divided.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        read_time: Callable[[], float] = trio.current_time,
        log: RetryLog | None = None,
        *,
        restarted: bool = False,
        expects_peers: bool = False,
        rng: random.Random | None = None,
    ) -> None:
        self.denied = 0
        self._read_time = read_time
        self._log = log
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._expects_peers = expects_peers
        self._rng = rng or random.Random()
        self._since = read_time() if restarted else -math.inf
        self._requests = WindowCounts(window, read_time)
        self._retries = WindowCounts(window, read_time)
        self._heard: dict[str, _Report] = {}
        # By name and incarnation, gateways that ended or are unreachable: what
        # they took from the pool may still be in the window.
        self._former: dict[tuple[str, int], _Report] = {}
        # By name, when each gateway that has a share was last heard from.
        self._sharers: dict[str, float] = {}
        # Number of gateways that the store knows, and when it was read.
        self._stored_count = 0
        self._stored_count_at = -math.inf
        self._round = _Round()

    def note_request(self, service: str) -> None:
        """Count one request that came from a caller."""
        self._requests.note(service)

    def try_spend(self, service: str) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        private, pooled = self._read_parts(service)
        allowed = private + pooled >= 1.0
        if allowed:
            self._retries.note(service)
            self._round.left[service] -= max(0.0, 1.0 - private)
        else:
            self.denied += 1
        if self._log is not None:
            self._log.note(service, allowed, self._describe)
        return allowed

    def read_remaining(self, service: str) -> int:
        """Return the number of retries that the budget allows now."""
        return math.floor(sum(self._read_parts(service)))

    def write_log(self) -> None:
        """Log the retries that no line tells of yet."""
        if self._log is not None:
            self._log.write_due(self._describe)

    def list_counts(self) -> dict[str, tuple[int, int]]:
        """Return each service's requests and retries in the window."""
        names = self._requests.list_names() | self._retries.list_names()
        return {name: self._count(name) for name in names}

    def take(self, report: PeerRetries) -> None:
        """Replace what another gateway reported."""
        now, name = self._read_time(), report.name
        previous = self._heard.pop(name, None)
        if previous is not None:
            self._former[name, previous.incarnation] = previous
        # Before it was unreachable, the same process may have been heard.
        same = self._former.pop((name, report.incarnation), None)
        self._heard[name] = _Report(
            name,
            report.incarnation,
            report.leaving,
            report.services,
            same.since if same is not None else now,
            now,
        )
        self._sharers[name] = now
        self._round.awaited.discard(name)

    def forget_peers(self, gateways: Iterable[str]) -> None:
        """Stop sharing the pool with gateways that are unreachable."""
        for name in gateways:
            report = self._heard.pop(name, None)
            self._round.awaited.discard(name)
            if report is None:
                continue
            self._former[name, report.incarnation] = report
            if report.leaving:
                del self._sharers[name]

    # Among how many gateways the slack is divided.

    def expect_gateways(self, count: int) -> None:
        """Divide the slack among at least this many gateways.

        Those that start inside a partition hear only a part of the fleet,
        and the others spend their part of the slack too.

        :param count: as the store knows it, 0 for unknown.
        """
        if count > 0:
            self._stored_count = count
            self._stored_count_at = self._read_time()

    def count_gateways(self) -> int:
        """Return the number of gateways with a share, 0 for unknown."""
        stored_for = self._read_time() - self._stored_count_at
        stored = self._stored_count if stored_for <= _MAX_ABSENCE else 0
        if self._expects_peers and not self._sharers:
            return stored
        return max(stored, 1 + len(self._sharers))

    # What this gateway may spend.

    def _read_parts(self, service: str) -> tuple[float, float]:
        """Return what is left of the private part, and of the pool."""
        usage = self._read_own(service)
        private = self._compute_private(usage) - usage.retries
        return max(0.0, private), max(0.0, self._read_round(service))

    def _read_round(self, service: str) -> float:
        if not self._round.awaited:
            self._begin_round()
        left = self._round.left
        if service not in left:
            left[service] = self._compute_part(service)
        return left[service]

    def _begin_round(self) -> None:
        now = self._read_time()
        self._round = _Round(set(self._heard))
        self._former = {
            key: report
            for key, report in self._former.items()
            if now - report.received_at <= self._window
        }
        self._sharers = {
            name: heard_at
            for name, heard_at in self._sharers.items()
            if now - heard_at <= _MAX_ABSENCE
        }

    def _compute_part(self, service: str) -> float:
        """Return what this gateway may take from the pool in a round."""
        left = self._measure_pool(service)
        if not self._heard:
            return left
        part = max(0.0, left) * _ROUND_FRACTION / (1 + len(self._heard))
        # In a large fleet a part is less than one retry.  Rounded at random,
        # all parts together are as much as without rounding.
        return part + self._rng.random()

    # Shares and the pool.

    def _measure_pool(self, service: str) -> float:
        """Return what the gateways that hear each other have not taken.

        A gateway that is not heard any more has taken what its share does not
        explain.  It contributes nothing, as it may use the rest of its share.
        """
        now = self._read_time()
        left = self._contribute(self._read_own(service))
        for report in self._heard.values():
            left += self._contribute(self._read(report, service, now))
        for report in self._former.values():
            usage = self._read(report, service, report.received_at)
            left -= max(0.0, usage.retries - self._compute_share(usage))
        return left

    def _contribute(self, usage: _Usage) -> float:
        """Return a gateway's part of the pool, less what it has taken."""
        private = self._compute_private(usage)
        taken = max(0.0, usage.retries - private)
        return self._compute_share(usage) - private - taken

    def _compute_private(self, usage: _Usage) -> float:
        return (1.0 - _POOLED_FRACTION) * self._compute_share(usage)

    def _compute_share(self, usage: _Usage) -> float:
        share = self._ratio * usage.requests + self._divide_slack()
        if usage.running >= self._window:
            return _USABLE_FRACTION * share
        return _FIRST_USABLE_FRACTION * share * usage.running / self._window

    def _divide_slack(self) -> float:
        """Return one gateway's part of the slack, in retries."""
        count = self.count_gateways()
        return self._slack / count if count else 0.0

    def _read_own(self, service: str) -> _Usage:
        running = self._read_time() - self._since
        return _Usage(*self._count(service), running)

    def _read(self, report: _Report, service: str, now: float) -> _Usage:
        return _Usage(*report.read(service), now - report.since)

    def _count(self, service: str) -> tuple[int, int]:
        return self._requests.count(service), self._retries.count(service)

    def _describe(self, service: str) -> dict[str, Any]:
        """Return what the budget of a service is computed from."""
        now, usage = self._read_time(), self._read_own(service)
        reports = self._heard.values()
        ages = [now - report.received_at for report in reports]
        return {
            "requests": usage.requests,
            "retries": usage.retries,
            "share": round(self._compute_share(usage), 1),
            "pool": round(self._measure_pool(service), 1),
            "left": self.read_remaining(service),
            "gateways": self.count_gateways(),
            "peers": len(reports),
            "peer_requests": sum(r.read(service)[0] for r in reports),
            "peer_retries": sum(r.read(service)[1] for r in reports),
            "oldest_report": round(max(ages, default=0.0), 2),
        }
