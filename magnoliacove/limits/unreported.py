"""Estimates of requests that other gateways send but have not yet reported.

Loads are known from heartbeats, which become less frequent as the number of
gateways grows.  The requests that a gateway sends after its last heartbeat are
on the engines all the same, and as many again are sent before the other
gateways receive a report of a choice that is made now.  Their number follows
from each gateway's request rate and from the time since its last heartbeat.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import random

import trio

from magnoliacove.limits.room_shares import RoomShare
from magnoliacove.limits.windows import WindowCounts
from magnoliacove.routing.paths import RequestsAhead

__all__ = ["UnreportedRequests"]

# Seconds over which a gateway's requests are counted: long enough to measure a
# few requests per second, short enough to show a burst.
_WINDOW = 2.0
# Minimum seconds by which a count is divided: the first request of a gateway
# that has just started says little about the next one.
_MIN_WINDOW = 1.0
# Factor on the unreported requests that gives the range of positions: the
# requests already sent, and as many that will be sent with the same state.
_POSITIONS_FACTOR = 2.0
# Seconds after a start until the heartbeats of all others have arrived.
_START_SECONDS = 1.0
# Gateways for each engine that are assumed until then.  Fleets have between
# one for seven engines and one for two; with too many the first requests take
# somewhat slower paths, with too few all of them take the same path.
_GATEWAYS_PER_ENGINE = 0.5
# Requests per second; a lower sum is a rounding error of the differences.
_MIN_RATE = 1e-3


@dataclass(frozen=True)
class _RateReport:
    """A gateway's requests per second for each service, and when received."""

    rates: Mapping[str, float]
    received_at: float


@dataclass(frozen=True)
class _Sum:
    """Sums over all gateways: rates, and rates times their receipt times."""

    rate: float = 0.0
    rate_by_time: float = 0.0

    def add(self, rate: float, received_at: float) -> "_Sum":
        return _Sum(self.rate + rate, self.rate_by_time + rate * received_at)


class UnreportedRequests:
    """Estimates the requests of other gateways that no heartbeat reports yet.

    A gateway that has just started and reports no requests is assumed to have
    as many as this one.  When all gateways start together, callers wait for
    them, and each gateway gets several requests as soon as it can serve.  If
    each assumed the others to be idle, all would send their requests along
    the same path.  For that reason a gateway that has just started also counts
    others that it has not heard from yet.

    :param read_time: returns seconds.
    :param expects_peers: whether there are other gateways.
    """

    def __init__(
        self,
        read_time: Callable[[], float] = trio.current_time,
        *,
        expects_peers: bool = False,
    ) -> None:
        self._read_time = read_time
        self._expects_peers = expects_peers
        self._gateways: dict[str, _RateReport] = {}
        self._starting: set[str] = set()
        self._sums: dict[str, _Sum] = {}
        self._own = WindowCounts(_WINDOW, read_time)
        self._started = read_time()

    @property
    def counted_for(self) -> float:
        """The seconds over which this gateway's requests are counted."""
        return min(_WINDOW, self._read_time() - self._started)

    def note_request(self, service: str) -> None:
        """Count one request that came from a caller."""
        self._own.note(service)

    def list_counts(self) -> dict[str, int]:
        """Return this gateway's requests of each service in the window."""
        return {name: self._own.count(name) for name in self._own.list_names()}

    def read_request_rate(self, service: str, gateway: str = "") -> float:
        """Return the requests per second that a gateway had for a service.

        :param gateway: another gateway, or "" for this one.
        """
        if gateway:
            report = self._gateways.get(gateway)
            return report.rates.get(service, 0.0) if report else 0.0
        seconds = max(self.counted_for, _MIN_WINDOW)
        return self._own.count(service) / seconds

    def read_share(self, service: str, waiting: int = 0) -> RoomShare:
        """Return this gateway's part of a service's requests.

        :param waiting: requests that wait at a gateway that stops, 0 at
            others.  It gets no new requests, and without a share those that
            wait there would never get capacity.
        """
        total = self._sums.get(service, _Sum())
        if total.rate <= _MIN_RATE:
            return RoomShare(1.0, 0.0)
        recent = self.read_request_rate(service)
        own = max(recent, waiting / max(self.counted_for, _MIN_WINDOW))
        age = self._read_time() - total.rate_by_time / total.rate
        # Heartbeats are on average half as old as the interval between them.
        return RoomShare(own / (own + total.rate), 2.0 * age)

    def take_others(
        self,
        gateway: str,
        counts: Mapping[str, int],
        seconds: float,
    ) -> None:
        """Replace the counts that another gateway reported.

        :param counts: requests of each service.
        :param seconds: the time over which the gateway counted them.
        """
        self._subtract(gateway)
        rates = {
            service: requests / max(seconds, _MIN_WINDOW)
            for service, requests in counts.items()
        }
        if seconds < _MIN_WINDOW and not any(counts.values()):
            self._starting.add(gateway)
        report = _RateReport(rates, self._read_time())
        self._gateways[gateway] = report
        for service, rate in rates.items():
            total = self._sums.get(service, _Sum())
            self._sums[service] = total.add(rate, report.received_at)

    def forget_peers(self, gateways: Iterable[str]) -> None:
        """Discard the reports of gateways that are unreachable."""
        for gateway in gateways:
            self._subtract(gateway)

    def sample_ahead(
        self,
        service: str,
        rng: random.Random,
        displaced: int = 0,
        engines: int = 0,
    ) -> RequestsAhead:
        """Return how many unreported requests are assumed to go first.

        The number is uniform between none and all.  So requests that are
        routed by the same state assume different positions, and their choices
        together come out as if they were made one after the other.

        :param displaced: requests that their gateways reroute now.
        :param engines: number of the service's engines.
        """
        total = self._sums.get(service, _Sum())
        unreported, seconds = 0.0, 0.0
        if total.rate > _MIN_RATE:
            unreported = self._read_time() * total.rate - total.rate_by_time
            seconds = unreported / total.rate
        own = self._own.count(service)
        starting = len(self._starting) + self._count_unheard(engines)
        expected = _POSITIONS_FACTOR * max(0.0, unreported) + starting * own
        expected += displaced
        return RequestsAhead(int(rng.uniform(0.0, expected + 1.0)), seconds)

    def _count_unheard(self, engines: int) -> int:
        """Return how many gateways are assumed that were not heard yet."""
        running = self._read_time() - self._started
        if not self._expects_peers or running >= _START_SECONDS:
            return 0
        assumed = round(engines * _GATEWAYS_PER_ENGINE)
        return max(0, assumed - len(self._gateways))

    def _subtract(self, gateway: str) -> None:
        self._starting.discard(gateway)
        previous = self._gateways.pop(gateway, None)
        if previous is None:
            return
        for service, rate in previous.rates.items():
            remaining = self._sums[service].add(-rate, previous.received_at)
            self._sums[service] = remaining
