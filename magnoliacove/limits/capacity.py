"""A queue of requests that wait for capacity on the engines.

A stream that is sent to an engine without enough memory is preempted, or its
prompt is processed for nothing, and other streams there suffer the same.  So
a request waits here until a path has capacity.  Requests that can still meet
their latency objective go first: a request that is late anyway loses little
by waiting longer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import itertools
import random

import trio

from magnoliacove import errors
from magnoliacove.limits.waiting import RoomSharing
from magnoliacove.limits.waiting import WaitingSummary
from magnoliacove.limits.windows import WindowCounts
from magnoliacove.routing.paths import Path

__all__ = ["CapacityQueue", "Waiter"]

# Waiting requests that are tried in one pass: the first ones, in order, and
# some of those behind them, others in each pass.
_TRIED_FIRST = 4
_TRIED_IN_TURN = 4
# Seconds within which changes are processed together.  A try costs a search
# over the engines; a try for each release and each heartbeat takes the whole
# processor when many requests wait, and delays the detection of callers that
# disconnect.
_FILL_INTERVAL = 0.025
# Weight of the newest interval in the moving average.
_SMOOTHING = 0.2
# Initial estimate of the seconds between two grants of capacity.
_INITIAL_GRANT_INTERVAL = 0.2
# Bounds of `Retry-After` in seconds.  Capacity is short while the layers of a
# failed engine are placed again, which takes about two seconds.  Callers retry
# once; a caller that retries sooner is refused again and then gives up.  The
# retries are spread over as long again.
_MIN_RETRY_AFTER = 2.0
_MAX_RETRY_AFTER = 5.0
# Seconds over which the rate of grants is counted.  It follows a change of
# load within the time that most callers wait.
_RATE_WINDOW = 2.0


@dataclass(eq=False)
class Waiter:
    """A request that waits for a path.

    :param find_path: tries to find and reserve a path.
    :param priority: 0 is the most urgent; -1 is an answer that has begun.
    :param fresh_until: when the request's latency objective ends.
    :param arrived: when it began to wait, by trio's clock.
    :param tokens: tokens of its prompt and answer, 0 when unknown.
    :param decided: set when a path is reserved.
    """

    find_path: Callable[[], Path | None]
    priority: int
    fresh_until: float
    number: int
    service: str = ""
    account: str = ""
    tokens: float = 0.0
    arrived: float = field(default_factory=trio.current_time)
    decided: trio.Event = field(default_factory=trio.Event)
    path: Path | None = None


class CapacityQueue:
    """A queue of requests until an engine path has capacity for them.

    :param sharing: decides whether this gateway may take freed capacity, or
        None to take all that it finds.
    :param max_waiting: maximum number of waiting requests; further requests
        are refused at once.
    """

    def __init__(
        self, max_waiting: int = 256, sharing: RoomSharing | None = None
    ) -> None:
        self.refused = 0
        self.sharing = sharing
        self._max_waiting = max_waiting
        self._waiters: list[Waiter] = []
        # Where the next pass continues among the requests behind the first.
        self._rotation = 0
        self._numbers = itertools.count()
        # Moving average of the seconds between two grants, for Retry-After.
        self._grant_interval = _INITIAL_GRANT_INTERVAL
        self._granted_at = 0.0
        self._grants = WindowCounts(_RATE_WINDOW, trio.current_time)
        self._changed = trio.Event()

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._waiters)

    def summarize(self) -> list[WaitingSummary]:
        """Return what waits, by service and urgency.

        Begun answers are left out: they take capacity in any case.
        """
        now = trio.current_time()
        groups: dict[tuple[str, int], list[Waiter]] = {}
        for waiter in self._waiters:
            if waiter.priority >= 0:
                key = (waiter.service, waiter.priority)
                groups.setdefault(key, []).append(waiter)
        return [
            WaitingSummary(
                service,
                priority,
                requests=len(waiters),
                tokens=sum(waiter.tokens for waiter in waiters),
                oldest=now - min(waiter.arrived for waiter in waiters),
            )
            for (service, priority), waiters in sorted(groups.items())
        ]

    def read_grant_rate(self, service: str) -> float:
        """Return how many requests of a service get capacity here a second.

        Those that did not wait count too.
        """
        return self._grants.count(service) / _RATE_WINDOW

    async def wait_path(
        self,
        find_path: Callable[[], Path | None],
        *,
        priority: int,
        fresh_until: float,
        timeout: float,
        read_delay: Callable[[], float] = lambda: 0.0,
        may_refuse: bool = True,
        service: str = "",
        account: str = "",
        tokens: float = 0.0,
    ) -> Path:
        """Return a path as soon as one has capacity.

        :param find_path: returns a path whose capacity it has reserved, or
            None; called repeatedly.
        :param fresh_until: the time, by trio's clock, until which the
            request goes before late ones.
        :param timeout: seconds after which the request is refused.
        :param read_delay: returns the seconds until any path can exist; a
            request with a shorter timeout is refused at once.
        :param may_refuse: whether the request is refused when the queue is
            full; an answer that has begun would be cut off.
        :param account: the client account's name, or "".
        :param tokens: tokens of the prompt and the answer together.
        :raises magnoliacove.errors.RequestError: when no path has capacity
            in time; the request did not run.
        """
        if not self._waiters and self._may_use(service, priority, 0.0):
            path = find_path()
            if path is not None:
                self._note_granted(service, priority)
                return path
        if may_refuse and len(self._waiters) >= self._max_waiting:
            raise self._refuse()
        delay = read_delay()
        if delay > timeout:
            # The request would time out while it waits; its caller can
            # retry once there is a path again.
            raise self._refuse(delay)
        waiter = self.add(
            find_path,
            priority=priority,
            fresh_until=fresh_until,
            service=service,
            account=account,
            tokens=tokens,
        )
        try:
            with trio.move_on_after(timeout):
                await waiter.decided.wait()
        finally:
            self.withdraw(waiter)
        if waiter.path is None:
            raise self._refuse()
        return waiter.path

    def add(
        self,
        find_path: Callable[[], Path | None],
        *,
        priority: int,
        fresh_until: float,
        service: str = "",
        account: str = "",
        tokens: float = 0.0,
    ) -> Waiter:
        """Queue a request that does not wait here; see :meth:`wait_path`.

        :param find_path: called repeatedly until it returns a path.
        """
        waiter = Waiter(
            find_path,
            priority,
            fresh_until,
            next(self._numbers),
            service,
            account,
            tokens,
        )
        self._waiters.append(waiter)
        self.fill()
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a request from the queue if it is still there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    async def run(self) -> None:
        """Grant capacity to waiting requests until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            self._grant_waiting()
            await trio.sleep(_FILL_INTERVAL)

    def fill(self) -> None:
        """Schedule a pass over the waiting requests after a change."""
        if self._waiters:
            self._changed.set()

    def _grant_waiting(self) -> None:
        now = trio.current_time()
        for waiter in self._list_next():
            waited = now - waiter.arrived
            if not self._may_use(waiter.service, waiter.priority, waited):
                continue
            path = waiter.find_path()
            if path is None:
                continue
            # Others move up, and the turn may have passed over them.
            self._changed.set()
            waiter.path = path
            self.withdraw(waiter)
            waiter.decided.set()
            self._note_granted(waiter.service, waiter.priority)

    def _may_use(self, service: str, priority: int, waited: float) -> bool:
        """Return whether a request may look for capacity now.

        A begun answer always may: its caller disconnects soon.
        """
        if self.sharing is None or priority < 0:
            return True
        return self.sharing.may_use(service, priority, waited)

    def _list_next(self) -> list[Waiter]:
        """Return the requests to try now: the first ones, and some in turn.

        Without the latter, a few streams that no path can serve would keep
        all later requests from paths that are free.
        """
        now = trio.current_time()
        ordered = sorted(
            self._waiters,
            key=lambda w: (w.fresh_until < now, w.priority, w.number),
        )
        first, rest = ordered[:_TRIED_FIRST], ordered[_TRIED_FIRST:]
        start = self._rotation if self._rotation < len(rest) else 0
        self._rotation = start + _TRIED_IN_TURN
        if self._rotation < len(rest):
            # Another pass, so that the rest has its turn without a change.
            self._changed.set()
        return first + rest[start : start + _TRIED_IN_TURN]

    def _note_granted(self, service: str, priority: int) -> None:
        now = trio.current_time()
        self._grants.note(service)
        if self.sharing is not None:
            self.sharing.note_used(service, priority)
        interval = min(now - self._granted_at, _MAX_RETRY_AFTER)
        self._grant_interval += _SMOOTHING * (interval - self._grant_interval)
        self._granted_at = now

    def _refuse(self, delay: float = 0.0) -> errors.RequestError:
        """Count a refusal and return its error.

        :param delay: seconds until any path can exist, 0 when paths exist or
            it is not known.
        """
        self.refused += 1
        expected = delay or max(
            self._grant_interval * (len(self._waiters) + 1), _MIN_RETRY_AFTER
        )
        return errors.RequestError(
            "no_room",
            "no path of engines has room for the request",
            status=503,
            retry_after=min(
                expected * random.uniform(1.0, 2.0), _MAX_RETRY_AFTER
            ),
        )
