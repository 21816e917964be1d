"""One order of waiting for capacity over all gateways.

Each gateway has a queue of its own and learns of freed capacity at another
moment.  Without an agreement one with an empty queue takes what is freed
while more urgent requests, or requests that have waited longer, wait
elsewhere.  Here a gateway decides by itself, from what the others reported,
whether a request looks for capacity or leaves it to them:

- A request leaves capacity to more urgent ones.
- Among equally urgent ones, a gateway with a much shorter expected wait than
  elsewhere takes only its part of what is granted, in proportion to what
  waits here and there.  Which of its requests take it is up to its queue: if
  all of them waited for as long as those elsewhere, none would meet its
  latency objective.

Both hold only while the reports are fresh, and
:class:`~magnoliacove.limits.room_trials.RoomTrials` bounds for how long
capacity that nobody uses is left.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import random

import trio

from magnoliacove.limits.reported_waiting import ReportedWaiting
from magnoliacove.limits.room_trials import RoomTrials
from magnoliacove.limits.waiting import WaitingSummary

__all__ = ["SharedWaiting"]

# Requests elsewhere that are more urgent, weighted by the age of the reports,
# below which none is left capacity: a single one has mostly got its capacity
# by the time that its report arrives.
_MIN_MORE_URGENT = 1.0
# Expected wait of more urgent requests elsewhere in seconds below which
# nothing is left to them: it is over when the others hear of freed capacity.
_MIN_WAIT = 0.1
# The same for equally urgent requests.  Below it they may be in time, and one
# that is held back here would be late instead of them.
_MIN_EQUAL_WAIT = 1.0
# Part of the expected wait elsewhere up to which an own one is much shorter.
# Each place that is left is unused until others hear of it, so it is not left
# for small differences.
_SHORT_WAIT = 0.5
# Seconds of a gateway's part of the grants that it may save up.
_MAX_SAVED = 0.5
# Factor on the part, so that the grants grow again when there is more room.
_PART_MARGIN = 1.2


@dataclass(frozen=True)
class _OwnQueue:
    """What waits for one service here."""

    by_priority: Mapping[int, int] = field(default_factory=dict)
    grant_rate: float = 0.0

    def count(self, priority: int) -> int:
        """Return how many requests with this urgency or a higher one wait."""
        return sum(
            count
            for other, count in self.by_priority.items()
            if other <= priority
        )

    def estimate_wait(self, priority: int) -> float:
        """Return the expected wait in seconds, as with other gateways."""
        return self.count(priority) / max(self.grant_rate, 1.0)


_EMPTY_QUEUE = _OwnQueue()


@dataclass
class _Credit:
    """What a gateway may take of its part of the grants.

    :param requests: saved up, negative after more than the part was taken.
    """

    requests: float = 1.0
    updated_at: float = 0.0

    def accrue(self, rate: float, now: float) -> None:
        """Add what the part has become since the last time."""
        most = max(1.0, rate * _MAX_SAVED)
        grown = self.requests + rate * max(0.0, now - self.updated_at)
        self.requests = min(most, grown)
        self.updated_at = now


class SharedWaiting:
    """Decides whether a request uses freed capacity or leaves it.

    :param ranks: returns whether the requests of a service differ in urgency
        by the configuration.
    :param read_time: returns seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        ranks: Callable[[str], bool] = lambda _: True,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self.reported = ReportedWaiting()
        # By service and urgency, when a request was last held back.
        self.held_at: dict[tuple[str, int], float] = {}
        self._rng = rng
        self._ranks = ranks
        self._read_time = read_time
        self._own: dict[str, _OwnQueue] = {}
        self._trials: dict[str, RoomTrials] = {}
        # By service and urgency: for the requests up to that urgency.
        self._credits: dict[tuple[str, int], _Credit] = {}

    def take_others(
        self,
        gateway: str,
        waiting: Sequence[WaitingSummary],
        grant_rates: Mapping[str, float],
    ) -> None:
        """Replace what another gateway reported.

        :param grant_rates: requests a second that get capacity there, by
            service.
        """
        now = self._read_time()
        self.reported.take_others(gateway, waiting, grant_rates, now)

    def forget_peers(self, gateways: Iterable[str]) -> None:
        """Discard the reports of gateways that are unreachable."""
        self.reported.forget_peers(gateways)

    def note_own(
        self,
        waiting: Iterable[WaitingSummary],
        read_grant_rate: Callable[[str], float],
    ) -> None:
        """Replace what is known of this gateway's own queue."""
        counts: dict[str, dict[int, int]] = {}
        for item in waiting:
            by_priority = counts.setdefault(item.service, {})
            by_priority[item.priority] = item.requests
        self._own = {
            service: _OwnQueue(by_priority, read_grant_rate(service))
            for service, by_priority in counts.items()
        }

    def may_use(self, service: str, priority: int, waited: float) -> bool:
        """Return whether a request may look for capacity now.

        :param waited: seconds since the request arrived.
        """
        trials = self._trials.get(service)
        if trials is not None:
            trials.close_trial()
        if not self._must_hold(service, priority, waited):
            return True
        if trials is None:
            trials = RoomTrials(self._rng, self._read_time)
            self._trials[service] = trials
        if trials.may_try(priority):
            return True
        self.held_at[service, priority] = self._read_time()
        return False

    def note_used(self, service: str, priority: int) -> None:
        """Record that a request got capacity."""
        trials = self._trials.get(service)
        if trials is not None:
            trials.note_used(priority)
        for (name, least), credit in self._credits.items():
            if name == service and priority <= least:
                credit.requests = max(credit.requests - 1.0, -1.0)

    def _must_hold(self, service: str, priority: int, waited: float) -> bool:
        """Return whether requests elsewhere come before one from here."""
        elsewhere = self.reported.read(service, priority, self._read_time())
        if elsewhere is None:
            return False
        if self._ranks(service) and elsewhere.more_urgent >= max(
            _MIN_MORE_URGENT, _MIN_WAIT * elsewhere.grant_rate
        ):
            return True
        if (
            not elsewhere.as_urgent
            or elsewhere.expected_wait < _MIN_EQUAL_WAIT
        ):
            return False
        own = self._own.get(service, _EMPTY_QUEUE)
        if (
            own.estimate_wait(priority)
            >= _SHORT_WAIT * elsewhere.expected_wait
        ):
            return False
        # With the one that asks, which may not be counted yet.
        waiting = own.count(priority) + 1.0
        part = waiting / (waiting + elsewhere.requests)
        granted = own.grant_rate + elsewhere.grant_rate
        credit = self._credits.setdefault((service, priority), _Credit())
        credit.accrue(_PART_MARGIN * part * granted, self._read_time())
        return credit.requests < 1.0
