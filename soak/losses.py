"""The check for requests that gateways lose around planned work.

It knows what callers, targets and the operator have seen, and no log of a
gateway.  A request is lost if a gateway read it as a whole and its connection
ends without a complete answer, unless its target broke off, its time was over,
or its target was still at work when the stopped gateway had to end.
"""

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
import enum

__all__ = ["Bounds", "Exchange", "Losses", "Run", "Span", "Work", "WorkKind"]

# Status of a successful answer, which the gateway has begun to deliver.
_SUCCESS = 200
# Share of the grace time after which a target that is at work excuses a cut.
_LAST_SIXTH = 5 / 6
# Seconds from SIGTERM within which a request must be sent to be excused so.
_EXCUSED_SENDING = 3.0
# Seconds after the grace time, and after a configuration has to be in force,
# in which a lost request still counts.
_MARGIN = 1.0
# Factor by which cuts must be more frequent beside a configuration to count.
_CUT_FACTOR = 3.0
# Share of a request's time from which a cut beside a configuration is excused.
_USED_SHARE = 0.7


@dataclass(frozen=True)
class Bounds:
    """Times in seconds that decide which requests count."""

    grace: float = 8.0
    contact: float = 3.0
    loss_slack: float = 0.2
    config_apply: float = 2.0


class WorkKind(enum.StrEnum):
    """A kind of planned work."""

    STOP = "SIGTERM"
    RELOAD = "SIGHUP"
    CONFIGURATION = "a configuration"


@dataclass(frozen=True)
class Span:
    """A period of time."""

    begun_at: float
    ended_at: float

    def overlaps(self, other: "Span") -> bool:
        """Return whether the periods have a moment in common."""
        return (
            self.begun_at <= other.ended_at and other.begun_at <= self.ended_at
        )


@dataclass(frozen=True)
class Work:
    """Planned work.

    :param gateway: the gateway, or "" for all of them.
    :param at: when a signal was sent, or a configuration.
    :param done_at: when the store acknowledged a configuration.
    """

    kind: WorkKind
    gateway: str
    at: float
    done_at: float


@dataclass(frozen=True)
class Exchange:
    """A request that was sent as a whole, and the end of its answer.

    :param sent_at: when its last byte was sent.
    :param time_limit: seconds that it has from its first byte on.
    :param status: 0 if no answer began.
    """

    request: str
    gateway: str
    begun_at: float
    sent_at: float
    ended_at: float
    time_limit: float
    status: int
    complete: bool

    @property
    def time_used(self) -> float:
        """The share of its time that had passed when it ended."""
        return (self.ended_at - self.begun_at) / self.time_limit


@dataclass(frozen=True)
class Run:
    """The work of a target on a request.

    :param broke_off: whether the target ended it before its end.
    """

    request: str
    target: str
    span: Span
    broke_off: bool


