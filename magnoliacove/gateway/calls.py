"""One request to a plain service: tried, repeated where that is right."""

from dataclasses import dataclass

import trio

from magnoliacove import errors
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.exchanges import is_genuine
from magnoliacove.gateway.exchanges import read_answer
from magnoliacove.gateway.exchanges import send_request
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.requests import make_timeout
from magnoliacove.gateway.requests import make_unwanted
from magnoliacove.gateway.state import GatewayState
from magnoliacove.platform import headers

__all__ = ["PlainCall"]

# Targets that refused without running a request may be followed by others,
# up to so many in all; a service that refuses three times is full.
_MOST_REFUSALS = 3
# A request that may be repeated is run so often at most.  Once as many targets
# ran it as its route allows it goes back to one of these: where some of the
# runs fail by chance, four leave hardly a request without an answer, and three
# failed ones still leave time within the objective.
_MOST_RUNS = 4
# A second target is asked when the first took this many times its usual,
# and at least this part of the latency objective.
_HEDGE_TIMES = 4.0
_HEDGE_OBJECTIVE = 0.4
_RETRY_AFTER = 0.5
_PROMISES = (408, 421, 429, 503)


@dataclass(frozen=True)
class _Result:
    """How one try at a target ended: a whole answer, or an error."""

    target: ListedTarget
    answer: Answer | None = None
    body: bytes = b""
    marks: headers.AnswerHeaders | None = None
    error: TargetError | None = None

    @property
    def not_run(self) -> bool:
        """Whether the target surely did not run the request."""
        if self.error is not None:
            return self.error.outcome is errors.Outcome.NOT_RUN
        return self.marks is not None and self.marks.not_run

    @property
    def final(self) -> bool:
        """Whether it is an answer that no other target would better."""
        answer, marks = self.answer, self.marks
        if answer is None or marks is None or marks.not_run:
            return False
        return marks.stamped and answer.status < 500


