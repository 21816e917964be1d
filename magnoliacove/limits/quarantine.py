"""Quarantine of requests that crash their targets.

A quarantine blocks a request for a limited time.  Then one gateway admits a
single trial request.  After the same time has passed once more, each gateway
admits one.  If a trial is answered, the quarantine ends everywhere; if it
crashes its target, a longer quarantine begins.
"""

from collections.abc import Callable
from dataclasses import dataclass
import math
import random

import trio

from magnoliacove.timeline import Recorder

__all__ = ["MAX_QUARANTINE", "Quarantine", "QuarantineBook"]

# Seconds of the first quarantine of a request and of the longest one, and the
# factor between two successive ones.  A request that crashes a target each
# time it runs crashes three of them, then one a minute later, one after four
# more minutes and finally one an hour.  A request that is wrongly identified
# as the cause, and has no run in progress that proves it harmless, is refused
# for a minute.
_INITIAL_QUARANTINE = 60.0
MAX_QUARANTINE = 3600.0
_GROWTH_FACTOR = 4.0
# Seconds of a provisional quarantine.  Targets that answer nothing are mostly
# back by then, and tell whether they crashed.
_PROVISIONAL_QUARANTINE = 6.0
# Seconds after the beginning of a quarantine during which crashes do not begin
# the next one: their targets were sent the request before all gateways had
# received the quarantine.
_PROPAGATION_TIME = 5.0
# Seconds within which a trial request has crashed its target or has shown that
# it does not.
_TRIAL_TIME = 5.0
# Seconds for which a quarantine is kept after every gateway may admit trials.
# Once it has expired, three targets would have to crash again.  A request that
# arrives once in minutes, at any of 330 gateways, seldom arrives at the one
# that admits the first trial.
_RETENTION = 600.0
# Minimum `Retry-After` in seconds.
_MIN_WAIT = 1.0
# Maximum number of quarantines in memory, 210 bytes each, and in one
# heartbeat, 17 bytes each.
_MAX_QUARANTINES = 1024
_MAX_REPORTED = 8
# Seconds for which the end of a quarantine is reported: longer than any peer
# that still has the quarantine may stay unreachable.
_ENDED_RETENTION = 120.0


@dataclass(frozen=True)
class Quarantine:
    """The quarantine of one request, or its early end.

    :param round: version number, incremented each time a quarantine of this
        request begins or is ended early; the highest one applies.
    :param since: when it began or was ended, by this process's clock.
    :param seconds: duration of the quarantine, 0 when it was ended early.
    :param crashes: number of targets that the request crashed.
    """

    fingerprint: str
    round: int
    since: float
    seconds: float
    crashes: int

    @property
    def in_force(self) -> bool:
        """Whether the request is blocked, except for trials."""
        return self.seconds > 0

    @property
    def provisional(self) -> bool:
        """Whether it is not known yet that the request crashes targets."""
        return self.in_force and self.seconds < _INITIAL_QUARANTINE

    @property
    def until(self) -> float:
        """When one gateway may admit a trial request."""
        return self.since + self.seconds

    @property
    def open_at(self) -> float:
        """When every gateway may admit trial requests."""
        return self.since + 2 * self.seconds

    @property
    def expires_at(self) -> float:
        """When the quarantine, or the record of its end, expires."""
        if not self.in_force:
            return self.since + _ENDED_RETENTION
        return self.open_at + _RETENTION


