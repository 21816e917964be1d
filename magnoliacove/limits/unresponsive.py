"""Runs that failed at targets that have been unresponsive since.

Whether such a target crashed is known once it reports its start again,
seconds later.  Meanwhile a request that crashes targets would crash one after
the other, so unresponsive targets count against retries of the request for a
short time, and against retries only.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove.limits.runs import CrashedRun

__all__ = ["UnresponsiveRuns"]

# Seconds for which a peer's report counts after the peer last sent it: peers
# repeat it in each heartbeat, every four seconds in the largest fleet.
_PEER_RETENTION = 6.0
# Maximum seconds for which an own observation counts.
_OWN_RETENTION = 30.0
# Maximum numbers of runs in memory and of runs in one heartbeat.
_MAX_RUNS = 1024
_MAX_REPORTED = 16


@dataclass(frozen=True)
class _UnresponsiveRun:
    """A run at an unresponsive target, and until when it counts.

    :param own: whether this gateway observed it; otherwise a peer did.
    """

    run: CrashedRun
    since: float
    until: float
    own: bool


class UnresponsiveRuns:
    """Failed runs of all gateways whose targets are unresponsive.

    :param read_time: returns seconds.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self._read_time = read_time
        self._runs: dict[tuple[str, str], _UnresponsiveRun] = {}

    def note(self, run: CrashedRun, *, own: bool = True) -> None:
        """Record that the target of a failed run is unresponsive.

        :param own: whether this gateway observed it; otherwise a peer did.
        """
        now = self._read_time()
        key = run.fingerprint, run.target
        previous = self._runs.pop(key, None)
        if previous is not None and previous.own and not own:
            self._runs[key] = previous
            return
        until = now + (_OWN_RETENTION if own else _PEER_RETENTION)
        self._runs[key] = _UnresponsiveRun(run, now, until, own)
        if len(self._runs) > _MAX_RUNS:
            del self._runs[next(iter(self._runs))]

    def drop(self, run: CrashedRun) -> None:
        """Discard a run once it is known how it failed."""
        self._runs.pop((run.fingerprint, run.target), None)

    def find(self, fingerprint: str) -> list[CrashedRun]:
        """Return the runs of a request that count now."""
        now = self._read_time()
        return [
            item.run
            for item in self._runs.values()
            if item.run.fingerprint == fingerprint and now < item.until
        ]

    def list_fingerprints(self) -> list[str]:
        """Return the fingerprints of the runs that count now."""
        now = self._read_time()
        return [
            item.run.fingerprint
            for item in self._runs.values()
            if now < item.until
        ]

    def list_own(self) -> list[tuple[CrashedRun, float]]:
        """Return the runs to report to the peers, and the age of each."""
        now = self._read_time()
        reported = [
            (item.run, now - item.since)
            for item in self._runs.values()
            if item.own and now < item.until
        ]
        return reported[-_MAX_REPORTED:]

    def forget_old(self) -> None:
        """Discard runs that no longer count."""
        now = self._read_time()
        self._runs = {
            key: item for key, item in self._runs.items() if now < item.until
        }
