"""Whether a request or an own query may be sent to a target now.

An own query is a call that a gateway makes on its own behalf: a report, an
order or another question that no caller asked for.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

import trio

from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.grants import GrantBook

__all__ = ["Permits"]

# Fraction of a limit that the placement leader may use for reports and orders,
# in addition to the requests of callers.
_LEADER_FRACTION = 0.25
# Minimum rate of the leader's calls to a limited target, per second.
_MIN_LEADER_RATE = 0.05


class Permits:
    """Combines the targets' backpressure with this gateway's grants.

    :param read_time: returns seconds.
    """

    def __init__(
        self,
        book: BackpressureBook,
        grants: GrantBook,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self.withheld = 0
        self._book = book
        self._grants = grants
        self._read_time = read_time
        # The time of the placement leader's next permitted call, by target.
        self._next_leader_call: dict[str, float] = {}

    def may_send(self, target: str) -> bool:
        """Return whether a request may go to a target now."""
        return self.read_wait(target) <= 0.0

    def is_closed(self, target: str) -> bool:
        """Return whether a target accepts no work, not even forwarded work."""
        return self.is_leaving(target) or self._book.read_backoff(target) > 0.0

    def is_leaving(self, target: str) -> bool:
        """Return whether a target has announced that it leaves.

        It may still receive queries, and orders on how to end its runs.
        """
        return self._book.is_leaving(target)

    def is_limited(self, target: str) -> bool:
        """Return whether a target has a rate limit for all gateways."""
        return self._book.read_limit(target) is not None

    def read_wait(self, target: str) -> float:
        """Return seconds until a request may be sent, infinity for never."""
        if self.is_leaving(target):
            return math.inf
        wait = self._book.read_backoff(target)
        if self.is_limited(target):
            wait = max(wait, self._grants.read_wait(target))
        return wait

    def read_rate(self, target: str) -> float:
        """Return the requests per second that this gateway may send."""
        if self.is_leaving(target):
            return 0.0
        if self.is_limited(target):
            return self._grants.read_rate(target)
        return math.inf

    def note_sent(self, targets: Iterable[str]) -> None:
        """Count a request that is sent to some targets.

        A request that is sent through a target beyond the target's limit is
        not counted, so it does not reduce the requests that may be sent
        later.
        """
        for target in targets:
            if self._grants.may_send(target):
                self._grants.spend(target)

    def try_call(self, target: str) -> bool:
        """Count an own query to a target and return whether it may be sent.

        A query uses as much of the limit as a caller's request.
        """
        if self._book.read_backoff(target) > 0.0:
            self.withheld += 1
            return False
        if not self.is_limited(target):
            return True
        if not self._grants.may_send(target):
            self.withheld += 1
            return False
        self._grants.spend(target)
        return True

    def may_call_as_leader(self, target: str) -> bool:
        """Return whether the placement leader may call a target now."""
        if self._book.read_backoff(target) > 0.0:
            return False
        if not self.is_limited(target):
            return True
        return self._read_time() >= self._next_leader_call.get(target, 0.0)

    def try_call_as_leader(self, target: str) -> bool:
        """Count a report or order and return whether it may be sent."""
        if not self.may_call_as_leader(target):
            self.withheld += 1
            return False
        limit = self._book.read_limit(target)
        if limit is not None:
            rate = max(limit * _LEADER_FRACTION, _MIN_LEADER_RATE)
            self._next_leader_call[target] = self._read_time() + 1 / rate
        return True

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the state of targets that no longer exist.

        :param listed: the targets that exist.
        """
        for target in set(self._next_leader_call) - listed:
            del self._next_leader_call[target]
