"""What waits for capacity at the other gateways, as their heartbeats report.

The reports are kept as running sums: a gateway's previous report is
subtracted and its new one added.  So a heartbeat costs the same in a fleet of
any size.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from magnoliacove.limits.waiting import WaitingSummary

__all__ = ["REPORT_LIFETIME", "ReportedWaiting", "WaitingElsewhere"]

# Seconds after which a report counts for nothing.  Until then its weight
# falls evenly: a gateway that ended or hangs uses no capacity that is left
# to it.
REPORT_LIFETIME = 2.0
# Times and rates are summed as whole numbers, milliseconds and thousandths,
# so that the sums have no rounding error.
_SCALE = 1000


@dataclass(frozen=True)
class WaitingElsewhere:
    """What waits for one service at the other gateways, as far as trusted.

    :param more_urgent: number of requests with a higher urgency.
    :param as_urgent: number of requests with the same urgency.
    :param grant_rate: requests a second that get capacity there.
    """

    more_urgent: float = 0.0
    as_urgent: float = 0.0
    grant_rate: float = 0.0

    @property
    def requests(self) -> float:
        """Number of requests that are as urgent or more."""
        return self.more_urgent + self.as_urgent

    @property
    def expected_wait(self) -> float:
        """Seconds until as many requests have got capacity there."""
        return self.requests / max(self.grant_rate, 1.0)


@dataclass(frozen=True)
class _Report:
    """What one gateway reported last.

    :param received_at: in milliseconds.
    """

    waiting: Sequence[WaitingSummary]
    grant_rates: Mapping[str, float]
    received_at: int


@dataclass
class _Sum:
    """A running sum of counts, and of counts times their receipt times."""

    count: int = 0
    count_by_time: int = 0

    def add(self, count: int, received_at: int) -> None:
        self.count += count
        self.count_by_time += count * received_at

    def read_trusted(self, now: float) -> float:
        """Return the sum with each count weighted by the age of its report."""
        age_sum = self.count * now - self.count_by_time / _SCALE
        return max(0.0, self.count - age_sum / REPORT_LIFETIME)


@dataclass
class _ServiceSums:
    """The sums of one service: what waits by urgency, and grants."""

    waiting: dict[int, _Sum] = field(default_factory=dict)
    grants: int = 0


class ReportedWaiting:
    """The book of what the other gateways reported.

    A gateway where nothing waits has no entry.
    """

    def __init__(self) -> None:
        # In the order in which the reports were received.
        self._reports: dict[str, _Report] = {}
        self._services: dict[str, _ServiceSums] = {}
        self._urgencies: set[int] = set()

    def take_others(
        self,
        gateway: str,
        waiting: Sequence[WaitingSummary],
        grant_rates: Mapping[str, float],
        now: float,
    ) -> None:
        """Replace what another gateway reported.

        :param now: in seconds.
        """
        self._subtract(gateway)
        if waiting:
            report = _Report(waiting, grant_rates, int(now * _SCALE))
            self._reports[gateway] = report
            self._urgencies.update(item.priority for item in waiting)
            self._add(report, 1)

    def forget_peers(self, gateways: Iterable[str]) -> None:
        """Discard the reports of gateways that are unreachable."""
        for gateway in gateways:
            self._subtract(gateway)

    def read(
        self, service: str, priority: int, now: float
    ) -> WaitingElsewhere | None:
        """Return what waits elsewhere, None when nothing does."""
        self._expire(now)
        sums = self._services.get(service)
        if sums is None:
            return None
        return WaitingElsewhere(
            sum(
                total.read_trusted(now)
                for other, total in sums.waiting.items()
                if other < priority
            ),
            sums.waiting.get(priority, _Sum()).read_trusted(now),
            sums.grants / _SCALE,
        )

    def count_requests(self, now: float) -> dict[int, int]:
        """Return how many requests wait elsewhere, by urgency.

        An urgency once reported stays, so that its gauge falls to 0.
        """
        self._expire(now)
        counts = dict.fromkeys(sorted(self._urgencies), 0)
        for sums in self._services.values():
            for priority, total in sums.waiting.items():
                counts[priority] += total.count
        return counts

    def list_waiting(
        self, service: str, priority: int, now: float
    ) -> list[tuple[str, int, float]]:
        """Return where requests that are as urgent or more wait.

        It reads all reports and is meant for log lines.

        :returns: names of gateways, numbers of requests and ages of the
            reports in seconds, most requests first.
        """
        found = []
        for gateway, report in self._reports.items():
            count = sum(
                item.requests
                for item in report.waiting
                if item.service == service and item.priority <= priority
            )
            if count:
                age = now - report.received_at / _SCALE
                found.append((gateway, count, age))
        return sorted(found, key=lambda item: (-item[1], item[0]))

    def _expire(self, now: float) -> None:
        limit = (now - REPORT_LIFETIME) * _SCALE
        while self._reports:
            oldest = next(iter(self._reports))
            if self._reports[oldest].received_at > limit:
                return
            self._subtract(oldest)

    def _subtract(self, gateway: str) -> None:
        previous = self._reports.pop(gateway, None)
        if previous is not None:
            self._add(previous, -1)

    def _add(self, report: _Report, sign: int) -> None:
        """Add a report to the sums of its services, or subtract it."""
        for item in report.waiting:
            sums = self._services.setdefault(item.service, _ServiceSums())
            total = sums.waiting.setdefault(item.priority, _Sum())
            total.add(sign * item.requests, report.received_at)
            if not total.count:
                del sums.waiting[item.priority]
        for service in {item.service for item in report.waiting}:
            sums = self._services[service]
            rate = report.grant_rates.get(service, 0.0)
            sums.grants += sign * round(rate * _SCALE)
            if not sums.waiting:
                del self._services[service]
