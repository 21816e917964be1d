"""A routed request, its fingerprint and the errors that answer it."""

from collections.abc import Iterable
from dataclasses import dataclass
import hashlib
import random

from magnoliacove import errors
from magnoliacove.bodies import Body
from magnoliacove.configuration.routes import Route
from magnoliacove.configuration.routes import ServiceSpec
from magnoliacove.gateway.request_reader import Request
from magnoliacove.platform.headers import CallerHeaders

__all__ = [
    "REFUSED_RETRY",
    "RoutedRequest",
    "make_fingerprint",
    "make_part_fingerprints",
    "make_may_have_run",
    "make_quarantined",
    "make_stopped",
    "make_targets_limited",
    "make_timeout",
    "make_too_late",
    "read_caller_timeout",
]

# Seconds after which a caller may retry that no target could take.
REFUSED_RETRY = 0.5
# A caller of a stream disconnects after the longest of these without an
# event: a fixed time in seconds, a multiple of the route's latency objective,
# and a multiple of its gap objective.  The platform defines these values.
_CALLER_TIMEOUT = 2.0
_CALLER_OBJECTIVE_FACTOR = 4.0
_CALLER_GAP_FACTOR = 8.0
# Bounds, in seconds, of the retry delay sent to a caller whose request the
# targets' limits do not admit.  The retry mostly reaches another gateway,
# which has another share of the limits; and a limit lasts for seconds.
_MIN_LIMITED_RETRY = 0.5
_MAX_LIMITED_RETRY = 4.0
# The delay is multiplied by a random factor from 1 to this one.
_LIMITED_RETRY_SPREAD = 1.5
# Seconds after which a caller may retry whose gateway ends: it no longer
# listens, so that another one takes the request.
_STOPPED_RETRY = 0.1
# Bytes of a fingerprint, which identifies a request in log events and
# heartbeats.  With 8 bytes, the probability that any two of a billion requests
# have the same one is 3 in 100.
_FINGERPRINT_BYTES = 8


@dataclass(frozen=True)
class RoutedRequest:
    """A request with its route, service, client account and deadline.

    :param caller_headers: the decoded headers of the request.
    :param account: the client account's name, or "".
    :param priority: its rank by urgency among the requests of its service, 0
        first.
    :param deadline: by trio's clock; the answer must be complete by then.
    :param version: the version of the configuration that applies.
    :param fingerprint: identifies the content of the request, the same for
        all attempts.
    :param parts: fingerprints of the parts of its prompt that other requests
        may share.
    """

    request: Request
    caller_headers: CallerHeaders
    route: Route
    service: ServiceSpec
    account: str
    priority: int
    deadline: float
    version: int
    fingerprint: str
    parts: tuple[str, ...] = ()


def make_fingerprint(request: Request, account: str) -> str:
    """Return an identifier of a request's content and client account.

    Each attempt of a caller has its own id.  Attempts with the same content
    have the same fingerprint, on every gateway and after a restart.

    :returns: 16 hexadecimal digits, a hash of the host, the method, the path
        with its query, the client account and the body.
    """
    return _make_digest(
        (
            request.host.encode(),
            request.method,
            request.target,
            account.encode(),
        ),
        request.body,
    )


def make_part_fingerprints(ids: Iterable[str]) -> tuple[str, ...]:
    """Return identifiers of parts of a prompt, of 16 hexadecimal digits.

    :param ids: the parts, as the caller names them.
    """
    return tuple(_make_digest((b"part", part.encode())) for part in ids)


def _make_digest(values: Iterable[bytes], body: Body | None = None) -> str:
    """Return a digest of values and a body, if there is one."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    # The length prefix keeps different requests from giving the same
    # concatenation.
    for value in values:
        digest.update(b"%d:" % len(value) + value)
    if body is not None:
        digest.update(b"%d:" % len(body))
        for block in body.read_blocks():
            digest.update(block)
    return digest.hexdigest()


def make_quarantined(wait: float) -> errors.RequestError:
    """Return the error for a request that is blocked from targets.

    :param wait: seconds until it may be tried again.
    """
    return errors.RequestError(
        "quarantined",
        "targets ended while they ran such a request; it did not run now",
        status=503,
        retry_after=wait,
    )


def make_timeout(sent: bool) -> errors.RequestError:
    """Return the error for a request whose deadline has passed.

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


def make_stopped(
    sent: bool, wait: float = _STOPPED_RETRY
) -> errors.RequestError:
    """Return the error for a request that its gateway cannot wait for.

    :param sent: whether a target may have run it.
    :param wait: seconds until the caller may retry if none did.
    """
    if sent:
        return make_may_have_run(
            "stopped",
            "this entry stops before the answer; the request may have run",
            502,
        )
    return errors.RequestError(
        "stopped",
        "this entry stops; the request did not run, send it to another one",
        retry_after=wait,
    )


def make_too_late(sent: bool, wait: float) -> errors.RequestError:
    """Return the error for a stream whose first event would come too late.

    :param sent: whether a target may have run the request.
    :param wait: seconds until the caller may retry if none did.
    """
    message = "no path could bring an event before the caller leaves"
    if sent:
        return make_may_have_run("too_late", message, 504)
    return errors.RequestError("too_late", message, retry_after=wait)


def make_may_have_run(
    code: str, message: str, status: int
) -> errors.RequestError:
    """Return the error for a stream that an engine may have run."""
    return errors.RequestError(
        code, message, status=status, outcome=errors.Outcome.MAY_HAVE_RUN
    )


def make_targets_limited(service: str, wait: float) -> errors.RequestError:
    """Return the error for a request that no target's limit admits now.

    :param wait: seconds until a target admits one, infinity when unknown.
    """
    return errors.RequestError(
        "targets_in_need",
        f"the targets of {service} take no more requests now; it did not run",
        # Randomized, so that refused callers do not all retry at once.
        retry_after=min(max(wait, _MIN_LIMITED_RETRY), _MAX_LIMITED_RETRY)
        * random.uniform(1.0, _LIMITED_RETRY_SPREAD),
    )


def read_caller_timeout(route: Route) -> float:
    """Return the seconds without an event after which a caller disconnects."""
    return max(
        _CALLER_TIMEOUT,
        _CALLER_OBJECTIVE_FACTOR * route.latency_objective,
        _CALLER_GAP_FACTOR * route.gap_objective,
    )
