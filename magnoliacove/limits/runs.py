"""Runs of requests that broke off as their targets ended."""

from dataclasses import dataclass

__all__ = ["CrashedRun"]


@dataclass(frozen=True)
class CrashedRun:
    """A run that broke off because its target ended.

    :param fingerprint: names what was asked for.
    :param attempt: names the caller's attempt.
    :param target: the incarnation that ended.
    :param seconds: how long the run had gone on since its first bytes.
    """

    fingerprint: str
    attempt: int
    target: str
    seconds: float
