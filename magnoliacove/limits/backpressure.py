"""What targets in need ask of those that send them requests.

A limit counts for all gateways together, so they tell each other of it; that
a target wants rest it says to one gateway, and means that one.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

import trio

from magnoliacove.timeline import Recorder

__all__ = ["BackpressureBook", "TargetNotice", "ToldLimit"]

# An end of a limit is told to the other gateways for so long, in seconds; by
# then each has heard it.
_END_TOLD = 30.0


@dataclass(frozen=True)
class TargetNotice:
    """What a target says of itself in one answer.

    :param rate_limit: requests a second that it takes from all gateways
        together, None when it names no limit.
    :param leaving: it is to get no new requests any more.
    :param rest: seconds for which it wants nothing from this gateway.
    :param unreadable: what it said that has no meaning, or "".
    """

    rate_limit: float | None = None
    leaving: bool = False
    rest: float = 0.0
    unreadable: str = ""


@dataclass(frozen=True)
class ToldLimit:
    """What a target said to one gateway of its limit.

    :param rate: requests a second, None for no limit any more.
    :param age: seconds since it said so.
    """

    target: str
    rate: float | None
    age: float


@dataclass(frozen=True)
class _Limit:
    """The newest word on a target's limit, and who heard it."""

    rate: float | None
    heard_at: float
    own: bool


_NOTHING = TargetNotice()


class BackpressureBook:
    """What each target said last.

    A target that starts again has another name here, and has said nothing.

    :param read_time: returns seconds.
    """

    def __init__(
        self,
        recorder: Recorder,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._recorder = recorder
        self._read_time = read_time
        self._notices: dict[str, TargetNotice] = {}
        self._limits: dict[str, _Limit] = {}
        self._rests: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function when a limit is another one than before."""
        self._listeners.append(listener)

    def take(
        self,
        target: str,
        notice: TargetNotice,
        source: str,
        *,
        ends_limit: bool = True,
    ) -> None:
        """Take what a target says of itself.

        :param source: the answer that says so, for the log.
        :param ends_limit: a limit that it does not name is over.  Answers to
            questions of our own may not name what answers to requests do.
        """
        now = self._read_time()
        if notice.rest:
            # One that was on its way may ask for less than was asked before.
            until = max(self._rests.get(target, 0.0), now + notice.rest)
            self._rests[target] = until
        if notice.leaving:
            self._leaving.add(target)
        if notice.rate_limit is not None or (
            ends_limit and self.read_limit(target) is not None
        ):
            self._set_limit(target, _Limit(notice.rate_limit, now, True))
        known = self._notices.get(target, _NOTHING)
        if notice == known and not notice.rest:
            return
        self._notices[target] = notice
        self._recorder.record(
            "target-notice",
            target=target,
            why=notice.unreadable,
            source=source,
            rate_limit=notice.rate_limit,
            leaving=notice.leaving,
            rest=notice.rest,
        )

    def take_told(self, entry: str, limits: Iterable[ToldLimit]) -> None:
        """Take what targets said to another gateway."""
        now = self._read_time()
        for told in limits:
            known = self._limits.get(told.target)
            heard_at = now - told.age
            if known is not None and known.heard_at >= heard_at:
                continue
            if known is None and told.rate is None:
                continue
            if self.read_limit(told.target) != told.rate:
                self._recorder.record(
                    "target-notice",
                    target=told.target,
                    source=entry,
                    rate_limit=told.rate,
                    age=round(told.age, 3),
                )
            self._set_limit(told.target, _Limit(told.rate, heard_at, False))

    def list_own(self) -> list[ToldLimit]:
        """Return what targets said to this gateway, for the others."""
        now = self._read_time()
        return [
            ToldLimit(target, limit.rate, now - limit.heard_at)
            for target, limit in self._limits.items()
            if limit.own
            and (limit.rate is not None or now - limit.heard_at < _END_TOLD)
        ]

    def list_limits(self) -> dict[str, float]:
        """Return the targets that have a limit, and what it is."""
        return {
            target: limit.rate
            for target, limit in self._limits.items()
            if limit.rate is not None
        }

    @property
    def any_limit(self) -> bool:
        """Whether some target has a limit."""
        return any(one.rate is not None for one in self._limits.values())

    def read_limit(self, target: str) -> float | None:
        """Return the requests a second that a target takes, None for any."""
        limit = self._limits.get(target)
        return limit.rate if limit is not None else None

    def read_rest(self, target: str) -> float:
        """Return seconds for which a target wants nothing from here."""
        return max(0.0, self._rests.get(target, 0.0) - self._read_time())

    def is_leaving(self, target: str) -> bool:
        """Return whether a target said that it leaves."""
        return target in self._leaving

    def forget(self, known: set[str]) -> None:
        """Drop what targets said that no longer exist."""
        for kept in (self._notices, self._limits, self._rests):
            for target in set(kept) - known:
                del kept[target]
        self._leaving &= known

    def _set_limit(self, target: str, limit: _Limit) -> None:
        news = limit.rate != self.read_limit(target)
        self._limits[target] = limit
        if not news:
            return
        for listener in self._listeners:
            listener()
