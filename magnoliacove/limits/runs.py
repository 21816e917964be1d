"""Runs of requests that failed because their targets ended."""

from dataclasses import dataclass
from typing import Protocol
import zlib

__all__ = ["BrokenRun", "CrashedRun", "RunSubject", "number_request"]


class RunSubject(Protocol):
    """What may crash a target as it runs: a request or a part of its prompt.

    Each is identified by 16 hexadecimal digits.
    """

    @property
    def fingerprint(self) -> str:
        """Identifies the content of the whole request."""

    @property
    def parts(self) -> tuple[str, ...]:
        """Identify the parts of its prompt that other requests may share."""


@dataclass(frozen=True)
class CrashedRun:
    """A run that failed because its target ended.

    :param fingerprint: identifies the content of the request, or a part of
        its prompt.
    :param attempt: identifies the caller's attempt; for a part, the request.
    :param target: the target's incarnation that ended.
    :param seconds: duration of the run since its first bytes.
    """

    fingerprint: str
    attempt: int
    target: str
    seconds: float


@dataclass(frozen=True)
class BrokenRun:
    """A run that broke off, of a request and of each part of its prompt."""

    whole: CrashedRun
    parts: tuple[CrashedRun, ...] = ()


def number_request(fingerprint: str) -> int:
    """Return the number by which a part's runs name a request.

    It follows from the content.  A part is the cause only if several requests
    show it, however often each is sent.
    """
    return zlib.crc32(fingerprint.encode())
