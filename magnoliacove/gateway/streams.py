"""One stream: sent down a path of engines, resumed when the path is lost.

A caller sees one answer.  When its path is lost the stream goes on at
another one after the last whole event that was sent on, inside the same
answer, so nothing is missing and nothing comes twice.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib

import trio

from magnoliacove import errors
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.delivery import BrokenRunError
from magnoliacove.gateway.delivery import EventDelivery
from magnoliacove.gateway.exchanges import is_genuine
from magnoliacove.gateway.exchanges import read_answer
from magnoliacove.gateway.exchanges import send_request
from magnoliacove.gateway.holds import PathHold
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.requests import make_hopeless
from magnoliacove.gateway.requests import make_quarantined
from magnoliacove.gateway.requests import make_timeout
from magnoliacove.gateway.requests import make_uncertain
from magnoliacove.gateway.requests import read_caller_patience
from magnoliacove.gateway.stalls import StallWatch
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.stream_lines import StreamLines
from magnoliacove.limits.load import Reservation
from magnoliacove.platform import headers
from magnoliacove.routing.paths import Path

__all__ = ["StreamCall"]

# Engines that refuse without running a request cost it nothing but time;
# after so many refusals there is no room, whatever the books say.
_MOST_REFUSALS = 4
# What is left of a caller's patience for the path to bring the first event,
# once it is found: reading a usual prompt on a busy path, twice.
_FIRST_EVENT_TIME = 0.5
_RETRY_AFTER = 0.5
# Pauses between tries of one request, in seconds: a first one of about the
# time that a usual first event takes, and one that fits a caller's patience.
_FIRST_PAUSE = 0.05
_MOST_PAUSE = 0.4


class StreamCall:
    """Answers one request from a model's engines."""

    def __init__(
        self,
        state: GatewayState,
        stalls: StallWatch,
        crashes: CrashWatch,
        exchange: Exchange,
        routed: RoutedRequest,
    ) -> None:
        self.request = routed.marks.request
        self.service = routed.service.name
        self.fingerprint = routed.fingerprint
        self._state = state
        self._stalls = stalls
        self._crashes = crashes
        self._exchange = exchange
        self._routed = routed
        self._hold = PathHold(state, routed)
        self._delivery = EventDelivery(
            exchange, routed.marks.last_event, self._leave_if_moved
        )
        self._lines = StreamLines(state.recorder, routed, self._delivery)
        self._path_at = 0.0
        self._scope: trio.CancelScope | None = None
        self._moved = ""
        self._runs = 0
        self._refusals = 0
        self._slowness = 1.0

    async def run(self) -> None:
        """Answer the request.

        :raises magnoliacove.errors.RequestError: when the stream cannot be
            brought to its end.
        """
        done = False
        with trio.move_on_at(self._routed.deadline):
            await self._run()
            done = True
        if not done:
            raise make_timeout(self._runs > 0)
        first = self._lines.note_answered(
            self._runs + 1, self._slowness, trio.current_time()
        )
        self._state.meters.observe("first_event_seconds", first)

    # What the stall watch calls.

    @property
    def path(self) -> Path | None:
        """The present path, or None between two."""
        return self._hold.path

    @property
    def first_target(self) -> ListedTarget | None:
        """The first engine of the present path."""
        return self._hold.first_target

    @property
    def shape(self) -> ModelShape:
        """The shape of the model that the stream runs on."""
        return self._hold.shape

    @property
    def began(self) -> bool:
        """Whether the caller has an event of this answer."""
        return self._delivery.began

    def read_silence(self, now: float) -> float:
        """Return seconds since the engine was heard last, 0 if not due."""
        if self._scope is None or self._delivery.writing:
            return 0.0
        return now - self._delivery.heard_at

    def read_wait(self, now: float) -> float:
        """Return seconds since the caller got an event, 0 if not due."""
        if self._scope is None or self._delivery.writing:
            return 0.0
        return now - max(self._delivery.sent_at, self._path_at)

    def has_other_path(self) -> bool:
        """Return whether there is a path without the present first engine."""
        return self._hold.has_other_path()

    def read_tokens(self) -> tuple[float, float]:
        """Return the tokens of the prompt and those to be written."""
        return self._hold.read_tokens()

    def take_path(self, path: Path, reservation: Reservation) -> None:
        """Go on with another path after the same first stage."""
        self._hold.take(path, reservation)
        # The new stages read the tokens so far before the next event.
        self._delivery.heard_at = trio.current_time()

    def move(self, why: str) -> None:
        """Leave the present path and go on elsewhere."""
        if self._scope is None or self._moved:
            return
        self._moved = why
        if not self._delivery.writing:
            self._scope.cancel()

    def note_lost(self, targets: Iterable[str]) -> None:
        """Take it that engines of the present path are lost."""
        age = self._delivery.read_run_age()
        self._crashes.check_failed_engines(targets, self._routed, age)

    def _leave_if_moved(self) -> None:
        """Leave the path now if that had to wait for a write."""
        if self._moved and self._scope is not None:
            self._scope.cancel()

    # Trying paths.

    async def _run(self) -> None:
        while True:
            await self._find_path()
            first = self.first_target
            try:
                self._check_quarantine()
                await self._follow_path()
                self._slowness = self._hold.measure_slowness()
                return
            except BrokenRunError as why:
                failure = why
                self._note_lost(first, failure)
            finally:
                self._hold.leave()
            name = first.name if first else ""
            await self._crashes.wait_until_checked(name, self.fingerprint)
            if not self._may_go_on(failure):
                await self._give_up(failure)
                return
            await self._pause()

    async def _find_path(self) -> None:
        """Wait until a path has room, and reserve it."""
        routed = self._routed
        now = trio.current_time()
        objective = routed.route.latency_objective
        leaves = read_caller_patience(routed.route)
        arrived = routed.request.arrived
        left = routed.deadline - now
        if not self.began:
            left = min(left, arrived + leaves - _FIRST_EVENT_TIME - now)
        # An answer that has begun cannot be refused any more, only cut.  Its
        # caller leaves by itself; until then a path may still come.
        if left <= 0:
            raise make_hopeless(self._runs > 0, _RETRY_AFTER)
        try:
            await self._state.room.wait_path(
                self._hold.reserve,
                # A begun stream goes before all others: its caller leaves
                # soon, and what it has read already would be lost.
                priority=-1 if self.began else routed.priority,
                fresh_until=now + left if self.began else arrived + objective,
                timeout=left,
                # An answer that has begun is not refused any more.
                read_delay=self._hold.read_delay
                if not self.began
                else lambda: 0.0,
            )
        except errors.RequestError as why:
            if not self._runs:
                raise
            # The path that was lost may have run it; a refusal would say
            # that nobody did.
            raise make_uncertain(why.code, str(why), 502) from why

    def _check_quarantine(self) -> None:
        """Stop a request that was found to end targets while it waited.

        :raises magnoliacove.errors.RequestError: when it is kept away.
        """
        found = self._state.quarantine.find(self.fingerprint)
        if found is None:
            return
        if self._runs:
            why = "targets ended while they ran this request"
            raise make_uncertain("quarantined", why, 502)
        wait = found.until - trio.current_time()
        if wait > 0.0:
            raise make_quarantined(wait)

    def _note_lost(
        self, first: ListedTarget | None, failure: BrokenRunError
    ) -> None:
        self._lines.note_lost(first.name if first else "", failure)
        if first is not None and failure.ran and failure.answer is None:
            age = self._delivery.read_run_age()
            self._crashes.check_broken_run(first, self._routed, age)

    def _may_go_on(self, failure: BrokenRunError) -> bool:
        """Return whether another path may be tried."""
        state, route = self._state, self._routed.route
        if failure.ran:
            self._runs += 1
            if not route.repeatable:
                return False
            if not state.may_repeat(self.fingerprint):
                return False
        else:
            self._refusals += 1
            if self._refusals > _MOST_REFUSALS:
                return False
        return state.budget.try_spend(self._routed.service.name)

    async def _pause(self) -> None:
        """Wait before a third try, and longer before each further one.

        An engine that breaks off at once would else be tried hundreds of
        times a second, and use up the budget of repeats of all others.
        """
        further = self._runs + self._refusals - 2
        if further >= 0:
            await trio.sleep(min(_FIRST_PAUSE * 2**further, _MOST_PAUSE))

    async def _give_up(self, failure: BrokenRunError) -> None:
        """Answer with the engine's own failure, or say what is known."""
        answer = failure.answer
        if answer is not None and not self._exchange.started:
            copied = headers.copy_answer(answer.headers)
            await self._exchange.answer(answer.status, copied, failure.body)
            return
        why = (
            f"no path of engines brought the stream to its end: {failure.why}"
        )
        if self._runs:
            raise make_uncertain("stream_failed", why, 502)
        raise errors.RequestError("refused", why, retry_after=_RETRY_AFTER)

    # One path.

    async def _follow_path(self) -> None:
        """Send the request down the path and pass its events on.

        :raises BrokenRunError: when the stream does not come to its end.
        """
        target, path = self.first_target, self.path
        if target is None or path is None:
            raise BrokenRunError("the first engine is gone", False)
        number = self._runs + self._refusals + 1
        self._lines.note_path(path, number, trio.current_time())
        self._moved = ""
        sent = False
        self._delivery.await_run()
        self._path_at = self._delivery.heard_at
        self._stalls.streams.add(self)
        try:
            with trio.CancelScope() as self._scope:
                try:
                    async with self._open_channel(target, path) as channel:
                        sent = True
                        await self._read_stream(channel)
                        return
                except TargetError as why:
                    ran = sent or why.outcome is not errors.Outcome.NOT_RUN
                    if not ran:
                        self._state.health.suspect(target.name, str(why))
                    self._note_trouble(target)
                    raise BrokenRunError(str(why), ran) from why
        finally:
            self._scope = None
            self._stalls.streams.discard(self)
        raise BrokenRunError(self._moved, sent)

    @contextlib.asynccontextmanager
    async def _open_channel(
        self, target: ListedTarget, path: Path
    ) -> AsyncIterator[Channel]:
        """Send the request on a connection that is closed if it breaks."""
        async with self._state.pool.use(target) as channel:
            # Not sooner: an engine that cannot be reached counted as one of
            # those that the request may run on, and its stream waited for
            # that one beside others until its caller left.
            self._hold.use()
            await send_request(
                channel, target, self._routed, self._delivery.last_event, path
            )
            yield channel

    async def _read_stream(self, channel: Channel) -> None:
        answer, marks = await read_answer(channel, self.request)
        if answer.status != 200:
            await self._take_failure(channel, answer, marks)
        if not is_genuine(answer, marks):
            raise BrokenRunError("the answer is not one of the model's", True)
        self._delivery.begin_run(answer)
        while (part := await channel.read_body()) is not None:
            await self._delivery.take(part)
        await self._delivery.finish()

    async def _take_failure(
        self, channel: Channel, answer: Answer, marks: headers.AnswerHeaders
    ) -> None:
        """Learn from an answer that is no stream.

        :raises BrokenRunError: always.
        """
        body = await channel.read_rest()
        if marks.not_run:
            self._note_refusal(answer.status, marks.faulty)
            raise BrokenRunError(
                f"refused with {answer.status} by "
                f"{marks.faulty or 'the first engine'}",
                False,
            )
        if self.first_target is not None:
            self._note_trouble(self.first_target)
        passed = answer if marks.stamped and answer.status >= 400 else None
        raise BrokenRunError(
            f"the engine answered {answer.status}", True, passed, body
        )

    def _note_trouble(self, target: ListedTarget) -> None:
        """Keep this stream, and new ones for a while, off an engine."""
        self._hold.avoid(target.name)
        self._state.candidates.pause_engine(target.name)

    def _note_refusal(self, status: int, faulty: str) -> None:
        """Keep new requests off the engine that a refusal names.

        :param faulty: its address; "" for the first engine of the path.
        """
        state = self._state
        refusing = state.targets.list_at(faulty)
        if not faulty and self.first_target is not None:
            refusing = [self.first_target]
        for target in refusing:
            self._note_trouble(target)
            state.recorder.record(
                "engine-refused",
                request=self.request,
                target=target.name,
                status=status,
                requests=state.loads.read(target.name).requests,
            )
            self._stalls.check_refusal(
                target, status, self._routed.service.health_path
            )
