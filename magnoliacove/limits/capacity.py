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


@dataclass(eq=False)
class Waiter:
    """A request that waits for a path.

    :param find_path: tries to find and reserve a path.
    :param fresh_until: when the request's latency objective ends.
    :param decided: set when a path is reserved.
    """

    find_path: Callable[[], Path | None]
    priority: int
    fresh_until: float
    number: int
    decided: trio.Event = field(default_factory=trio.Event)
    path: Path | None = None


class CapacityQueue:
    """A queue of requests until an engine path has capacity for them.

    :param max_waiting: maximum number of waiting requests; further requests
        are refused at once.
    """

    def __init__(self, max_waiting: int = 256) -> None:
        self.refused = 0
        self._max_waiting = max_waiting
        self._waiters: list[Waiter] = []
        # Where the next pass continues among the requests behind the first.
        self._rotation = 0
        self._numbers = itertools.count()
        # Moving average of the seconds between two grants, for Retry-After.
        self._grant_interval = _INITIAL_GRANT_INTERVAL
        self._granted_at = 0.0
        self._changed = trio.Event()

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._waiters)

    async def wait_path(
        self,
        find_path: Callable[[], Path | None],
        *,
        priority: int,
        fresh_until: float,
        timeout: float,
        read_delay: Callable[[], float] = lambda: 0.0,
        may_refuse: bool = True,
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
        :raises magnoliacove.errors.RequestError: when no path has capacity
            in time; the request did not run.
        """
        if not self._waiters:
            path = find_path()
            if path is not None:
                self._note_granted()
                return path
        if may_refuse and len(self._waiters) >= self._max_waiting:
            raise self._refuse()
        delay = read_delay()
        if delay > timeout:
            # The request would time out while it waits; its caller can
            # retry once there is a path again.
            raise self._refuse(delay)
        waiter = self.add(
            find_path, priority=priority, fresh_until=fresh_until
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
    ) -> Waiter:
        """Queue a request that does not wait here; see :meth:`wait_path`.

        :param find_path: called repeatedly until it returns a path.
        """
        waiter = Waiter(find_path, priority, fresh_until, next(self._numbers))
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
        for waiter in self._list_next():
            path = waiter.find_path()
            if path is None:
                continue
            # Others move up, and the turn may have passed over them.
            self._changed.set()
            waiter.path = path
            self.withdraw(waiter)
            waiter.decided.set()
            self._note_granted()

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

    def _note_granted(self) -> None:
        now = trio.current_time()
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
