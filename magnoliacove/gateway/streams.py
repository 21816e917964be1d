"""Streaming requests: run on a path of engines, resumed when it fails.

A caller receives one answer.  When the path of a stream fails, the stream
continues on another path after the last whole event that was forwarded, in
the same answer, so that no event is missing and none is sent twice.
"""

from collections.abc import Iterable

import trio

from magnoliacove import errors
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.delivery import BrokenRunError
from magnoliacove.gateway.delivery import EventDelivery
from magnoliacove.gateway.departures import PathDeparture
from magnoliacove.gateway.handovers import Handover
from magnoliacove.gateway.open_requests import Progress
from magnoliacove.gateway.owed_retries import OwedRetry
from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.path_reservations import ReservedPath
from magnoliacove.gateway.path_runs import PathRun
from magnoliacove.gateway.requests import REFUSED_RETRY
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.requests import make_may_have_run
from magnoliacove.gateway.requests import make_stopped
from magnoliacove.gateway.requests import make_timeout
from magnoliacove.gateway.requests import make_too_late
from magnoliacove.gateway.requests import read_caller_timeout
from magnoliacove.gateway.stalls import StallWatch
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.stream_failures import answer_failure
from magnoliacove.gateway.stream_failures import check_quarantines
from magnoliacove.gateway.stream_log import Cut
from magnoliacove.gateway.stream_log import StreamLog
from magnoliacove.limits.crashing_parts import PROVEN_AFTER
from magnoliacove.limits.load import Reservation
from magnoliacove.limits.reruns import RerunFacts
from magnoliacove.limits.reruns import compute_pause
from magnoliacove.limits.reruns import find_obstacle
from magnoliacove.routing.paths import Path

__all__ = ["StreamCall"]

# Seconds of the caller's timeout that are reserved for the first event after
# a path is found: twice the time to read a usual prompt on a busy path.
_FIRST_EVENT_MARGIN = 0.5
_STOPPED = Cut(errors.EndedBy.GATEWAY, "this process stops")


