"""Waiting for room on the engines, and being refused in time.

A stream that is sent to an engine without memory for it is preempted or
reads its prompt in vain, and so do others with it.  So it waits here until
a path has room.  Who can still be answered within the latency objective
goes first: a request that is late anyway loses little by waiting longer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import itertools
import random

import trio

from magnoliacove import errors
from magnoliacove.routing.paths import Path

__all__ = ["RoomQueue"]

# Waiters that are tried, in order, each time that something changes; what
# they leave is not enough for many more.
_TRIED = 8
# Changes within so many seconds are taken together.  A try costs a search
# over the engines; one for each release and each heartbeat takes the whole
# processor when many wait, and callers' leaving goes unnoticed.
_FILL_EVERY = 0.025
_SMOOTHING = 0.2
_FIRST_PAUSE = 0.2
# Room is short while a lost engine's layers are placed again, which takes
# about two seconds.  Callers come back once; one that is sent back sooner
# is refused again and then gone.  Coming back is spread over as long again.
_LEAST_RETRY_AFTER = 2.0
_MOST_RETRY_AFTER = 5.0


@dataclass(eq=False)
class _Waiter:
    """A request that waits for a path.

    :param find_path: tries to find and reserve one.
    :param fresh_until: when its latency objective ends.
    """

    find_path: Callable[[], Path | None]
    priority: int
    fresh_until: float
    number: int
    decided: trio.Event = field(default_factory=trio.Event)
    path: Path | None = None


class RoomQueue:
    """Lets requests wait until an engine path has room for them.

    :param most_waiting: more than these are refused at once.
    """

    def __init__(self, most_waiting: int = 256) -> None:
        self.refused = 0
        self._most_waiting = most_waiting
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        # Seconds between two requests that got room, for Retry-After.
        self._pause = _FIRST_PAUSE
        self._granted_at = 0.0
        self._changed = trio.Event()

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiters)

    async def wait_path(
        self,
        find_path: Callable[[], Path | None],
        *,
        priority: int,
        fresh_until: float,
        patience: float,
        read_delay: Callable[[], float] = lambda: 0.0,
    ) -> Path:
        """Return a path as soon as one has room.

        :param find_path: returns a path whose room it has reserved, or
            None; called again and again.
        :param fresh_until: by trio's clock; until then it goes first.
        :param patience: seconds after which it is refused.
        :param read_delay: returns the seconds until there can be a path at
            all; a request without the patience for that is refused at once.
        :raises magnoliacove.errors.RequestError: when there is none in
            time; the request did not run.
        """
        if not self._waiters:
            path = find_path()
            if path is not None:
                self._note_granted()
                return path
        if len(self._waiters) >= self._most_waiting:
            raise self._refuse()
        delay = read_delay()
        if delay > patience:
            # It would wait in vain, and its caller with it, who may come
            # back when there is a path again.
            raise self._refuse(delay)
        waiter = _Waiter(find_path, priority, fresh_until, next(self._numbers))
        self._waiters.append(waiter)
        try:
            self.fill()
            with trio.move_on_after(patience):
                await waiter.decided.wait()
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        if waiter.path is None:
            raise self._refuse()
        return waiter.path

    async def run(self) -> None:
        """Give room to those who wait, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            self._fill()
            await trio.sleep(_FILL_EVERY)

    def fill(self) -> None:
        """Give room to those who wait soon, after something changed."""
        if self._waiters:
            self._changed.set()

    def _fill(self) -> None:
        now = trio.current_time()
        ordered = sorted(
            self._waiters,
            key=lambda w: (w.fresh_until < now, w.priority, w.number),
        )
        for waiter in ordered[:_TRIED]:
            path = waiter.find_path()
            if path is None:
                continue
            waiter.path = path
            self._waiters.remove(waiter)
            waiter.decided.set()
            self._note_granted()

    def _note_granted(self) -> None:
        now = trio.current_time()
        pause = min(now - self._granted_at, _MOST_RETRY_AFTER)
        self._pause += _SMOOTHING * (pause - self._pause)
        self._granted_at = now

    def _refuse(self, delay: float = 0.0) -> errors.RequestError:
        """Return the refusal of a request.

        :param delay: the seconds until there can be a path, 0 if it is not
            known that there is none.
        """
        self.refused += 1
        expected = delay or max(
            self._pause * (len(self._waiters) + 1), _LEAST_RETRY_AFTER
        )
        return errors.RequestError(
            "no_room",
            "no path of engines has room for the request",
            status=503,
            retry_after=min(
                expected * random.uniform(1.0, 2.0), _MOST_RETRY_AFTER
            ),
        )
