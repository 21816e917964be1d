"""A gateway's share of the capacity that all gateways see as free.

When a full service frees some capacity, each gateway learns it at about the
same time and has requests that wait.  If each used all of it, engines would
refuse most of these requests.  So until the choices of the others are known,
a gateway uses only its share: that of the service's requests which it gets.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
import math
import random

import trio

from magnoliacove.limits.load import Reservation
from magnoliacove.routing.paths import StageOption

__all__ = ["RoomShare", "RoomShares"]

# Minimum seconds until the choices of the other gateways are known.
_MIN_INTERVAL = 0.15
# Seconds for which larger requests are not tried after one found no path.
# Other gateways release capacity in the meantime; callers wait that much
# longer, a small part of any objective.
_MAX_FAILURE_AGE = 0.05


@dataclass(frozen=True)
class RoomShare:
    """A gateway's part of a service's requests.

    :param fraction: from 0 to 1.
    :param interval: seconds until each other gateway has sent a heartbeat.
    """

    fraction: float
    interval: float


class RoomShares:
    """Limits what this gateway uses between two heartbeats of the others.

    :param read_time: returns seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._rng = rng
        self._read_time = read_time
        self._used: dict[str, float] = {}
        self._ends = -math.inf
        self._draw = 0.0
        # By service, when a request last found no path, and its tokens.
        self._failed: dict[str, tuple[float, float]] = {}

    def may_fit(self, service: str, tokens: float) -> bool:
        """Return whether to search a path for a request.

        Where a smaller one has just found none, this one finds none either.
        A search over all engines for each of hundreds of waiting requests, in
        each pass over them, would take the whole processor.
        """
        now = self._read_time()
        if now >= self._ends:
            # It gets a new share.
            return True
        failed_at, failed = self._failed.get(service, (-math.inf, 0.0))
        return now - failed_at >= _MAX_FAILURE_AGE or tokens < failed

    def note_failed(self, service: str, tokens: float) -> None:
        """Record that a request found no path."""
        self._failed[service] = (self._read_time(), tokens)

    def note_freed(self) -> None:
        """Record that a request of this gateway released capacity."""
        self._failed.clear()

    def note_used(self, reservation: Reservation) -> None:
        """Count capacity that a request of this gateway reserved."""
        for target, token_layers in reservation.parts:
            used = self._used.get(target, 0.0)
            self._used[target] = used + token_layers

    def limit(
        self,
        options: Sequence[StageOption],
        tokens: float,
        share: RoomShare,
    ) -> list[StageOption]:
        """Return engines with the capacity that this gateway may use.

        A share is mostly less than one request.  The remainder is drawn at
        random, once in each interval and equally for all engines: a path needs
        several of them, and each further draw would make it less likely.

        :param tokens: of the request to be placed.
        """
        self._begin_interval(share.interval)
        return [
            replace(option, capacity=self._limit_one(option, tokens, share))
            for option in options
        ]

    def _limit_one(
        self, option: StageOption, tokens: float, share: RoomShare
    ) -> float:
        used = self._used.get(option.target, 0.0)
        drawn = self._draw * tokens * option.layers.count
        own = share.fraction * (option.capacity + used) - used + drawn
        return min(option.capacity, own)

    def _begin_interval(self, interval: float) -> None:
        now = self._read_time()
        if now < self._ends:
            return
        self._ends = now + max(interval, _MIN_INTERVAL)
        self._used.clear()
        self._draw = self._rng.random()