class StreamCall:
    """Answers one request from a model's engines.

    :param departure: decides whether the stream leaves its current path.
    """

    def __init__(
        self,
        state: GatewayState,
        stalls: StallWatch,
        crash_watch: CrashWatch,
        exchange: Exchange,
        routed: RoutedRequest,
    ) -> None:
        self.request = routed.caller_headers.request
        self.service = routed.service.name
        self.fingerprint = routed.fingerprint
        self.parts = routed.parts
        self._state = state
        self._stalls = stalls
        self._crash_watch = crash_watch
        self._exchange = exchange
        self._routed = routed
        self._path_reservation = PathReservation(state, routed)
        self._delivery = EventDelivery(
            exchange,
            routed.caller_headers.last_event,
            self._note_write,
        )
        self._log = StreamLog(state.recorder, routed, self._delivery)
        self._path_started_at = 0.0
        self.departure = PathDeparture(
            state,
            routed,
            self._path_reservation,
            self._delivery,
            self._read_rerun_facts,
            self._end_run,
            self._begin_attempt,
            self._log,
        )
        self._handover = Handover(
            self.departure,
            self._path_reservation,
            self._make_run,
            self._note_failed_attempt,
            lambda: state.retry_budget.read_remaining(self.service),
        )
        self._scope: trio.CancelScope | None = None
        self._first_event_noted = False
        # Whether the present run was noted as a lasting one.
        self._lasting_noted = False
        self._runs = 0
        self._refusals = 0
        self._owed_retry = OwedRetry(
            state,
            self.service,
            self._path_reservation,
            lambda: self._log.record_withheld_retry(self._read_rerun_facts),
        )
        # Whether the last run, which may go on, was sent to an engine.
        self._sent = False
        self._path_run: PathRun | None = None
        self._slowness = 1.0
        # Who ends the answer if it is not complete when this call ends.
        self._cut = _STOPPED

    async def run(self) -> None:
        """Answer the request.

        :raises magnoliacove.errors.RequestError: when the stream cannot be
            completed.
        """
        try:
            await self._run_until_deadline()
        except Exception as exc:
            if not isinstance(exc, errors.RequestError):
                self._cut = Cut(errors.EndedBy.GATEWAY, repr(exc))
            raise
        finally:
            # Cancelled just as the queue has reserved a path, the stream has
            # not begun to use it.
            self._path_reservation.release_path()
            self._path_reservation.release_next()
            if self._exchange.started and not self._exchange.ended:
                self._record_cut()
        first = self._log.record_answer(
            self._exchange.status,
            self._runs + 1,
            self._slowness,
            trio.current_time(),
        )
        self._state.meters.observe("first_event_seconds", first)

    async def _run_until_deadline(self) -> None:
        done = False
        limits = self._state.call_limits
        with limits.limit(self._routed.deadline):
            await self._handover.run_beside(self._run)
            done = True
        if done:
            return
        sent = self.read_progress().sent
        if limits.ended:
            self._cut = _STOPPED
            raise make_stopped(sent)
        self._cut = Cut(errors.EndedBy.GATEWAY, "its deadline passed")
        raise make_timeout(sent)

    def read_progress(self) -> Progress:
        """Return how far the request has come."""
        run, path = self._path_run, self.path
        sending = run is not None and run.sent
        targets = path.targets if sending and path is not None else ()
        return Progress(self._runs > 0 or self._sent or sending, targets)

    def _record_cut(self) -> None:
        cut = self._cut
        if self._exchange.caller_left:
            why = "the caller closed its connection"
            cut = Cut(errors.EndedBy.CALLER, why)
        self._log.record_cut(
            cut,
            self._read_rerun_facts(),
            self._runs,
            self._path_reservation.has_other_path(),
        )

    def _read_rerun_facts(self) -> RerunFacts:
        state, routed = self._state, self._routed
        return RerunFacts(
            begun=self.began,
            repeatable=routed.route.repeatable,
            quarantined=not state.may_repeat(self),
            retries_left=state.retry_budget.read_remaining(self.service),
            refusals=self._refusals,
            seconds_left=routed.deadline - trio.current_time(),
        )

    # Called by the stall watch.

    @property
    def path(self) -> Path | None:
        """The current path, or None while there is none."""
        return self._path_reservation.path

    @property
    def first_target(self) -> ListedTarget | None:
        """The first engine of the current path."""
        return self._path_reservation.first_target

    @property
    def shape(self) -> ModelShape:
        """The shape of the model that the stream runs on."""
        return self._path_reservation.shape

    @property
    def began(self) -> bool:
        """Whether the caller was sent an event of this answer."""
        return self._delivery.began

    @property
    def data_at(self) -> float:
        """When the engines of the current path last brought data."""
        return self._delivery.data_at

    @property
    def waits_on_old_connection(self) -> bool:
        """Whether nothing of the current run came on a reused connection."""
        run = self._path_run
        return run is not None and run.reused and not self._delivery.answered

    def read_silence(self, now: float) -> float:
        """Return the seconds since the engine last sent data.

        :returns: 0 while no data is due.
        """
        if self._scope is None or self._delivery.writing:
            return 0.0
        return now - self._delivery.received_at

    def read_wait(self, now: float) -> float:
        """Return the seconds since the caller was last sent an event.

        :returns: 0 while no event is due.
        """
        if self._scope is None or self._delivery.writing:
            return 0.0
        return now - max(self._delivery.sent_at, self._path_started_at)

    def read_tokens(self) -> tuple[float, float]:
        """Return the numbers of prompt tokens and of tokens to generate."""
        return self._path_reservation.read_tokens()

    def take_path(self, path: Path, reservation: Reservation) -> None:
        """Continue on another path with the same first stage."""
        self.departure.stop_waiting()
        self._handover.withdraw()
        self._path_reservation.replace_path(path, reservation)
        # The new stages read all tokens so far before the next event.
        self._delivery.received_at = trio.current_time()
        self._delivery.forget_data()

    def note_unusable_engines(self, targets: Iterable[str]) -> None:
        """Record that engines of the current path are unusable."""
        age = self._delivery.read_run_age()
        self._crash_watch.check_failed_engines(targets, self._routed, age)

    def _note_write(self) -> None:
        # The path works, so the stream need not change to another one.
        self.departure.stop_waiting()
        self._handover.withdraw()
        if self._delivery.read_run_age() >= PROVEN_AFTER:
            self._note_lasting()
        if not self._first_event_noted:
            self._first_event_noted = True
            seconds = self._delivery.received_at - self._path_started_at
            self._state.capacity_queue.note_first_event(self.service, seconds)

    def _note_lasting(self) -> None:
        """Note that the present run shows that its parts are harmless."""
        if self._lasting_noted:
            return
        self._lasting_noted = True
        age = self._delivery.read_run_age()
        self._crash_watch.attribution.note_lasting(self.parts, age)

    def _begin_attempt(self) -> None:
        self._handover.begin()

    def _end_run(self) -> None:
        if self._scope is not None:
            self._scope.cancel()

    # Choosing paths.

    async def _run(self) -> None:
        while True:
            await self._find_path()
            first = self.first_target
            try:
                active = self._state.list_quarantines(self)
                check_quarantines(active, self._runs)
                self._check_time_left()
                await self._run_on_path()
                self._note_lasting()
                self._slowness = self._path_reservation.measure_slowness()
                return
            except BrokenRunError as exc:
                failure = exc
                self._record_path_failure(first, failure)
            finally:
                self._path_reservation.release_path()
            name = first.name if first else ""
            await self._crash_watch.wait_until_checked(name, self._routed)
            if not self._may_retry(failure):
                await answer_failure(self._exchange, failure, self._runs)
                return
            await trio.sleep(compute_pause(self._runs + self._refusals))

    async def _find_path(self) -> None:
        """Wait until a path has capacity, and reserve it."""
        routed = self._routed
        accepted = self._handover.accepted
        if self._path_reservation.take_next(accepted=accepted):
            return
        self._handover.withdraw_lost()
        if self.began:
            await self._owed_retry.wait_payable()
        now = trio.current_time()
        objective = routed.route.latency_objective
        caller_timeout = read_caller_timeout(routed.route)
        arrived = routed.request.arrived
        remaining = routed.deadline - now
        if not self.began:
            remaining = min(
                remaining, arrived + caller_timeout - _FIRST_EVENT_MARGIN - now
            )
        # Once the answer has begun it can only be cut off, not refused.  The
        # caller disconnects on its own; until then a path may become free.
        if remaining <= 0:
            raise make_too_late(self._runs > 0, REFUSED_RETRY)
        try:
            await self._state.capacity_queue.wait_path(
                lambda: self._owed_retry.reserve_path(begun=self.began),
                # A stream that has begun precedes all others: its caller
                # disconnects soon, and the events sent so far would be lost.
                priority=-1 if self.began else routed.priority,
                fresh_until=now + remaining
                if self.began
                else arrived + objective,
                timeout=remaining,
                # Once an engine may have run it, it can no longer be refused.
                may_refuse=not self.began and not self._runs,
                # An answer that has begun is never refused.
                read_delay=self._path_reservation.read_delay
                if not self.began
                else lambda: 0.0,
                service=self.service,
                account=routed.account,
                tokens=sum(self.read_tokens()),
            )
        except errors.RequestError as exc:
            self._cut = Cut(errors.EndedBy.GATEWAY, f"{exc.code}: {exc}")
            if not self._runs:
                raise
            # The failed path may have run the request; a refusal would state
            # that no engine did.
            raise make_may_have_run(exc.code, str(exc), 502) from exc

    def _check_time_left(self) -> None:
        """Refuse a stream that this process cannot serve to its end.

        :raises magnoliacove.errors.RequestError: when it would be cut.
        """
        path = self.path
        if path is None or self.read_progress().sent:
            return
        if not self._state.call_limits.may_begin(path.seconds):
            raise make_stopped(False, REFUSED_RETRY)

    def _record_path_failure(
        self, first: ListedTarget | None, failure: BrokenRunError
    ) -> None:
        self._log.record_path_failure(first.name if first else "", failure)
        broke_off = failure.ran and not failure.left
        by = errors.EndedBy.ENGINE if broke_off else errors.EndedBy.GATEWAY
        self._cut = Cut(by, failure.reason)
        if first is not None and failure.ran and failure.answer is None:
            age = self._delivery.read_run_age()
            self._crash_watch.check_broken_run(first, self._routed, age)

    def _note_failed_attempt(
        self, run: PathRun, failure: BrokenRunError
    ) -> None:
        """Note that the attempt to change to another path failed."""
        stays = self.departure.running
        self._log.record_path_failure(run.first.name, failure, stays=stays)
        if run.sent and not stays:
            # What was paid for this attempt does not pay for the next path.
            self._owed_retry.owe()
        if not failure.ran:
            self._refusals += 1
            return
        self._runs += 1
        if not failure.left:
            self._crash_watch.check_broken_run(run.first, self._routed, 0.0)

    def _may_retry(self, failure: BrokenRunError) -> bool:
        """Return whether another path may be tried; spend a retry for it.

        A begun answer, and a refused request of a full service, wait until
        there is a path, and spend the retry only then.
        """
        self._sent = False
        if failure.ran:
            self._runs += 1
        else:
            self._refusals += 1
        if self.departure.take_retry():
            # Decided and paid for before the path was left.  Only a crash that
            # became known since then stops the stream.
            return self._state.may_repeat(self)
        facts = self._read_rerun_facts()
        if find_obstacle(facts, ran=failure.ran) is not None:
            return False
        full = self._state.saturation.is_full(self.service)
        if self.began or (full and not failure.ran):
            self._owed_retry.owe()
            return True
        return self._state.retry_budget.try_spend(self.service)

    # Running on one path.

    async def _run_on_path(self) -> None:
        """Send the request along the path and forward the events.

        :raises BrokenRunError: when the stream does not complete.
        """
        reserved = self._path_reservation.current
        if reserved is None:
            raise BrokenRunError("the first engine is gone", False)
        attempt = self._handover.take()
        run = attempt.run if attempt else self._make_run(reserved)
        self.departure.begin()
        self._cut = _STOPPED
        self._delivery.prepare_run()
        self._lasting_noted = False
        self._path_started_at = self._delivery.received_at
        self._path_run = run
        self._stalls.streams.add(self)
        try:
            with trio.CancelScope() as self._scope:
                await (attempt.wait() if attempt else run.open())
                await run.forward()
                return
        finally:
            self._sent = run.sent
            self._path_run = None
            self._scope = None
            self.departure.end()
            self._stalls.streams.discard(self)
        raise BrokenRunError(self.departure.reason, run.sent, left=True)

    def _make_run(self, reserved: ReservedPath) -> PathRun:
        """Return a run along a reserved path, and record that it begins."""
        number = self._runs + self._refusals + 1 + self.departure.running
        self._log.record_path(reserved.path, number, trio.current_time())
        return PathRun(
            self._state,
            self._stalls.check_refusal,
            self._routed,
            self._path_reservation,
            self._delivery,
            reserved,
            # An idle connection may be silent.  A stream that may run once
            # could not leave it.
            fresh=number > 1 or not self._routed.route.repeatable,
        )
