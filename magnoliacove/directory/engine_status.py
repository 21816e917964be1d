"""The loaded layers of each engine, from its entry and its reports.

The list of targets lags, since an engine updates its entry only
occasionally.  The placement leader polls the engines themselves and forwards
their reports, so a recent report takes precedence over the list.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import math

import trio

from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget

__all__ = ["EngineStatus", "EngineStatuses"]

# Seconds after which a report may miss an order or a restart.  The time spans
# three rounds of reports, so that one lost heartbeat has no effect.
_MAX_AGE = 1.8
# Seconds by which the values of a report may be older than the report.
_REPORT_LAG = 0.2


@dataclass(frozen=True)
class EngineStatus:
    """The loaded layers, the speed and the used memory of an engine.

    :param layers: the layers that it serves, or None.
    :param loading: whether it is loading other layers.
    :param moving: whether it interrupts requests that pass through layers
        that it gives up.
    :param slowness: factor on its usual times; above 1 when it is slow.
    :param used: memory that requests use, in token-layers.
    """

    layers: LayerRange | None
    loading: bool = False
    slowness: float = 1.0
    used: float = 0.0
    moving: bool = False


class EngineStatuses:
    """The last reported status of each engine."""

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self._read_time = read_time
        self._reported: dict[str, tuple[float, EngineStatus]] = {}
        # When this process itself found a status to be outdated.
        self._corrected: dict[str, float] = {}
        # When a refusal showed the used memory to be at least this.
        self._refused: dict[str, tuple[float, float]] = {}

    def note(
        self, target: str, status: EngineStatus, age: float = 0.0
    ) -> bool:
        """Record a report; return whether it changes the recorded layers.

        A report that is older than the recorded one is ignored.

        :param age: seconds since the report was made.
        """
        at = self._read_time() - age
        last = self._reported.get(target)
        if last is not None and last[0] > at:
            return False
        self._reported[target] = (at, status)
        return last is None or last[1].layers != status.layers

    def correct(self, target: str, status: EngineStatus) -> bool:
        """Record a report that was requested after a refusal.

        Layers that a loading engine gives up stay excluded, although its
        report may still name them.

        :returns: whether the recorded layers were outdated.
        """
        last = self._reported.get(target)
        layers = status.layers
        if status.loading and last and last[1].loading and layers:
            kept = last[1].layers
            layers = layers.intersect(kept) if kept else None
            status = replace(status, layers=layers)
        if not self.note(target, status):
            return False
        self._corrected[target] = self._read_time()
        return True

    def note_refusal(self, target: str, used: float) -> None:
        """Record that an engine refused a request for lack of memory.

        A report that describes a later moment replaces this.  Only the used
        memory is corrected, as the refusal shows nothing else.

        :param used: the least memory in use with which it refuses the
            request, in token-layers.
        """
        now = self._read_time()
        self._refused[target] = (now, used)
        self._corrected[target] = now

    def was_heard_since(self, target: str, at: float) -> bool:
        """Return whether an engine's report was made after a time."""
        last = self._reported.get(target)
        return last is not None and last[0] > at

    def list_corrected(self) -> list[tuple[str, float, EngineStatus]]:
        """Return corrected reports in the form of ``list_fresh``."""
        limit = self._read_time() - _MAX_AGE
        return [
            item
            for item in self.list_fresh()
            if self._corrected.get(item[0], -math.inf) >= limit
        ]

    def read(self, target: ListedTarget) -> EngineStatus:
        """Return the current status of an engine."""
        last = self._reported.get(target.name)
        if last is None or self._read_time() - last[0] > _MAX_AGE:
            return EngineStatus(target.layers)
        return self._apply_refusal(target.name, *last)

    def list_moving(self) -> dict[str, LayerRange | None]:
        """Return engines that interrupt requests in layers they give up.

        :returns: the layers that each of them keeps, None for none.
        """
        return {
            target: status.layers
            for target, _, status in self.list_fresh()
            if status.moving
        }

    def list_fresh(self) -> list[tuple[str, float, EngineStatus]]:
        """Return targets, ages of their reports in seconds, and status."""
        now = self._read_time()
        return [
            (target, now - at, self._apply_refusal(target, at, status))
            for target, (at, status) in self._reported.items()
            if now - at <= _MAX_AGE
        ]

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the reports of targets that no longer exist.

        :param listed: the names of the targets that exist.
        """
        for values in (self._reported, self._corrected, self._refused):
            for target in set(values) - listed:
                del values[target]

    def _apply_refusal(
        self, target: str, at: float, status: EngineStatus
    ) -> EngineStatus:
        """Return a status with the memory that a later refusal shows.

        :param at: when the status was reported.
        """
        refused_at, used = self._refused.get(target, (-math.inf, 0.0))
        newest = self._read_time() - _MAX_AGE
        if refused_at < max(newest, at - _REPORT_LAG) or used <= status.used:
            return status
        return replace(status, used=used)
