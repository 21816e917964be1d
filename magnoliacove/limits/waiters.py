"""The requests that wait for capacity at one gateway, by service."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math

import trio

from magnoliacove.limits.order import WaitingOrder
from magnoliacove.limits.retry_times import RetryTimes
from magnoliacove.limits.waits import FlowMeter
from magnoliacove.limits.waits import Prospect
from magnoliacove.limits.waits import Refusal
from magnoliacove.routing.paths import Path

__all__ = ["ServiceLine", "Waiter", "make_prospect"]


@dataclass(eq=False)
class Waiter:
    """A request that waits for a path.

    :param find_path: tries to find and reserve a path.
    :param priority: 0 is the most urgent; -1 is an answer that has begun.
    :param fresh_until: when the request's latency objective ends.
    :param arrived: when it began to wait, by trio's clock.
    :param leaves_at: when it is refused at the latest.
    :param tokens: tokens of its prompt and answer, 0 when unknown.
    :param may_refuse: whether it may be refused before that.
    :param decided: set when a path is reserved or the request is refused.
    """

    find_path: Callable[[], Path | None]
    priority: int
    fresh_until: float
    number: int
    service: str = ""
    account: str = ""
    tokens: float = 0.0
    arrived: float = field(default_factory=trio.current_time)
    leaves_at: float = math.inf
    may_refuse: bool = False
    decided: trio.Event = field(default_factory=trio.Event)
    path: Path | None = None
    refusal: Refusal | None = None


@dataclass(eq=False)
class ServiceLine:
    """What waits for one service.

    :param rotation: where the next pass continues behind the first ones.
    """

    order: WaitingOrder = field(default_factory=WaitingOrder)
    meter: FlowMeter = field(
        default_factory=lambda: FlowMeter(trio.current_time)
    )
    waiters: list[Waiter] = field(default_factory=list)
    retry_times: RetryTimes = field(
        default_factory=lambda: RetryTimes(trio.current_time)
    )
    rotation: int = 0


def make_prospect(
    waiter: Waiter, urgency: int, ahead: int, is_first: bool, margin: float
) -> Prospect:
    """Return what is known of a waiting request.

    :param urgency: its priority as far as it affects the order.
    :param ahead: waiting requests that precede it.
    :param is_first: whether it is the next one of its urgency.
    :param margin: seconds that it must be able to spare.
    """
    now = trio.current_time()
    return Prospect(
        urgency,
        ahead,
        is_first,
        patience=waiter.leaves_at - now,
        objective=waiter.fresh_until - waiter.arrived,
        objective_left=waiter.fresh_until - now - margin,
    )
