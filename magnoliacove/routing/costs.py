"""Cost model: the expected time of a request on engines, in seconds."""

from dataclasses import dataclass

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.routing.stages import StageOption

__all__ = ["HOP_SECONDS", "PathCosts"]

# Seconds to forward a token to the next engine, in addition to the wait for
# the current pass of that engine: two link delays and one queue turn.
HOP_SECONDS = 0.0005
# An arriving token waits for half a pass on average.
_WAITING_PASSES = 0.5


@dataclass(frozen=True)
class PathCosts:
    """Expected times of one request on the engines of a model.

    :param prompt: tokens of the prompt, processed before the first step.
    :param answer: tokens of the answer, generated one per step.
    :param crossing: seconds that each hop between data centres adds.
    """

    shape: ModelShape
    prompt: float
    answer: float
    crossing: float

    @property
    def tokens(self) -> float:
        """Tokens that the request keeps in memory at its end."""
        return self.prompt + self.answer

    def layer_seconds(self, option: StageOption) -> float:
        """Return the seconds that the request spends in one layer."""
        shape = self.shape
        kind = shape.accelerators[option.accelerator]
        step = self._step_seconds(option)
        prefill = self.prompt / shape.prefill_per_second * kind.prefill_factor
        seconds = self.answer * step + prefill
        return seconds * option.slowness / shape.layers

    def hop_seconds(self, option: StageOption) -> float:
        """Return the seconds that an engine's hop adds to the whole answer."""
        shape = self.shape
        kind = shape.accelerators[option.accelerator]
        share = option.layers.count / shape.layers
        wait = shape.step * kind.step_factor * share * option.slowness
        forwarding = self.answer * (HOP_SECONDS + _WAITING_PASSES * wait)
        return forwarding + self._queue_seconds(option)

    def _step_seconds(self, option: StageOption) -> float:
        """Return the seconds of a step over all layers with this request."""
        shape = self.shape
        requests = option.requests + 1
        context = requests * shape.usual_tokens / 1000
        step = (
            shape.step
            + requests * shape.step_per_request
            + context * shape.step_per_kilotoken
        )
        return step * shape.accelerators[option.accelerator].step_factor

    def _queue_seconds(self, option: StageOption) -> float:
        """Return the seconds that preceding prompts delay this request.

        An engine processes prompts one after the other, a chunk in each
        pass, with the token steps of all its requests in between.  The part
        that it has processed since they were sent no longer delays the
        request.
        """
        ahead = option.ahead
        if not ahead.requests:
            return 0.0
        shape = self.shape
        factor = shape.accelerators[option.accelerator].prefill_factor
        passes = shape.usual_prompt / shape.prefill_chunk
        steps = passes * shape.steps_per_pass * self._step_seconds(option)
        prefill = shape.usual_prompt / shape.prefill_per_second * factor
        share = option.layers.count / shape.layers * option.slowness
        queued = ahead.requests * (steps + prefill) * share
        return max(0.0, queued - ahead.seconds)
