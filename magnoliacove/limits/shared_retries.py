"""The retry budget of a fleet, which all its gateways share."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import Protocol

import trio

from magnoliacove.limits.retry_log import RetryLog
from magnoliacove.limits.windows import WindowCounts

__all__ = ["PeerRetries", "SharedRetryBudget"]

# Maximum fraction of the fleet's budget that is used: the retries of the other
# gateways are known one heartbeat late.
_USABLE_FRACTION = 0.7


class PeerRetries(Protocol):
    """The part of another gateway's heartbeat that concerns retries."""

    @property
    def name(self) -> str:
        """The name of the other gateway."""

    @property
    def services(self) -> Mapping[str, tuple[int, int]]:
        """Each service's requests and retries in the window."""


@dataclass(frozen=True)
class _Report:
    """What another gateway reported, and when it was received."""

    counts: Mapping[str, tuple[int, int]]
    received_at: float

    def read(self, service: str) -> tuple[int, int]:
        """Return a service's requests and retries."""
        return self.counts.get(service, (0, 0))


class SharedRetryBudget:
    """Bounds the retries of all gateways together.

    In each window a service may get a fraction of its requests, plus a fixed
    number, as retries.  Each gateway counts its own retries and receives the
    counts of the others in their heartbeats.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed beyond that in a window.
    :param window: length of the window in seconds.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        read_time: Callable[[], float] = trio.current_time,
        log: RetryLog | None = None,
    ) -> None:
        self.denied = 0
        self._read_time = read_time
        self._log = log
        self._ratio = ratio
        self._slack = slack
        self._requests = WindowCounts(window, read_time)
        self._retries = WindowCounts(window, read_time)
        self._others: dict[str, _Report] = {}

    def note_request(self, service: str) -> None:
        """Count one request that came from a caller."""
        self._requests.note(service)

    def try_spend(self, service: str) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        allowed = self.read_remaining(service) > 0.0
        if allowed:
            self._retries.note(service)
        else:
            self.denied += 1
        if self._log is not None:
            self._log.note(service, allowed, self._describe)
        return allowed

    def read_remaining(self, service: str) -> float:
        """Return the number of retries that the budget still allows.

        :returns: not above 0 when it allows none.
        """
        requests, retries = self._count(service)
        others = [report.read(service) for report in self._others.values()]
        requests += sum(counts[0] for counts in others)
        retries += sum(counts[1] for counts in others)
        bound = _USABLE_FRACTION * (self._ratio * requests + self._slack)
        return bound - retries

    def write_log(self) -> None:
        """Log the retries that no line tells of yet."""
        if self._log is not None:
            self._log.write_due(self._describe)

    def list_counts(self) -> dict[str, tuple[int, int]]:
        """Return each service's requests and retries in the window."""
        names = self._requests.list_names() | self._retries.list_names()
        return {name: self._count(name) for name in names}

    def take(self, report: PeerRetries) -> None:
        """Replace the counts that another gateway reported."""
        now = self._read_time()
        self._others[report.name] = _Report(report.services, now)

    def forget_peers(self, gateways: Iterable[str]) -> None:
        """Discard the counts of gateways that are unreachable."""
        for gateway in gateways:
            self._others.pop(gateway, None)

    def _count(self, service: str) -> tuple[int, int]:
        return self._requests.count(service), self._retries.count(service)

    def _describe(self, service: str) -> dict[str, Any]:
        """Return what the budget of a service is computed from."""
        requests, retries = self._count(service)
        reports = self._others.values()
        now = self._read_time()
        ages = [now - report.received_at for report in reports]
        return {
            "requests": requests,
            "retries": retries,
            "left": round(self.read_remaining(service), 1),
            "peers": len(reports),
            "peer_requests": sum(
                report.read(service)[0] for report in reports
            ),
            "peer_retries": sum(report.read(service)[1] for report in reports),
            "oldest_report": round(max(ages, default=0.0), 2),
        }
