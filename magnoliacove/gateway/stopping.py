"""The moment at which a process that stops ends the calls in progress."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math

import trio

__all__ = ["CallLimits"]


class CallLimits:
    """Limits the time of calls, so that each can answer before the end.

    :param ends_at: when the calls in progress are ended, by trio's clock;
        infinity while this process does not stop.
    :param ended: whether they were ended.
    """

    def __init__(self) -> None:
        self.ends_at = math.inf
        self.ended = False
        self._scopes: set[trio.CancelScope] = set()
        self._has_others: Callable[[], bool] = lambda: False

    @contextlib.contextmanager
    def limit(self, deadline: float) -> Iterator[None]:
        """Leave the block at a deadline, or as this process ends its calls."""
        with trio.CancelScope(deadline=deadline) as scope:
            self._scopes.add(scope)
            if self.ended:
                scope.cancel()
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def announce(self, ends_at: float, has_others: Callable[[], bool]) -> None:
        """Take the time at which the calls in progress will be ended.

        :param has_others: returns whether another gateway takes callers.
        """
        self.ends_at = ends_at
        self._has_others = has_others

    def may_begin(self, seconds: float) -> bool:
        """Return whether to send a request that no target has run yet.

        A request that this process cannot wait for would be cut in the
        middle; refused now, its caller has it served by another gateway.
        Without another one an answer that comes sooner than expected is
        its only chance.

        :param seconds: the expected time of the whole request.
        """
        if self.ended:
            return False
        if trio.current_time() + seconds <= self.ends_at:
            return True
        return not self._has_others()

    def end(self) -> None:
        """End the calls in progress and those that follow."""
        self.ended = True
        for scope in self._scopes:
            scope.cancel()
