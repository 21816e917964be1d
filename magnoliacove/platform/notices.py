"""What a target's answer says of the target itself, decoded."""

from collections.abc import Mapping
from collections.abc import Sequence
import math

from magnoliacove.limits.backpressure import TargetNotice

__all__ = ["read_notice"]

# The requests a second that a target takes from all gateways together.
_RATE_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
_YES = b"1"
_UNAVAILABLE = 503


def read_notice(
    status: int, headers: Sequence[tuple[bytes, bytes]]
) -> TargetNotice:
    """Return what an answer says of the target that gave it.

    :param headers: names in lower case.
    """
    values = dict(headers)
    unreadable: list[str] = []
    rate_limit = _read_number(values, _RATE_LIMIT, unreadable)
    rest = None
    if status == _UNAVAILABLE:
        rest = _read_number(values, _RETRY_AFTER, unreadable)
    return TargetNotice(
        rate_limit=rate_limit,
        leaving=values.get(_LEAVING, b"").strip() == _YES,
        rest=rest or 0.0,
        unreadable=", ".join(unreadable),
    )


def _read_number(
    values: Mapping[bytes, bytes], name: bytes, unreadable: list[str]
) -> float | None:
    """Return a number of 0 or more, None when there is none."""
    if name not in values:
        return None
    text = values[name].decode("latin-1").strip()
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0.0:
        return number
    unreadable.append(f"{name.decode()} {text!r} is no number")
    return None
