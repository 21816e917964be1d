"""Leaving a path on which a stream still runs.

An engine that is silent or suspected may still serve the stream.  Leaving it
ends its run, so a stream leaves only after everything that the next run needs
is certain: its route and its quarantine allow it, another path is reserved,
and a retry of the budget is spent.  Otherwise it stays, and its engine ends
the answer or its run.
"""

from collections.abc import Callable
from collections.abc import Collection

import trio

from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.stream_log import StreamLog
from magnoliacove.limits.capacity import Waiter
from magnoliacove.limits.reruns import RerunOptions
from magnoliacove.limits.reruns import find_refusal
from magnoliacove.routing.paths import Path

__all__ = ["PathDeparture"]

# Seconds after a refused departure until the next one is considered.  Budgets
# and capacity change with each heartbeat, and each search takes milliseconds.
_RETRY_INTERVAL = 0.25
_BUDGET_SPENT = "the retry budget is spent"


class PathDeparture:
    """Decides whether and when one stream leaves its current path.

    :param reason: why the stream leaves its path, or "" while it stays.
    :param retry_spent: whether the retry for the next run is spent already.
    """

    def __init__(
        self,
        state: GatewayState,
        routed: RoutedRequest,
        path_reservation: PathReservation,
        read_options: Callable[[], RerunOptions],
        leave: Callable[[], None],
        log: StreamLog,
    ) -> None:
        self.reason = ""
        self.retry_spent = False
        self._state = state
        self._routed = routed
        self._path_reservation = path_reservation
        self._read_options = read_options
        self._leave = leave
        self._log = log
        self._waiter: Waiter | None = None
        self._considered_at = -_RETRY_INTERVAL
        self._refusal = ""

    def is_due(self, now: float) -> bool:
        """Return whether a departure may be considered again."""
        if self.reason:
            return False
        return now - self._considered_at >= _RETRY_INTERVAL

    def begin_path(self) -> None:
        """Start with a new path, which nobody wants to leave yet."""
        self.abandon()
        self.reason = self._refusal = ""
        self._considered_at = -_RETRY_INTERVAL

    def consider(
        self, reason: str, left: Collection[str], *, begun: bool, wait: bool
    ) -> None:
        """Leave the path if a further run is certain, or as soon as it is.

        :param left: engines that the next path must not contain.
        :param begun: whether the answer has begun.  One that has not begun
            leaves without a reserved path: nothing of it would be cut off.
        :param wait: whether to wait for another path while there is none.
        """
        if not self.is_due(trio.current_time()) or self._waiter is not None:
            return
        self._considered_at = trio.current_time()
        options = self._read_options()
        refusal = find_refusal(options)
        if refusal:
            self._stay(reason, refusal, options)
        elif options.retries_left <= 0.0:
            # Known before another path is searched for.
            self._stay(reason, _BUDGET_SPENT, options)
        elif not begun:
            self._try_leave(reason, left)
        elif self._try_change(reason, left) is None:
            self._stay(reason, "no other path has capacity", options)
            if wait:
                self._wait_for_path(reason, left)

    def abandon(self) -> None:
        """Stop waiting for another path, as the current one works or ended."""
        if self._waiter is not None:
            self._state.capacity_queue.withdraw(self._waiter)
            self._waiter = None

    def take_retry(self) -> bool:
        """Return whether the retry for a run was spent when the path was left.

        Each departure allows one run.
        """
        spent, self.retry_spent = self.retry_spent, False
        return spent

    def _wait_for_path(self, reason: str, left: Collection[str]) -> None:
        self._waiter = self._state.capacity_queue.add(
            lambda: self._try_change(reason, left),
            # As for a stream that waits without a path: its caller leaves
            # soon, and what it was sent would be lost.
            priority=-1,
            fresh_until=self._routed.deadline,
        )

    def _try_change(self, reason: str, left: Collection[str]) -> Path | None:
        """Reserve another path and leave the current one."""
        path = self._path_reservation.reserve_next(left)
        if path is None:
            return None
        self._waiter = None
        if not self._try_leave(reason, left):
            self._path_reservation.release_next()
        return path

    def _try_leave(self, reason: str, left: Collection[str]) -> bool:
        """Spend a retry and leave the path; return False without a retry."""
        budget = self._state.retry_budget
        if not budget.try_spend(self._routed.service.name):
            self._stay(reason, _BUDGET_SPENT, self._read_options())
            return False
        # Without this a further failure leads back to the engine just left,
        # which may be the fastest one.
        self._path_reservation.avoid(*left)
        self.reason, self.retry_spent = reason, True
        self._leave()
        return True

    def _stay(self, reason: str, refusal: str, options: RerunOptions) -> None:
        """Record once for each path and refusal that the stream stays."""
        if refusal == self._refusal:
            return
        self._refusal = refusal
        self._log.record_path_kept(reason, refusal, options)
