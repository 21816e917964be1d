"""What a stream could still do when its current run fails or is left."""

from dataclasses import dataclass

__all__ = ["RerunOptions"]


@dataclass(frozen=True)
class RerunOptions:
    """Everything that can refuse a stream one more run.

    :param repeatable: whether its route allows more than one run.
    :param quarantined: whether it is suspected of crashing its targets.
    :param retries_left: what the retry budget still allows.
    :param other_path: whether a path without the engines that failed it has
        capacity.
    :param refusals: number of engines that refused it.
    :param seconds_left: until its deadline.
    """

    repeatable: bool
    quarantined: bool
    retries_left: float
    other_path: bool
    refusals: int
    seconds_left: float
