"""How many attempts a stream may still make, and why it must end."""

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.entry.replanning import ChainInterrupted
from magnoliacove.entry.replanning import ChainPlanner
from magnoliacove.entry.replanning import StreamChain
from magnoliacove.entry.stages import StreamRequest

__all__ = ["Attempts"]

_REMEDY = "see 'magnoliacove status'"


class Attempts:
    """Decides whether a stream makes another attempt, waits or ends.

    Once steps were sent, an attempt counts only if its chain opened.  An
    attempt that was refused or reached nobody has run nothing, so it costs
    the stream only time, which its deadline bounds.
    """

    def __init__(self, request: StreamRequest, planner: ChainPlanner) -> None:
        self.steps_sent = False
        self._request = request
        self._planner = planner
        self._counted = 0
        self._waiting_since: float | None = None

    @property
    def outcome(self) -> errors.Outcome:
        """Whether a step may have run."""
        if self.steps_sent:
            return errors.Outcome.MAY_HAVE_RUN
        return errors.Outcome.NOT_RUN

    def note_opened(self) -> None:
        """Record that all stages of a chain opened and steps follow."""
        self.steps_sent = True
        self._waiting_since = None
        self._counted += 1

    def check_interrupted(self, interruption: ChainInterrupted) -> None:
        """End the stream after its last attempt.

        :raises magnoliacove.errors.RequestError: when no attempt is left.
        """
        if not self.steps_sent:
            self._counted += 1
        if self._counted >= defaults.MAX_ATTEMPTS:
            raise errors.RequestError(
                "no_stage",
                f"the stream was interrupted {self._counted} times, last "
                f"because {interruption}",
                outcome=self.outcome,
                retry_after=2.0,
            )

    def check_without_targets(
        self, chain: StreamChain, interruption: ChainInterrupted
    ) -> None:
        """End the stream if no target can serve its missing layers in time.

        :raises magnoliacove.errors.RequestError: when nothing has run, or
            no target can be back before the deadline.
        """
        service = self._request.service
        if not self.steps_sent:
            # The caller receives the error at once instead of waiting.
            raise errors.RequestError(
                "no_target",
                f"no usable targets hold all layers of {service}; {_REMEDY}",
                retry_after=2.0,
            )
        if self._waiting_since is None:
            self._waiting_since = trio.current_time()
        if self._planner.may_be_served(self._request.deadline):
            return
        layers = _describe_layers(chain, interruption)
        raise errors.RequestError(
            "no_stage",
            f"no target can serve {layers} of {service} before the deadline "
            f"({interruption}); {_REMEDY}",
            outcome=self.outcome,
            retry_after=2.0,
        )

    def make_deadline_error(self) -> errors.RequestError:
        """Return the error of a stream whose deadline has passed."""
        message = "the answer was not complete before the deadline"
        if self._waiting_since is not None:
            waited = trio.current_time() - self._waiting_since
            message += (
                f"; for the last {waited:.1f} s no usable target served the "
                f"missing layers; {_REMEDY}"
            )
        return errors.RequestError(
            "deadline",
            message,
            status=504,
            outcome=self.outcome,
            retry_after=1.0,
        )


def _describe_layers(
    chain: StreamChain, interruption: ChainInterrupted
) -> str:
    ranges = [
        f"{stage.first_layer} to {stage.end_layer}"
        for stage in chain.stages
        if interruption.replace_all or stage.target in interruption.names
    ]
    return f"layers {' and '.join(ranges)}" if ranges else "all layers"
