"""One stream of a model: its chain of stages, its tokens, its recovery.

The entry feeds every step: a step goes to the first stage only once its
token is here.  So no stage is ever ahead of what the entry knows, and a
caller who reads slowly holds the stream back by itself.

A loss leads to a new attempt.  Stages that live are told the new attempt
and say which step they expect; a replacement begins with an imported KV
cache or with nothing; then each stage sends its kept outputs from the step
that the next one expects.  No stage that lived runs a step again.
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
from magnoliacove.entry.leaving import LeavingTargets
from magnoliacove.entry.pool import PeerChanged
from magnoliacove.entry.pool import TargetPool
from magnoliacove.entry.replanning import ChainLost
from magnoliacove.entry.replanning import ChainPlanner
from magnoliacove.entry.replanning import HeldChain
from magnoliacove.entry.stages import StageSender
from magnoliacove.entry.stages import StreamRequest
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["Stream"]

_OPEN_TIMEOUT = 1.0
_IMPORT_TIMEOUT = 10.0
# A link's delay changes slowly, so not every token needs to teach it.
_LEARN_EVERY = 8
_STALL_FACTOR = 10.0

Emit = Callable[[bytes, bool], Awaitable[None]]


class _Stalled:
    """Tells a stream that its token is overdue."""


class Stream:
    """Runs one stream and gives its tokens to the caller, each once."""

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
        self._budget = budget
        self._recorder = recorder
        self._stages = StageSender(request, pool, address_of)
        self._chain = HeldChain()
        self._inbox: deque[tuple[str, object]] = deque()
        self._arrived = trio.Event()
        self._fed_at = 0.0
        self._feeding = False
        self._ended = False
        self._leaving = LeavingTargets()

    # What the pool calls.

    def receive(self, source: str, message: object) -> None:
        """Take a message without waiting."""
        self._inbox.append((source, message))
        self._arrived.set()

    def uses(self, name: str) -> bool:
        """Return whether the stream depends on an agent."""
        return self._stages.uses(name)

    # Running.

    async def run(self, emit: Emit) -> None:
        """Run the stream to its end.

        :param emit: takes each token's text, once and in order, and
            whether it is the last.
        :raises magnoliacove.errors.RequestError: when the answer cannot
            be completed in time.
        """
        request = self._request
        self._pool.receivers[request.name] = self
        try:
            with trio.move_on_at(request.deadline):
                await self._run_to_end(emit)
        finally:
            self._pool.receivers.pop(request.name, None)
            reason = "finished" if self._ended else "abandoned"
            self._stages.close_all(self.attempt, reason)
        if not self._ended:
            raise errors.RequestError(
                "deadline",
                "the answer was not complete before the deadline",
                status=504,
                outcome=self._outcome(),
                retry_after=1.0,
            )

    async def _run_to_end(self, emit: Emit) -> None:
        loss: ChainLost | None = ChainLost("a new request", whole=True)
        backoff = Backoff(0.02, 1.0)
        while not self._ended:
            try:
                if loss is not None:
                    await self._open_chain(loss)
                    loss = None
                await self._take_token(emit)
                backoff.reset()
            except ChainLost as why:
                loss = self._merge(loss, why)
                self._note_loss(loss)
                if self.attempt > 1:
                    await backoff.pause()

    def _merge(self, before: ChainLost | None, now: ChainLost) -> ChainLost:
        """Return both losses as one: a second may come amid the first."""
        if before is None or not before.names | now.names:
            return now
        return ChainLost(
            str(now),
            before.names | now.names,
            (before.movable | now.movable) - (now.names - now.movable),
            whole=before.whole or now.whole,
            reconnect=now.reconnect,
        )

    def _note_loss(self, loss: ChainLost) -> None:
        self._recorder.record(
            "stream-interrupted",
            request=self._request.name,
            target=",".join(sorted(loss.names)),
            why=str(loss),
            attempt=self.attempt,
            tokens=len(self.tokens),
        )
        avoided = frozenset() if loss.reconnect else loss.names
        for name in avoided - loss.movable:
            self._planner.avoid(name)
        if self.attempt >= defaults.MAX_ATTEMPTS:
            raise errors.RequestError(
                "no_stage",
                f"the stream was interrupted {self.attempt} times, last "
                f"because {loss}",
                outcome=self._outcome(),
                retry_after=2.0,
            )

    def _outcome(self) -> errors.Outcome:
        fed = self._fed_at > 0
        return errors.Outcome.MAY_HAVE_RUN if fed else errors.Outcome.NOT_RUN

    # Opening and resuming.

    async def _open_chain(self, loss: ChainLost) -> None:
        started = trio.current_time()
        if loss.reconnect:
            loss = await self._planner.try_reconnect(loss)
        self._chain = await self._plan(loss)
        self.attempt += 1
        self._feeding = False
        self._drop_old_messages()
        self._stages.open_all(self._chain, self.attempt)
        steps = await self._collect_opened()
        if self.attempt > 1:
            self.resumed += 1
            wanted = [*steps[1:], len(self.tokens)]
            self._stages.replay_all(self._chain, self.attempt, wanted)
        self._feed_from(steps[0])
        self._recorder.record(
            "chain-opened" if self.attempt == 1 else "stream-resumed",
            request=self._request.name,
            why=str(loss),
            chain=[
                f"{s.target}:{s.first_layer}-{s.end_layer}"
                for s in self._chain.stages
            ],
            attempt=self.attempt,
            next_steps=steps,
            fed_again=len(self.tokens) - steps[0] if self.tokens else 0,
            milliseconds=round((trio.current_time() - started) * 1000, 1),
        )

    async def _plan(self, loss: ChainLost) -> HeldChain:
        """Return the chain for the next attempt.

        :raises magnoliacove.errors.RequestError: when no targets hold the
            layers that are needed.
        """
        waiting = False
        while True:
            chain = self._planner.replace(self._chain, loss)
            if chain is not None:
                return chain
            if not self.tokens and not self._fed_at:
                # Nothing ran yet and nobody can serve it: the caller is
                # told at once rather than kept waiting.
                raise errors.RequestError(
                    "no_target",
                    f"no usable targets hold all layers of "
                    f"{self._request.service}; see 'magnoliacove status'",
                    retry_after=2.0,
                )
            # Tokens were delivered already, so the stream waits for a
            # replacement until its deadline.
            if not waiting:
                waiting = True
                self._recorder.record(
                    "stream-waiting",
                    request=self._request.name,
                    target=",".join(sorted(loss.names)),
                    why="no usable target holds the layers that were lost",
                )
            with trio.move_on_after(0.2):
                await self._pool.wait_came_up()

    def _drop_old_messages(self) -> None:
        """Drop what arrived before this attempt was sent.

        A loss that lies in the inbox is part of the plan already; taken
        again it would end the new attempt, and a target that was away for
        long leaves enough of them to use up all attempts.
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
                        self._chain.held.add(source)
                elif isinstance(message, messages.Refused):
                    self._take_refusal(source, message)
                else:
                    self._take_trouble(source, message)
        silent = frozenset(names) - frozenset(steps)
        if silent:
            # The connection lives but the stage does not answer: its
            # engine hangs.  Waiting longer would only delay the caller.
            raise ChainLost("a stage did not answer in time", silent)
        return [steps[name] for name in names]

    def _take_refusal(self, source: str, message: messages.Refused) -> None:
        if message.attempt != self.attempt:
            return
        if message.code == "next_unreachable":
            names = self._chain.names
            after = names[names.index(source) + 1]
            self._pool.estimates.note_link_failure(source, after)
            movable = frozenset([after] if after in self._chain.held else [])
            raise ChainLost(message.reason, frozenset([after]), movable)
        fresh = not self._fed_at
        if fresh and not self._budget.try_spend():
            raise errors.RequestError(
                "overloaded",
                "the targets refuse work and the retry budget is spent; "
                "the request did not run",
                status=503,
                retry_after=max(1.0, message.retry_after / 1000),
            )
        raise ChainLost(
            f"{source} refused: {message.code}", frozenset([source])
        )

    # Steps and tokens.

    def _feed_from(self, first: int) -> None:
        """Send the first stage every step that it lacks."""
        items = tuple(
            self._make_step(step)
            for step in range(first, len(self.tokens) + 1)
        )
        self._fed_at = trio.current_time()
        self._feeding = True
        if items:
            self._stages.post(self._chain.names[0], messages.Steps(items))

    def _make_step(self, step: int) -> messages.Step:
        payload = self.tokens[step - 1] if step else self._request.prompt
        return messages.Step(self._request.name, self.attempt, step, payload)

    async def _take_token(self, emit: Emit) -> None:
        source, message = await self._next()
        if not isinstance(message, messages.Token):
            self._take_trouble(source, message)
            return
        if (
            message.attempt != self.attempt
            or message.step != len(self.tokens)
            or source != self._chain.stages[-1].target
        ):
            # Late, repeated, or of a chain that was given up.
            return
        if len(self.tokens) % _LEARN_EVERY == 0:
            self._pool.estimates.note_token(
                self._chain.names, trio.current_time() - self._fed_at
            )
        self.tokens.append(message.text)
        full = len(self.tokens) >= self._request.max_tokens
        last = message.end or full
        trouble: ChainLost | None = None
        if not last:
            try:
                self._leaving.check(self._chain, self._planner)
                self._feed_from(len(self.tokens))
            except ChainLost as why:
                trouble = why
        await emit(message.text, message.end)
        self._ended = last
        if trouble is not None:
            raise trouble

    def check(self, now: float) -> None:
        """Notice that no token came in time.

        The pool asks now and then; a timer for each token would cost a
        tenth of what the token costs.
        """
        if self._feeding and now - self._fed_at > self._patience():
            self._feeding = False
            self.receive("", _Stalled())

    def _patience(self) -> float:
        expected = sum(
            self._pool.estimates.target(name).step_seconds()
            for name in self._chain.names
        )
        base = defaults.STALL_TIMEOUT
        if not self.tokens:
            # The first step holds the whole prompt, and takes longer.
            base *= 3
        return max(base, _STALL_FACTOR * expected)

    # Trouble.

    def _take_trouble(self, source: str, message: object) -> None:
        names = self._chain.names
        if isinstance(message, _Stalled):
            # Nothing failed and nothing comes.  A new attempt makes every
            # stage answer, and those that do not are replaced.
            raise ChainLost("no token came in time")
        if isinstance(message, PeerChanged) and message.name in names:
            if message.lost:
                names_lost = frozenset([message.name])
                raise ChainLost(message.reason, names_lost, reconnect=True)
            self._leaving.note(message.name)
        if not isinstance(message, messages.StageLost):
            return
        if message.attempt != self.attempt or source not in names:
            return
        if not message.name:
            raise ChainLost(message.reason, whole=True)
        if message.name == source:
            raise ChainLost(message.reason, frozenset([source]))
        # The link between two agents broke.  Both may live, so the same
        # chain is tried again first; if the link stays broken the stage
        # before it refuses, and the one after it is moved.
        raise ChainLost(f"link {source} to {message.name}: {message.reason}")

    async def _next(self) -> tuple[str, object]:
        while not self._inbox:
            self._arrived = trio.Event()
            await self._arrived.wait()
        return self._inbox.popleft()
