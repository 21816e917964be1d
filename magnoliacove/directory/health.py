"""Suspicions that targets are unreachable or faulty, and which ones leave.

A suspicion blocks new work for a limited time and expires automatically.  Each
repeated suspicion lasts twice as long, so a target that fails repeatedly
gets less and less work, and one suspected wrongly is soon in use again.

That a target leaves is known from three sources.  What the target says of
itself holds until it says otherwise or its entry is gone.  A health check is
an inference and expires.  What a peer reports holds while a peer reports it.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
import math

import trio

from magnoliacove.timeline import Recorder

__all__ = ["Health", "Suspicion"]

# Seconds that the first and the longest suspicion of a target last.  The
# first one outlasts the three heartbeats after which the entry of a failed
# engine is removed.
_INITIAL_DURATION = 2.0
_MAX_DURATION = 16.0
# Seconds for which a health check shows that an engine leaves.  Within this
# time it ends, or its entry is marked as draining.
_LEAVING_DURATION = 10.0
# Seconds for which a peer's report that a target leaves holds at least: peers
# repeat it in each heartbeat, every four seconds in the largest fleet.
_REPORT_DURATION = 6.0
# Seconds without suspicion after which the next one has the first duration.
_RESET_AFTER = 20.0


@dataclass(frozen=True)
class Suspicion:
    """Why a target gets no new work, and for which period.

    :param until: infinity when no time ends it.
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
        self._leaving: dict[str, Suspicion] = {}
        # When each target said that it does not leave.
        self._stayed_at: dict[str, float] = {}
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
        """Return the present suspicion of a target, or None.

        That it leaves comes before any other suspicion.
        """
        leaving = self._find_present(self._leaving, target)
        return leaving or self._find_present(self._suspicions, target)

    def is_failed(self, target: str) -> bool:
        """Return whether a target is suspected of more than that it leaves."""
        return self._find_present(self._suspicions, target) is not None

    def read_last_suspicion(self, target: str) -> tuple[float, float] | None:
        """Return begin and end of a target's last suspicion, if recent.

        Suspicions that it leaves do not count.
        """
        duration, until = self._durations.get(target, (0.0, -math.inf))
        if self._read_time() - until > _RESET_AFTER:
            return None
        return until - duration, until

    def list_suspicions(self) -> list[Suspicion]:
        """Return the present suspicions.

        A target that leaves and is suspected besides has two.
        """
        now = self._read_time()
        both = (*self._suspicions.values(), *self._leaving.values())
        return [s for s in both if s.until > now]

    def list_reported(self) -> list[Suspicion]:
        """Return the suspicions to report to the other processes.

        That a target leaves is repeated after a peer only while it is recent.
        Otherwise two peers would keep each other believing it.
        """
        oldest = self._read_time() - _LEAVING_DURATION
        return [
            s
            for s in self.list_suspicions()
            if not s.leaving or s.since > oldest or math.isinf(s.until)
        ]

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

        That a target leaves replaces a suspicion for another reason, and for
        a time none is added: its connections end as it does.

        :param age: seconds since another process began to suspect it.
        :param source: the process that reports the suspicion, or "" for
            this one.
        :param leaving: whether it is inferred or reported that the target
            leaves.
        """
        now = self._read_time()
        since = now - age
        if leaving:
            until = since + _LEAVING_DURATION
            if source:
                until = max(until, now + _REPORT_DURATION)
            self._add_leaving(
                Suspicion(target, since, until, why, True), source
            )
            return
        if self.is_failed(target) or self._left_recently(target):
            return
        duration = self._choose_duration(target)
        if since + duration <= now:
            return
        suspicion = Suspicion(target, since, since + duration, why)
        self._durations[target] = (duration, suspicion.until)
        self._suspicions[target] = suspicion
        self._announce(suspicion, source)

    def note_leaving(self, target: str) -> None:
        """Record that a target itself says that it leaves."""
        self._add_leaving(
            Suspicion(
                target,
                self._read_time(),
                math.inf,
                "it says that it leaves",
                leaving=True,
            )
        )

    def note_staying(self, target: str) -> None:
        """Record that a target itself says that it does not leave."""
        self._stayed_at[target] = self._read_time()
        self._leaving.pop(target, None)

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the suspicions of targets that no longer exist.

        :param listed: the names of the targets that exist.
        """
        for values in (
            self._durations,
            self._suspicions,
            self._leaving,
            self._stayed_at,
        ):
            for target in set(values) - listed:
                del values[target]

    def _add_leaving(self, suspicion: Suspicion, source: str = "") -> None:
        """Record that a target leaves, unless it said otherwise since."""
        target = suspicion.target
        if source and suspicion.since <= self._stayed_at.get(
            target, -math.inf
        ):
            return
        present = self._find_present(self._leaving, target)
        if present is not None:
            if suspicion.until > present.until:
                self._leaving[target] = replace(
                    suspicion, since=min(present.since, suspicion.since)
                )
            return
        self._leaving[target] = suspicion
        self._suspicions.pop(target, None)
        self._announce(suspicion, source)

    def _left_recently(self, target: str) -> bool:
        """Return whether a target began to leave a short time ago."""
        leaving = self._find_present(self._leaving, target)
        if leaving is None:
            return False
        return leaving.since + _LEAVING_DURATION > self._read_time()

    def _find_present(
        self, suspicions: Mapping[str, Suspicion], target: str
    ) -> Suspicion | None:
        """Return a suspicion that is not over, or None."""
        suspicion = suspicions.get(target)
        if suspicion is None or suspicion.until <= self._read_time():
            return None
        return suspicion

    def _announce(self, suspicion: Suspicion, source: str) -> None:
        """Log a new suspicion and tell the listeners."""
        seconds = suspicion.until - suspicion.since
        self._recorder.record(
            "target-suspected",
            target=suspicion.target,
            why=suspicion.why,
            source=source,
            leaving=suspicion.leaving,
            seconds=None if math.isinf(seconds) else round(seconds, 1),
        )
        for listener in self._listeners:
            listener(suspicion)

    def _choose_duration(self, target: str) -> float:
        """Return the seconds that the next suspicion of a target lasts."""
        now = self._read_time()
        duration, until = self._durations.get(target, (0.0, now))
        if not duration or now - until > _RESET_AFTER:
            return _INITIAL_DURATION
        return min(duration * 2, _MAX_DURATION)
