"""A queue of requests that wait for capacity on the engines.

A stream that is sent to an engine without enough memory is preempted, or its
prompt is processed for nothing, and other streams there suffer the same.  So
a request waits here until a path has capacity.  `limits/order.py` decides who
is next, and `limits/waits.py` who cannot be served and is refused for that.
"""

from collections import Counter
from collections.abc import Callable
import itertools
import math

import trio

from magnoliacove import errors
from magnoliacove.limits.order import OrderPolicy
from magnoliacove.limits.waiters import ServiceLine
from magnoliacove.limits.waiters import Waiter
from magnoliacove.limits.waiters import make_prospect
from magnoliacove.limits.waiting import RoomSharing
from magnoliacove.limits.waiting import WaitingSummary
from magnoliacove.limits.waits import Refusal
from magnoliacove.limits.waits import RoomFlow
from magnoliacove.limits.waits import find_refusal
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
# Seconds between two checks for waiting requests that cannot be served.
_SHED_INTERVAL = 0.1
# Places of each service, however many requests wait for others: an overload
# of one service refuses no requests of the rest.
_MIN_PLACES = 16
# Gauges by urgency are kept for 0 to this one; the rest counts with it.
_MAX_URGENCY = 9

_NO_PATH_IN_TIME = "no path is expected before its caller leaves"


