"""What a heartbeat reports of single targets and requests."""

from dataclasses import dataclass

from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.limits.runs import CrashedRun

__all__ = [
    "ReportedCrash",
    "ReportedEngineStatus",
    "ReportedQuarantine",
    "ReportedSuspicion",
]


@dataclass(frozen=True)
class ReportedEngineStatus:
    """An engine's status, as reported to the placement leader.

    :param age: seconds since the report.
    """

    target: str
    age: float
    holding: EngineStatus


@dataclass(frozen=True)
class ReportedSuspicion:
    """A target that a gateway suspects.

    :param age: seconds since the suspicion began.
    :param why: the reason for the suspicion.
    :param leaving: whether the target finishes its work but accepts no more.
    """

    target: str
    age: float
    why: str
    leaving: bool


@dataclass(frozen=True)
class ReportedCrash:
    """A target that ended while a request ran there.

    :param age: seconds since it ended.
    :param silent: whether the target is unresponsive, so that it is not known
        whether it ended.
    """

    run: CrashedRun
    age: float
    silent: bool = False


@dataclass(frozen=True)
class ReportedQuarantine:
    """The quarantine of a request, or its early end.

    :param age: seconds since the quarantine began or was ended early.
    :param seconds: duration of the quarantine, 0 when it was ended early.
    """

    fingerprint: str
    round: int
    seconds: float
    age: float
    crashes: int
