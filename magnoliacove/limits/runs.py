"""Runs of requests that failed because their targets ended."""

from dataclasses import dataclass

__all__ = ["CrashedRun"]


@dataclass(frozen=True)
class CrashedRun:
    """A run that failed because its target ended.

    :param fingerprint: identifies the content of the request.
    :param attempt: identifies the caller's attempt.
    :param target: the target's incarnation that ended.
    :param seconds: duration of the run since its first bytes.
    """

    fingerprint: str
    attempt: int
    target: str
    seconds: float