class PlainCall:
    """Answers one request from a plain service."""

    def __init__(
        self,
        state: GatewayState,
        crashes: CrashWatch,
        exchange: Exchange,
        routed: RoutedRequest,
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._exchange = exchange
        self._routed = routed
        self._tried: list[str] = []
        # Targets that ran it or may have, one entry a run, and those that
        # are working on it now.
        self._ran: list[str] = []
        self._working: set[str] = set()

    async def run(self) -> None:
        """Answer the request.

        :raises magnoliacove.errors.RequestError: when no answer comes.
        """
        result: _Result | None = None
        with trio.move_on_at(self._routed.deadline):
            result = await self._find_answer()
        if result is None:
            raise make_timeout(bool(self._ran or self._working))
        await self._pass_on(result)

    async def _find_answer(self) -> _Result:
        """Return the answer to pass on, after as many tries as it takes."""
        send, receive = trio.open_memory_channel[_Result](8)
        result: _Result | None = None
        async with trio.open_nursery() as nursery:
            going = self._start(nursery, send)
            while going:
                result = await self._wait_result(nursery, send, receive)
                self._working.discard(result.target.name)
                if not result.not_run:
                    self._ran.append(result.target.name)
                if result.final:
                    break
                started = self._may_repeat(result) and self._start(
                    nursery, send
                )
                going = started or bool(self._working)
            nursery.cancel_scope.cancel()
        if result is None:
            raise self._make_refusal()
        return result

    def _make_refusal(self) -> errors.RequestError:
        """Return the refusal of a request that no target may be sent."""
        service = self._routed.service.name
        wait = self._state.candidates.read_wait(service)
        if wait > 0.0:
            return make_unwanted(service, wait)
        return errors.RequestError(
            "no_target",
            f"no target serves {service} now; the request did not run",
            retry_after=_RETRY_AFTER,
        )

    async def _wait_result(
        self,
        nursery: trio.Nursery,
        send: "trio.MemorySendChannel[_Result]",
        receive: "trio.MemoryReceiveChannel[_Result]",
    ) -> _Result:
        """Return the next result; ask a second target when it takes long."""
        if self._may_run_again(self._routed.route.max_attempts):
            record = self._state.candidates.read_statistics(self._tried[-1])
            objective = self._routed.route.latency_objective
            delay = max(
                record.seconds * _HEDGE_TIMES, objective * _HEDGE_OBJECTIVE
            )
            with trio.move_on_after(delay):
                return await receive.receive()
            if self._state.budget.try_spend(self._routed.service.name):
                self._start(nursery, send)
        return await receive.receive()

    def _may_run_again(self, most: int) -> bool:
        """Return whether one more run may be begun, up to so many in all."""
        runs = len(self._ran) + len(self._working)
        if not self._routed.route.repeatable or runs >= most:
            return False
        return self._state.may_repeat(self._routed.fingerprint)

    def _may_repeat(self, result: _Result) -> bool:
        """Return whether another target may be tried after this result."""
        state, routed = self._state, self._routed
        self._note_failure(result)
        if result.not_run:
            if len(self._tried) >= _MOST_REFUSALS + len(self._ran):
                return False
        elif not self._may_run_again(_MOST_RUNS):
            return False
        if result.error is not None and result.not_run:
            # Nothing arrived anywhere, so it counts as no repeat.
            return True
        return state.budget.try_spend(routed.service.name)

    def _start(
        self,
        nursery: trio.Nursery,
        send: "trio.MemorySendChannel[_Result]",
    ) -> bool:
        """Begin a try at the best target; return False when there is none."""
        routed = self._routed
        target = self._choose_target()
        if target is None:
            return False
        self._state.permits.note_sent([target.name])
        self._tried.append(target.name)
        self._working.add(target.name)
        self._state.recorder.record(
            "call-sent",
            request=routed.marks.request,
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

    def _choose_target(self) -> ListedTarget | None:
        """Return a new target, or one that ran the request before."""
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
        except TargetError as why:
            result = _Result(target, error=why)
            if why.outcome is not errors.Outcome.NOT_RUN:
                self._crashes.check_broken_run(
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
        # On a used connection a request may meet its closing, and whether
        # it ran is then unknown; one that may not run again gets its own.
        fresh = not routed.route.repeatable
        async with state.pool.use(target, fresh=fresh) as channel:
            await send_request(
                channel, target, routed, routed.marks.last_event
            )
            return await self._read_answer(target, channel)

    async def _read_answer(
        self, target: ListedTarget, channel: Channel
    ) -> _Result:
        answer, marks = await read_answer(channel, self._routed.marks.request)
        body = await channel.read_rest()
        if answer.status < 300 and not is_genuine(answer, marks):
            raise TargetError(
                "the answer is not one of the service's targets",
                errors.Outcome.MAY_HAVE_RUN,
            )
        return _Result(target, answer, body, marks)

    def _note_failure(self, result: _Result) -> None:
        state, why = self._state, ""
        if result.error is not None:
            why = str(result.error)
        elif result.answer is not None:
            why = f"it answered {result.answer.status}"
        state.recorder.record(
            "call-failed",
            request=self._routed.marks.request,
            target=result.target.name,
            why=why,
            outcome=errors.Outcome.NOT_RUN
            if result.not_run
            else errors.Outcome.MAY_HAVE_RUN,
        )
        unreachable = result.error is not None and result.not_run
        moved = result.answer is not None and result.answer.status == 421
        if unreachable or moved:
            state.health.suspect(result.target.name, why)

    async def _pass_on(self, result: _Result) -> None:
        """Send the answer on, or say what is known of the request."""
        answer, marks = result.answer, result.marks
        if result.not_run and not self._ran:
            raise errors.RequestError(
                "refused",
                "every target that was asked refused; the request did not run",
                retry_after=_RETRY_AFTER,
            )
        unproven = answer is None or marks is None or not marks.stamped
        # Callers read these as "did not run"; this one may have.
        promise = answer is not None and answer.status in _PROMISES
        if answer is None or unproven or promise or result.not_run:
            raise errors.RequestError(
                "target_failed",
                "the target gave no whole answer; the request may have run",
                status=502,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            )
        self._state.recorder.record(
            "request-answered",
            request=self._routed.marks.request,
            target=result.target.name,
            status=answer.status,
            seconds=round(
                trio.current_time() - self._routed.request.arrived, 3
            ),
        )
        copied = headers.copy_answer(answer.headers)
        await self._exchange.answer(answer.status, copied, result.body)
