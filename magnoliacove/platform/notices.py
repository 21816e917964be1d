"""Decoding of what an answer's headers report about its target."""

from collections.abc import Mapping
from collections.abc import Sequence
from http import HTTPStatus
import math

from magnoliacove.limits.backpressure import TargetNotice

__all__ = ["read_notice"]

# The requests per second that a target accepts from all gateways together.
_RATE_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_YES = b"1"
_NO = b"0"


def read_notice(
    status: int, headers: Sequence[tuple[bytes, bytes]]
) -> TargetNotice:
    """Return what an answer reports about the target that sent it.

    :param headers: names in lower case.
    """
    values = dict(headers)
    unreadable: list[str] = []
    rate_limit = _read_number(values, _RATE_LIMIT, unreadable)
    back_off = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        back_off = _read_number(values, _RETRY_AFTER, unreadable)
    leaving = values.get(_LEAVING, b"").strip()
    return TargetNotice(
        rate_limit=rate_limit,
        leaving=leaving == _YES,
        backoff=back_off or 0.0,
        unreadable=", ".join(unreadable),
        staying=leaving == _NO,
    )


def _read_number(
    values: Mapping[bytes, bytes], name: bytes, unreadable: list[str]
) -> float | None:
    """Return a non-negative number, or None if it is missing or invalid.

    A description of an invalid value is appended to ``unreadable``.
    """
    if name not in values:
        return None
    text = values[name].decode("latin-1").strip()
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0.0:
        return number
    unreadable.append(f"{name.decode()} {text!r} is not a number >= 0")
    return None
