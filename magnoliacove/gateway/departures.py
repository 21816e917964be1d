"""Leaving a path on which a stream still runs.

An engine that is silent or suspected may still serve the stream.  Leaving it
ends its run, so one whose answer has begun leaves only after its route and its
quarantine allow a further run, capacity is reserved on another path, a retry
of the budget is spent, and the other path has accepted the stream.  Otherwise
the stream stays, and its engine ends the answer or the run.
"""

from collections.abc import Callable
from collections.abc import Collection

import trio

from magnoliacove.gateway.delivery import EventDelivery
from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.stream_log import StreamLog
from magnoliacove.limits.capacity import Waiter
from magnoliacove.limits.reruns import Obstacle
from magnoliacove.limits.reruns import RerunFacts
from magnoliacove.limits.reruns import find_obstacle
from magnoliacove.routing.paths import Path

__all__ = ["PathDeparture"]

# Seconds between two attempts of a silent stream to leave its path, and
# between two reroutes or attempts at another path that fail.  Budgets and
# capacity change with each heartbeat, and each attempt takes a search of
# milliseconds.
_RETRY_INTERVAL = 0.25


class PathDeparture:
    """Decides whether and when one stream leaves its current path.

    :param begin_attempt: begins a run on the path that is reserved beforehand,
        while the current run goes on.
    :param reason: why the stream has left its path, or "" while it stays.
    """

    def __init__(
        self,
        state: GatewayState,
        routed: RoutedRequest,
        path_reservation: PathReservation,
        delivery: EventDelivery,
        read_facts: Callable[[], RerunFacts],
        end_run: Callable[[], None],
        begin_attempt: Callable[[], None],
        log: StreamLog,
    ) -> None:
        self.reason = ""
        self._state = state
        self._routed = routed
        self._path_reservation = path_reservation
        self._delivery = delivery
        self._read_facts = read_facts
        self._end_run = end_run
        self._begin_attempt = begin_attempt
        self._log = log
        self.running = False
        self._retry_spent = False
        # Why the stream is to leave for the path that it attempts, or "".
        self._attempt_reason = ""
        self._attempt_at = 0.0
        self._waiter: Waiter | None = None
        self._silent_at = self._lost_at = -_RETRY_INTERVAL
        self._obstacle: Obstacle | None = None

    def begin(self) -> None:
        """Start with a run on a new path, which has no reason to be left."""
        self.reason = self._attempt_reason = ""
        self.running = True
        self._obstacle = None
        self._silent_at = self._lost_at = -_RETRY_INTERVAL

    def end(self) -> None:
        """Stop, as the run has ended."""
        self.running = False
        self.stop_waiting()

    def may_be_rerouted(self, now: float) -> bool:
        """Return whether to try a reroute again after one that failed.

        Not while another path is attempted: a reroute could lead the run
        through an engine of that path.
        """
        if self._attempt_reason:
            return False
        return now - self._lost_at >= _RETRY_INTERVAL

    def leave_silent(self, reason: str, engines: Collection[str]) -> None:
        """Leave a path that brings no events if another one is free.

        :param engines: those that the other path must not contain.
        """
        now = trio.current_time()
        if now - self._silent_at < _RETRY_INTERVAL or self._may_not_leave():
            return
        self._silent_at = now
        if self._may_change(reason):
            self._change(reason, engines, engines)

    def leave_lost(self, reason: str, engines: Collection[str]) -> None:
        """Leave a path whose engines are lost, now or once another is free.

        An answer that has not begun is left at once: nothing of it can be cut
        off, and its caller is told if it cannot run again.
        """
        self._lost_at = trio.current_time()
        if self._may_not_leave() or self._waiter is not None:
            return
        if not self._delivery.began:
            self._leave(reason)
            return
        if not self._may_change(reason):
            return
        queue = self._state.capacity_queue
        if not queue.waiting and self._change(reason, engines) is not None:
            return
        self._waiter = queue.add(
            lambda: self._change_if_allowed(reason, engines),
            # As for a stream that waits without a path: its caller leaves
            # soon, and what it was sent would be lost.
            priority=-1,
            fresh_until=self._routed.deadline,
            service=self._routed.service.name,
        )

    def stop_waiting(self) -> None:
        """Stop waiting for another path, as the current one works."""
        if self._waiter is not None:
            self._state.capacity_queue.withdraw(self._waiter)
            self._waiter = None

    def take_retry(self) -> bool:
        """Return, once, whether the departure has paid for the next run."""
        spent, self._retry_spent = self._retry_spent, False
        return spent

    def leave_for_accepted(self) -> bool:
        """Leave the current path, as the other one has accepted the stream.

        :returns: False when the stream stays: its run went on or has ended,
            or it may not run once more.
        """
        went_on = self._delivery.data_at >= self._attempt_at
        if self._must_stay() or went_on:
            return False
        if find_obstacle(self._read_facts()) is not None:
            return False
        self._leave(self._attempt_reason)
        return True

    def end_attempt(self) -> None:
        """Stay on the current path after an attempt that failed.

        Its retry is spent; the next attempt pays again.
        """
        self._attempt_reason = ""
        self._retry_spent = False
        self._silent_at = self._lost_at = trio.current_time()

    def _may_not_leave(self) -> bool:
        return bool(self._attempt_reason) or self._must_stay()

    def _must_stay(self) -> bool:
        """Return whether the run has ended, was left already or goes on.

        While the caller is sent an event, the engine has just gone on.
        """
        left = bool(self.reason)
        return not self.running or left or self._delivery.writing

    def _change_if_allowed(
        self, reason: str, engines: Collection[str]
    ) -> Path | None:
        """Change to a path that has got free, unless the stream must stay."""
        if self._may_not_leave() or not self._may_change(reason):
            return None
        return self._change(reason, engines)

    def _may_change(self, reason: str) -> bool:
        """Return whether all that may refuse a further run allows it."""
        facts = self._read_facts()
        obstacle = find_obstacle(facts)
        if obstacle is None and facts.retries_left <= 0.0:
            obstacle = Obstacle.BUDGET
        if obstacle is not None:
            self._note_stay(reason, obstacle)
        return obstacle is None

    def _change(
        self,
        reason: str,
        avoided: Collection[str],
        excluded: Collection[str] = (),
    ) -> Path | None:
        """Reserve another path, spend a retry and change to that path.

        The caller has just asked whether the stream may change.  A begun
        answer is left only once the other path has accepted the stream, unless
        the two runs would meet in an engine.

        :returns: the other path, or None when the stream stays.
        """
        begun = self._delivery.began
        path = self._path_reservation.reserve_next(
            avoided, excluded, separate=begun
        )
        if path is None:
            self._note_stay(reason, Obstacle.CAPACITY)
            return None
        budget = self._state.retry_budget
        if not budget.try_spend(self._routed.service.name):
            # The budget shrinks as requests leave its window.
            self._path_reservation.release_next()
            self._note_stay(reason, Obstacle.BUDGET)
            return None
        self._retry_spent = True
        self.stop_waiting()
        if not begun or not self._path_reservation.has_separate_next:
            self._leave(reason)
            return path
        self._attempt_reason = reason
        self._attempt_at = trio.current_time()
        self._begin_attempt()
        return path

    def _leave(self, reason: str) -> None:
        self.reason = reason
        self._end_run()

    def _note_stay(self, reason: str, obstacle: Obstacle) -> None:
        """Record once for each path and obstacle that the stream stays."""
        if obstacle == self._obstacle:
            return
        self._obstacle = obstacle
        self._log.record_path_kept(reason, obstacle, self._read_facts())
