"""Decision whether a stream may run once more, made before its run is left."""

from dataclasses import dataclass

__all__ = ["RETRY_BUDGET_SPENT", "RerunOptions", "find_refusal"]

RETRY_BUDGET_SPENT = "the retry budget is spent"


@dataclass(frozen=True)
class RerunOptions:
    """Everything that can refuse a stream one more run.

    :param repeatable: whether its route allows more than one run.
    :param quarantined: whether it is suspected of crashing its targets.
    :param retries_left: what the retry budget still allows.
    :param refusals: number of engines that refused it.
    :param seconds_left: until its deadline.
    """

    repeatable: bool
    quarantined: bool
    retries_left: float
    refusals: int
    seconds_left: float


def find_refusal(options: RerunOptions) -> str:
    """Return why a stream may not run once more, or "" if it may.

    Whether a path has capacity is left out: a stream can wait for that.
    """
    if not options.repeatable:
        return "its route allows one run"
    if options.quarantined:
        return "it may crash the targets that run it"
    if options.retries_left <= 0.0:
        return RETRY_BUDGET_SPENT
    if options.seconds_left <= 0.0:
        return "its deadline has passed"
    return ""