class Losses:
    """Finds lost requests in the records of a whole run of the soak.

    :param reached: the requests that reached any target.
    :param trouble: periods of unplanned trouble.
    """

    def __init__(
        self,
        bounds: Bounds,
        exchanges: Sequence[Exchange],
        reached: Collection[str],
        runs: Sequence[Run],
        work: Sequence[Work],
        trouble: Sequence[Span],
    ) -> None:
        self._bounds = bounds
        self._exchanges = exchanges
        self._reached = reached
        self._runs = runs
        self._work = work
        self._trouble = trouble

    def list_lost(self) -> list[str]:
        """Return a line for each request lost around planned work."""
        return [
            f"LOST near {near.kind}: {self._describe(exchange)}"
            for exchange in self._list_cut()
            if self._is_calm(exchange)
            and (near := self._find_work(exchange)) is not None
        ]

    def list_cut_answers(self) -> list[str]:
        """Return a line for each begun answer that a gateway cut.

        Unlike lost requests they count at all times, also in trouble.
        """
        return [
            self._describe(exchange)
            for exchange in self._list_cut()
            if exchange.status == _SUCCESS
        ]

    def _list_cut(self) -> list[Exchange]:
        """Return the requests that a gateway ended without an excuse."""
        return [
            exchange
            for exchange in self._exchanges
            if not exchange.complete and not self._is_excused(exchange)
        ]

    def _is_excused(self, exchange: Exchange) -> bool:
        crossed = exchange.ended_at - exchange.sent_at
        if (
            exchange.request not in self._reached
            and crossed <= self._bounds.loss_slack
        ):
            return True
        if exchange.time_used >= 1.0:
            return True
        runs = self._list_runs(exchange)
        if runs and runs[-1].broke_off:
            return True
        stop = self._find_stop(exchange)
        if stop is None or exchange.sent_at > stop.at + _EXCUSED_SENDING:
            return False
        last = stop.at + self._bounds.grace * _LAST_SIXTH
        return any(run.span.ended_at >= last for run in runs)

    def _list_runs(self, exchange: Exchange) -> list[Run]:
        """Return the runs of a request in the order of their end."""
        runs = [r for r in self._runs if r.request == exchange.request]
        return sorted(runs, key=lambda run: run.span.ended_at)

    def _find_stop(self, exchange: Exchange) -> Work | None:
        """Return the stop of the request's gateway around its end."""
        for work in self._work:
            if work.kind is not WorkKind.STOP:
                continue
            if self._is_near(work, exchange):
                return work
        return None

    def _is_calm(self, exchange: Exchange) -> bool:
        """Return whether no unplanned trouble can be the cause."""
        begin = exchange.sent_at - self._bounds.contact
        span = Span(begin, exchange.ended_at)
        return not any(span.overlaps(trouble) for trouble in self._trouble)

    def _find_work(self, exchange: Exchange) -> Work | None:
        """Return the planned work around which a request counts as lost."""
        near = [work for work in self._work if self._is_near(work, exchange)]
        for work in near:
            if work.kind is not WorkKind.CONFIGURATION:
                return work
        if not near or exchange.time_used >= _USED_SHARE:
            return None
        return near[0] if self._cuts_beside_work(exchange.gateway) else None

    def _is_near(self, work: Work, exchange: Exchange) -> bool:
        bounds, ended_at = self._bounds, exchange.ended_at
        if work.gateway not in ("", exchange.gateway) or ended_at < work.at:
            return False
        if work.kind is WorkKind.RELOAD:
            return exchange.sent_at <= work.at + bounds.config_apply
        if work.kind is WorkKind.STOP:
            return ended_at <= work.at + bounds.grace + _MARGIN
        return ended_at <= work.done_at + bounds.config_apply + _MARGIN

    def _cuts_beside_work(self, gateway: str) -> bool:
        """Return whether a gateway cuts more beside configurations."""
        own = [e for e in self._exchanges if e.gateway == gateway]
        beside = [e for e in own if self._is_beside_configuration(e)]
        cut = {e.request for e in self._list_cut()}
        cut_beside = sum(e.request in cut for e in beside)
        cut_apart = sum(e.request in cut for e in own) - cut_beside
        apart = max(1, len(own) - len(beside))
        return cut_beside * apart > _CUT_FACTOR * cut_apart * len(beside)

    def _is_beside_configuration(self, exchange: Exchange) -> bool:
        return any(
            work.kind is WorkKind.CONFIGURATION
            and self._is_near(work, exchange)
            for work in self._work
        )

    def _describe(self, exchange: Exchange) -> str:
        """Return a line with times relative to SIGTERM, or to the sending."""
        stop = self._find_stop(exchange)
        zero = stop.at if stop is not None else exchange.sent_at
        since = "SIGTERM" if stop is not None else "its sending"
        runs = [
            f"{run.target} {run.span.begun_at - zero:+.2f} to "
            f"{run.span.ended_at - zero:+.2f} s"
            + (" (broke off)" if run.broke_off else "")
            for run in self._list_runs(exchange)
        ]
        if not runs and exchange.request in self._reached:
            runs = ["a plain target"]
        return (
            f"{exchange.request} at {exchange.gateway}, since {since}: "
            f"begun {exchange.begun_at - zero:+.2f} s, "
            f"sent {exchange.sent_at - zero:+.2f} s, "
            f"ended {exchange.ended_at - zero:+.2f} s, "
            f"status {exchange.status}, "
            f"{exchange.time_used:.0%} of its time used; "
            f"ran on {', '.join(runs) or 'no target'}"
        )
