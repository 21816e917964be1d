"""Admission at an entry: fair between client accounts, bounded in time.

A request waits only as long as its deadline can bear.  What will surely
not get its turn is refused at once, with the time to come back.
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

__all__ = ["Admission", "RateLimit"]

_SMOOTHING = 0.1
_FIRST_HOLD = 1.0
_SHED_EVERY = 0.25


@dataclass(eq=False)
class _Waiter:
    """One request in the queue of its account.

    :param deadline: by trio's clock; it must be admitted before.
    :param decided: set when it is admitted or refused.
    """

    priority: int
    deadline: float
    decided: trio.Event = field(default_factory=trio.Event)
    admitted: bool = False


@dataclass(eq=False)
class _AccountQueue:
    """The waiting requests of one account, by priority."""

    weight: float = 1.0
    virtual_time: float = 0.0
    waiting: list[tuple[int, int, _Waiter]] = field(default_factory=list)


class Admission:
    """Lets a bounded number of requests run at a time.

    When there is room all are admitted at once.  Otherwise priorities go
    first, and within a priority each account gets room in proportion to
    its weight, whatever the others ask for.

    :param read_room: returns how many requests may run at a time now.
    """

    def __init__(self, read_room: Callable[[], int]) -> None:
        self.running = 0
        self.waiting = 0
        self.refused = 0
        self._read_room = read_room
        self._queues: dict[str, _AccountQueue] = {}
        self._virtual_time = 0.0
        self._hold_seconds = _FIRST_HOLD
        self._order = itertools.count()
        self._shed_at = 0.0
        self._holds = 0

    @contextlib.asynccontextmanager
    async def admit(
        self,
        account: str,
        weight: float,
        priority: int,
        patience: float,
    ) -> AsyncIterator[None]:
        """Hold one place while the body runs.

        :param patience: seconds in which the request must be done.
        :raises magnoliacove.errors.RequestError: when no place will be
            free in time; the request did not run.
        """
        await self._enter(account, weight, priority, patience)
        started = trio.current_time()
        try:
            yield
        finally:
            self._note_hold(trio.current_time() - started)
            self.running -= 1
            self.fill()

    def fill(self) -> None:
        """Admit waiting requests while there is room."""
        room = self._read_room()
        while self.waiting and self.running < room:
            queue = self._pick_queue()
            _, _, waiter = heapq.heappop(queue.waiting)
            self._charge(queue)
            self.waiting -= 1
            self.running += 1
            waiter.admitted = True
            waiter.decided.set()
        now = trio.current_time()
        if self.waiting and now - self._shed_at >= _SHED_EVERY:
            self._shed_at = now
            self._shed(room)

    def _note_hold(self, seconds: float) -> None:
        """Learn how long requests take; the first ones teach the most."""
        self._holds += 1
        rate = max(_SMOOTHING, 1 / self._holds)
        self._hold_seconds += rate * (seconds - self._hold_seconds)

    async def _enter(
        self, account: str, weight: float, priority: int, patience: float
    ) -> None:
        queue = self._queues.setdefault(account, _AccountQueue())
        queue.weight = weight
        room = self._read_room()
        if not self.waiting and self.running < room:
            self._charge(queue)
            self.running += 1
            return
        ahead = sum(1 for item in queue.waiting if -item[0] >= priority)
        expected = self._expect_wait(queue, ahead, room)
        full = len(queue.waiting) >= defaults.QUEUED_PER_ACCOUNT
        if expected + self._hold_seconds > patience or full:
            self._refuse(expected)
        if not queue.waiting:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        waiter = _Waiter(priority, trio.current_time() + patience)
        heapq.heappush(queue.waiting, (-priority, next(self._order), waiter))
        self.waiting += 1
        try:
            with trio.move_on_after(patience):
                await waiter.decided.wait()
        except trio.Cancelled:
            self._leave(queue, waiter)
            raise
        if not waiter.admitted:
            self._leave(queue, waiter)
            self._refuse(self._hold_seconds)

    def _leave(self, queue: _AccountQueue, waiter: _Waiter) -> None:
        if waiter.admitted:
            self.running -= 1
            self.fill()
            return
        if waiter.decided.is_set():
            return
        queue.waiting = [item for item in queue.waiting if item[2] != waiter]
        heapq.heapify(queue.waiting)
        self.waiting -= 1

    def _shed(self, room: int) -> None:
        """Refuse what will not get its turn in time, as soon as that shows.

        Requests may turn out longer than was expected when one joined the
        queue.  Holding it until its deadline would only cost the caller
        the time in which to try elsewhere.
        """
        now = trio.current_time()
        for queue in self._queues.values():
            kept: list[tuple[int, int, _Waiter]] = []
            for item in sorted(queue.waiting, key=lambda item: item[:2]):
                expected = self._expect_wait(queue, len(kept), room)
                done_at = now + expected + self._hold_seconds
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
        self, queue: _AccountQueue, ahead: int, room: int
    ) -> float:
        """Return the seconds until the turn of a request in a queue.

        :param ahead: how many of the same account go before it.
        """
        if room <= 0:
            return self._hold_seconds
        active = [q for q in self._queues.values() if q.waiting or q is queue]
        share = queue.weight / sum(q.weight for q in active)
        return (ahead + 1) * self._hold_seconds / (room * share)

    def _pick_queue(self) -> _AccountQueue:
        """Return the queue whose head goes next."""
        return min(
            (queue for queue in self._queues.values() if queue.waiting),
            key=lambda queue: (queue.waiting[0][0], queue.virtual_time),
        )

    def _charge(self, queue: _AccountQueue) -> None:
        start = max(queue.virtual_time, self._virtual_time)
        self._virtual_time = start
        queue.virtual_time = start + 1.0 / queue.weight


class RateLimit:
    """A limit on an account's requests per second.

    Each entry grants its part of the limit: the balancer spreads callers
    over the entries, so no counter is shared.
    """

    def __init__(self, read_entries: Callable[[], int]) -> None:
        self._read_entries = read_entries
        self._tokens: dict[str, tuple[float, float]] = {}

    def check(self, account: str, per_second: float) -> None:
        """Count one request.

        :raises magnoliacove.errors.RequestError: beyond the limit.
        """
        if per_second <= 0:
            return
        rate = per_second / max(1, self._read_entries())
        burst = max(1.0, rate)
        now = trio.current_time()
        tokens, at = self._tokens.get(account, (burst, now))
        tokens = min(burst, tokens + (now - at) * rate)
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
    """Return an admission's gauges."""
    return {
        "requests_running": admission.running,
        "requests_waiting": admission.waiting,
        "requests_refused": admission.refused,
    }
