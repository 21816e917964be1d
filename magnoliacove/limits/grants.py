"""Parts of a target's limit, handed out to gateways.

A target names one limit for all gateways together.  Each target has a keeper
among them, the same one in the view of all that hear each other.  The keeper
divides the limit by what the gateways have to send, and tells with its
heartbeats.  A gateway that has no part sends nothing.

Few gateways get a part.  Each of them saves up one whole request, so as many
as there are parts may come at the same moment: with a part for each of 330
gateways a target that takes one request a second would get all 330.
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

# More parts than the requests a second by so many: a gateway has none for the
# target at times, and then its part is not used.
_BEYOND = 2
# A gateway that has a part counts as if it had so many times its requests:
# what it saved up would be lost with each change.
_STAYS = 4.0
# A target that takes next to nothing is asked so often all the same, requests
# a second, or nobody would find out that its need is over.
_LEAST_RATE = 0.1
# A part saves up what it allows in so many seconds, one request at least.
_SAVED_SECONDS = 0.25
# What was saved up is kept for so long, in seconds, while no keeper grants the
# part: keepers come and go, and the next one mostly grants it to the same.
_KEPT = 3.0
# A gateway that tells of no requests is taken to have so many a second.
_LEAST_PACE = 0.01


@dataclass(frozen=True)
class Grant:
    """A part of a target's limit.

    :param rate: requests a second that the gateway may send it.
    """

    target: str
    gateway: str
    rate: float


def divide_limit(
    target: str,
    limit: float,
    paces: Mapping[str, float],
    present: Collection[str] = (),
) -> list[Grant]:
    """Return the parts of a limit.

    Which gateways get one is drawn by their names and the target's, those
    with more requests more often, so the parts of several targets lie with
    different gateways and stay with them.

    :param paces: requests a second that each gateway has for the target's
        service.
    :param present: the gateways that have a part now.
    """
    rate = max(limit, _LEAST_RATE)
    paces = {name: max(pace, _LEAST_PACE) for name, pace in paces.items()}
    weights = {
        name: pace * (_STAYS if name in present else 1.0)
        for name, pace in paces.items()
    }
    ranked = sorted(
        weights, key=lambda name: _draw_rank(target, name, weights[name])
    )
    chosen = ranked[: math.floor(rate) + _BEYOND]
    total = sum(paces[name] for name in chosen)
    return [Grant(target, name, rate * paces[name] / total) for name in chosen]


def _draw_rank(target: str, gateway: str, weight: float) -> float:
    """Return the same draw at each gateway; low ones are likely by weight."""
    data = f"{gateway}\0{target}".encode()
    digest = hashlib.blake2b(data, digest_size=8).digest()
    part = (int.from_bytes(digest, "big") + 1) / 2**64
    return -math.log(part) / weight


@dataclass
class _Allowance:
    """What this gateway may send one target.

    :param rate: requests a second, 0 while it has no part.
    :param granted_at: when it had a part last.
    :param saved: requests that it may send now, if it has a part.
    """

    rate: float
    at: float
    granted_at: float
    saved: float = 0.0

    def refresh(self, now: float) -> None:
        """Add what was allowed since."""
        most = max(1.0, self.rate * _SAVED_SECONDS)
        added = self.rate * max(0.0, now - self.at)
        self.saved = min(most, self.saved + added)
        self.at = now


class GrantBook:
    """The parts that this gateway was given.

    :param name: this gateway.
    :param read_time: returns seconds.
    """

    def __init__(
        self, name: str, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self._name = name
        self._read_time = read_time
        # By keeper, then by target.
        self._given: dict[str, dict[str, float]] = {}
        self._allowances: dict[str, _Allowance] = {}

    def take(self, keeper: str, grants: Iterable[Grant]) -> None:
        """Take all that a keeper grants now, in place of what it did."""
        given = {
            grant.target: grant.rate
            for grant in grants
            if grant.gateway == self._name
        }
        if given:
            self._given[keeper] = given
        else:
            self._given.pop(keeper, None)

    def forget(self, gateways: Iterable[str]) -> None:
        """Drop what keepers granted that are gone."""
        for name in gateways:
            self._given.pop(name, None)

    def renew(self, keepers: Mapping[str, str]) -> None:
        """Go by the targets' present keepers.

        :param keepers: of all targets that have a limit.
        """
        now = self._read_time()
        for target in set(self._allowances) - set(keepers):
            del self._allowances[target]
        for target, keeper in keepers.items():
            rate = self._given.get(keeper, {}).get(target, 0.0)
            allowance = self._allowances.get(target)
            if allowance is None and rate:
                self._allowances[target] = _Allowance(rate, now, now)
            elif allowance is not None:
                self._change(target, allowance, rate)

    def _change(self, target: str, allowance: _Allowance, rate: float) -> None:
        now = self._read_time()
        allowance.refresh(now)
        allowance.rate = rate
        if rate:
            allowance.granted_at = now
        elif now - allowance.granted_at > _KEPT:
            # Another gateway has the part for good.
            del self._allowances[target]

    def may_send(self, target: str) -> bool:
        """Return whether a request may go to a target now."""
        return self.read_wait(target) <= 0.0

    def spend(self, target: str) -> None:
        """Count a request that goes to a target."""
        allowance = self._allowances.get(target)
        if allowance is not None:
            allowance.refresh(self._read_time())
            allowance.saved -= 1.0

    def read_rate(self, target: str) -> float:
        """Return the requests a second that may go there from here."""
        allowance = self._allowances.get(target)
        return allowance.rate if allowance is not None else 0.0

    def read_wait(self, target: str) -> float:
        """Return seconds until a request may go there, infinity for never."""
        allowance = self._allowances.get(target)
        if allowance is None or not allowance.rate:
            return math.inf
        allowance.refresh(self._read_time())
        return max(0.0, 1.0 - allowance.saved) / allowance.rate
