"""Backpressure that overloaded targets request from gateways.

A rate limit applies to all gateways together, so gateways share it in their
heartbeats.  A back-off (`Retry-After`) applies only to the gateway that
received it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

import trio

from magnoliacove.timeline import Recorder

__all__ = ["BackpressureBook", "ReportedLimit", "TargetNotice"]

# Seconds for which heartbeats report the end of a limit; by then every other
# gateway has received it.
_ENDED_LIMIT_REPORTED = 30.0


@dataclass(frozen=True)
class TargetNotice:
    """The backpressure headers of one answer of a target.

    :param rate_limit: requests per second that the target accepts from all
        gateways together, None when the answer has no limit.
    :param leaving: whether the target accepts no new requests any more.
    :param backoff: seconds during which this gateway is asked to send the
        target nothing.
    :param unreadable: header values that cannot be parsed, or "".
    :param staying: whether the target says that it does not leave.
    """

    rate_limit: float | None = None
    leaving: bool = False
    backoff: float = 0.0
    unreadable: str = ""
    staying: bool = False


@dataclass(frozen=True)
class ReportedLimit:
    """A target's limit as one gateway received it from the target.

    :param rate: requests per second, None when the limit has ended.
    :param age: seconds since the target reported it.
    """

    target: str
    rate: float | None
    age: float


@dataclass(frozen=True)
class _Limit:
    """The newest limit of a target.

    :param rate: requests per second, None when the limit has ended.
    :param received_at: when a gateway received it from the target.
    :param own: whether this gateway received it; otherwise a peer did.
    """

    rate: float | None
    received_at: float
    own: bool


_NO_NOTICE = TargetNotice()


class BackpressureBook:
    """The latest backpressure of each target.

    A target that restarts has another name here, so it starts without
    backpressure.

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
        self._backoffs: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a function that is called when a limit changes."""
        self._listeners.append(listener)

    def take(
        self,
        target: str,
        notice: TargetNotice,
        source: str,
        *,
        ends_limit: bool = True,
    ) -> None:
        """Apply the backpressure headers of an answer.

        :param source: the kind of answer, for the log.
        :param ends_limit: whether an answer without a limit ends the
            target's limit.  Answers to this gateway's own queries may lack
            the limit that answers to callers' requests carry.
        """
        now = self._read_time()
        if notice.backoff:
            # An answer that was in flight may ask for a shorter back-off
            # than an earlier one.
            until = max(self._backoffs.get(target, 0.0), now + notice.backoff)
            self._backoffs[target] = until
        if notice.leaving:
            self._leaving.add(target)
        elif notice.staying:
            self._leaving.discard(target)
        if notice.rate_limit is not None or (
            ends_limit and self.read_limit(target) is not None
        ):
            self._set_limit(target, _Limit(notice.rate_limit, now, True))
        previous = self._notices.get(target, _NO_NOTICE)
        if notice == previous and not notice.backoff:
            return
        self._notices[target] = notice
        self._recorder.record(
            "target-notice",
            target=target,
            why=notice.unreadable,
            source=source,
            rate_limit=notice.rate_limit,
            leaving=notice.leaving,
            rest=notice.backoff,
        )

    def take_reported(
        self, gateway: str, limits: Iterable[ReportedLimit]
    ) -> None:
        """Apply the limits that another gateway received from targets."""
        now = self._read_time()
        for reported in limits:
            current = self._limits.get(reported.target)
            received_at = now - reported.age
            if current is not None and current.received_at >= received_at:
                continue
            if current is None and reported.rate is None:
                continue
            if self.read_limit(reported.target) != reported.rate:
                self._recorder.record(
                    "target-notice",
                    target=reported.target,
                    source=gateway,
                    rate_limit=reported.rate,
                    age=round(reported.age, 3),
                )
            self._set_limit(
                reported.target, _Limit(reported.rate, received_at, False)
            )

    def list_own(self) -> list[ReportedLimit]:
        """Return the limits to report to the other gateways.

        Only limits that this gateway received from the targets themselves.
        """
        now = self._read_time()
        return [
            ReportedLimit(target, limit.rate, now - limit.received_at)
            for target, limit in self._limits.items()
            if limit.own
            and (
                limit.rate is not None
                or now - limit.received_at < _ENDED_LIMIT_REPORTED
            )
        ]

    def list_limits(self) -> dict[str, float]:
        """Return each limited target's requests per second."""
        return {
            target: limit.rate
            for target, limit in self._limits.items()
            if limit.rate is not None
        }

    @property
    def any_limit(self) -> bool:
        """Whether some target has a limit."""
        return any(limit.rate is not None for limit in self._limits.values())

    def read_limit(self, target: str) -> float | None:
        """Return a target's requests per second, None when unlimited."""
        limit = self._limits.get(target)
        return limit.rate if limit is not None else None

    def read_backoff(self, target: str) -> float:
        """Return the remaining seconds of a target's back-off."""
        return max(0.0, self._backoffs.get(target, 0.0) - self._read_time())

    def is_leaving(self, target: str) -> bool:
        """Return whether a target has announced that it leaves."""
        return target in self._leaving

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the backpressure of targets that no longer exist.

        :param listed: the targets that exist.
        """
        for values in (self._notices, self._limits, self._backoffs):
            for target in set(values) - listed:
                del values[target]
        self._leaving &= listed

    def _set_limit(self, target: str, limit: _Limit) -> None:
        changed = limit.rate != self.read_limit(target)
        self._limits[target] = limit
        if not changed:
            return
        for listener in self._listeners:
            listener()
