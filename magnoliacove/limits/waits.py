"""Estimates of how long a request waits for capacity at one gateway.

The estimates favour waiting: a request that is refused though capacity was
about to return is worse for its caller than a short wait.
"""

from collections import Counter
from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import math

__all__ = ["FlowMeter", "Prospect", "Refusal", "RoomFlow", "find_refusal"]

# Seconds over which arrivals and grants are counted.
_WINDOW = 2.0
# Seconds of the shorter count, which shows whether an overload goes on.
_RECENT = 0.5
# Seconds within the window in which requests must have waited before the
# estimate refuses any.  Capacity mostly returns sooner after a short burst.
_MIN_EVIDENCE = 0.6
# Arrivals exceed grants if they are more by this factor and this number.
_OVERLOAD_FACTOR = 1.1
_OVERLOAD_MARGIN = 1.0
# The least share of the grants that goes to less urgent requests; see
# `limits/order.py`.
_LEAST_SHARE = 1 / 16
# The latest first events that are kept, and the part of them that came within
# the expected time.  A mean would follow the few that an engine in trouble
# delays by seconds.
_KEPT_FIRST_EVENTS = 32
_FIRST_EVENT_QUANTILE = 0.75
# The expected time to a first event is at most this part of the objective.
# Where engines are slower than that, all requests are late alike, and none is
# refused for it.
_MAX_FIRST_EVENT_PART = 0.6


@dataclass(frozen=True)
class _Counts:
    """Arrivals and grants by priority within some seconds."""

    seconds: float
    arrivals: Mapping[int, int]
    grants: Mapping[int, int]

    def exceeds(self, priority: int) -> bool:
        """Return whether more arrived than was granted.

        :param priority: less urgent arrivals do not count.
        """
        arrived = sum(
            count
            for level, count in self.arrivals.items()
            if level <= priority
        )
        granted = sum(self.grants.values())
        return arrived > _OVERLOAD_FACTOR * granted + _OVERLOAD_MARGIN


@dataclass(frozen=True)
class RoomFlow:
    """How requests for one service lately got capacity at a gateway.

    :param waited: seconds of the window in which requests waited.
    :param granted: grants to requests that waited, in these seconds.
    :param first_event: expected seconds from a grant to the first event.
    """

    waited: float
    granted: int
    window: _Counts
    recent: _Counts
    first_event: float

    @property
    def has_evidence(self) -> bool:
        """Whether requests waited long enough for an estimate."""
        return self.waited >= _MIN_EVIDENCE

    @property
    def grant_rate(self) -> float:
        """The counted grants a second while requests waited."""
        return max(self.granted, 1) / max(self.waited, _MIN_EVIDENCE)

    @property
    def highest_rate(self) -> float:
        """The most grants a second that the counts make likely."""
        likely = self.granted + math.sqrt(self.granted) + 1.0
        return likely / max(self.waited, _MIN_EVIDENCE)

    def is_overloaded(self, priority: int) -> bool:
        """Return whether requests at least as urgent take all capacity."""
        return self.window.exceeds(priority) and self.recent.exceeds(priority)

    def grants_less_urgent(self, priority: int) -> bool:
        """Return whether less urgent requests get more than their share."""
        grants = self.window.grants
        less = sum(
            count for level, count in grants.items() if level > priority
        )
        return less > _LEAST_SHARE * sum(grants.values()) + 1

    def estimate_wait(self, priority: int, ahead: int) -> float:
        """Return the expected seconds until a request gets capacity.

        :param ahead: waiting requests that precede it.  More urgent ones
            that arrive later precede it too.
        """
        return (ahead + 1) / self._read_rate(priority, self.grant_rate)

    def estimate_least_wait(self, priority: int, ahead: int) -> float:
        """Return the shortest wait that the counts make likely."""
        return ahead / self._read_rate(priority, self.highest_rate)

    def _read_rate(self, priority: int, rate: float) -> float:
        """Return the grants a second that more urgent requests leave.

        :param rate: grants a second for all requests.
        """
        urgent = sum(
            count
            for level, count in self.window.arrivals.items()
            if level < priority
        )
        return max(rate - urgent / self.window.seconds, rate * _LEAST_SHARE)

    def refuse(self, priority: int, ahead: int) -> "Refusal":
        """Return the refusal of a request, with what is expected of it."""
        wait = self.estimate_wait(priority, ahead)
        return Refusal(wait, ahead, self.grant_rate, priority)

    def estimate_first_event(self, objective: float) -> float:
        """Return the expected seconds from a grant to the first event.

        :param objective: the request's latency objective, in seconds.
        """
        longest = max(0.0, objective) * _MAX_FIRST_EVENT_PART
        return min(self.first_event, longest)


