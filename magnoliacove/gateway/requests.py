"""A request whose route, account and deadline are known."""

from dataclasses import dataclass
import hashlib
import random

from magnoliacove import errors
from magnoliacove.configuration.routes import Route
from magnoliacove.configuration.routes import ServiceSpec
from magnoliacove.gateway.callers import Request
from magnoliacove.platform.headers import CallerHeaders

__all__ = [
    "RoutedRequest",
    "make_fingerprint",
    "make_hopeless",
    "make_quarantined",
    "make_timeout",
    "make_uncertain",
    "make_unwanted",
    "read_caller_patience",
]

# A caller of a stream leaves after the longest of these without an event: a
# fixed time in seconds, so many times the latency objective, so many times
# the longest pause.  The figures are the platform's.
_CALLER_PATIENCE = 2.0
_CALLER_OBJECTIVES = 4.0
_CALLER_GAPS = 8.0
# When a caller may come back whose request the targets had no place for, in
# seconds.  It mostly meets another gateway then, which has another part of
# their limits; and what they want lasts for seconds.
_LEAST_UNWANTED = 0.5
_MOST_UNWANTED = 4.0
_UNWANTED_SPREAD = 1.5
# Bytes of a fingerprint.  Of a billion requests two share one of 8 bytes with
# a chance of 3 in 100; it names a request in lines and heartbeats.
_FINGERPRINT_BYTES = 8


@dataclass(frozen=True)
class RoutedRequest:
    """One request and what the configuration says of it.

    :param account: the client account's name, or "".
    :param priority: 0 goes first.
    :param deadline: by trio's clock; the answer must be whole by then.
    :param version: the configuration that it is handled by.
    :param fingerprint: names what is asked for, whichever attempt asks.
    """

    request: Request
    marks: CallerHeaders
    route: Route
    service: ServiceSpec
    account: str
    priority: int
    deadline: float
    version: int
    fingerprint: str


def make_fingerprint(request: Request, account: str) -> str:
    """Return a name for what a request asks for, and for whom.

    Each attempt of a caller has an id of its own; those that ask for the same
    share this name, on every gateway and after a restart.

    :returns: 16 hexadecimal digits of the host, the method, the path with its
        query, the client account and the body.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    parts = (
        request.host.encode(),
        request.method,
        request.target,
        account.encode(),
        request.body,
    )
    for part in parts:
        # With its length, so that no two requests are joined alike.
        digest.update(b"%d:" % len(part) + part)
    return digest.hexdigest()


def make_quarantined(wait: float) -> errors.RequestError:
    """Return the error for a request that is kept away from targets.

    :param wait: seconds until it may be tried again.
    """
    return errors.RequestError(
        "quarantined",
        "targets ended while they ran this request; it did not run now",
        status=503,
        retry_after=wait,
    )


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


def make_hopeless(sent: bool, wait: float) -> errors.RequestError:
    """Return the error for a caller that leaves before any event.

    :param sent: whether a target may have run the request.
    :param wait: seconds until it may come back, if none has.
    """
    why = "no path could bring an event before the caller leaves"
    if sent:
        return make_uncertain("too_late", why, 504)
    return errors.RequestError("too_late", why, retry_after=wait)


def make_uncertain(code: str, why: str, status: int) -> errors.RequestError:
    """Return the error for a stream that an engine may have run."""
    return errors.RequestError(
        code, why, status=status, outcome=errors.Outcome.MAY_HAVE_RUN
    )


def make_unwanted(service: str, wait: float) -> errors.RequestError:
    """Return the error for a request that all targets want no part of now.

    :param wait: seconds until one does, infinity when that is not known.
    """
    return errors.RequestError(
        "targets_in_need",
        f"the targets of {service} take no more requests now; it did not run",
        # Spread, or all that were refused come back at the same moment.
        retry_after=min(max(wait, _LEAST_UNWANTED), _MOST_UNWANTED)
        * random.uniform(1.0, _UNWANTED_SPREAD),
    )


def read_caller_patience(route: Route) -> float:
    """Return the seconds after which a caller of a stream leaves."""
    return max(
        _CALLER_PATIENCE,
        _CALLER_OBJECTIVES * route.latency_objective,
        _CALLER_GAPS * route.gap_objective,
    )
