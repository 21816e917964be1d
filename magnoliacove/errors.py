"""The error types that users and callers meet.

Every message says what is wrong and what to do about it.  Three outcomes
of a request are told apart everywhere, since only what surely did not run
may be tried again.
"""

import enum

__all__ = [
    "ConflictError",
    "Error",
    "NotFoundError",
    "Outcome",
    "PeerError",
    "PlatformError",
    "ProtocolError",
    "RequestError",
    "StaleOrderError",
    "UserError",
]


class Outcome(enum.StrEnum):
    """What is known about a request's effect on its target."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Error(Exception):
    """The base of every error of this project."""


class UserError(Error):
    """A mistake that the person at the command line can mend."""


class NotFoundError(UserError):
    """An object with that name does not exist."""


class ConflictError(UserError):
    """Somebody else changed the object since it was read."""


class ProtocolError(Error):
    """A peer sent something that the protocol does not allow."""


class PeerError(Error):
    """A peer cannot be reached or stopped answering."""


class StaleOrderError(Error):
    """An order carried a fencing number older than one already seen."""


class PlatformError(Error):
    """The platform's object API did not answer as asked.

    :param outcome: whether a write may have taken effect.
    """

    def __init__(self, message: str, outcome: Outcome) -> None:
        super().__init__(message)
        self.outcome = outcome


class RequestError(Error):
    """A caller's request ends without its answer.

    :param code: a short, stable word for programs, for example
        ``overloaded``.
    :param status: the HTTP status code for the caller.
    :param outcome: whether the request ran.
    :param retry_after: seconds until another try makes sense, or None
        when another try is of no use.
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        status: int = 503,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.outcome = outcome
        self.retry_after = retry_after
