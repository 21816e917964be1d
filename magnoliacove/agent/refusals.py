"""Why an agent refuses to open or resume a stage."""

from dataclasses import dataclass
import math

from magnoliacove import errors
from magnoliacove.wire import messages

__all__ = ["Refusal"]

# Seconds after which a refused stream may be sent again, unless known better.
_RETRY_AFTER = 1.0


@dataclass(frozen=True)
class Refusal:
    """A reason to refuse a stage; nothing has run.

    :param retry_after: in seconds.
    """

    code: str
    reason: str
    retry_after: float = _RETRY_AFTER

    def make_message(self, request: messages.OpenStage) -> messages.Refused:
        """Return the message for the entry that requested the stage."""
        return messages.Refused(
            request.stream,
            request.attempt,
            errors.Outcome.NOT_RUN,
            self.code,
            f"{self.reason} stream {request.stream.hex()}",
            math.ceil(self.retry_after * 1000),
        )
