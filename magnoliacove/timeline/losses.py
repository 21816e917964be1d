"""Which requests failed or came late, in which second, and why.

Reads the events of all processes.  Each request that is not answered in
full and in time is given one cause, the first that the events show; one for
which they show none is counted as unknown rather than guessed.
"""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import enum
import re

from magnoliacove.timeline.clock import split_reading
from magnoliacove.timeline.events import Event

__all__ = ["Cause", "Loss", "find_losses"]

# A caller of a stream leaves after two seconds without an event; one that
# leaves much sooner had its own reasons.
_CALLER_SILENCE = 1.5
# A request that arrives so soon after a gateway's start waited for it.
_START_SECONDS = 1.0
# An engine counts as slow from this many times its usual time on.
_SLOW = 1.5
# Callers' mistakes, which nobody owes an answer in time.
_NOT_OWED = frozenset(["unknown_key", "no_route"])
_ENDS = frozenset(["request-answered", "request-failed", "caller-left"])


class Cause(enum.StrEnum):
    """Why a request failed or came late."""

    GATEWAY_ENDED = "its gateway ended"
    GATEWAY_STARTED = "its gateway had just started"
    ENGINE_LOST = "an engine of its path was lost"
    ENGINE_RESTARTED = "an engine of its path started again"
    ENGINE_BROKE_OFF = "an engine broke it off"
    ENGINE_REFUSED = "engines refused it"
    ENGINE_SLOW = "an engine of its path was slow"
    PATH_SILENT = "its path fell silent"
    PATH_STALLED = "engines of its path did not reach each other"
    LAYERS_MOVED = "an engine of its path was ordered other layers"
    NO_ROOM = "no path had room"
    RESUMED = "its caller resumed it after a break"
    TARGET_FAILED = "targets failed it"
    TARGET_SLOW = "its target took long"
    NO_CONFIGURATION = "its gateway had no configuration"
    TIME_OVER = "its time was over"
    QUARANTINED = "targets ended while they ran it"
    CALLER = "its caller left early"
    LOG_ENDS = "the log ends before it"
    UNKNOWN = "unknown"


# What a line's reason tells, tried in this order.
_REASONS = (
    ("gives no report", Cause.ENGINE_LOST),
    ("no health check", Cause.ENGINE_LOST),
    ("cannot be reached", Cause.ENGINE_LOST),
    ("ended while requests ran", Cause.ENGINE_LOST),
    ("wait for it", Cause.PATH_STALLED),
    ("it follows", Cause.ENGINE_RESTARTED),
    ("silent", Cause.PATH_SILENT),
    ("refused with", Cause.ENGINE_REFUSED),
    ("the engine answered", Cause.ENGINE_BROKE_OFF),
    ("reset", Cause.ENGINE_BROKE_OFF),
    ("closed", Cause.ENGINE_BROKE_OFF),
    ("broke", Cause.ENGINE_BROKE_OFF),
    ("ended inside", Cause.ENGINE_BROKE_OFF),
    ("proper answer", Cause.ENGINE_BROKE_OFF),
    ("are missing", Cause.ENGINE_BROKE_OFF),
    ("not one of the", Cause.ENGINE_BROKE_OFF),
)
_CODES = {
    "no_room": Cause.NO_ROOM,
    "too_late": Cause.NO_ROOM,
    "not_ready": Cause.NO_CONFIGURATION,
    "refused": Cause.ENGINE_REFUSED,
    "no_target": Cause.ENGINE_LOST,
    "target_failed": Cause.TARGET_FAILED,
    "timeout": Cause.TIME_OVER,
    "quarantined": Cause.QUARANTINED,
}


@dataclass(frozen=True)
class Loss:
    """One request that failed or came late.

    :param second: of its arrival, since 1970.
    :param late: it was answered in full, but not in time.
    """

    request: str
    process: str
    second: int
    late: bool
    cause: Cause


def find_losses(events: Sequence[Event]) -> list[Loss]:
    """Return the losses among the events of all processes, by arrival.

    :param events: in causal order.
    """
    context = _Context(events)
    losses = []
    for own in _group(events):
        found = _judge(own, context)
        if found is None:
            continue
        arrived = own[0]
        second = split_reading(arrived.clock)[0] // 1000
        late, cause = found
        losses.append(
            Loss(arrived.request, arrived.process, second, late, cause)
        )
    return sorted(losses, key=lambda loss: loss.second)


def _group(events: Iterable[Event]) -> list[list[Event]]:
    """Return the events of each request whose arrival is among them."""
    own: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.request:
            own[event.request].append(event)
    return [
        found for found in own.values() if found[0].kind == "request-arrived"
    ]


