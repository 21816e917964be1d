"""Suspicions that targets are unreachable or faulty.

A suspicion blocks new work for a limited time and expires automatically.  Each
repeated suspicion lasts twice as long, so a target that fails repeatedly
gets less and less work, and one suspected wrongly is soon in use again.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove.timeline import Recorder

__all__ = ["Health", "Suspicion"]

# Seconds that the first and the longest suspicion of a target last.  The
# first one outlasts the three heartbeats after which the entry of a failed
# engine is removed.
_INITIAL_DURATION = 2.0
_MAX_DURATION = 16.0
# Seconds of suspicion for an engine that announces that it leaves.  Within
# this time it ends, or its entry is marked as draining.
_LEAVING_DURATION = 10.0
# Seconds without suspicion after which the next one has the first duration.
_RESET_AFTER = 20.0


@dataclass(frozen=True)
class Suspicion:
    """Why a target gets no new work, and for which period.

    :param leaving: whether it finishes its requests but accepts no new
        ones.
    """

    target: str
    since: float
    until: float
    why: str
    leaving: bool = False


class Health:
    """The suspicions of this process and those reported by others."""

    def __init__(
        self,
        recorder: Recorder,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._recorder = recorder
        self._read_time = read_time
        self._suspicions: dict[str, Suspicion] = {}
        # Duration in seconds and end of each target's last suspicion, except
        # for one that it leaves.
        self._durations: dict[str, tuple[float, float]] = {}
        self._listeners: list[Callable[[Suspicion], None]] = []

    def listen(self, listener: Callable[[Suspicion], None]) -> None:
        """Call a function with each new suspicion."""
        self._listeners.append(listener)

    def is_usable(self, target: str) -> bool:
        """Return whether a target may get new work."""
        return self.find(target) is None

    def find(self, target: str) -> Suspicion | None:
        """Return the present suspicion of a target, or None."""
        suspicion = self._suspicions.get(target)
        if suspicion is None or suspicion.until <= self._read_time():
            return None
        return suspicion

    def list_suspicions(self) -> list[Suspicion]:
        """Return the present suspicions."""
        now = self._read_time()
        return [s for s in self._suspicions.values() if s.until > now]

    def suspect(
        self,
        target: str,
        why: str,
        *,
        age: float = 0.0,
        source: str = "",
        leaving: bool = False,
    ) -> None:
        """Suspect a target, unless it is suspected already.

        A target that leaves replaces a suspicion for another reason.

        :param age: seconds since another process began to suspect it.
        :param source: the process that reports the suspicion, or "" for
            this one.
        :param leaving: whether the target itself announces that it leaves.
        """
        present = self.find(target)
        if present is not None and (present.leaving or not leaving):
            return
        now = self._read_time()
        duration = (
            _LEAVING_DURATION if leaving else self._choose_duration(target)
        )
        since = now - age
        if since + duration <= now:
            return
        suspicion = Suspicion(target, since, since + duration, why, leaving)
        if not leaving:
            self._durations[target] = (duration, suspicion.until)
        self._suspicions[target] = suspicion
        self._recorder.record(
            "target-suspected",
            target=target,
            why=why,
            source=source,
            leaving=leaving,
            seconds=round(duration, 1),
        )
        for listener in self._listeners:
            listener(suspicion)

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the suspicions of targets that no longer exist.

        :param listed: the names of the targets that exist.
        """
        for target in set(self._durations) - listed:
            del self._durations[target]
        for target in set(self._suspicions) - listed:
            del self._suspicions[target]

    def _choose_duration(self, target: str) -> float:
        """Return the seconds that the next suspicion of a target lasts."""
        now = self._read_time()
        duration, until = self._durations.get(target, (0.0, now))
        if not duration or now - until > _RESET_AFTER:
            return _INITIAL_DURATION
        return min(duration * 2, _MAX_DURATION)
