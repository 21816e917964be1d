"""One request to a plain service, from an entry to a target and back."""

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
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["PlainCall", "Send"]

Send = Callable[[messages.Answer], Awaitable[None]]


class PlainCall:
    """Runs one call, elsewhere again only where that is right.

    :param deadline: by trio's clock.
    """

    def __init__(
        self,
        call: messages.Call,
        deadline: float,
        pool: TargetPool,
        view: View,
        budget: limits.RetryBudget,
        recorder: Recorder,
    ) -> None:
        self._call = call
        self._deadline = deadline
        self._pool = pool
        self._view = view
        self._budget = budget
        self._recorder = recorder
        self._inbox: deque[tuple[str, object]] = deque()
        self._arrived = trio.Event()
        self._target = ""
        self._name = b""
        self._began = False
        self._tried: set[str] = set()

    # What the pool calls.

    def receive(self, source: str, message: object) -> None:
        """Take a message without waiting."""
        self._inbox.append((source, message))
        self._arrived.set()

    def uses(self, name: str) -> bool:
        """Return whether the call depends on an agent."""
        return name == self._target

    def check(self, now: float) -> None:
        """Do nothing: the call's deadline ends it."""

    # Running.

    async def run(self, send: Send) -> None:
        """Run the call to its end.

        :param send: takes the parts of the answer in order.
        :raises magnoliacove.errors.RequestError: when no answer comes.
        """
        backoff = Backoff(0.02, 0.5)
        attempt = 0
        while True:
            attempt += 1
            try:
                await self._try_once(attempt, send)
                return
            except errors.RequestError as why:
                self._require_repeatable(why, attempt)
            await backoff.pause()

    def _require_repeatable(
        self, why: errors.RequestError, attempt: int
    ) -> None:
        """Raise the error unless another try is right."""
        # Part of an answer that was sent on cannot be taken back, and a
        # request that may have run may only run again if it is idempotent.
        may_repeat = why.outcome is errors.Outcome.NOT_RUN or (
            self._call.idempotent and why.code != "deadline"
        )
        hopeless = why.status in (400, 409, 422) and why.code != "not_owner"
        late = trio.current_time() >= self._deadline
        if (
            self._began
            or not may_repeat
            or hopeless
            or late
            or why.code == "no_target"
            or attempt >= defaults.MAX_ATTEMPTS
            or not self._budget.try_spend()
        ):
            raise why
        self._recorder.record(
            "call-retried",
            request=self._call.request,
            target=self._target,
            why=f"{why.code}: {why}",
        )

    async def _try_once(self, attempt: int, send: Send) -> None:
        call = self._call
        # Each try has a name of its own, so a late answer to an earlier
        # one is never taken for this one's.
        name = self._name = call.request[:-1] + bytes([attempt])
        remaining = self._deadline - trio.current_time()
        self._inbox.clear()
        self._target = self._choose_target()
        self._tried.add(self._target)
        message = replace(
            call,
            request=name,
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
        self._pool.receivers[name] = self
        try:
            self._post(message)
            await self._take_answer(send)
        except trio.Cancelled:
            # The caller hung up; the target need not go on for nobody.
            self._cancel()
            raise
        finally:
            estimate.own -= 1
            del self._pool.receivers[name]

    def _post(self, message: messages.Call) -> None:
        try:
            self._pool.post(self._target, message)
        except errors.PeerError as why:
            raise errors.RequestError(
                "target_unreachable", str(why), retry_after=1.0
            ) from why

    def _choose_target(self) -> str:
        call = self._call
        if call.key and not call.idempotent:
            return find_owner(self._view, self._pool, call.service, call.key)
        names = self._pool.list_plain(call.service)
        fresh = [name for name in names if name not in self._tried] or names
        if not fresh:
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

        return min(fresh, key=cost)

    async def _take_answer(self, send: Send) -> None:
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
                    self._began = True
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
            self._pool.post(self._target, messages.CancelCall(self._name))
        except errors.PeerError:
            return

    async def _next(self) -> tuple[str, object]:
        while not self._inbox:
            self._arrived = trio.Event()
            await self._arrived.wait()
        return self._inbox.popleft()
