"""A request whose route, account and deadline are known."""

from dataclasses import dataclass

from magnoliacove import errors
from magnoliacove.configuration.routes import Route
from magnoliacove.configuration.routes import ServiceSpec
from magnoliacove.gateway.callers import Request
from magnoliacove.platform.headers import CallerMarks

__all__ = ["RoutedRequest", "make_timeout"]


@dataclass(frozen=True)
class RoutedRequest:
    """One request and what the configuration says of it.

    :param account: the client account's name, or "".
    :param priority: 0 goes first.
    :param deadline: by trio's clock; the answer must be whole by then.
    :param version: the configuration that it is handled by.
    """

    request: Request
    marks: CallerMarks
    route: Route
    service: ServiceSpec
    account: str
    priority: int
    deadline: float
    version: int


def make_timeout(sent: bool) -> errors.RequestError:
    """Return the error for a request whose time is over.

    :param sent: whether a target may have run it.
    """
    if sent:
        return errors.RequestError(
            "timeout",
            "no whole answer came in time; the request may have run",
            status=504,
            outcome=errors.Outcome.MAY_HAVE_RUN,
        )
    return errors.RequestError(
        "timeout",
        "the request could not be started in time; it did not run",
        status=503,
        retry_after=1.0,
    )
