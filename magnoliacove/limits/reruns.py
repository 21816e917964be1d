"""Decision whether a stream may run once more.

It is made before a run that still goes on is left, and after one that failed.
"""

from dataclasses import dataclass

__all__ = ["RerunFacts", "find_obstacle"]

# Refusals after which a request that has not begun fails.  A refusal before
# the run costs only time, but after this many the engines have no capacity,
# whatever the recorded loads say.
_MAX_REFUSALS = 4


@dataclass(frozen=True)
class RerunFacts:
    """Everything that can refuse a stream one more run.

    :param begun: whether the caller was sent an event.  Such an answer cannot
        be refused any more, only cut off.
    :param repeatable: whether its route allows more than one run.
    :param quarantined: whether it is suspected of crashing its targets.
    :param retries_left: what the retry budget still allows.
    :param refusals: number of engines that refused it.
    :param seconds_left: until its deadline.
    """

    begun: bool
    repeatable: bool
    quarantined: bool
    retries_left: float
    refusals: int
    seconds_left: float


def find_obstacle(facts: RerunFacts, *, ran: bool = True) -> str:
    """Return why a stream may not run once more, or "" if it may.

    Two things are left out: capacity on a path, since a stream can wait for
    it, and the retry budget, since only spending a retry shows that it allows
    one.

    :param ran: whether the last run may have begun; False after a refusal.
    """
    if facts.seconds_left <= 0.0:
        return "its deadline has passed"
    if ran and not facts.repeatable:
        return "its route allows one run"
    if ran and facts.quarantined:
        return "it may crash the targets that run it"
    if not facts.begun and facts.refusals > _MAX_REFUSALS:
        return "too many engines refused it"
    return ""
