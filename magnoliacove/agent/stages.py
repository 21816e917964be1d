"""The stages that one agent runs: their order, attempts and outputs.

A stage applies each step once and in order.  It takes steps of its present
attempt only, so what a former chain still sends is dropped.  It keeps its
outputs, so that a neighbour that lost them can be given them again without
any layer running twice here.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

import trio

from magnoliacove import defaults
from magnoliacove import targets
from magnoliacove import wire
from magnoliacove.wire import messages

__all__ = ["Output", "Stage"]

# How long a stage is kept after its entry's connection was lost.  The
# entry comes back on a new connection well before this if it still lives.
_ORPHAN_GRACE = 10.0
# A stage that is fed nothing for so long belongs to an entry that died
# without a word; its memory is needed by others.
_UNFED_MOST = 90.0


@dataclass(frozen=True, slots=True)
class Output:
    """What one step of a stage gave: activations or a token."""

    step: int
    data: bytes
    token: bool = False
    end: bool = False

    @classmethod
    def take(cls, output: targets.StepOutput) -> "Output":
        """Return what an engine's step gave."""
        if output.token is None:
            return cls(output.step, output.payload)
        return cls(output.step, output.token, True, output.end)


@dataclass(eq=False)
class Stage:
    """One range of layers of one stream, held by this agent.

    :param engine_stream: the stream's name at the engine.  It holds the
        attempt that opened the stage, so a stage that is opened anew never
        meets the KV cache of an earlier one.
    :param next_step: the first step that the engine has not applied.
    :param accepted_at: when the newest step arrived, by trio's clock.
    :param send_from: outputs before this step are not wanted downstream.
    """

    stream: bytes
    attempt: int
    engine_stream: str
    opened: messages.OpenStage
    entry: wire.Connection
    deadline: float
    next_step: int = 0
    send_from: int = 0
    running: int = 0
    closed: bool = False
    accepted_at: float = 0.0
    orphaned_at: float | None = None
    inbox: deque[messages.Step] = field(default_factory=deque)
    outputs: deque[Output] = field(default_factory=deque)
    kept_bytes: int = 0
    idle: trio.Event = field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        self.idle.set()

    @property
    def expected(self) -> int:
        """The step that may arrive next."""
        return self.next_step + self.running + len(self.inbox)

    @property
    def last(self) -> bool:
        """Whether this stage gives tokens."""
        return not self.opened.next_address

    def accept(self, step: messages.Step) -> bool:
        """Queue a step; return False when it is late, repeated or early."""
        if self.closed or step.attempt != self.attempt:
            return False
        if step.step != self.expected:
            return False
        self.inbox.append(step)
        self.accepted_at = trio.current_time()
        return True

    def take_inputs(self, most: int) -> list[targets.StepInput]:
        """Take queued steps for the engine's next batch."""
        taken: list[targets.StepInput] = []
        while self.inbox and len(taken) < most:
            step = self.inbox.popleft()
            taken.append(
                targets.StepInput(
                    self.engine_stream,
                    step.step,
                    self.opened.first_layer,
                    self.opened.end_layer,
                    step.payload,
                    self.opened.priority,
                )
            )
        if taken:
            self.running = len(taken)
            self.idle = trio.Event()
        return taken

    def finish_inputs(self) -> None:
        """Note that the engine is done with the inputs it had."""
        self.running = 0
        self.idle.set()

    def keep(self, output: Output) -> None:
        """Note an output and drop the oldest ones beyond the bound."""
        self.next_step = output.step + 1
        self.outputs.append(output)
        self.kept_bytes += len(output.data)
        while self.kept_bytes > defaults.RETAINED_OUTPUT_BYTES:
            self.kept_bytes -= len(self.outputs.popleft().data)

    def make_token(self, output: Output) -> messages.Token:
        """Return an output as the entry is sent it."""
        return messages.Token(
            self.stream, self.attempt, output.step, output.data, output.end
        )

    def make_step(self, output: Output) -> messages.Step:
        """Return an output as the next stage is sent it."""
        return messages.Step(
            self.stream, self.attempt, output.step, output.data
        )

    def find_expiry(self, now: float) -> str:
        """Return why the stage is needed no longer, "" while it is.

        :param now: by trio's clock.
        """
        if now - self.accepted_at > _UNFED_MOST and self.next_step:
            return "no step came for long"
        orphaned = self.orphaned_at
        if orphaned is not None and now - orphaned > _ORPHAN_GRACE:
            return "its entry did not come back"
        if now > self.deadline + _ORPHAN_GRACE:
            return "its deadline passed"
        return ""

    def list_outputs(self, from_step: int) -> list[Output] | None:
        """Return the outputs from a step on, or None when dropped."""
        if from_step >= self.next_step:
            return []
        if not self.outputs or self.outputs[0].step > from_step:
            return None
        return [o for o in self.outputs if o.step >= from_step]

    def resume(
        self, opened: messages.OpenStage, entry: wire.Connection
    ) -> None:
        """Go over to a later attempt, with other neighbours perhaps.

        Steps that wait are dropped: the neighbour before sends them again
        under the new attempt.
        """
        self.attempt = opened.attempt
        self.opened = opened
        self.entry = entry
        self.orphaned_at = None
        self.inbox.clear()
