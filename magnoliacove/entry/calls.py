"""One request of an entry to a plain service."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import limits
from magnoliacove.directory import Backoff
from magnoliacove.directory import View
from magnoliacove.entry.claims import find_owner
from magnoliacove.entry.claims import read_refusal
from magnoliacove.entry.pool import PeerChanged
from magnoliacove.entry.pool import TargetPool
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import hold_part
from magnoliacove.limits.caller_memory import release_part
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["PlainCall", "Send"]

Send = Callable[[messages.Answer], Awaitable[None]]


class PlainCall:
    """Runs one call, and retries it on another target if that is safe.

    :param deadline: in seconds of trio's clock.
    :param allocation: the memory of the parts of its answer that its caller
        has not taken yet.
    """

    def __init__(
        self,
        call: messages.Call,
        deadline: float,
        allocation: Allocation,
        pool: TargetPool,
        view: View,
        budget: limits.RetryBudget,
        recorder: Recorder,
    ) -> None:
        self._call = call
        self._deadline = deadline
        self._allocation = allocation
        # Why the rest of the answer is not queued.
        self._overflow: errors.RequestError | None = None
        self._pool = pool
        self._view = view
        self._budget = budget
        self._recorder = recorder
        self._inbox: deque[tuple[str, object]] = deque()
        self._arrived = trio.Event()
        self._target = ""
        self._request_id = b""
        self._answer_started = False
        # Whether an earlier attempt may have run.
        self._may_have_run = False
        self._tried_targets: set[str] = set()

    # Called by the pool.

    def receive(self, source: str, message: object) -> None:
        """Queue a message without waiting."""
        if self._overflow is not None:
            return
        try:
            if isinstance(message, messages.Answer):
                hold_part(self._allocation, message.body)
            self._inbox.append((source, message))
        except errors.RequestError as exc:
            self._overflow = exc
            self._drop_queued()
            self._cancel()
        self._arrived.set()

    def _drop_queued(self) -> None:
        self._inbox.clear()
        self._allocation.shrink(0)

    def depends_on(self, name: str) -> bool:
        """Return whether the call depends on an agent."""
        return name == self._target

    def check_timeout(self, now: float) -> None:
        """Do nothing; the call ends at its deadline."""

    # Running.

    async def run(self, send: Send) -> None:
        """Run the call to completion.

        :param send: called with the parts of the answer in order.
        :raises magnoliacove.errors.RequestError: when the call fails.
        """
        backoff = Backoff(0.02, 0.5)
        attempt = 0
        while True:
            attempt += 1
            try:
                await self._attempt_once(attempt, send)
                return
            except errors.RequestError as exc:
                self._require_repeatable(exc, attempt)
            await backoff.pause()

    def _require_repeatable(
        self, exc: errors.RequestError, attempt: int
    ) -> None:
        """Raise the error unless the call may be retried."""
        # A part of an answer that was already forwarded cannot be taken
        # back, and a request that may have run may only run again if it is
        # idempotent.
        may_repeat = exc.outcome is errors.Outcome.NOT_RUN or (
            self._call.idempotent and exc.code != "deadline"
        )
        permanent = exc.status in (400, 409, 422) and exc.code != "not_owner"
        expired = trio.current_time() >= self._deadline
        if (
            self._answer_started
            or not may_repeat
            or permanent
            or expired
            or exc.code == "no_target"
            or attempt >= defaults.MAX_ATTEMPTS
            or not self._budget.try_spend()
        ):
            raise errors.note_earlier_run(exc) if self._may_have_run else exc
        self._may_have_run |= exc.outcome is not errors.Outcome.NOT_RUN
        self._recorder.record(
            "call-retried",
            request=self._call.request,
            target=self._target,
            why=f"{exc.code}: {exc}",
        )

    async def _attempt_once(self, attempt: int, send: Send) -> None:
        call = self._call
        # Each attempt has its own request ID, so that a late answer to an
        # earlier attempt is never taken for the answer to this one.
        request_id = self._request_id = call.request[:-1] + bytes([attempt])
        remaining = self._deadline - trio.current_time()
        self._drop_queued()
        self._overflow = None
        self._target = self._choose_target()
        self._tried_targets.add(self._target)
        message = replace(
            call,
            request=request_id,
            deadline=max(1, int(remaining * 1000)),
            configuration_version=self._view.version,
        )
        self._recorder.record(
            "call-sent",
            request=call.request,
            target=self._target,
            attempt=attempt,
            key=call.key,
        )
        estimate = self._pool.estimates.target(self._target)
        estimate.own += 1
        self._pool.receivers[request_id] = self
        try:
            self._post(message)
            await self._receive_answer(send)
        except trio.Cancelled:
            # The caller disconnected, so the target can stop.
            self._cancel()
            raise
        finally:
            estimate.own -= 1
            del self._pool.receivers[request_id]

    def _post(self, message: messages.Call) -> None:
        try:
            self._pool.post(self._target, message)
        except errors.PeerError as exc:
            raise errors.RequestError(
                "target_unreachable", str(exc), retry_after=1.0
            ) from exc

    def _choose_target(self) -> str:
        call = self._call
        if call.key and not call.idempotent:
            return find_owner(self._view, self._pool, call.service, call.key)
        names = self._pool.list_plain(call.service)
        candidates = [
            name for name in names if name not in self._tried_targets
        ] or names
        if not candidates:
            raise errors.RequestError(
                "no_target",
                f"no usable target serves {call.service}; see "
                "'magnoliacove status'",
                retry_after=2.0,
            )

        def cost(name: str) -> tuple[float, float]:
            estimate = self._pool.estimates.target(name)
            waiting = estimate.expected_running + 1
            penalty = estimate.penalty(trio.current_time())
            return penalty, waiting * estimate.step_seconds()

        return min(candidates, key=cost)

    async def _receive_answer(self, send: Send) -> None:
        with trio.move_on_at(self._deadline) as scope:
            while True:
                source, message = await self._next()
                if isinstance(message, PeerChanged):
                    if message.lost:
                        raise self._describe_loss(message)
                    continue
                if source != self._target:
                    continue
                if isinstance(message, messages.Refused):
                    raise read_refusal(message)
                if isinstance(message, messages.Answer):
                    self._check_status(message.status)
                    self._answer_started = True
                    await send(message)
                    if not message.more:
                        return
        if scope.cancelled_caught:
            self._cancel()
            raise errors.RequestError(
                "deadline",
                "the service gave no whole answer before the deadline",
                status=504,
                outcome=errors.Outcome.MAY_HAVE_RUN,
            )

    def _check_status(self, status: int) -> None:
        """Withhold an answer whose caller would repeat what may run once.

        The call was sent to the service, whose status may come after a run.

        :param status: 0 for a further part of an answer.
        :raises magnoliacove.errors.RequestError: in its place.
        """
        if self._call.idempotent or status not in errors.NOT_RUN_STATUSES:
            return
        self._cancel()
        raise errors.RequestError(
            "target_failed",
            f"{self._call.service} answered {status}; the request may have "
            "run, look its result up before you send it again",
            outcome=errors.Outcome.MAY_HAVE_RUN,
        )

    def _describe_loss(self, change: PeerChanged) -> errors.RequestError:
        return errors.RequestError(
            "target_lost",
            f"the connection to {change.name} was lost before its answer "
            f"was complete ({change.reason})",
            status=502,
            outcome=errors.Outcome.MAY_HAVE_RUN,
            retry_after=1.0,
        )

    def _cancel(self) -> None:
        try:
            self._pool.post(
                self._target, messages.CancelCall(self._request_id)
            )
        except errors.PeerError:
            return

    async def _next(self) -> tuple[str, object]:
        while not self._inbox:
            if self._overflow is not None:
                raise self._overflow
            self._arrived = trio.Event()
            await self._arrived.wait()
        source, message = self._inbox.popleft()
        if isinstance(message, messages.Answer):
            release_part(self._allocation, message.body)
        return source, message
