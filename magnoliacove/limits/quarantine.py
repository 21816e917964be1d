"""Requests that are kept away from targets, since they end them.

A quarantine lasts for a time.  After it one gateway lets a single request
through, and after as long again each gateway does: if one is answered the
quarantine is over everywhere, if it ends its target a longer one begins.
"""

from collections.abc import Callable
from dataclasses import dataclass
import math
import random

import trio

from magnoliacove.timeline import Recorder

__all__ = ["LONGEST", "Quarantine", "QuarantineBook"]

# The first quarantine of a request, and the longest, in seconds; each is so
# many times as long as the one before.  A request that ends targets whenever
# it comes costs three of them, then one a minute later, one after four more
# and at last one an hour.  One that was taken for the cause wrongly, and has
# no run in progress that shows it, is refused for a minute.
_FIRST = 60.0
LONGEST = 3600.0
_GROWS = 4.0
# Targets that end so soon after a quarantine began, in seconds, were sent the
# request before all gateways knew; later ends begin the next one.
_STILL_RUNNING = 5.0
# A request that is let through has ended its target, or shown that it does
# not, within so many seconds.
_TRIAL = 5.0
# A quarantine that has lasted twice its time is forgotten so many seconds
# later, and three targets would have to end again.  A request that comes once
# in minutes, to any of 330 gateways, seldom meets the one that tries it first.
_REMEMBERED = 600.0
# Callers are told to come back after this at the earliest, seconds.
_LEAST_WAIT = 1.0
# Requests that are remembered, 210 bytes each, and told in one heartbeat, 17
# bytes each.
_MOST_KEPT = 1024
_MOST_TOLD = 8
# How long it is told that a quarantine is over, in seconds: longer than any
# peer that still believes in it may stay unheard.
_ENDED_KEPT = 120.0


@dataclass(frozen=True)
class Quarantine:
    """The quarantine of one request, or that it is over.

    :param round: grows each time a quarantine of this request begins or is
        ended early; the higher one counts.
    :param since: when it began or was ended, by this process's clock.
    :param seconds: how long it lasts, 0 when it was ended early.
    :param crashes: the targets that the request ended.
    """

    fingerprint: str
    round: int
    since: float
    seconds: float
    crashes: int

    @property
    def in_force(self) -> bool:
        """Whether the request is kept away, or may be tried again at most."""
        return self.seconds > 0

    @property
    def until(self) -> float:
        """When the request may be tried again."""
        return self.since + self.seconds

    @property
    def open_at(self) -> float:
        """When each gateway may try the request again, not one alone."""
        return self.since + 2 * self.seconds

    @property
    def forgotten_at(self) -> float:
        """When nothing is left of it."""
        if not self.in_force:
            return self.since + _ENDED_KEPT
        return self.open_at + _REMEMBERED


class QuarantineBook:
    """The quarantines that one gateway knows of.

    :param owns: whether this gateway is the one that tries a request again
        first, given its fingerprint.
    :param refused: requests that were refused for a quarantine.
    """

    def __init__(
        self,
        recorder: Recorder,
        owns: Callable[[str], bool] = lambda _: True,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self.refused = 0
        self._recorder = recorder
        self._owns = owns
        self._read_time = read_time
        self._known: dict[str, Quarantine] = {}
        self._tried_at: dict[str, float] = {}

    def find(self, fingerprint: str) -> Quarantine | None:
        """Return a request's quarantine, None when there is none."""
        found = self._known.get(fingerprint)
        if found is None or not found.in_force:
            return None
        return found if self._read_time() < found.forgotten_at else None

    def admit(self, fingerprint: str) -> float:
        """Return 0 when a request may run, else seconds until it may.

        Once a quarantine has lasted its time the request is let through
        here, one at a time, if this gateway may try it.
        """
        found = self.find(fingerprint)
        if found is None:
            return 0.0
        now = self._read_time()
        tried = now - self._tried_at.get(fingerprint, -math.inf) < _TRIAL
        if not tried and self._may_try(found, now):
            self._tried_at[fingerprint] = now
            self._recorder.record(
                "quarantine-tried",
                fingerprint=fingerprint,
                round=found.round,
                why="it has lasted its time",
            )
            return 0.0
        self.refused += 1
        return max(_LEAST_WAIT, found.until - now)

    def _may_try(self, found: Quarantine, now: float) -> bool:
        if now < found.until:
            return False
        return now >= found.open_at or self._owns(found.fingerprint)

    def begin(self, fingerprint: str, crashes: int, why: str) -> Quarantine:
        """Begin a quarantine, or one that is longer than the one before."""
        before = self._known.get(fingerprint)
        held = self.find(fingerprint)
        seconds = min(held.seconds * _GROWS, LONGEST) if held else _FIRST
        found = Quarantine(
            fingerprint,
            before.round + 1 if before else 1,
            self._read_time(),
            seconds,
            crashes,
        )
        self._put(found, why)
        return found

    def end(self, fingerprint: str, why: str) -> Quarantine | None:
        """End a quarantine early; return None when there is none."""
        held = self.find(fingerprint)
        if held is None:
            return None
        ended = Quarantine(
            fingerprint, held.round + 1, self._read_time(), 0.0, held.crashes
        )
        self._put(ended, why)
        return ended

    def take(self, told: Quarantine, source: str) -> bool:
        """Take what another gateway or the store says; return if it was news.

        :param source: who says so, for the log.
        """
        known = self._known.get(told.fingerprint)
        if known is not None and told.round <= known.round:
            return False
        if self._read_time() >= told.forgotten_at:
            return False
        self._put(told, f"from {source}")
        return True

    def is_tried_again(self, fingerprint: str, crashed_at: float) -> bool:
        """Return whether a target ended under a request in quarantine.

        :param crashed_at: when its last target ended.
        """
        held = self.find(fingerprint)
        return held is not None and crashed_at >= held.since + _STILL_RUNNING

    def list_all(self) -> list[Quarantine]:
        """Return the quarantines that are in force."""
        return [q for q in map(self.find, tuple(self._known)) if q]

    def list_own(self) -> list[Quarantine]:
        """Return those of requests that this gateway would try first."""
        return [q for q in self.list_all() if self._owns(q.fingerprint)]

    def draw_told(self) -> list[tuple[Quarantine, float]]:
        """Return what the next heartbeat tells, and the age of each.

        Others each time where there are more than fit.
        """
        self._forget()
        now = self._read_time()
        told = list(self._known.values())
        if len(told) > _MOST_TOLD:
            told = random.sample(told, _MOST_TOLD)
        return [(one, now - one.since) for one in told]

    def _put(self, found: Quarantine, why: str) -> None:
        self._known[found.fingerprint] = found
        self._tried_at.pop(found.fingerprint, None)
        self._recorder.record(
            "quarantine-begun" if found.in_force else "quarantine-ended",
            fingerprint=found.fingerprint,
            why=why,
            round=found.round,
            crashes=found.crashes,
            seconds=round(found.seconds, 1),
            age=round(self._read_time() - found.since, 1),
        )
        if len(self._known) > _MOST_KEPT:
            oldest = min(self._known.values(), key=lambda one: one.since)
            self._drop(oldest.fingerprint)

    def _forget(self) -> None:
        now = self._read_time()
        for one in tuple(self._known.values()):
            if now >= one.forgotten_at:
                self._drop(one.fingerprint)

    def _drop(self, fingerprint: str) -> None:
        del self._known[fingerprint]
        self._tried_at.pop(fingerprint, None)
