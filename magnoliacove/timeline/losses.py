"""Classification of failed and late requests by cause.

The input is the events of all processes.  Each request that is not answered
completely and in time gets one cause, the first that its events show.  A
request whose events show no cause is counted as unknown instead of guessed.
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

# Minimum seconds without an event after which the departure of a caller is
# attributed to the path.  Callers of streams leave after two seconds without
# an event; one that leaves much sooner had its own reasons.
_MIN_CALLER_SILENCE = 1.5
# Seconds after a gateway's start during which a late request is attributed to
# the start.
_START_SECONDS = 1.0
# Minimum slowness of a slow engine, as a multiple of its usual time.
_MIN_SLOWNESS = 1.5
# Failure codes of callers' mistakes, which do not count as losses.
_CALLER_ERRORS = frozenset(["unknown_key", "no_route"])
_END_KINDS = frozenset(
    ["request-answered", "request-failed", "request-abandoned", "caller-left"]
)


class Cause(enum.StrEnum):
    """Why a request failed or was late."""

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


# Patterns in an event's reason and their causes, tried in this order.
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
    """One request that failed or was late.

    :param second: the second of its arrival, since the epoch.
    :param late: whether it was answered completely, but not in time.
    """

    request: str
    process: str
    second: int
    late: bool
    cause: Cause


def find_losses(events: Sequence[Event]) -> list[Loss]:
    """Return the failed and late requests, in order of arrival.

    :param events: the events of all processes, in causal order.
    """
    context = _Context(events)
    losses = []
    for own in _group(events):
        outcome = _classify(own, context)
        if outcome is None:
            continue
        arrived = own[0]
        second = split_reading(arrived.clock)[0] // 1000
        late, cause = outcome
        losses.append(
            Loss(arrived.request, arrived.process, second, late, cause)
        )
    return sorted(losses, key=lambda loss: loss.second)


def _group(events: Iterable[Event]) -> list[list[Event]]:
    """Return the events of each request that begin with its arrival."""
    groups: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.request:
            groups[event.request].append(event)
    return [
        group
        for group in groups.values()
        if group[0].kind == "request-arrived"
    ]


class _Context:
    """Starts of processes and suspicions of targets, over all events."""

    def __init__(self, events: Sequence[Event]) -> None:
        self._starts: dict[str, list[int]] = defaultdict(list)
        self._suspicions: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            if event.kind == "started":
                self._starts[event.process].append(event.clock)
            elif event.kind in ("target-suspected", "target-restarted"):
                self._suspicions[event.target].append(event)

    def started_after(self, event: Event) -> bool:
        """Return whether an event's process restarted after the event."""
        return any(at > event.clock for at in self._starts[event.process])

    def measure_age(self, event: Event) -> float:
        """Return the seconds from the last start of an event's process."""
        now = split_reading(event.clock)[0]
        ages = [
            (now - split_reading(at)[0]) / 1000
            for at in self._starts[event.process]
            if at <= event.clock
        ]
        return min(ages, default=float("inf"))

    def find_reason(self, target: str, clock: int) -> str:
        """Return the reason of the last suspicion of a target before a time.

        :param clock: the time, as a clock reading.
        """
        earlier = [e for e in self._suspicions[target] if e.clock <= clock]
        if earlier:
            return earlier[-1].why
        # The event of the next incarnation names the previous one.
        follows = f"it follows {target}"
        for events in self._suspicions.values():
            if any(e.why == follows and e.clock <= clock for e in events):
                return follows
        return ""


def _classify(
    own: list[Event], context: _Context
) -> tuple[bool, Cause] | None:
    """Return whether a request was late, and why; None if it succeeded."""
    ends = [event for event in own if event.kind in _END_KINDS]
    if not ends:
        restarted = context.started_after(own[-1])
        return False, Cause.GATEWAY_ENDED if restarted else Cause.LOG_ENDS
    last = ends[-1]
    if last.kind == "request-failed":
        code = last.why.partition(":")[0]
        if code in _CALLER_ERRORS:
            return None
        return False, _explain_failure(code, own, context)
    if last.kind == "request-abandoned":
        return False, Cause.GATEWAY_ENDED
    if last.kind == "caller-left":
        silent = float(last.detail.get("silent", 0.0))
        if silent < _MIN_CALLER_SILENCE:
            return False, Cause.CALLER
        return False, _explain_path(own, context) or Cause.PATH_SILENT
    return _classify_answered(own, last, context)


def _classify_answered(
    own: list[Event], last: Event, context: _Context
) -> tuple[bool, Cause] | None:
    objective = float(own[0].detail.get("objective", float("inf")))
    if "first_event" not in last.detail:
        if float(last.detail.get("seconds", 0.0)) <= objective:
            return None
        return True, _explain_call(own, context)
    if own[0].detail.get("resumes"):
        return True, Cause.RESUMED
    gap_objective = float(own[0].detail.get("gap_objective", float("inf")))
    first = float(last.detail["first_event"])
    if first > objective:
        return True, _explain_first(own, first, context)
    if float(last.detail.get("longest_gap", 0.0)) > gap_objective:
        return True, _explain_path(own, context) or _explain_slow(last)
    return None


def _explain_failure(code: str, own: list[Event], context: _Context) -> Cause:
    if code in ("stream_failed", "timeout"):
        cause = _explain_path(own, context)
        if cause is not None:
            return cause
    return _CODES.get(code, Cause.UNKNOWN)


def _explain_first(own: list[Event], first: float, context: _Context) -> Cause:
    """Return why a first event was late."""
    cause = _explain_path(own, context)
    if cause is not None:
        return cause
    chosen = [e for e in own if e.kind == "path-chosen"]
    waited = float(chosen[0].detail.get("waited", 0.0)) if chosen else first
    if waited >= first / 2 and any(e.kind == "request-waiting" for e in own):
        return Cause.NO_ROOM
    if context.measure_age(own[0]) < _START_SECONDS:
        return Cause.GATEWAY_STARTED
    return _explain_slow(own[-1])


def _explain_slow(last: Event) -> Cause:
    slow = float(last.detail.get("slowness", 1.0)) >= _MIN_SLOWNESS
    return Cause.ENGINE_SLOW if slow else Cause.UNKNOWN


def _explain_call(own: list[Event], context: _Context) -> Cause:
    if any(event.kind == "call-failed" for event in own):
        return Cause.TARGET_FAILED
    if context.measure_age(own[0]) < _START_SECONDS:
        return Cause.GATEWAY_STARTED
    return Cause.TARGET_SLOW


def _explain_path(own: list[Event], context: _Context) -> Cause | None:
    """Return the cause of the first change of a stream's path, or None."""
    for event in own:
        if event.kind not in ("path-lost", "path-changed", "path-not-changed"):
            continue
        lost = re.match(r"(\S+?),? .*lost to the path", event.why)
        if lost is None:
            return _read_reason(event.why)
        reason = context.find_reason(lost[1], event.clock)
        # Without a suspicion, the stream was rerouted because the target gives
        # up layers.
        return _read_reason(reason) if reason else Cause.LAYERS_MOVED
    return None


def _read_reason(why: str) -> Cause:
    for pattern, cause in _REASONS:
        if pattern in why:
            return cause
    return Cause.UNKNOWN
