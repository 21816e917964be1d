"""Checks of the heads of answers that the parser, h11, leaves out.

h11 accepts statuses and versions that do not exist, and control characters in
the values of headers.  Strict callers reject the whole head for one of these.
"""

from collections.abc import Iterable
import re

import h11

__all__ = ["check_head"]

# RFC 9110, section 15: other values are invalid.
_HIGHEST_STATUS = 599
# RFC 9112, section 2.3: the meaning of a message follows from its major
# version.
_KNOWN_VERSION = re.compile(rb"(?:HTTP/)?1\.[0-9]")
# RFC 9110, section 5.5: none of these but the tab is part of a value.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def check_head(
    status: int, version: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> None:
    """Check the head of an answer that was parsed.

    :param version: as in the status line; the protocol's name may be left out.
    :raises h11.RemoteProtocolError: when it is not valid, as the parser does.
    """
    if status > _HIGHEST_STATUS:
        raise h11.RemoteProtocolError(f"the status {status} is invalid")
    if not _KNOWN_VERSION.fullmatch(version):
        raise h11.RemoteProtocolError(f"the version {version!r} is not known")
    for name, value in headers:
        if _CONTROL_CHARACTER.search(value):
            raise h11.RemoteProtocolError(
                f"the value of {name!r} has a control character"
            )
