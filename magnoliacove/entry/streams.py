"""One stream of a model: its chain of stages, its tokens, its recovery.

The entry sends each step to the first stage only after it has received the
token of the previous step.  Therefore no stage is ever ahead of the tokens
that the entry has received, and a caller that reads slowly slows the stream
down without further flow control.

An interruption starts a new attempt.  Surviving stages receive the number
of the new attempt and report the step that they expect next; a replacement
starts with an imported KV cache or empty; then each stage sends its
retained outputs from the step that the following stage expects.  No
surviving stage runs a step twice.
"""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import limits
from magnoliacove import routing
from magnoliacove.directory import Backoff
from magnoliacove.entry.attempts import Attempts
from magnoliacove.entry.draining import DrainingTargets
from magnoliacove.entry.pool import PeerChanged
from magnoliacove.entry.pool import TargetPool
from magnoliacove.entry.replanning import ChainInterrupted
from magnoliacove.entry.replanning import ChainPlanner
from magnoliacove.entry.replanning import StreamChain
from magnoliacove.entry.replanning import merge
from magnoliacove.entry.stages import StageSender
from magnoliacove.entry.stages import StreamRequest
from magnoliacove.entry.stream_log import StreamLog
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["Stream"]

# Seconds within which all stages of a chain must open; the longer limit
# applies when a stage imports a KV cache.
_OPEN_TIMEOUT = 1.0
_IMPORT_TIMEOUT = 10.0
# Tokens between two samples of the chain's delay.  The delay of a link
# changes slowly, so sampling every token is not necessary.
_DELAY_SAMPLE_INTERVAL = 8
# A token is overdue after this multiple of its expected time.
_STALL_FACTOR = 10.0

Emit = Callable[[bytes, bool], Awaitable[None]]


class _Stalled:
    """Notifies a stream that its next token is overdue."""


