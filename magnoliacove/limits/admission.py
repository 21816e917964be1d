"""Admission control at an entry, fair between client accounts.

A request waits no longer than its deadline allows.  A request that is
expected to miss its deadline is refused at once, with a `Retry-After` time.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.limits.order import AccountShares

__all__ = ["Admission", "RateLimit"]

# Weight of the newest request in the moving average of request durations.
_SMOOTHING = 0.1
# Seconds that a request is assumed to run before any duration is measured.
_INITIAL_DURATION = 1.0
# Seconds between two checks of the queues for requests that will be late.
_SHED_INTERVAL = 0.25


@dataclass(eq=False)
class _Waiter:
    """One request in the queue of its account.

    :param deadline: latest time of admission, by trio's clock.
    :param decided: set when the request is admitted or refused.
    """

    priority: int
    deadline: float
    decided: trio.Event = field(default_factory=trio.Event)
    admitted: bool = False


@dataclass(eq=False)
class _AccountQueue:
    """The waiting requests of one account, by priority."""

    account: str
    weight: float = 1.0
    waiting: list[tuple[int, int, _Waiter]] = field(default_factory=list)


class Admission:
    """Bounds the number of requests that run concurrently.

    While there is capacity, every request is admitted at once.  Otherwise
    higher priorities are admitted first, and within a priority each account
    gets capacity in proportion to its weight, independent of the demand of
    other accounts.

    :param read_capacity: returns how many requests may run concurrently now.
    """

    def __init__(self, read_capacity: Callable[[], int]) -> None:
        self.running = 0
        self.waiting = 0
        self.refused = 0
        self._read_capacity = read_capacity
        self._queues: dict[str, _AccountQueue] = {}
        self._shares = AccountShares()
        self._mean_duration = _INITIAL_DURATION
        self._order = itertools.count()
        self._shed_at = 0.0
        self._durations_seen = 0

    @contextlib.asynccontextmanager
    async def admit(
        self,
        account: str,
        weight: float,
        priority: int,
        timeout: float,
    ) -> AsyncIterator[None]:
        """Occupy one slot while the body runs.

        :param timeout: seconds within which the request must be done.
        :raises magnoliacove.errors.RequestError: when no slot is expected
            to become free in time; the request did not run.
        """
        await self._enter(account, weight, priority, timeout)
        started = trio.current_time()
        try:
            yield
        finally:
            self._note_duration(trio.current_time() - started)
            self.running -= 1
            self.fill()

    def fill(self) -> None:
        """Admit waiting requests while there is capacity."""
        capacity = self._read_capacity()
        while self.waiting and self.running < capacity:
            queue = self._pick_queue()
            _, _, waiter = heapq.heappop(queue.waiting)
            self._shares.charge(queue.account, queue.weight)
            self.waiting -= 1
            self.running += 1
            waiter.admitted = True
            waiter.decided.set()
        now = trio.current_time()
        if self.waiting and now - self._shed_at >= _SHED_INTERVAL:
            self._shed_at = now
            self._shed(capacity)

    def _note_duration(self, seconds: float) -> None:
        """Update the moving average of request durations.

        The first samples have the highest weight.
        """
        self._durations_seen += 1
        rate = max(_SMOOTHING, 1 / self._durations_seen)
        self._mean_duration += rate * (seconds - self._mean_duration)

    async def _enter(
        self, account: str, weight: float, priority: int, timeout: float
    ) -> None:
        queue = self._queues.setdefault(account, _AccountQueue(account))
        queue.weight = weight
        capacity = self._read_capacity()
        if not self.waiting and self.running < capacity:
            self._shares.charge(account, weight)
            self.running += 1
            return
        ahead = sum(1 for item in queue.waiting if -item[0] >= priority)
        expected = self._expect_wait(queue, ahead, capacity)
        full = len(queue.waiting) >= defaults.QUEUED_PER_ACCOUNT
        if expected + self._mean_duration > timeout or full:
            self._refuse(expected)
        if not queue.waiting:
            self._shares.join(account)
        waiter = _Waiter(priority, trio.current_time() + timeout)
        heapq.heappush(queue.waiting, (-priority, next(self._order), waiter))
        self.waiting += 1
        try:
            with trio.move_on_after(timeout):
                await waiter.decided.wait()
        except trio.Cancelled:
            self._leave(queue, waiter)
            raise
        if not waiter.admitted:
            self._leave(queue, waiter)
            self._refuse(self._mean_duration)

    def _leave(self, queue: _AccountQueue, waiter: _Waiter) -> None:
        """Remove a waiter, or free its slot if it was admitted meanwhile."""
        if waiter.admitted:
            self.running -= 1
            self.fill()
            return
        if waiter.decided.is_set():
            return
        queue.waiting = [item for item in queue.waiting if item[2] != waiter]
        heapq.heapify(queue.waiting)
        self.waiting -= 1

    def _shed(self, capacity: int) -> None:
        """Refuse the waiting requests that are expected to be late.

        Requests may take longer than was expected when a request joined the
        queue.  Keeping a request until its deadline would only cost the
        caller the time in which it could try elsewhere.
        """
        now = trio.current_time()
        for queue in self._queues.values():
            kept: list[tuple[int, int, _Waiter]] = []
            for item in sorted(queue.waiting, key=lambda item: item[:2]):
                expected = self._expect_wait(queue, len(kept), capacity)
                done_at = now + expected + self._mean_duration
                if done_at <= item[2].deadline:
                    kept.append(item)
                    continue
                self.waiting -= 1
                item[2].decided.set()
            queue.waiting = kept

    def _refuse(self, expected: float) -> None:
        self.refused += 1
        raise errors.RequestError(
            "overloaded",
            "there is more work than room; the request did not run",
            status=429,
            retry_after=max(1.0, min(expected, 60.0)),
        )

    def _expect_wait(
        self, queue: _AccountQueue, ahead: int, capacity: int
    ) -> float:
        """Return the seconds until a request in a queue is admitted.

        :param ahead: requests of the same account that are admitted first.
        """
        if capacity <= 0:
            return self._mean_duration
        active = [q for q in self._queues.values() if q.waiting or q is queue]
        share = queue.weight / sum(q.weight for q in active)
        return (ahead + 1) * self._mean_duration / (capacity * share)

    def _pick_queue(self) -> _AccountQueue:
        """Return the queue whose first request is admitted next."""
        return min(
            (queue for queue in self._queues.values() if queue.waiting),
            key=lambda queue: (
                queue.waiting[0][0],
                self._shares.read(queue.account),
            ),
        )


class RateLimit:
    """A token bucket that limits an account's requests per second.

    Each entry enforces an equal share of the limit.  The load balancer
    spreads callers over the entries, so the entries share no counter.

    :param read_entries: returns the number of entries.
    """

    def __init__(self, read_entries: Callable[[], int]) -> None:
        self._read_entries = read_entries
        self._tokens: dict[str, tuple[float, float]] = {}

    def check(self, account: str, per_second: float) -> None:
        """Count one request.

        :raises magnoliacove.errors.RequestError: when the account exceeds
            its limit.
        """
        if per_second <= 0:
            return
        rate = per_second / max(1, self._read_entries())
        burst = max(1.0, rate)
        now = trio.current_time()
        tokens, refilled_at = self._tokens.get(account, (burst, now))
        tokens = min(burst, tokens + (now - refilled_at) * rate)
        if tokens < 1.0:
            self._tokens[account] = (tokens, now)
            raise errors.RequestError(
                "rate_limited",
                f"client account {account} is over its "
                f"{per_second:g} requests a second; the request did not run",
                status=429,
                retry_after=(1.0 - tokens) / rate,
            )
        self._tokens[account] = (tokens - 1.0, now)


def describe_admission(admission: Admission) -> dict[str, float]:
    """Return the gauges of an admission queue."""
    return {
        "requests_running": admission.running,
        "requests_waiting": admission.waiting,
        "requests_refused": admission.refused,
    }
