"""Durations of an engine's batches and of steps at the agent."""

from collections.abc import Callable
from collections.abc import Sequence

import trio

from magnoliacove import defaults
from magnoliacove import targets
from magnoliacove.agent.stages import Stage

__all__ = ["EngineTiming"]

# Weights of the newest value in the moving averages.
_RESIDENCE_SMOOTHING = 0.05
_BATCH_SMOOTHING = 0.2
# A batch times out after this many times its expected duration.
_TIMEOUT_FACTOR = 10.0


class EngineTiming:
    """Moving averages of one engine's durations, in seconds.

    :param count_layers: returns the number of layers that the engine has
        loaded.
    :param residence_seconds: how long a step stays at the agent, scaled to
        all layers that the engine has loaded.
    """

    def __init__(self, count_layers: Callable[[], int]) -> None:
        self.residence_seconds = 0.0
        self._batch_seconds = 0.0
        self._count_layers = count_layers

    def record_batch(self, seconds: float) -> None:
        """Record the duration of one batch."""
        self._batch_seconds = _smooth(
            self._batch_seconds, seconds, _BATCH_SMOOTHING
        )

    def get_batch_timeout(self, inputs: Sequence[targets.StepInput]) -> float:
        """Return the seconds after which a batch counts as hanging.

        The first step of a stream may contain a long prompt, so its batch
        gets four times the base timeout, and so do all batches until the
        duration of one is recorded.
        """
        base = defaults.ENGINE_TIMEOUT
        if not self._batch_seconds or any(item.step == 0 for item in inputs):
            base *= 4
        expected = self._batch_seconds * len(inputs)
        return max(base, _TIMEOUT_FACTOR * expected)

    def record_residence(self, stage: Stage) -> None:
        """Record how long a step stayed at the agent, including its wait.

        The duration of a batch alone would hide the queue at a full
        engine: it does not grow beyond that of the largest batch, and
        entries would continue to send.  The time is scaled to all layers
        that the engine has loaded.
        """
        opened = stage.opened
        layers = opened.end_layer - opened.first_layer
        share = layers / max(layers, self._count_layers())
        residence = (trio.current_time() - stage.accepted_at) / share
        self.residence_seconds = _smooth(
            self.residence_seconds, residence, _RESIDENCE_SMOOTHING
        )


def _smooth(average: float, seconds: float, rate: float) -> float:
    return average + rate * (seconds - average) if average else seconds
