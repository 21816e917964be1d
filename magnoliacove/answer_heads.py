"""Checks of answers' heads that the parser leaves out.

h11 accepts statuses that are none, versions that it does not know, and control
characters in values.  Strict callers refuse a head that has one, and others
take it for an answer that the target did not mean.
"""

from collections.abc import Iterable
import re

__all__ = ["find_fault"]

# RFC 9110, section 15: other values are invalid.
_HIGHEST_STATUS = 599
# RFC 9112, section 2.3: the meaning of a message follows from its major
# version.
_KNOWN_VERSION = re.compile(rb"(?:HTTP/)?1\.[0-9]")
# RFC 9110, section 5.5: none of these but the tab is part of a value.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def find_fault(
    status: int, version: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> str:
    """Return why an answer's head is not valid, or "".

    :param version: as in the status line; the protocol's name may be left out.
    """
    if status > _HIGHEST_STATUS:
        return f"the status {status} is invalid"
    if not _KNOWN_VERSION.fullmatch(version):
        return f"the version {version!r} is not known"
    for name, value in headers:
        if _CONTROL_CHARACTER.search(value):
            return f"the value of {name!r} has a control character"
    return ""
