"""Which targets are suspected of being lost or faulty.

A suspicion keeps new work away for a while and ends by itself.  One that
comes back lasts twice as long, so a target that fails again and again is
left alone more and more, and one suspected wrongly is soon in use again.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove.timeline import Recorder

__all__ = ["Health", "Suspicion"]

# The first suspicion of a target, and the longest, in seconds.  The first
# outlasts the three heartbeats after which a dead engine's entry is gone.
_FIRST = 2.0
_MOST = 16.0
# An engine that says that it leaves is gone within so many seconds, or its
# entry has said so by then.
_LEAVING = 10.0
# After so many seconds without suspicion it starts again with the first.
_FORGIVEN = 20.0


@dataclass(frozen=True)
class Suspicion:
    """Why a target gets no new work, and since and until when.

    :param leaving: it works on what it has, but takes nothing new.
    """

    target: str
    since: float
    until: float
    why: str
    leaving: bool = False


class Health:
    """The suspicions of one process, own and others'."""

    def __init__(
        self,
        recorder: Recorder,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._recorder = recorder
        self._read_time = read_time
        self._suspicions: dict[str, Suspicion] = {}
        self._lengths: dict[str, tuple[float, float]] = {}
        self._listeners: list[Callable[[Suspicion], None]] = []

    def listen(self, listener: Callable[[Suspicion], None]) -> None:
        """Call a function with each new suspicion."""
        self._listeners.append(listener)

    def is_usable(self, target: str) -> bool:
        """Return whether a target may get new work."""
        return self.find(target) is None

    def find(self, target: str) -> Suspicion | None:
        """Return what a target is suspected of now, or None."""
        found = self._suspicions.get(target)
        if found is None or found.until <= self._read_time():
            return None
        return found

    def list_suspicions(self) -> list[Suspicion]:
        """Return what is suspected now."""
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

        :param age: seconds since another process began to suspect it.
        :param source: the process that says so, or "" for this one.
        :param leaving: it says itself that it leaves.
        """
        known = self.find(target)
        if known is not None and (known.leaving or not leaving):
            return
        now = self._read_time()
        length, until = self._lengths.get(target, (_FIRST / 2, now))
        if now - until > _FORGIVEN:
            length = _FIRST / 2
        length = min(length * 2, _MOST)
        if leaving:
            length = _LEAVING
        since = now - age
        if since + length <= now:
            return
        suspicion = Suspicion(target, since, since + length, why, leaving)
        self._lengths[target] = (length, suspicion.until)
        self._suspicions[target] = suspicion
        self._recorder.record(
            "target-suspected",
            target=target,
            why=why,
            source=source,
            leaving=leaving,
            seconds=round(length, 1),
        )
        for listener in self._listeners:
            listener(suspicion)

    def forget(self, known: set[str]) -> None:
        """Drop what is known of targets that no longer exist."""
        for target in set(self._lengths) - known:
            self._lengths.pop(target)
            self._suspicions.pop(target, None)
