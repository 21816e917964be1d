"""How long an engine's batches take, and steps stay at it."""

from collections.abc import Callable
from collections.abc import Sequence

import trio

from magnoliacove import defaults
from magnoliacove import targets
from magnoliacove.agent.stages import Stage

__all__ = ["EnginePace"]

_STAY_SMOOTHING = 0.05
_BATCH_SMOOTHING = 0.2
_PATIENCE_FACTOR = 10.0


class EnginePace:
    """What was learned of one engine's times, in seconds.

    :param count_layers: returns how many layers the engine holds.
    :param stay_seconds: how long a step stays at the agent, scaled to all
        layers that the engine holds.
    """

    def __init__(self, count_layers: Callable[[], int]) -> None:
        self.stay_seconds = 0.0
        self._batch_seconds = 0.0
        self._count_layers = count_layers

    def note_batch(self, seconds: float) -> None:
        """Learn from the time of one batch."""
        self._batch_seconds = _smooth(
            self._batch_seconds, seconds, _BATCH_SMOOTHING
        )

    def read_patience(self, inputs: Sequence[targets.StepInput]) -> float:
        """Return the seconds after which a batch counts as hanging.

        A first step may hold a long prompt and is given longer.
        """
        base = defaults.ENGINE_TIMEOUT
        if not self._batch_seconds or any(item.step == 0 for item in inputs):
            base *= 4
        expected = self._batch_seconds * len(inputs)
        return max(base, _PATIENCE_FACTOR * expected)

    def note_stay(self, stage: Stage) -> None:
        """Learn how long a step stays here, waiting included.

        The time of a batch alone would hide the wait before a full
        engine: it does not grow beyond the largest batch, and entries
        would go on sending.  It is scaled to all layers held here.
        """
        opened = stage.opened
        layers = opened.end_layer - opened.first_layer
        share = layers / max(layers, self._count_layers())
        stay = (trio.current_time() - stage.accepted_at) / share
        self.stay_seconds = _smooth(self.stay_seconds, stay, _STAY_SMOOTHING)


def _smooth(before: float, seconds: float, rate: float) -> float:
    return before + rate * (seconds - before) if before else seconds
