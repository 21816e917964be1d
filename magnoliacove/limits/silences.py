"""Runs that broke off at targets which answer nothing since.

Whether such a target ended is known once it tells its start again, seconds
later.  A request that ends targets would take one after the other meanwhile,
so what is not known yet counts for a moment, and against repeats only.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove.limits.runs import CrashedRun

__all__ = ["SilentRuns"]

# What a peer tells counts for so long after its last word, in seconds: peers
# tell it with each heartbeat, which in the largest fleet come each four.
_TOLD_COUNTS = 6.0
# Own ones count for so long at most, in seconds.
_OWN_COUNTS = 30.0
_MOST_KEPT = 1024
_MOST_TOLD = 16


@dataclass(frozen=True)
class _Silence:
    """One run, and until when it counts.

    :param own: this gateway asked the target; else a peer did.
    """

    run: CrashedRun
    since: float
    until: float
    own: bool


class SilentRuns:
    """What is not known yet of runs that broke off, of all gateways.

    :param read_time: returns seconds.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self._read_time = read_time
        self._known: dict[tuple[str, str], _Silence] = {}

    def note(self, run: CrashedRun, *, own: bool = True) -> None:
        """Take it that the target of a run answers nothing since."""
        now = self._read_time()
        key = run.fingerprint, run.target
        known = self._known.pop(key, None)
        if known is not None and known.own and not own:
            self._known[key] = known
            return
        until = now + (_OWN_COUNTS if own else _TOLD_COUNTS)
        self._known[key] = _Silence(run, now, until, own)
        if len(self._known) > _MOST_KEPT:
            del self._known[next(iter(self._known))]

    def drop(self, run: CrashedRun) -> None:
        """Take it that it is known now how a run broke off."""
        self._known.pop((run.fingerprint, run.target), None)

    def find(self, fingerprint: str) -> list[CrashedRun]:
        """Return the runs of a request that count now."""
        now = self._read_time()
        return [
            one.run
            for one in self._known.values()
            if one.run.fingerprint == fingerprint and now < one.until
        ]

    def list_own(self) -> list[tuple[CrashedRun, float]]:
        """Return what the peers are to be told, and the age of each."""
        now = self._read_time()
        found = [
            (one.run, now - one.since)
            for one in self._known.values()
            if one.own and now < one.until
        ]
        return found[-_MOST_TOLD:]

    def forget_old(self) -> None:
        """Drop what counts no more."""
        now = self._read_time()
        self._known = {
            key: one for key, one in self._known.items() if now < one.until
        }
