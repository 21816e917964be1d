"""Requests to plain services, with retries and hedging."""

import contextlib
from dataclasses import dataclass
from http import HTTPStatus

import trio

from magnoliacove import errors
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.exchanges import is_genuine
from magnoliacove.gateway.exchanges import read_answer
from magnoliacove.gateway.exchanges import read_body
from magnoliacove.gateway.exchanges import send_request
from magnoliacove.gateway.open_requests import Progress
from magnoliacove.gateway.requests import REFUSED_RETRY
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.requests import make_stopped
from magnoliacove.gateway.requests import make_targets_limited
from magnoliacove.gateway.requests import make_timeout
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.target_answers import TargetAnswer
from magnoliacove.gateway.target_answers import forward_answer
from magnoliacove.gateway.target_answers import require_answer

__all__ = ["PlainCall"]

# Maximum number of targets that refuse a request without running it.  After
# three refusals the service has no capacity.
_MAX_REFUSALS = 3
# Maximum number of runs of a repeatable request.  Once the request has run on
# as many targets as its route allows, it returns to one of these.  Where some
# of the runs fail at random, four runs leave hardly any request without an
# answer, and three failed ones still leave time within the latency objective.
_MAX_RUNS = 4
# A request is hedged, that is, also sent to a second target, when the first
# one takes longer than this multiple of its usual time and than this fraction
# of the latency objective.
_HEDGE_FACTOR = 4.0
_HEDGE_OBJECTIVE_FRACTION = 0.4


@dataclass(frozen=True)
class _Result:
    """The result of one attempt at a target: a whole answer or an error."""

    target: ListedTarget
    answer: TargetAnswer | None = None
    error: TargetError | None = None

    @property
    def not_run(self) -> bool:
        """Whether the target certainly did not run the request."""
        if self.error is not None:
            return self.error.outcome is errors.Outcome.NOT_RUN
        return self.answer is not None and self.answer.decoded.not_run

    @property
    def final(self) -> bool:
        """Whether the answer is forwarded without trying another target."""
        answer = self.answer
        if answer is None or answer.decoded.not_run:
            return False
        return answer.decoded.stamped and answer.status < 500

    def describe(self) -> str:
        """Return what the target did."""
        if self.answer is not None:
            return f"it answered {self.answer.status}"
        return str(self.error)


