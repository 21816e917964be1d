"""Whether a target's answer is forwarded or replaced by an error.

It is forwarded unchanged, unless that would tell the caller something that is
not known: that the answer is the target's own, or that the request did not
run.  This is decided here for calls and for streams.
"""

from dataclasses import dataclass
from http import HTTPStatus

from magnoliacove import errors
from magnoliacove.bodies import Body
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.requests import REFUSED_RETRY
from magnoliacove.gateway.requests import make_may_have_run
from magnoliacove.platform import headers

__all__ = ["TargetAnswer", "forward_answer", "require_answer"]


@dataclass(frozen=True)
class TargetAnswer:
    """A whole answer of a target."""

    head: Answer
    decoded: headers.AnswerHeaders
    body: Body | bytes

    @property
    def status(self) -> int:
        """The status that the target gave."""
        return self.head.status

    @property
    def reports_failure(self) -> bool:
        """Whether its status is one of an error."""
        return self.status >= HTTPStatus.BAD_REQUEST

    @property
    def forwardable(self) -> bool:
        """Whether the caller may get it as it is."""
        if not self.decoded.stamped or self.decoded.not_run:
            return False
        # Only a header states that the request did not run; the status alone
        # may come after a run, and the caller would repeat it.
        return self.status not in errors.NOT_RUN_STATUSES


def require_answer(
    last: TargetAnswer | None, *, ran: bool, code: str, message: str
) -> TargetAnswer:
    """Return the last answer that targets gave, which may be forwarded.

    :param last: None when the last run gave no whole answer.
    :param ran: whether any target may have run the request.
    :param code: the code of the error if one may have.
    :param message: why the request fails if it does.
    :raises magnoliacove.errors.RequestError: when the caller gets an error in
        place of the answer.
    """
    if not ran:
        raise errors.RequestError(
            "refused",
            f"{message}; the request did not run",
            retry_after=REFUSED_RETRY,
        )
    if last is None or not last.forwardable:
        text = f"{message}; the request may have run"
        raise make_may_have_run(code, text, HTTPStatus.BAD_GATEWAY)
    return last


async def forward_answer(exchange: Exchange, answer: TargetAnswer) -> None:
    """Send the caller an answer of a target as it is."""
    copied = headers.copy_answer(answer.head.headers)
    await exchange.answer(answer.status, copied, answer.body)