class _Context:
    """What is known beside the events of one request."""

    def __init__(self, events: Sequence[Event]) -> None:
        self._starts: dict[str, list[int]] = defaultdict(list)
        self._beliefs: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            if event.kind == "started":
                self._starts[event.process].append(event.clock)
            elif event.kind in ("target-suspected", "target-restarted"):
                self._beliefs[event.target].append(event)

    def started_after(self, event: Event) -> bool:
        """Return whether a process started again after an event."""
        return any(at > event.clock for at in self._starts[event.process])

    def measure_age(self, event: Event) -> float:
        """Return the seconds since the start of an event's process."""
        now = split_reading(event.clock)[0]
        ages = [
            (now - split_reading(at)[0]) / 1000
            for at in self._starts[event.process]
            if at <= event.clock
        ]
        return min(ages, default=float("inf"))

    def find_reason(self, target: str, clock: int) -> str:
        """Return why a target was believed lost, the last before a time."""
        known = [e for e in self._beliefs[target] if e.clock <= clock]
        if known:
            return known[-1].why
        # A former incarnation is named by the event of the one after it.
        follows = f"it follows {target}"
        for events in self._beliefs.values():
            if any(e.why == follows and e.clock <= clock for e in events):
                return follows
        return ""


def _judge(own: list[Event], context: _Context) -> tuple[bool, Cause] | None:
    """Return whether a request was late, and why; None for no loss."""
    ends = [event for event in own if event.kind in _ENDS]
    if not ends:
        ended = context.started_after(own[-1])
        return False, Cause.GATEWAY_ENDED if ended else Cause.LOG_ENDS
    last = ends[-1]
    if last.kind == "request-failed":
        code = last.why.partition(":")[0]
        if code in _NOT_OWED:
            return None
        return False, _explain_failure(code, own, context)
    if last.kind == "caller-left":
        silent = float(last.detail.get("silent", 0.0))
        if silent < _CALLER_SILENCE:
            return False, Cause.CALLER
        return False, _explain_path(own, context) or Cause.PATH_SILENT
    return _judge_answered(own, last, context)


def _judge_answered(
    own: list[Event], last: Event, context: _Context
) -> tuple[bool, Cause] | None:
    objective = float(own[0].detail.get("objective", float("inf")))
    if "first_event" not in last.detail:
        if float(last.detail.get("seconds", 0.0)) <= objective:
            return None
        return True, _explain_call(own, context)
    if own[0].detail.get("resumes"):
        return True, Cause.RESUMED
    pause = float(own[0].detail.get("gap_objective", float("inf")))
    first = float(last.detail["first_event"])
    if first > objective:
        return True, _explain_first(own, first, context)
    if float(last.detail.get("longest_gap", 0.0)) > pause:
        return True, _explain_path(own, context) or _explain_slow(last)
    return None


def _explain_failure(code: str, own: list[Event], context: _Context) -> Cause:
    if code in ("stream_failed", "timeout"):
        found = _explain_path(own, context)
        if found is not None:
            return found
    return _CODES.get(code, Cause.UNKNOWN)


def _explain_first(own: list[Event], first: float, context: _Context) -> Cause:
    """Return why a first event came late."""
    found = _explain_path(own, context)
    if found is not None:
        return found
    chosen = [e for e in own if e.kind == "path-chosen"]
    waited = float(chosen[0].detail.get("waited", 0.0)) if chosen else first
    if waited >= first / 2 and any(e.kind == "request-waiting" for e in own):
        return Cause.NO_ROOM
    if context.measure_age(own[0]) < _START_SECONDS:
        return Cause.GATEWAY_STARTED
    return _explain_slow(own[-1])


def _explain_slow(last: Event) -> Cause:
    slow = float(last.detail.get("slowness", 1.0)) >= _SLOW
    return Cause.ENGINE_SLOW if slow else Cause.UNKNOWN


def _explain_call(own: list[Event], context: _Context) -> Cause:
    if any(event.kind == "call-failed" for event in own):
        return Cause.TARGET_FAILED
    if context.measure_age(own[0]) < _START_SECONDS:
        return Cause.GATEWAY_STARTED
    return Cause.TARGET_SLOW


def _explain_path(own: list[Event], context: _Context) -> Cause | None:
    """Return what befell a stream's path first, None for nothing."""
    for event in own:
        if event.kind not in ("path-lost", "path-changed", "path-not-changed"):
            continue
        lost = re.match(r"(\S+?),? .*lost to the path", event.why)
        if lost is None:
            return _read_reason(event.why)
        reason = context.find_reason(lost[1], event.clock)
        # Without a suspicion it was led around for the layers it gives up.
        return _read_reason(reason) if reason else Cause.LAYERS_MOVED
    return None


def _read_reason(why: str) -> Cause:
    for words, cause in _REASONS:
        if words in why:
            return cause
    return Cause.UNKNOWN