class PlainCall:
    """Answers one request from a plain service."""

    def __init__(
        self,
        state: GatewayState,
        crash_watch: CrashWatch,
        exchange: Exchange,
        routed: RoutedRequest,
    ) -> None:
        self._state = state
        self._crash_watch = crash_watch
        self._exchange = exchange
        self._routed = routed
        self._buffers = contextlib.ExitStack()
        self._tried: list[str] = []
        # Targets that may have run the request, one entry for each run, and
        # targets that are processing it now.
        self._ran: list[str] = []
        self._working: set[str] = set()
        # Why it is not sent to a target that there is.
        self._refusal: errors.RequestError | None = None

    async def run(self) -> None:
        """Answer the request.

        :raises magnoliacove.errors.RequestError: when there is no answer.
        """
        result: _Result | None = None
        with self._buffers:
            limits = self._state.call_limits
            with limits.limit(self._routed.deadline):
                result = await self._find_answer()
            if result is None:
                make_error = make_stopped if limits.ended else make_timeout
                raise make_error(self.read_progress().sent)
            await self._forward(result)

    def read_progress(self) -> Progress:
        """Return how far the request has come."""
        sent = bool(self._ran or self._working)
        return Progress(sent, tuple(sorted(self._working)))

    async def _find_answer(self) -> _Result:
        """Send the request, with retries, and return the result to forward."""
        send, receive = trio.open_memory_channel[_Result](8)
        result: _Result | None = None
        async with trio.open_nursery() as nursery:
            in_progress = self._start(nursery, send)
            while in_progress:
                result = await self._wait_result(nursery, send, receive)
                self._working.discard(result.target.name)
                if not result.not_run:
                    self._ran.append(result.target.name)
                if result.final:
                    break
                started = self._may_retry(result) and self._start(
                    nursery, send
                )
                in_progress = started or bool(self._working)
            nursery.cancel_scope.cancel()
        if result is None:
            raise self._make_refusal()
        return result

    def _make_refusal(self) -> errors.RequestError:
        """Return the error for a request that cannot be sent to any target."""
        if self._refusal is not None:
            return self._refusal
        service = self._routed.service.name
        wait = self._state.candidates.read_wait(service)
        if wait > 0.0:
            return make_targets_limited(service, wait)
        return errors.RequestError(
            "no_target",
            f"no target serves {service} now; the request did not run",
            retry_after=REFUSED_RETRY,
        )

    async def _wait_result(
        self,
        nursery: trio.Nursery,
        send: "trio.MemorySendChannel[_Result]",
        receive: "trio.MemoryReceiveChannel[_Result]",
    ) -> _Result:
        """Return the next result; hedge the request if it takes too long."""
        if self._may_run_again(self._routed.route.max_attempts):
            record = self._state.candidates.read_statistics(self._tried[-1])
            objective = self._routed.route.latency_objective
            delay = max(
                record.seconds * _HEDGE_FACTOR,
                objective * _HEDGE_OBJECTIVE_FRACTION,
            )
            with trio.move_on_after(delay):
                return await receive.receive()
            if self._state.retry_budget.try_spend(self._routed.service.name):
                self._start(nursery, send)
        return await receive.receive()

    def _may_run_again(self, max_runs: int) -> bool:
        """Return whether one more run may start, of `max_runs` in all."""
        runs = len(self._ran) + len(self._working)
        if not self._routed.route.repeatable or runs >= max_runs:
            return False
        return self._state.may_repeat(self._routed)

    def _may_retry(self, result: _Result) -> bool:
        """Return whether the request may be tried again after a result."""
        state, routed = self._state, self._routed
        self._record_failure(result)
        if result.not_run:
            if len(self._tried) >= _MAX_REFUSALS + len(self._ran):
                return False
        elif not self._may_run_again(_MAX_RUNS):
            return False
        if result.error is not None and result.not_run:
            # The request reached no target, so this is not a repeat and
            # needs no retry budget.
            return True
        return state.retry_budget.try_spend(routed.service.name)

    def _start(
        self,
        nursery: trio.Nursery,
        send: "trio.MemorySendChannel[_Result]",
    ) -> bool:
        """Start an attempt at the best target; return False without one."""
        routed = self._routed
        target = self._choose_target()
        if target is None:
            return False
        if self._outlasts_process(target):
            self._refusal = make_stopped(False, REFUSED_RETRY)
            return False
        self._state.permits.note_sent([target.name])
        self._tried.append(target.name)
        self._working.add(target.name)
        self._state.recorder.record(
            "call-sent",
            request=routed.caller_headers.request,
            target=target.name,
            number=len(self._tried),
            running=self._state.loads.read(target.name).requests,
            failures=round(
                self._state.candidates.read_statistics(
                    target.name
                ).read_failures(trio.current_time()),
                2,
            ),
        )
        nursery.start_soon(self._try_target, target, send)
        return True

    def _outlasts_process(self, target: ListedTarget) -> bool:
        """Return whether an answer would come after the end of this process.

        A request that was sent is never refused for that.
        """
        if self.read_progress().sent:
            return False
        statistics = self._state.candidates.read_statistics(target.name)
        return not self._state.call_limits.may_begin(statistics.seconds)

    def _choose_target(self) -> ListedTarget | None:
        """Return an untried target, or else one that ran the request."""
        candidates, service = self._state.candidates, self._routed.service
        runners = set(self._ran) | self._working
        if len(runners) < self._routed.route.max_attempts:
            target = candidates.choose_target(service.name, self._tried)
            if target is not None:
                return target
        return candidates.choose_target(
            service.name, self._working, among=self._ran
        )

    async def _try_target(
        self, target: ListedTarget, send: "trio.MemorySendChannel[_Result]"
    ) -> None:
        state = self._state
        began = trio.current_time()
        reservation = state.loads.reserve_target(target.name)
        try:
            result = await self._exchange_with(target)
        except TargetError as exc:
            result = _Result(target, error=exc)
            if exc.outcome is not errors.Outcome.NOT_RUN:
                self._crash_watch.check_broken_run(
                    target, self._routed, trio.current_time() - began
                )
        finally:
            state.loads.release(reservation)
        answer = result.answer
        state.candidates.read_statistics(target.name).note(
            trio.current_time(),
            failed=answer is None or answer.status >= 500,
            seconds=trio.current_time() - began,
        )
        await send.send(result)

    async def _exchange_with(self, target: ListedTarget) -> _Result:
        state, routed = self._state, self._routed
        # The target may close a reused connection just as the request is sent,
        # and then it is unknown whether the request ran.  A request that is
        # not repeatable gets a new connection.
        fresh = not routed.route.repeatable
        async with state.pool.use(target, fresh=fresh) as channel:
            await send_request(
                channel, target, routed, routed.caller_headers.last_event
            )
            return await self._read_answer(target, channel)

    async def _read_answer(
        self, target: ListedTarget, channel: Channel
    ) -> _Result:
        answer, decoded = await read_answer(
            channel, self._routed.caller_headers.request
        )
        # Held until the answer is forwarded or replaced by another one.
        buffer = self._buffers.enter_context(self._state.answer_memory.open())
        body = await read_body(channel, decoded, buffer)
        if answer.status < 300 and not is_genuine(answer, decoded):
            raise TargetError(
                "the answer is not one of the service's targets",
                errors.Outcome.MAY_HAVE_RUN,
            )
        return _Result(target, TargetAnswer(answer, decoded, body))

    def _record_failure(self, result: _Result) -> None:
        state, why = self._state, result.describe()
        state.recorder.record(
            "call-failed",
            request=self._routed.caller_headers.request,
            target=result.target.name,
            why=why,
            outcome=errors.Outcome.NOT_RUN
            if result.not_run
            else errors.Outcome.MAY_HAVE_RUN,
        )
        unreachable = result.error is not None and result.not_run
        misdirected = (
            result.answer is not None
            and result.answer.status == HTTPStatus.MISDIRECTED_REQUEST
        )
        if unreachable or misdirected:
            state.health.suspect(result.target.name, why)

    async def _forward(self, result: _Result) -> None:
        """Forward the answer of the last result.

        :raises magnoliacove.errors.RequestError: when the result is an error
            or an answer that must not be forwarded.
        """
        answer = require_answer(
            result.answer,
            ran=bool(self._ran),
            code="target_failed",
            message=f"no target served the request; the last one, "
            f"{result.target.name}: {result.describe()}",
        )
        self._state.recorder.record(
            "request-answered",
            request=self._routed.caller_headers.request,
            target=result.target.name,
            status=answer.status,
            seconds=round(
                trio.current_time() - self._routed.request.arrived, 3
            ),
        )
        if not answer.reports_failure:
            seconds = trio.current_time() - self._routed.request.arrived
            attribution = self._crash_watch.attribution
            attribution.note_lasting(self._routed.parts, seconds)
        await forward_answer(self._exchange, answer)