@dataclass(frozen=True)
class Prospect:
    """What is known of a request that waits or arrives; times in seconds.

    :param ahead: waiting requests that precede it.
    :param is_first: whether it is the next one of its urgency.
    :param patience: until its caller leaves or its place is given up.
    :param objective: from its arrival until its first event is late.
    :param objective_left: until its first event is late.
    """

    priority: int
    ahead: int
    is_first: bool
    patience: float
    objective: float
    objective_left: float


@dataclass(frozen=True)
class Refusal:
    """Why a request is refused before its caller leaves.

    :param wait: the expected wait in seconds.
    :param grant_rate: grants a second.
    """

    wait: float
    ahead: int
    grant_rate: float
    priority: int

    def describe(self) -> str:
        """Return the numbers that decided, for a message."""
        return (
            f"expected wait {self.wait:.1f} s with {self.ahead} ahead, "
            f"{self.grant_rate:.1f} grants a second, urgency {self.priority}"
        )


def find_refusal(flow: RoomFlow, prospect: Prospect) -> Refusal | None:
    """Return why a request cannot be served, or None while it may wait.

    The next request of each urgency stays, so that there is one to take the
    share that keeps its urgency from starving.
    """
    if prospect.is_first or not flow.has_evidence:
        return None
    priority, ahead = prospect.priority, prospect.ahead
    refusal = flow.refuse(priority, ahead)
    first_event = flow.estimate_first_event(prospect.objective)
    # Later arrivals that can be on time precede a request that cannot.  While
    # there are more of them than grants, it is never reached.
    wait = refusal.wait
    if flow.grants_less_urgent(priority):
        # The next capacity may be its own, whoever is ahead: the line was
        # often empty when capacity came.
        wait = 0.0
    never_reached = flow.is_overloaded(priority) and (
        wait + first_event > prospect.objective_left
    )
    least_wait = flow.estimate_least_wait(priority, ahead)
    if least_wait <= prospect.patience and not never_reached:
        return None
    return refusal


class FlowMeter:
    """Counts what one service's requests meet at a gateway.

    :param read_time: returns seconds.
    """

    def __init__(self, read_time: Callable[[], float]) -> None:
        self._read_time = read_time
        self._arrivals: deque[tuple[float, int]] = deque()
        # Times of grants, priorities, and whether the request had waited.
        self._grants: deque[tuple[float, int, bool]] = deque()
        # Times at which requests began and ceased to wait.
        self._spans: deque[tuple[float, float]] = deque()
        self._waiting_since: float | None = None
        self._first_events: deque[float] = deque(maxlen=_KEPT_FIRST_EVENTS)

    def note_arrival(self, priority: int) -> None:
        """Record that a request arrives."""
        self._arrivals.append((self._read_time(), priority))
        self._trim()

    def note_granted(self, priority: int, *, waited: bool) -> None:
        """Record that a request got capacity.

        :param waited: whether it waited before.
        """
        self._grants.append((self._read_time(), priority, waited))
        self._trim()

    def note_waiting(self, waiting: bool) -> None:
        """Record whether any request waits from now on."""
        now = self._read_time()
        if waiting and self._waiting_since is None:
            self._waiting_since = now
        if not waiting and self._waiting_since is not None:
            self._spans.append((self._waiting_since, now))
            self._waiting_since = None

    def note_first_event(self, seconds: float) -> None:
        """Record the time from a grant to the first event."""
        self._first_events.append(seconds)

    def read_grant_rate(self) -> float:
        """Return the grants a second, to requests that waited or not."""
        self._trim()
        return len(self._grants) / _WINDOW

    def read(self) -> RoomFlow:
        """Return the counts of the last seconds."""
        self._trim()
        now = self._read_time()
        start = now - _WINDOW
        spans = [*self._spans]
        if self._waiting_since is not None:
            spans.append((self._waiting_since, now))
        return RoomFlow(
            waited=sum(end - max(begin, start) for begin, end in spans),
            granted=sum(waited for _, _, waited in self._grants),
            window=self._count(now, _WINDOW),
            recent=self._count(now, _RECENT),
            first_event=self._expect_first_event(),
        )

    def _expect_first_event(self) -> float:
        if not self._first_events:
            return 0.0
        last = len(self._first_events) - 1
        return sorted(self._first_events)[round(last * _FIRST_EVENT_QUANTILE)]

    def _count(self, now: float, seconds: float) -> _Counts:
        start = now - seconds
        arrivals = Counter(
            priority for time, priority in self._arrivals if time >= start
        )
        grants = Counter(
            priority for time, priority, _ in self._grants if time >= start
        )
        return _Counts(seconds, arrivals, grants)

    def _trim(self) -> None:
        """Forget what is older than the window."""
        start = self._read_time() - _WINDOW
        while self._arrivals and self._arrivals[0][0] < start:
            self._arrivals.popleft()
        while self._grants and self._grants[0][0] < start:
            self._grants.popleft()
        while self._spans and self._spans[0][1] < start:
            self._spans.popleft()
