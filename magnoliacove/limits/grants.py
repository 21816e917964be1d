"""Shares of a target's rate limit, granted to gateways.

A target announces one limit for all gateways together.  One gateway
coordinates each target's limit; all gateways that receive each other's
heartbeats select the same coordinator.  The coordinator divides the limit in
proportion to the gateways' request rates and announces the grants in its
heartbeats.  A gateway without a grant sends the target no requests.

Only a few gateways get a grant.  Each of them may accumulate one whole
request, so as many requests as there are grants may arrive at the same
moment: with a grant for each of 330 gateways, a target that accepts one
request per second would receive all 330.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import hashlib
import math

import trio

__all__ = ["Grant", "GrantBook", "divide_limit"]

# Number of grants beyond the requests per second: a gateway may have no
# requests for the target for a while, and its grant is then unused.
_EXTRA_GRANTS = 2
# Factor on the request rate of a gateway that already has a grant: the
# requests that it has accumulated would be lost with each change.
_INCUMBENT_FACTOR = 4.0
# Requests per second that are sent even to a target with a lower limit;
# otherwise no gateway would detect that its overload is over.
_MIN_RATE = 0.1
# Seconds of its rate that a grant may accumulate, at least one request.
_SAVED_SECONDS = 0.25
# Seconds for which accumulated requests are kept while no coordinator grants
# a share: coordinators change, and the next one usually grants the share to
# the same gateway.
_SAVED_RETENTION = 3.0
# Requests per second that a gateway is assumed to have when it reports none.
_MIN_REQUEST_RATE = 0.01


@dataclass(frozen=True)
class Grant:
    """A gateway's share of a target's limit.

    :param rate: requests per second that the gateway may send the target.
    """

    target: str
    gateway: str
    rate: float


def divide_limit(
    target: str,
    limit: float,
    request_rates: Mapping[str, float],
    incumbents: Collection[str] = (),
) -> list[Grant]:
    """Return the grants that divide a limit.

    Gateways are ranked by a weighted hash of their names and the target's,
    with the request rate as the weight.  So different gateways get the grants
    of different targets, and they keep them.

    :param request_rates: each gateway's requests per second for the target's
        service.
    :param incumbents: the gateways that have a grant now.
    """
    rate = max(limit, _MIN_RATE)
    request_rates = {
        name: max(request_rate, _MIN_REQUEST_RATE)
        for name, request_rate in request_rates.items()
    }
    weights = {
        name: request_rate * (_INCUMBENT_FACTOR if name in incumbents else 1.0)
        for name, request_rate in request_rates.items()
    }
    ranked = sorted(
        weights, key=lambda name: _compute_rank(target, name, weights[name])
    )
    chosen = ranked[: math.floor(rate) + _EXTRA_GRANTS]
    total = sum(request_rates[name] for name in chosen)
    return [
        Grant(target, name, rate * request_rates[name] / total)
        for name in chosen
    ]


def _compute_rank(target: str, gateway: str, weight: float) -> float:
    """Return a rank that is the same at each gateway.

    A higher weight makes a low rank more likely.
    """
    data = f"{gateway}\0{target}".encode()
    digest = hashlib.blake2b(data, digest_size=8).digest()
    fraction = (int.from_bytes(digest, "big") + 1) / 2**64
    return -math.log(fraction) / weight


@dataclass
class _Allowance:
    """The requests that this gateway may send one target.

    :param rate: requests per second, 0 while there is no grant.
    :param updated_at: when `saved` was last updated.
    :param granted_at: when there was last a grant.
    :param saved: accumulated requests, usable while there is a grant.
    """

    rate: float
    updated_at: float
    granted_at: float
    saved: float = 0.0

    def refresh(self, now: float) -> None:
        """Add the requests that were allowed since the last update."""
        max_saved = max(1.0, self.rate * _SAVED_SECONDS)
        added = self.rate * max(0.0, now - self.updated_at)
        self.saved = min(max_saved, self.saved + added)
        self.updated_at = now


class GrantBook:
    """The grants that this gateway has received.

    :param name: this gateway.
    :param read_time: returns seconds.
    """

    def __init__(
        self, name: str, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self._name = name
        self._read_time = read_time
        # Requests per second by coordinator, then by target.
        self._granted: dict[str, dict[str, float]] = {}
        self._allowances: dict[str, _Allowance] = {}

    def take(self, coordinator: str, grants: Iterable[Grant]) -> None:
        """Replace the grants of a coordinator with its current ones."""
        granted = {
            grant.target: grant.rate
            for grant in grants
            if grant.gateway == self._name
        }
        if granted:
            self._granted[coordinator] = granted
        else:
            self._granted.pop(coordinator, None)

    def forget_peers(self, gateways: Iterable[str]) -> None:
        """Discard the grants of gateways that are unreachable."""
        for name in gateways:
            self._granted.pop(name, None)

    def renew(self, coordinators: Mapping[str, str]) -> None:
        """Apply the grants of the targets' current coordinators.

        :param coordinators: the coordinator of each target with a limit.
        """
        now = self._read_time()
        for target in set(self._allowances) - set(coordinators):
            del self._allowances[target]
        for target, coordinator in coordinators.items():
            rate = self._granted.get(coordinator, {}).get(target, 0.0)
            allowance = self._allowances.get(target)
            if allowance is None and rate:
                self._allowances[target] = _Allowance(rate, now, now)
            elif allowance is not None:
                self._update_rate(target, allowance, rate)

    def _update_rate(
        self, target: str, allowance: _Allowance, rate: float
    ) -> None:
        now = self._read_time()
        allowance.refresh(now)
        allowance.rate = rate
        if rate:
            allowance.granted_at = now
        elif now - allowance.granted_at > _SAVED_RETENTION:
            # The grant has moved to another gateway permanently.
            del self._allowances[target]

    def may_send(self, target: str) -> bool:
        """Return whether a request may go to a target now."""
        return self.read_wait(target) <= 0.0

    def spend(self, target: str) -> None:
        """Count a request that is sent to a target."""
        allowance = self._allowances.get(target)
        if allowance is not None:
            allowance.refresh(self._read_time())
            allowance.saved -= 1.0

    def read_rate(self, target: str) -> float:
        """Return the requests per second granted for a target."""
        allowance = self._allowances.get(target)
        return allowance.rate if allowance is not None else 0.0

    def read_wait(self, target: str) -> float:
        """Return seconds until a request may be sent, infinity for never."""
        allowance = self._allowances.get(target)
        if allowance is None or not allowance.rate:
            return math.inf
        allowance.refresh(self._read_time())
        return max(0.0, 1.0 - allowance.saved) / allowance.rate
