"""The stages that one agent runs: their order, attempts and outputs.

A stage applies each step once and in order.  It accepts only steps of its
present attempt, so steps from the chain of an earlier attempt are dropped.
It retains its outputs, so that it can send them again to a neighbour that
lost them without running a layer twice.
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

# Seconds for which a stage is kept after the connection to its entry is
# lost.  An entry that still runs reconnects well within this time.
_ORPHAN_TIMEOUT = 10.0
# Seconds without a step after which a stage is closed.  Its entry failed
# without closing the connection, and other streams need the memory.
_MAX_STEP_GAP = 90.0


@dataclass(frozen=True, slots=True)
class Output:
    """The output of one step of a stage: activations or a token."""

    step: int
    data: bytes
    token: bool = False
    end: bool = False

    @classmethod
    def from_engine(cls, output: targets.StepOutput) -> "Output":
        """Return the output of an engine's step."""
        if output.token is None:
            return cls(output.step, output.payload)
        return cls(output.step, output.token, True, output.end)


@dataclass(eq=False)
class Stage:
    """A range of layers that this agent runs for one stream.

    :param engine_stream: the stream's name at the engine.  It includes the
        attempt that opened the stage, so a stage that is reopened never
        uses the KV cache of an earlier one.
    :param deadline: when the stream's time ends, by trio's clock.
    :param next_step: the first step that the engine has not applied.
    :param send_from: outputs before this step are not sent downstream.
    :param running: number of steps in the engine's present batch.
    :param accepted_at: when the newest step arrived, by trio's clock.
    :param orphaned_at: when the connection to the entry was lost, by trio's
        clock; None while it is open.
    :param inbox: steps that wait for a batch.
    :param outputs: the retained outputs, oldest first.
    :param idle: set while no batch contains steps of this stage.
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
    retained_bytes: int = 0
    idle: trio.Event = field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        self.idle.set()

    @property
    def expected_step(self) -> int:
        """The only step that is accepted next."""
        return self.next_step + self.running + len(self.inbox)

    @property
    def is_last(self) -> bool:
        """Whether this is the stream's last stage, which outputs tokens."""
        return not self.opened.next_address

    def accept(self, step: messages.Step) -> bool:
        """Queue a step; return False if it is late, repeated or early."""
        if self.closed or step.attempt != self.attempt:
            return False
        if step.step != self.expected_step:
            return False
        self.inbox.append(step)
        self.accepted_at = trio.current_time()
        return True

    def take_inputs(self, limit: int) -> list[targets.StepInput]:
        """Remove and return queued steps for the engine's next batch."""
        taken: list[targets.StepInput] = []
        while self.inbox and len(taken) < limit:
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
        """Record that the engine has finished the stage's inputs."""
        self.running = 0
        self.idle.set()

    def retain(self, output: Output) -> None:
        """Retain an output and drop the oldest ones beyond the size limit."""
        self.next_step = output.step + 1
        self.outputs.append(output)
        self.retained_bytes += len(output.data)
        while self.retained_bytes > defaults.RETAINED_OUTPUT_BYTES:
            self.retained_bytes -= len(self.outputs.popleft().data)

    def make_token(self, output: Output) -> messages.Token:
        """Return an output as a message to the entry."""
        return messages.Token(
            self.stream, self.attempt, output.step, output.data, output.end
        )

    def make_step(self, output: Output) -> messages.Step:
        """Return an output as a message to the next stage."""
        return messages.Step(
            self.stream, self.attempt, output.step, output.data
        )

    def find_expiry_reason(self, now: float) -> str:
        """Return why the stage is to be closed, or "" if it is in use.

        :param now: by trio's clock.
        """
        if now - self.accepted_at > _MAX_STEP_GAP and self.next_step:
            return "no step came for long"
        orphaned = self.orphaned_at
        if orphaned is not None and now - orphaned > _ORPHAN_TIMEOUT:
            return "its entry did not come back"
        if now > self.deadline + _ORPHAN_TIMEOUT:
            return "its deadline passed"
        return ""

    def list_outputs(self, from_step: int) -> list[Output] | None:
        """Return the outputs from a step on, or None if dropped."""
        if from_step >= self.next_step:
            return []
        if not self.outputs or self.outputs[0].step > from_step:
            return None
        return [o for o in self.outputs if o.step >= from_step]

    def resume(
        self, opened: messages.OpenStage, entry: wire.Connection
    ) -> None:
        """Switch to a later attempt, possibly with other neighbours.

        Queued steps are dropped, because the previous stage sends them
        again under the new attempt.
        """
        self.attempt = opened.attempt
        self.opened = opened
        self.entry = entry
        self.orphaned_at = None
        self.inbox.clear()