class CapacityQueue:
    """A queue of requests until an engine path has capacity for them.

    :param max_waiting: maximum number of waiting requests; beyond it, the
        last one in order is refused.
    :param sharing: decides whether this gateway may take freed capacity, or
        None to take all that it finds.
    :param read_policy: returns how the requests for a service are ordered.
    """

    def __init__(
        self,
        max_waiting: int = 256,
        sharing: RoomSharing | None = None,
        read_policy: Callable[[str], OrderPolicy] = lambda _: OrderPolicy(),
    ) -> None:
        self.refused = 0
        # Refusals before the caller's time was over, by urgency.
        self.refused_early: Counter[int] = Counter()
        self.sharing = sharing
        self._max_waiting = max_waiting
        self._read_policy = read_policy
        self._lines: dict[str, ServiceLine] = {}
        self._numbers = itertools.count()
        # Those that ever waited, so that their gauges return to 0.
        self._urgencies: set[int] = set()
        self._shed_at = 0.0
        self._changed = trio.Event()

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return sum(len(line.waiters) for line in self._lines.values())

    def count_waiting(self, service: str) -> int:
        """Return the number of requests that wait for one service."""
        line = self._lines.get(service)
        return len(line.waiters) if line else 0

    def count_by_urgency(self) -> dict[int, int]:
        """Return the number of waiting requests of each urgency.

        Begun answers are left out.  Each urgency that ever waited is there.
        """
        counts = dict.fromkeys(self._urgencies, 0)
        for line in self._lines.values():
            for waiter in line.waiters:
                if waiter.priority >= 0:
                    counts[min(waiter.priority, _MAX_URGENCY)] += 1
        return counts

    def summarize(self) -> list[WaitingSummary]:
        """Return what waits, by service and urgency.

        Begun answers are left out: they take capacity in any case.
        """
        now = trio.current_time()
        groups: dict[tuple[str, int], list[Waiter]] = {}
        for service, line in self._lines.items():
            for waiter in line.waiters:
                if waiter.priority >= 0:
                    key = (service, waiter.priority)
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
        line = self._lines.get(service)
        return line.meter.read_grant_rate() if line else 0.0

    def note_first_event(self, service: str, seconds: float) -> None:
        """Record the seconds from a grant to the request's first event."""
        self._get_line(service).meter.note_first_event(seconds)

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
            request's first event is on time.
        :param timeout: seconds after which the request is refused.
        :param read_delay: returns the seconds until any path can exist; a
            request with a shorter timeout is refused at once.
        :param may_refuse: whether the request is refused before the timeout
            when it cannot be served; an answer that has begun would be cut
            off.
        :param account: the client account's name, or "".
        :param tokens: tokens of the prompt and the answer together.
        :raises magnoliacove.errors.RequestError: when no path has capacity
            in time; the request did not run.
        """
        now = trio.current_time()
        waiter = Waiter(
            find_path,
            priority,
            fresh_until,
            next(self._numbers),
            service,
            account,
            tokens,
            arrived=now,
            leaves_at=now + timeout,
            may_refuse=may_refuse,
        )
        line = self._note_arrival(waiter)
        if not line.waiters and self._may_use(waiter):
            path = find_path()
            if path is not None:
                self._note_granted(line, waiter, waited=False)
                return path
        delay = read_delay()
        if delay > timeout:
            # The request would time out while it waits; its caller can
            # retry once there is a path again.
            raise self._refuse(line, waiter, delay)
        self._enqueue(line, waiter)
        self._shed(line, arriving=waiter)
        try:
            with trio.move_on_after(timeout):
                await waiter.decided.wait()
        finally:
            self.withdraw(waiter)
        if waiter.path is None:
            raise self._refuse(line, waiter)
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
        self._enqueue(self._note_arrival(waiter), waiter)
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a request from the queue if it is still there."""
        line = self._get_line(waiter.service)
        if waiter in line.waiters:
            line.waiters.remove(waiter)
            line.meter.note_waiting(bool(line.waiters))

    async def run(self) -> None:
        """Grant capacity to waiting requests until cancelled."""
        while True:
            if await self._wait_changed():
                for line in self._lines.values():
                    self._grant_waiting(line)
            self._shed_all()
            await trio.sleep(_FILL_INTERVAL)

    async def _wait_changed(self) -> bool:
        """Return after a change, or False when it is time to shed."""
        with trio.move_on_after(_SHED_INTERVAL if self.waiting else math.inf):
            await self._changed.wait()
            self._changed = trio.Event()
            return True
        return False

    def fill(self) -> None:
        """Schedule a pass over the waiting requests after a change."""
        if self.waiting:
            self._changed.set()

    def _get_line(self, service: str) -> ServiceLine:
        return self._lines.setdefault(service, ServiceLine())

    def _note_arrival(self, waiter: Waiter) -> ServiceLine:
        line = self._get_line(waiter.service)
        line.meter.note_arrival(self._read_urgency(waiter))
        return line

    def _read_urgency(self, waiter: Waiter) -> int:
        """Return a request's urgency as far as it affects the order."""
        by_urgency = self._read_policy(waiter.service).by_urgency
        return waiter.priority if by_urgency else min(waiter.priority, 0)

    def _enqueue(self, line: ServiceLine, waiter: Waiter) -> None:
        line.order.note_waiting(waiter, line.waiters)
        line.waiters.append(waiter)
        if waiter.priority >= 0:
            self._urgencies.add(min(waiter.priority, _MAX_URGENCY))
        line.meter.note_waiting(True)
        self.fill()

    # Granting capacity.

    def _grant_waiting(self, line: ServiceLine) -> None:
        """Try the first requests, and some of the others in turn.

        Without the latter, a few streams that no path can serve would keep
        all later requests from paths that are free.
        """
        if not line.waiters:
            return
        # The fewest tokens for which this pass has found no path.
        too_many = math.inf
        tries, rest = 0, list[Waiter]()
        flow = line.meter.read()
        for waiter in self._list_in_order(line, flow):
            if not self._may_try(waiter, too_many):
                continue
            if tries == _TRIED_FIRST:
                rest.append(waiter)
                continue
            tries += 1
            too_many = self._try(line, waiter, too_many)
        for waiter in self._take_turn(line, rest):
            if self._may_try(waiter, too_many):
                too_many = self._try(line, waiter, too_many)

    def _take_turn(
        self, line: ServiceLine, rest: list[Waiter]
    ) -> list[Waiter]:
        """Return the requests behind the first ones to try in this pass."""
        if rest and self._read_policy(rest[0].service).by_urgency:
            level = rest[0].priority
            rest = [waiter for waiter in rest if waiter.priority == level]
        start = line.rotation if line.rotation < len(rest) else 0
        line.rotation = start + _TRIED_IN_TURN
        if line.rotation < len(rest):
            # Another pass, so that the rest has its turn without a change.
            self._changed.set()
        return rest[start : start + _TRIED_IN_TURN]

    def _may_try(self, waiter: Waiter, too_many: float) -> bool:
        """Return whether a search for a path may succeed."""
        known = waiter.may_refuse and waiter.tokens > 0.0
        if known and waiter.tokens >= too_many:
            return False
        return self._may_use(waiter)

    def _try(
        self, line: ServiceLine, waiter: Waiter, too_many: float
    ) -> float:
        """Grant a request a path if there is one.

        :returns: the fewest tokens for which there is no path.
        """
        path = waiter.find_path()
        if path is None:
            # A path that only this request must not use may serve others.
            known = waiter.may_refuse and waiter.tokens > 0.0
            return min(too_many, waiter.tokens) if known else too_many
        # Others move up, and the turn may have passed over them.
        self._changed.set()
        waiter.path = path
        self.withdraw(waiter)
        waiter.decided.set()
        self._note_granted(line, waiter, waited=True)
        return too_many

    def _may_use(self, waiter: Waiter) -> bool:
        """Return whether a request may look for capacity now.

        A begun answer always may: its caller disconnects soon.
        """
        if self.sharing is None or waiter.priority < 0:
            return True
        waited = trio.current_time() - waiter.arrived
        return self.sharing.may_use(waiter.service, waiter.priority, waited)

    def _note_granted(
        self, line: ServiceLine, waiter: Waiter, *, waited: bool
    ) -> None:
        line.order.note_granted(waiter, line.waiters)
        line.meter.note_granted(self._read_urgency(waiter), waited=waited)
        if self.sharing is not None:
            self.sharing.note_used(waiter.service, waiter.priority)

    def _list_in_order(
        self, line: ServiceLine, flow: RoomFlow
    ) -> list[Waiter]:
        """Return the waiting requests of one service, the next one first."""
        if not line.waiters:
            return []
        now = trio.current_time()

        def is_fresh(waiter: Waiter) -> bool:
            if waiter.priority < 0:
                return True
            objective = waiter.fresh_until - waiter.arrived
            expected = flow.estimate_first_event(objective)
            return now + expected <= waiter.fresh_until

        policy = self._read_policy(line.waiters[0].service)
        return line.order.sort(line.waiters, policy, is_fresh)

    # Refusing.

    def _shed_all(self) -> None:
        now = trio.current_time()
        if now - self._shed_at < _SHED_INTERVAL:
            return
        self._shed_at = now
        for line in self._lines.values():
            self._shed(line)

    def _shed(self, line: ServiceLine, arriving: Waiter | None = None) -> None:
        """Refuse the waiting requests that cannot be served.

        Keeping one until its caller leaves would only cost the caller the
        time in which it could try elsewhere.

        :param arriving: the one that has just joined the line; one that the
            next check would refuse is refused now.
        """
        flow = line.meter.read()
        elsewhere = self.waiting - len(line.waiters)
        least = min(_MIN_PLACES, self._max_waiting)
        places = max(self._max_waiting - elsewhere, least)
        if not flow.has_evidence and len(line.waiters) <= places:
            return
        ahead, seen = 0, set[int]()
        for waiter in self._list_in_order(line, flow):
            urgency = self._read_urgency(waiter)
            prospect = make_prospect(
                waiter,
                urgency,
                ahead,
                urgency not in seen,
                _SHED_INTERVAL if waiter is arriving else 0.0,
            )
            refusal = find_refusal(flow, prospect)
            if ahead >= places:
                refusal = flow.refuse(urgency, ahead)
            if waiter.may_refuse and refusal is not None:
                self._dismiss(waiter, refusal)
                continue
            ahead += 1
            seen.add(urgency)

    def _dismiss(self, waiter: Waiter, refusal: Refusal) -> None:
        self.refused_early[min(waiter.priority, _MAX_URGENCY)] += 1
        waiter.refusal = refusal
        self.withdraw(waiter)
        waiter.decided.set()

    def _refuse(
        self,
        line: ServiceLine,
        waiter: Waiter,
        delay: float = 0.0,
    ) -> errors.RequestError:
        """Count a refusal and return its error.

        :param delay: seconds until any path can exist, 0 when paths exist or
            it is not known.
        """
        self.refused += 1
        flow = line.meter.read()
        refusal = waiter.refusal or flow.refuse(
            self._read_urgency(waiter), len(line.waiters)
        )
        return errors.RequestError(
            "no_room",
            "no path of engines has room for the request: "
            + (_NO_PATH_IN_TIME if delay else refusal.describe()),
            status=503,
            retry_after=line.retry_times.draw(flow, refusal, delay),
        )
