"""Error types reported to users and callers.

Every message states what is wrong and how to fix it.  All modules
distinguish three outcomes of a request, because only a request that
certainly did not run may be retried.
"""

import enum
from http import HTTPStatus

__all__ = [
    "ConflictError",
    "EndedBy",
    "Error",
    "NOT_RUN_STATUSES",
    "NotFoundError",
    "Outcome",
    "PeerError",
    "PlatformError",
    "ProtocolError",
    "RequestError",
    "StaleOrderError",
    "UserError",
    "note_earlier_run",
]

# Callers take these to mean that the request did not run and never will, and
# send it again, also one that may run only once.
NOT_RUN_STATUSES = frozenset(
    [
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ]
)


class Outcome(enum.StrEnum):
    """Whether a request took effect on its target, as far as is known."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class EndedBy(enum.StrEnum):
    """Who ended an answer that had begun and was not complete."""

    CALLER = "caller"
    ENGINE = "engine"
    ENTRY = "entry"
    GATEWAY = "gateway"


class Error(Exception):
    """Base class of all errors of this project."""


class UserError(Error):
    """A mistake that the command-line user can correct."""


class NotFoundError(UserError):
    """No object has the requested name."""


class ConflictError(UserError):
    """Another writer changed the object after it was read."""


class ProtocolError(Error):
    """A peer sent data that violates the protocol."""


class PeerError(Error):
    """A peer is unreachable or stopped responding."""


class StaleOrderError(Error):
    """An order carried a fencing token older than one already seen."""


class PlatformError(Error):
    """A call to the platform's object API failed.

    :param outcome: whether a write may have taken effect.
    """

    def __init__(self, message: str, outcome: Outcome) -> None:
        super().__init__(message)
        self.outcome = outcome


class RequestError(Error):
    """A caller's request failed.

    :param code: a short, stable, machine-readable code, for example
        ``overloaded``.
    :param status: the HTTP status code for the caller; if None, 503 for a
        request that did not run and 502 for any other.  A status that means
        "not run" becomes 502 too unless that is certain.
    :param outcome: whether the request ran.
    :param retry_after: seconds to wait before a retry, or None when a
        retry is useless.
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        status: int | None = None,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = int(_choose_status(status, outcome))
        self.outcome = outcome
        self.retry_after = retry_after


def note_earlier_run(error: RequestError) -> RequestError:
    """Return the error of a request of which an earlier part may have run.

    :param error: what the last attempt or step failed with; that it did not
        run says nothing of those before it.
    """
    if error.outcome is not Outcome.NOT_RUN:
        return error
    return RequestError(
        error.code,
        f"{error}; an earlier attempt or step may have run",
        status=error.status,
        outcome=Outcome.MAY_HAVE_RUN,
        retry_after=error.retry_after,
    )


def _choose_status(status: int | None, outcome: Outcome) -> int:
    """Return the status of an error, which agrees with its outcome."""
    if outcome is Outcome.NOT_RUN:
        return status or HTTPStatus.SERVICE_UNAVAILABLE
    if not status or status in NOT_RUN_STATUSES:
        return HTTPStatus.BAD_GATEWAY
    return status
