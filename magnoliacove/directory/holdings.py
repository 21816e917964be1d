"""Which layers each engine holds, from its entry and from its reports.

The list of targets is late: an engine writes its entry only now and then.
Whoever places layers asks the engines themselves and passes on what they
say, so what was reported lately goes before what is listed.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import math

import trio

from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget

__all__ = ["Holding", "Holdings"]

# A report older than this, in seconds, may miss an order or a restart.
# It spans three rounds of reports, so that one lost heartbeat matters not.
_FRESH = 1.8


@dataclass(frozen=True)
class Holding:
    """What an engine holds and how fast it is.

    :param layers: what it serves, or None.
    :param loading: whether it is taking other layers.
    :param moving: whether it cuts off what passes through old layers.
    :param slowness: 1 for usual speed, more when it is slow.
    :param used: token-layers of its memory that requests hold.
    """

    layers: LayerRange | None
    loading: bool = False
    slowness: float = 1.0
    used: float = 0.0
    moving: bool = False


class Holdings:
    """The holdings of all engines, as far as this process knows."""

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self._read_time = read_time
        self._reported: dict[str, tuple[float, Holding]] = {}
        # When this process itself found out that a belief was wrong.
        self._corrected: dict[str, float] = {}

    def note(self, target: str, holding: Holding, age: float = 0.0) -> bool:
        """Take a report; return whether other layers are held now.

        :param age: seconds since the report was made.
        """
        at = self._read_time() - age
        known = self._reported.get(target)
        if known is not None and known[0] > at:
            return False
        self._reported[target] = (at, holding)
        return known is None or known[1].layers != holding.layers

    def correct(self, target: str, holding: Holding) -> bool:
        """Take a report that was asked for since a request was refused.

        What an engine that takes other layers gives up stays excluded: its
        report may still name these layers.

        :returns: whether the belief was wrong.
        """
        known = self._reported.get(target)
        layers = holding.layers
        if holding.loading and known and known[1].loading and layers:
            kept = known[1].layers
            layers = layers.intersect(kept) if kept else None
            holding = replace(holding, layers=layers)
        if not self.note(target, holding):
            return False
        self._corrected[target] = self._read_time()
        return True

    def list_corrected(self) -> list[tuple[str, float, Holding]]:
        """Return what this process found out itself, as list_fresh does."""
        limit = self._read_time() - _FRESH
        return [
            item
            for item in self.list_fresh()
            if self._corrected.get(item[0], -math.inf) >= limit
        ]

    def read(self, target: ListedTarget) -> Holding:
        """Return what an engine holds now."""
        known = self._reported.get(target.name)
        if known is None or self._read_time() - known[0] > _FRESH:
            return Holding(target.layers)
        return known[1]

    def list_moving(self) -> dict[str, LayerRange | None]:
        """Return the engines that cut off what passes through old layers.

        :returns: for each the layers that it keeps, None for none.
        """
        return {
            target: holding.layers
            for target, _, holding in self.list_fresh()
            if holding.moving
        }

    def list_fresh(self) -> list[tuple[str, float, Holding]]:
        """Return targets, ages of reports and what they hold."""
        now = self._read_time()
        return [
            (target, now - at, holding)
            for target, (at, holding) in self._reported.items()
            if now - at <= _FRESH
        ]

    def forget(self, known: set[str]) -> None:
        """Drop what is known of targets that no longer exist."""
        for target in set(self._reported) - known:
            del self._reported[target]
            self._corrected.pop(target, None)