class QuarantineBook:
    """The quarantines that one gateway enforces.

    :param owns: returns whether this gateway admits the first trial of the
        request with a fingerprint.
    :param refused: number of requests that a quarantine refused.
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
        self._quarantines: dict[str, Quarantine] = {}
        self._tried_at: dict[str, float] = {}

    def find(self, fingerprint: str) -> Quarantine | None:
        """Return a request's quarantine, None when there is none."""
        quarantine = self._quarantines.get(fingerprint)
        if quarantine is None or not quarantine.in_force:
            return None
        return (
            quarantine if self._read_time() < quarantine.expires_at else None
        )

    def admit(self, fingerprint: str) -> float:
        """Return 0 when a request may run, else seconds until it may.

        Once the quarantine's duration has passed, trial requests are admitted
        one at a time, if this gateway may admit them.
        """
        quarantine = self.find(fingerprint)
        if quarantine is None:
            return 0.0
        now = self._read_time()
        tried = now - self._tried_at.get(fingerprint, -math.inf) < _TRIAL_TIME
        if not tried and self._may_try(quarantine, now):
            self._tried_at[fingerprint] = now
            self._recorder.record(
                "quarantine-tried",
                fingerprint=fingerprint,
                round=quarantine.round,
                why="the quarantine's duration has passed",
            )
            return 0.0
        self.refused += 1
        return max(_MIN_WAIT, quarantine.until - now)

    def _may_try(self, quarantine: Quarantine, now: float) -> bool:
        if now < quarantine.until:
            return False
        return now >= quarantine.open_at or self._owns(quarantine.fingerprint)

    def begin(self, fingerprint: str, crashes: int, why: str) -> Quarantine:
        """Begin a quarantine, longer than a previous one that is in force."""
        current = self.find(fingerprint)
        seconds = _INITIAL_QUARANTINE
        if current is not None and not current.provisional:
            seconds = min(current.seconds * _GROWTH_FACTOR, MAX_QUARANTINE)
        return self._begin(fingerprint, crashes, seconds, why)

    def begin_provisional(
        self, fingerprint: str, why: str
    ) -> Quarantine | None:
        """Begin a short quarantine; return None when there is one already."""
        if self.find(fingerprint) is not None:
            return None
        return self._begin(fingerprint, 0, _PROVISIONAL_QUARANTINE, why)

    def _begin(
        self, fingerprint: str, crashes: int, seconds: float, why: str
    ) -> Quarantine:
        latest = self._quarantines.get(fingerprint)
        quarantine = Quarantine(
            fingerprint,
            latest.round + 1 if latest else 1,
            self._read_time(),
            seconds,
            crashes,
        )
        self._put(quarantine, why)
        return quarantine

    def end(self, fingerprint: str, why: str) -> Quarantine | None:
        """End a quarantine early; return None when there is none."""
        current = self.find(fingerprint)
        if current is None:
            return None
        ended = Quarantine(
            fingerprint,
            current.round + 1,
            self._read_time(),
            0.0,
            current.crashes,
        )
        self._put(ended, why)
        return ended

    def take(self, reported: Quarantine, source: str) -> bool:
        """Apply a quarantine that another gateway or the store reports.

        :param source: who reports it, for the log.
        :returns: whether it is newer than the one recorded here.
        """
        latest = self._quarantines.get(reported.fingerprint)
        if latest is not None and reported.round <= latest.round:
            return False
        if self._read_time() >= reported.expires_at:
            return False
        self._put(reported, f"from {source}")
        return True

    def crashed_again(self, fingerprint: str, crashed_at: float) -> bool:
        """Return whether a quarantined request crashed another target.

        :param crashed_at: when the request's last target ended.
        """
        current = self.find(fingerprint)
        return (
            current is not None
            and crashed_at >= current.since + _PROPAGATION_TIME
        )

    def list_all(self) -> list[Quarantine]:
        """Return the quarantines that are in force."""
        return [q for q in map(self.find, tuple(self._quarantines)) if q]

    def list_own(self) -> list[Quarantine]:
        """Return the quarantines whose first trial this gateway admits."""
        return [q for q in self.list_all() if self._owns(q.fingerprint)]

    def sample_for_heartbeat(self) -> list[tuple[Quarantine, float]]:
        """Return the quarantines for the next heartbeat, and their ages.

        When there are more than fit, they are a new random sample each time.
        """
        self._drop_expired()
        now = self._read_time()
        reported = list(self._quarantines.values())
        if len(reported) > _MAX_REPORTED:
            reported = random.sample(reported, _MAX_REPORTED)
        return [
            (quarantine, now - quarantine.since) for quarantine in reported
        ]

    def _put(self, quarantine: Quarantine, why: str) -> None:
        self._quarantines[quarantine.fingerprint] = quarantine
        self._tried_at.pop(quarantine.fingerprint, None)
        self._recorder.record(
            "quarantine-begun" if quarantine.in_force else "quarantine-ended",
            fingerprint=quarantine.fingerprint,
            why=why,
            round=quarantine.round,
            crashes=quarantine.crashes,
            seconds=round(quarantine.seconds, 1),
            age=round(self._read_time() - quarantine.since, 1),
        )
        if len(self._quarantines) > _MAX_QUARANTINES:
            oldest = min(
                self._quarantines.values(), key=lambda item: item.since
            )
            self._drop(oldest.fingerprint)

    def _drop_expired(self) -> None:
        now = self._read_time()
        for quarantine in tuple(self._quarantines.values()):
            if now >= quarantine.expires_at:
                self._drop(quarantine.fingerprint)

    def _drop(self, fingerprint: str) -> None:
        del self._quarantines[fingerprint]
        self._tried_at.pop(fingerprint, None)
