"""One stream: sent down a path of engines, resumed when the path is lost.

A caller sees one answer.  When its path is lost the stream goes on at
another one after the last whole event that was sent on, inside the same
answer, so nothing is missing and nothing comes twice.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import trio

from magnoliacove import errors
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.targets import ListedTarget
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.events import EventSplitter
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.requests import make_timeout
from magnoliacove.gateway.stalls import StallWatch
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.load import Reservation
from magnoliacove.platform import headers
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import StageOption
from magnoliacove.routing.paths import describe_bottlenecks
from magnoliacove.routing.paths import find_path

__all__ = ["StreamCall"]

# Engines that refuse without running a request cost it nothing but time;
# after so many refusals there is no room, whatever the books say.
_MOST_REFUSALS = 4
# A caller leaves after the longest of these without an event: a fixed time,
# so many times the latency objective, so many times the longest pause.
_CALLER_PATIENCE = 2.0
_CALLER_OBJECTIVES = 4.0
_CALLER_GAPS = 8.0
# What is left of that for the path to bring the first event, once it is
# found: reading a usual prompt on a busy path, twice.
_FIRST_EVENT_TIME = 0.5
_RETRY_AFTER = 0.5
# The part of the answer's likely length that is reserved: streams in
# progress have written half of theirs on the mean.
_ANSWER_PART = 0.8


class _BrokenError(Exception):
    """A path gave no whole stream.

    :param ran: whether the request may have run on it.
    :param answer: an engine's own failure, to be passed on at the end.
    """

    def __init__(
        self,
        why: str,
        ran: bool,
        answer: Answer | None = None,
        body: bytes = b"",
    ) -> None:
        super().__init__(why)
        self.why = why
        self.ran = ran
        self.answer = answer
        self.body = body


class StreamCall:
    """Answers one request from a model's engines."""

    def __init__(
        self,
        state: GatewayState,
        stalls: StallWatch,
        exchange: Exchange,
        routed: RoutedRequest,
    ) -> None:
        self.request = routed.marks.request
        self.service = routed.service.name
        self.path: Path | None = None
        self.first_target: ListedTarget | None = None
        self.began = False
        self._state = state
        self._stalls = stalls
        self._exchange = exchange
        self._routed = routed
        self.shape: ModelShape = _require_shape(routed)
        self._answer_tokens = _guess_answer(routed, self.shape)
        self._last_event = routed.marks.last_event
        self._events = 0
        self._first_event_at = 0.0
        self._heard = 0.0
        self._sent_at = 0.0
        self._path_at = 0.0
        self._longest_gap = 0.0
        self._scope: trio.CancelScope | None = None
        self._moved = ""
        self._writing = False
        self._reservation: Reservation | None = None
        self._avoided: set[str] = set()
        self._firsts: set[str] = set()
        self._runs = 0
        self._waited_for = -1
        self._refusals = 0

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
        self._note_answered()

    # What the stall watch calls.

    def read_silence(self, now: float) -> float:
        """Return seconds since the engine was heard last, 0 if not due."""
        if self._scope is None or self._writing:
            return 0.0
        return now - self._heard

    def read_wait(self, now: float) -> float:
        """Return seconds since the caller got an event, 0 if not due."""
        if self._scope is None or self._writing:
            return 0.0
        return now - max(self._sent_at, self._path_at)

    def read_tokens(self) -> tuple[float, float]:
        """Return the tokens of the prompt and those still to be written."""
        prompt = self._routed.marks.prompt_tokens or self.shape.usual_prompt
        return prompt, self._answer_tokens * _ANSWER_PART

    def take_path(self, path: Path, reservation: Reservation) -> None:
        """Go on with another path after the same first stage."""
        if self._reservation is not None:
            self._state.loads.release(self._reservation)
        self.path, self._reservation = path, reservation
        # The new stages read the tokens so far before the next event.
        self._heard = trio.current_time()
        self._state.room.fill()

    def move(self, why: str) -> None:
        """Leave the present path and go on elsewhere."""
        if self._scope is None or self._moved:
            return
        self._moved = why
        if not self._writing:
            self._scope.cancel()

    # Trying paths.

    async def _run(self) -> None:
        while True:
            await self._find_path()
            try:
                await self._follow_path()
                return
            except _BrokenError as why:
                failure = why
            finally:
                self._leave_path()
            if not await self._may_go_on(failure):
                await self._give_up(failure)
                return

    async def _find_path(self) -> None:
        """Wait until a path has room, and reserve it."""
        routed = self._routed
        now = trio.current_time()
        objective = routed.route.latency_objective
        leaves = max(
            _CALLER_PATIENCE,
            _CALLER_OBJECTIVES * objective,
            _CALLER_GAPS * routed.route.gap_objective,
        )
        since = self._sent_at if self.began else routed.request.arrived
        patience = since + leaves - _FIRST_EVENT_TIME - now
        left = min(patience, routed.deadline - now)
        if left <= 0:
            raise self._make_hopeless()
        await self._state.room.wait_path(
            self._reserve,
            # A begun stream goes before all others: its caller leaves
            # soon, and what it has read already would be lost.
            priority=-1 if self.began else routed.priority,
            fresh_until=now + left
            if self.began
            else routed.request.arrived + objective,
            patience=left,
        )

    def _make_hopeless(self) -> errors.RequestError:
        """Return the error for a caller that leaves before any event."""
        ran = self._runs > 0
        return errors.RequestError(
            "too_late",
            "no path could bring an event before the caller leaves",
            status=504 if ran else 503,
            outcome=errors.Outcome.MAY_HAVE_RUN
            if ran
            else errors.Outcome.NOT_RUN,
            retry_after=None if ran else _RETRY_AFTER,
        )

    def _reserve(self) -> Path | None:
        """Find a path with room and reserve it.

        Engines on which this stream broke off or was refused are used only
        where there is no path without them.
        """
        state = self._state
        costs = state.candidates.make_costs(self.shape, *self.read_tokens())
        may_cross = state.candidates.may_cross(self.shape)
        options: list[StageOption] = []
        for avoided in (self._avoided, ()) if self._avoided else ((),):
            options = state.candidates.list_options(
                self.service, self.shape, avoided
            )
            path = find_path(options, costs, self._list_firsts())
            first = state.targets.find(path.targets[0]) if path else None
            if path is None or first is None:
                continue
            if path.crossings and not may_cross:
                continue
            self.path, self.first_target = path, first
            self._reservation = state.loads.reserve_path(path, costs.tokens)
            return path
        self._note_waiting(options, costs.tokens, may_cross)
        return None

    def _list_firsts(self) -> frozenset[str] | None:
        """Return the engines that may be first, None when all may.

        A request runs on as many engines as its route allows, counted by
        the first of each path; one that it ran on may run it once more.
        """
        used = frozenset(
            name
            for name in self._firsts
            if self._state.targets.find(name) is not None
        )
        return used if len(used) >= self._routed.route.max_attempts else None

    def _leave_path(self) -> None:
        if self._reservation is not None:
            self._state.loads.release(self._reservation)
            self._reservation = None
        self.path = self.first_target = None
        self._state.room.fill()

    async def _may_go_on(self, failure: _BrokenError) -> bool:
        """Return whether another path may be tried."""
        state, route = self._state, self._routed.route
        state.recorder.record(
            "path-lost",
            request=self.request,
            why=failure.why,
            ran=failure.ran,
            events=self._events,
            last_event=self._last_event,
        )
        if failure.ran:
            self._runs += 1
            if not route.repeatable:
                return False
        else:
            self._refusals += 1
            if self._refusals > _MOST_REFUSALS:
                return False
        return state.budget.try_spend(self._routed.service.name)

    async def _give_up(self, failure: _BrokenError) -> None:
        """Answer with the engine's own failure, or say what is known."""
        answer = failure.answer
        if answer is not None and not self._exchange.started:
            copied = headers.copy_answer(answer.headers)
            await self._exchange.answer(answer.status, copied, failure.body)
            return
        ran = self._runs > 0
        raise errors.RequestError(
            "stream_failed" if ran else "refused",
            f"no path of engines brought the stream to its end: {failure.why}",
            status=502 if ran else 503,
            outcome=errors.Outcome.MAY_HAVE_RUN
            if ran
            else errors.Outcome.NOT_RUN,
            retry_after=None if ran else _RETRY_AFTER,
        )

    # One path.

    async def _follow_path(self) -> None:
        """Send the request down the path and pass its events on.

        :raises _BrokenError: when the stream does not come to its end.
        """
        target, path = self.first_target, self.path
        if target is None or path is None:
            raise _BrokenError("the first engine is gone", False)
        self._note_path(path)
        self._firsts.add(target.name)
        self._moved = ""
        sent = False
        self._heard = self._path_at = trio.current_time()
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
                    self._avoided.add(target.name)
                    raise _BrokenError(str(why), ran) from why
        finally:
            self._scope = None
            self._stalls.streams.discard(self)
        raise _BrokenError(self._moved, sent)

    @contextlib.asynccontextmanager
    async def _open_channel(
        self, target: ListedTarget, path: Path
    ) -> AsyncIterator[Channel]:
        """Send the request on a connection that is closed if it breaks."""
        state, routed = self._state, self._routed
        request = routed.request
        channel = await state.pool.acquire(target)
        whole = False
        try:
            await channel.send(
                request.method,
                request.target,
                headers.write_request(
                    request.headers,
                    target=target,
                    account=routed.account,
                    patience=routed.deadline - trio.current_time(),
                    priority=routed.priority,
                    last_event=self._last_event,
                    path=path,
                    body_length=len(request.body),
                ),
                request.body,
            )
            yield channel
            whole = True
        finally:
            # Closing is what ends the engine's work when the caller left.
            if whole:
                await state.pool.release(channel)
            else:
                with trio.CancelScope(shield=True):
                    await state.pool.discard(channel)

    async def _read_stream(self, channel: Channel) -> None:
        answer = await channel.read_head(
            self.request,
            lambda a: headers.read_answer(a.status, a.headers).request,
        )
        marks = headers.read_answer(answer.status, answer.headers)
        if answer.status != 200:
            await self._take_failure(channel, answer, marks)
        if not marks.stamped or any(
            name == b"content-encoding" for name, _ in answer.headers
        ):
            raise _BrokenError("the answer is not one of the model's", True)
        splitter = EventSplitter()
        while (part := await channel.read_body()) is not None:
            await self._pass_on(answer, splitter, part)
        if splitter.rest:
            # A whole answer may end without an empty line.
            await self._start_answer(answer)
            await self._write(splitter.rest)
        if not self._exchange.started:
            await self._start_answer(answer)
        await self._exchange.end()

    async def _pass_on(
        self, answer: Answer, splitter: EventSplitter, part: bytes
    ) -> None:
        """Send on the events that a part of the body completes."""
        now = trio.current_time()
        if self._events:
            self._longest_gap = max(self._longest_gap, now - self._heard)
        self._heard = now
        try:
            events = list(splitter.feed(part))
        except ValueError as why:
            raise _BrokenError(str(why), True) from why
        fresh, last, count = b"", self._last_event, 0
        for event in events:
            if event.number is not None and not _is_next(event.number, last):
                continue
            fresh += event.data
            last = event.event_id or last
            count += 1
        if not fresh:
            return
        await self._start_answer(answer)
        await self._write(fresh)
        if not self.began:
            self.began = True
            self._first_event_at = now
        # Only now: a path that is left just as its events arrive must not
        # take them for sent, or the next one goes on behind a gap.
        self._last_event = last
        self._events += count

    async def _start_answer(self, answer: Answer) -> None:
        if self._exchange.started:
            return
        copied = [
            (name, value)
            for name, value in headers.copy_answer(answer.headers)
            if name != b"content-length"
        ]
        chunked = (b"transfer-encoding", b"chunked")
        await self._send(lambda: self._exchange.start(200, [*copied, chunked]))

    async def _write(self, data: bytes) -> None:
        await self._send(lambda: self._exchange.write(data))

    async def _send(self, send: Callable[[], Awaitable[None]]) -> None:
        """Send something to the caller, whole, whatever befalls the path.

        A path that is left while a write is on its way would leave the
        half of it with the caller, and what comes from the next path would
        follow in the middle: an answer that is none.  So moving waits for
        the write, and a path that is left already sends no more.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._writing = True
        try:
            await send()
        finally:
            self._writing = False
            self._sent_at = trio.current_time()
            # Time that the caller took to read is not the engine's silence.
            self._heard = trio.current_time()
        if self._moved and self._scope is not None:
            self._scope.cancel()

    async def _take_failure(
        self, channel: Channel, answer: Answer, marks: headers.AnswerMarks
    ) -> None:
        """Learn from an answer that is no stream.

        :raises _BrokenError: always.
        """
        body = bytearray()
        while (part := await channel.read_body()) is not None:
            body += part
        if marks.not_run:
            await self._note_refusal(answer.status, marks.faulty)
            raise _BrokenError(
                f"refused with {answer.status} by "
                f"{marks.faulty or 'the first engine'}",
                False,
            )
        passed = answer if marks.stamped and answer.status >= 400 else None
        raise _BrokenError(
            f"the engine answered {answer.status}", True, passed, bytes(body)
        )

    async def _note_refusal(self, status: int, faulty: str) -> None:
        """Keep new requests off the engine that a refusal names."""
        state = self._state
        for target in state.targets.list_all():
            if str(target.address) == faulty:
                self._avoided.add(target.name)
                state.candidates.note_refusal(target.name)
                state.recorder.record(
                    "engine-refused",
                    request=self.request,
                    target=target.name,
                    status=status,
                    requests=state.loads.read(target.name).requests,
                )
                await self._stalls.check_leaving(
                    target, self._routed.service.health_path
                )

    def _note_path(self, path: Path) -> None:
        self._state.recorder.record(
            "path-chosen",
            request=self.request,
            path=path.describe(),
            seconds=round(path.seconds, 3),
            crossings=path.crossings,
            waited=round(
                trio.current_time() - self._routed.request.arrived, 3
            ),
            last_event=self._last_event,
            number=self._runs + self._refusals + 1,
        )

    def _note_waiting(
        self, options: list[StageOption], tokens: float, may_cross: bool
    ) -> None:
        if self._waited_for == self._runs + self._refusals:
            return
        self._waited_for = self._runs + self._refusals
        self._state.recorder.record(
            "request-waiting",
            request=self.request,
            why="no path has room"
            if may_cross
            else "no path has room, and the pipe between data centres is full",
            tokens=round(tokens),
            room=describe_bottlenecks(options, self.shape.layers),
            waiting=self._state.room.waiting,
            avoided=sorted(self._avoided),
        )

    def _note_answered(self) -> None:
        now = trio.current_time()
        arrived = self._routed.request.arrived
        first = self._first_event_at - arrived if self._events else 0.0
        self._state.meters.observe("first_event_seconds", first)
        self._state.recorder.record(
            "request-answered",
            request=self.request,
            events=self._events,
            first_event=round(first, 3),
            longest_gap=round(self._longest_gap, 3),
            runs=self._runs + 1,
            seconds=round(now - arrived, 3),
        )


def _is_next(number: int, last_event: str) -> bool:
    """Return whether an event is due; False for one sent already.

    :raises _BrokenError: when events before it are missing.
    """
    if not last_event.isdigit():
        return True
    last = int(last_event)
    if number <= last:
        return False
    if number > last + 1:
        raise _BrokenError(
            f"event {number} came after event {last}; some are missing", True
        )
    return True


def _require_shape(routed: RoutedRequest) -> ModelShape:
    shape = routed.service.model
    if shape is None:
        raise errors.RequestError(
            "no_model",
            f"service {routed.service.name} has no model; route streams to "
            "a service with engines",
        )
    return shape


def _guess_answer(routed: RoutedRequest, shape: ModelShape) -> float:
    """Return the likely number of tokens of the answer."""
    marks = routed.marks
    likely = marks.likely_tokens or shape.usual_answer
    return min(likely, marks.most_tokens) if marks.most_tokens else likely
