"""Whether a request, or a question of our own, may go to a target now."""

from collections.abc import Callable
from collections.abc import Iterable
import math

import trio

from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.grants import GrantBook

__all__ = ["Permits"]

# The part of a limit that the holder of the placement duty may use for
# reports and orders, beside the requests of callers.
_DUTY_PART = 0.25
# Requests a second that such a target gets of the duty at least.
_LEAST_DUTY_RATE = 0.05


class Permits:
    """Goes by what targets ask, and by what the gateways share.

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
        # When the duty's holder may ask each target again.
        self._duty_next: dict[str, float] = {}

    def may_send(self, target: str) -> bool:
        """Return whether a request may go to a target now."""
        return self.read_wait(target) <= 0.0

    def is_closed(self, target: str) -> bool:
        """Return whether a target may not even run what others hand on."""
        return self.is_leaving(target) or self._book.read_rest(target) > 0.0

    def is_leaving(self, target: str) -> bool:
        """Return whether a target said that it leaves.

        It may be asked questions, and is told how to end what it runs.
        """
        return self._book.is_leaving(target)

    def is_limited(self, target: str) -> bool:
        """Return whether a target has a limit for all gateways."""
        return self._book.read_limit(target) is not None

    def read_wait(self, target: str) -> float:
        """Return seconds until a request may go there, infinity for never."""
        if self.is_leaving(target):
            return math.inf
        wait = self._book.read_rest(target)
        if self.is_limited(target):
            wait = max(wait, self._grants.read_wait(target))
        return wait

    def read_rate(self, target: str) -> float:
        """Return the requests a second that a target takes from here."""
        if self.is_leaving(target):
            return 0.0
        if self.is_limited(target):
            return self._grants.read_rate(target)
        return math.inf

    def note_sent(self, targets: Iterable[str]) -> None:
        """Count a request that goes to some targets.

        What passes a target beyond its limit takes nothing of what comes.
        """
        for target in targets:
            if self._grants.may_send(target):
                self._grants.spend(target)

    def try_call(self, target: str) -> bool:
        """Count a question to a target, if it may be asked one now.

        It counts as much as a caller's request.
        """
        if self._book.read_rest(target) > 0.0:
            self.withheld += 1
            return False
        if not self.is_limited(target):
            return True
        if not self._grants.may_send(target):
            self.withheld += 1
            return False
        self._grants.spend(target)
        return True

    def may_call_for_duty(self, target: str) -> bool:
        """Return whether the duty's holder may ask a target now."""
        if self._book.read_rest(target) > 0.0:
            return False
        if not self.is_limited(target):
            return True
        return self._read_time() >= self._duty_next.get(target, 0.0)

    def try_call_for_duty(self, target: str) -> bool:
        """Count a report or an order of the duty, if there may be one now."""
        if not self.may_call_for_duty(target):
            self.withheld += 1
            return False
        limit = self._book.read_limit(target)
        if limit is not None:
            rate = max(limit * _DUTY_PART, _LEAST_DUTY_RATE)
            self._duty_next[target] = self._read_time() + 1 / rate
        return True

    def forget(self, known: set[str]) -> None:
        """Drop what is known of targets that no longer exist."""
        for target in set(self._duty_next) - known:
            del self._duty_next[target]
