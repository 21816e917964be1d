"""Decision whether a stream may run once more.

It is made before a run that still goes on is left, and after one that failed.
"""

from dataclasses import dataclass
import enum

__all__ = ["Obstacle", "RerunFacts", "compute_pause", "find_obstacle"]

# Refusals after which a request that has not begun fails.  A refusal before
# the run costs only time, but after this many the engines have no capacity,
# whatever the recorded loads say.
_MAX_REFUSALS = 4
# Seconds between attempts at one request.  The initial pause is about as long
# as a usual first event takes; the maximum fits into a caller's timeout.
_INITIAL_PAUSE = 0.05
_MAX_PAUSE = 0.4
# Doublings after which the pause has its maximum for long.
_MAX_DOUBLINGS = 10


class Obstacle(enum.StrEnum):
    """Why a stream may not run once more."""

    DEADLINE = "its deadline has passed"
    ROUTE = "its route allows one run"
    CRASHES = "it may crash the targets that run it"
    REFUSALS = "too many engines refused it"
    BUDGET = "the retry budget is spent"
    CAPACITY = "no other path has capacity"


@dataclass(frozen=True)
class RerunFacts:
    """Everything that can refuse a stream one more run.

    :param begun: whether the caller was sent an event.  Such an answer cannot
        be refused any more, only cut off.
    :param repeatable: whether its route allows more than one run.
    :param quarantined: whether it is suspected of crashing its targets.
    :param retries_left: what the retry budget still allows; none at 0 or
        below.
    :param refusals: number of attempts that ended before the request ran.
    :param seconds_left: seconds until its deadline.
    """

    begun: bool
    repeatable: bool
    quarantined: bool
    retries_left: float
    refusals: int
    seconds_left: float


def find_obstacle(facts: RerunFacts, *, ran: bool = True) -> Obstacle | None:
    """Return why a stream may not run once more, or None if it may.

    Two things are left out: capacity on a path, since a stream can wait for
    it, and the retry budget, since only spending a retry shows that it allows
    one.

    :param ran: whether the last run may have begun; False after a refusal.
    """
    if facts.seconds_left <= 0.0:
        return Obstacle.DEADLINE
    if ran and not facts.repeatable:
        return Obstacle.ROUTE
    if ran and facts.quarantined:
        return Obstacle.CRASHES
    if not facts.begun and facts.refusals > _MAX_REFUSALS:
        return Obstacle.REFUSALS
    return None


def compute_pause(attempts: int) -> float:
    """Return the seconds to wait before a stream's next attempt.

    The third attempt waits, and each further one longer.  Without the pause,
    an engine that aborts each run at once would be tried hundreds of times a
    second and use up the retry budget of all other requests.

    :param attempts: number of those that failed.
    """
    further = attempts - 2
    if further < 0:
        return 0.0
    return min(_INITIAL_PAUSE * 2 ** min(further, _MAX_DOUBLINGS), _MAX_PAUSE)