class Stream:
    """Runs one stream and delivers each token to the caller exactly once."""

    def __init__(
        self,
        request: StreamRequest,
        pool: TargetPool,
        chooser: routing.ChainChooser,
        budget: limits.RetryBudget,
        recorder: Recorder,
        address_of: Callable[[str], str],
    ) -> None:
        self.tokens: list[bytes] = []
        self.attempt = 0
        self.resumed = 0
        self._request = request
        self._pool = pool
        self._planner = ChainPlanner(
            request.service, request.layers, pool, chooser, address_of
        )
        self._attempts = Attempts(request, self._planner)
        self._budget = budget
        self._log = StreamLog(request, pool, recorder)
        self._stages = StageSender(request, pool, address_of)
        self._chain = StreamChain()
        self._inbox: deque[tuple[str, object]] = deque()
        self._arrived = trio.Event()
        self._steps_sent_at = 0.0
        self._awaiting_token = False
        self._ended = False
        self._draining = DrainingTargets()

    # Called by the pool.

    def receive(self, source: str, message: object) -> None:
        """Queue a message without waiting."""
        self._inbox.append((source, message))
        self._arrived.set()

    def depends_on(self, name: str) -> bool:
        """Return whether the stream depends on an agent."""
        return self._stages.depends_on(name)

    # Running.

    async def run(self, emit: Emit) -> None:
        """Run the stream to completion.

        :param emit: called once for each token, in order, with its text
            and whether it is the last.
        :raises magnoliacove.errors.RequestError: when the answer cannot
            be completed in time.
        """
        request = self._request
        self._pool.receivers[request.request_id] = self
        try:
            with trio.move_on_at(request.deadline):
                await self._run_to_end(emit)
            if not self._ended:
                raise self._attempts.make_deadline_error()
        except errors.RequestError as exc:
            self._record_cut(errors.EndedBy.ENTRY, f"{exc.code}: {exc}")
            raise
        except trio.Cancelled:
            self._record_cut(
                errors.EndedBy.CALLER, "it left, or this process stops"
            )
            raise
        finally:
            self._pool.receivers.pop(request.request_id, None)
            reason = "finished" if self._ended else "abandoned"
            self._stages.close_all(self.attempt, reason)

    def _record_cut(self, by: errors.EndedBy, why: str) -> None:
        if self.tokens and not self._ended:
            self._log.record_cut(by, why, self.attempt, len(self.tokens))

    async def _run_to_end(self, emit: Emit) -> None:
        interruption: ChainInterrupted | None = ChainInterrupted(
            "a new request", replace_all=True
        )
        backoff = Backoff(0.02, 1.0)
        while not self._ended:
            try:
                if interruption is not None:
                    await self._open_chain(interruption)
                    interruption = None
                await self._handle_next(emit)
                backoff.reset()
            except ChainInterrupted as exc:
                interruption = merge(interruption, exc)
                self._record_interruption(interruption)
                if exc.excluded:
                    backoff.reset()
                if self.attempt > 1:
                    await backoff.pause()

    def _record_interruption(self, interruption: ChainInterrupted) -> None:
        self._log.record_interrupted(
            interruption, self.attempt, len(self.tokens)
        )
        avoided = frozenset() if interruption.reconnect else interruption.names
        for name in avoided - interruption.movable:
            self._planner.avoid(name)
        self._attempts.check_interrupted(interruption)

    # Opening and resuming.

    async def _open_chain(self, interruption: ChainInterrupted) -> None:
        started = trio.current_time()
        if interruption.reconnect:
            interruption = await self._planner.try_reconnect(interruption)
        self._chain = await self._plan(interruption)
        self.attempt += 1
        if self.attempt > 1:
            self._log.record_tried(self._chain, interruption, self.attempt)
        self._awaiting_token = False
        self._discard_stale_messages()
        self._stages.open_all(self._chain, self.attempt)
        steps = await self._collect_opened()
        if self.attempt > 1:
            self.resumed += 1
            replay_steps = [*steps[1:], len(self.tokens)]
            self._stages.replay_all(self._chain, self.attempt, replay_steps)
        self._attempts.note_opened()
        self._send_steps_from(steps[0])
        self._log.record_opened(
            self._chain,
            interruption,
            self.attempt,
            steps,
            len(self.tokens),
            trio.current_time() - started,
        )

    async def _plan(self, interruption: ChainInterrupted) -> StreamChain:
        """Return the chain for the next attempt.

        :raises magnoliacove.errors.RequestError: when no targets can serve
            the required layers in time.
        """
        waiting = False
        while True:
            chain = self._planner.replace(self._chain, interruption)
            if chain is not None:
                return chain
            self._attempts.check_without_targets(self._chain, interruption)
            # Steps have run and a target may be back in time, so the stream
            # waits for it.
            if not waiting:
                waiting = True
                self._log.record_waiting(interruption)
            with trio.move_on_after(0.2):
                await self._pool.wait_for_connection()

    def _discard_stale_messages(self) -> None:
        """Discard messages that arrived before this attempt is sent.

        The plan already covers a lost connection that is still in the
        inbox.  Handling it again would end the new attempt, and a target
        that was unreachable for long leaves enough of these messages to
        use up all attempts.
        """
        kept = [
            (source, message)
            for source, message in self._inbox
            if isinstance(message, PeerChanged) and not message.lost
        ]
        self._inbox = deque(kept)

    async def _collect_opened(self) -> list[int]:
        """Return the step that each stage expects next."""
        steps: dict[str, int] = {}
        names = self._chain.names
        timeout = _IMPORT_TIMEOUT if self._chain.imports else _OPEN_TIMEOUT
        with trio.move_on_after(timeout):
            while len(steps) < len(names):
                source, message = await self._next()
                if isinstance(message, messages.StageOpened):
                    if message.attempt == self.attempt and source in names:
                        steps[source] = message.next_step
                        self._chain.opened.add(source)
                elif isinstance(message, messages.Refused):
                    self._handle_refusal(source, message)
                else:
                    self._handle_event(source, message)
        unanswered = frozenset(names) - frozenset(steps)
        if unanswered:
            # The connection works but the stage does not answer, so its
            # engine hangs.  Waiting longer would only delay the caller.
            raise ChainInterrupted(
                "a stage did not answer in time", unanswered
            )
        return [steps[name] for name in names]

    def _handle_refusal(self, source: str, message: messages.Refused) -> None:
        if message.attempt != self.attempt:
            return
        if message.code == "next_unreachable":
            names = self._chain.names
            following = names[names.index(source) + 1]
            self._pool.estimates.note_link_failure(source, following)
            movable = frozenset(
                [following] if following in self._chain.opened else []
            )
            raise ChainInterrupted(
                message.reason, frozenset([following]), movable
            )
        if not self._attempts.steps_sent and not self._budget.try_spend():
            raise errors.RequestError(
                "overloaded",
                "the targets refuse work and the retry budget is spent; "
                "the request did not run",
                status=503,
                retry_after=max(1.0, message.retry_after / 1000),
            )
        excluded = message.code == "engine_failing"
        if excluded:
            self._planner.exclude(source, message.retry_after / 1000)
        raise ChainInterrupted(
            f"{source} refused: {message.code}",
            frozenset([source]),
            excluded=excluded,
        )

    # Steps and tokens.

    def _send_steps_from(self, first: int) -> None:
        """Send the first stage all steps from the given one on."""
        items = tuple(
            self._make_step(step)
            for step in range(first, len(self.tokens) + 1)
        )
        self._steps_sent_at = trio.current_time()
        self._awaiting_token = True
        if items:
            self._stages.post(self._chain.names[0], messages.Steps(items))

    def _make_step(self, step: int) -> messages.Step:
        payload = self.tokens[step - 1] if step else self._request.prompt
        return messages.Step(
            self._request.request_id, self.attempt, step, payload
        )

    async def _handle_next(self, emit: Emit) -> None:
        source, message = await self._next()
        if not isinstance(message, messages.Token):
            self._handle_event(source, message)
            return
        if (
            message.attempt != self.attempt
            or message.step != len(self.tokens)
            or source != self._chain.stages[-1].target
        ):
            # The token is late, repeated, or from an abandoned chain.
            return
        if len(self.tokens) % _DELAY_SAMPLE_INTERVAL == 0:
            self._pool.estimates.note_token(
                self._chain.names, trio.current_time() - self._steps_sent_at
            )
        self.tokens.append(message.text)
        full = len(self.tokens) >= self._request.max_tokens
        last = message.end or full
        interruption: ChainInterrupted | None = None
        if not last:
            try:
                self._draining.check(self._chain, self._planner)
                self._send_steps_from(len(self.tokens))
            except ChainInterrupted as exc:
                interruption = exc
        await emit(message.text, message.end)
        self._ended = last
        if interruption is not None:
            raise interruption

    def check_timeout(self, now: float) -> None:
        """Queue a stall if the next token is overdue.

        The pool calls this periodically; a timer for each token would add
        a tenth to the cost of the token.
        """
        if (
            self._awaiting_token
            and now - self._steps_sent_at > self._stall_timeout()
        ):
            self._awaiting_token = False
            self.receive("", _Stalled())

    def _stall_timeout(self) -> float:
        expected = sum(
            self._pool.estimates.target(name).step_seconds()
            for name in self._chain.names
        )
        base = defaults.STALL_TIMEOUT
        if not self.tokens:
            # The first step processes the whole prompt and takes longer.
            base *= 3
        return max(base, _STALL_FACTOR * expected)

    # Failures and departures of targets.

    def _handle_event(self, source: str, message: object) -> None:
        names = self._chain.names
        if isinstance(message, _Stalled):
            # No failure was reported, but no token arrives.  In a new
            # attempt every stage must answer; those that do not are
            # replaced.
            raise ChainInterrupted("no token came in time")
        if isinstance(message, PeerChanged) and message.name in names:
            if message.lost:
                names_lost = frozenset([message.name])
                raise ChainInterrupted(
                    message.reason, names_lost, reconnect=True
                )
            self._draining.mark_draining(message.name)
        if not isinstance(message, messages.StageLost):
            return
        if message.attempt != self.attempt or source not in names:
            return
        if not message.name:
            raise ChainInterrupted(message.reason, replace_all=True)
        if message.name == source:
            raise ChainInterrupted(message.reason, frozenset([source]))
        # The link between two agents broke.  Both agents may still work,
        # so the same chain is retried first.  If the link stays broken,
        # the stage before it refuses and the stage after it is moved.
        raise ChainInterrupted(
            f"link {source} to {message.name}: {message.reason}"
        )

    async def _next(self) -> tuple[str, object]:
        while not self._inbox:
            self._arrived = trio.Event()
            await self._arrived.wait()
        return self._inbox.popleft()
