"""The order in which waiting requests get capacity.

This module decides and keeps no requests: callers pass what waits and tell
what was granted.  It has no clock; a request states whether it can still meet
its latency objective.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol
from typing import TypeVar

__all__ = ["AccountShares", "Ordered", "OrderPolicy", "WaitingOrder"]

# Of this many grants, one may go to a less urgent request while more urgent
# ones wait.  Without it, callers of patient requests would get no answer at
# all during an overload of urgent ones.
_GRANTS_PER_TURN = 16
# An account whose requests are all late precedes requests that can be on time
# once every other account got this many grants more.
_MAX_LAG = 8.0


class Ordered(Protocol):
    """What the order reads of a waiting request."""

    @property
    def priority(self) -> int:
        """0 is the most urgent; -1 is an answer that has begun."""

    @property
    def account(self) -> str:
        """The client account's name, or ""."""

    @property
    def number(self) -> int:
        """Grows with each request that arrives."""


_Request = TypeVar("_Request", bound=Ordered)


@dataclass(frozen=True)
class OrderPolicy:
    """How the requests for one service are ordered.

    :param by_urgency: whether urgency precedes the chance to be on time;
        otherwise a request that is late anyway goes last.
    :param by_account: whether client accounts get equal shares.
    """

    by_urgency: bool = False
    by_account: bool = False


class AccountShares:
    """How much each account got, relative to its weight.

    An account's virtual time grows by 1 / weight with each grant, and the
    account with the lowest value is next.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._times: dict[str, float] = {}

    def read(self, account: str) -> float:
        """Return an account's virtual time."""
        return self._times.get(account, self._now)

    def measure_lag(self, account: str) -> float:
        """Return by how much an account got less than the one served last."""
        return self._now - self.read(account)

    def join(self, account: str) -> None:
        """Start an account's first waiting request.

        The time in which it asked for nothing gives it no advantage.
        """
        self._times[account] = max(self.read(account), self._now)

    def charge(self, account: str, weight: float = 1.0) -> None:
        """Advance an account by one grant."""
        start = max(self.read(account), self._now)
        self._now = start
        self._times[account] = start + 1.0 / weight

    def discard_idle(self, waiting: Collection[str]) -> None:
        """Forget the accounts for which nothing waits and nothing is due."""
        self._times = {
            account: time
            for account, time in self._times.items()
            if time > self._now or account in waiting
        }


class WaitingOrder:
    """The order of the requests that wait for one service."""

    def __init__(self) -> None:
        self._shares = AccountShares()
        self._grants = 0
        # Grants since a less urgent request last got one, counted while such
        # a request waited.
        self._passed_over = 0
        # By priority, the number of the last grant.
        self._last_grants: dict[int, int] = {}

    def note_waiting(
        self, request: Ordered, waiting: Iterable[Ordered]
    ) -> None:
        """Record that a request begins to wait behind others."""
        if all(other.account != request.account for other in waiting):
            self._shares.join(request.account)

    def note_granted(
        self, request: Ordered, waiting: Collection[Ordered]
    ) -> None:
        """Record a grant.

        :param waiting: the requests that still wait.
        """
        if request.priority < 0:
            return
        self._shares.charge(request.account)
        self._shares.discard_idle({other.account for other in waiting})
        self._grants += 1
        self._last_grants[request.priority] = self._grants
        levels = {other.priority for other in waiting if other.priority >= 0}
        if any(level < request.priority for level in levels):
            self._passed_over = 0
        elif any(level > request.priority for level in levels):
            self._passed_over += 1

    def sort(
        self,
        waiting: Iterable[_Request],
        policy: OrderPolicy,
        is_fresh: Callable[[_Request], bool],
    ) -> list[_Request]:
        """Return the waiting requests, the next one first.

        :param is_fresh: returns whether a request can still be on time.
        """
        taken: dict[tuple[int, bool, str], int] = defaultdict(int)
        keys: dict[int, tuple[float, float, float, int]] = {}
        ordered = sorted(waiting, key=lambda request: request.number)
        for request in ordered:
            late = self._is_late(request, policy, is_fresh)
            group = (request.priority, late, request.account)
            # The second request of an account comes after the first requests
            # of all others.
            share = self._shares.read(request.account) + taken[group]
            taken[group] += 1
            first, second = request.priority, int(late)
            if not policy.by_urgency:
                first, second = second, first
            keys[request.number] = (
                first,
                second,
                share if policy.by_account else 0.0,
                request.number,
            )
        ordered.sort(key=lambda request: keys[request.number])
        if policy.by_urgency and self._passed_over >= _GRANTS_PER_TURN - 1:
            return self._put_neglected_first(ordered)
        return ordered

    def _is_late(
        self,
        request: _Request,
        policy: OrderPolicy,
        is_fresh: Callable[[_Request], bool],
    ) -> bool:
        """Return whether a request goes after those that can be on time."""
        if is_fresh(request):
            return False
        lag = self._shares.measure_lag(request.account)
        return not policy.by_account or lag < _MAX_LAG

    def _put_neglected_first(self, ordered: list[_Request]) -> list[_Request]:
        """Let the urgency that was passed over longest have its turn."""
        begun = [request for request in ordered if request.priority < 0]
        others = ordered[len(begun) :]
        levels = {request.priority for request in others}
        if len(levels) < 2:
            return ordered
        neglected = min(
            levels - {min(levels)},
            key=lambda level: (self._last_grants.get(level, 0), level),
        )
        first = next(r for r in others if r.priority == neglected)
        return [*begun, first, *(r for r in others if r is not first)]
