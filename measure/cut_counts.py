"""Counts of answers that were whole or cut off, and the gateway's lines."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import re
import statistics
from typing import Any

from magnoliacove.errors import EndedBy
from measure.scripted_engines import RunState
from measure.scripted_gateway import Reading
from measure.scripted_gateway import ScriptedGateway

__all__ = ["Counts", "Played"]


@dataclass(frozen=True)
class Played:
    """A case that was played.

    :param readings: what the caller read, by the id of its request.
    :param ended_by: who ended each answer that the gateway's log calls cut.
    :param delay: seconds that this process was delayed at most.  Reports of
        sound engines may come too late then, and they are suspected.
    """

    gateway: ScriptedGateway
    readings: dict[str, Reading]
    ended_by: dict[str, EndedBy]
    delay: float


@dataclass
class Counts:
    """The answers of one case.

    :param refused: requests whose answer did not begin.
    :param wrong: answers that ended properly with a wrong content.
    :param cut: answers that were cut off, by who ended them.
    :param unlogged: answers that were cut off without a log line.
    :param served: answers that the gateway ended while their engine served.
    :param gaps: the longest gap of each answer that began, in seconds.
    :param delay: seconds that this process was delayed at most.
    :param traces: the gateway's lines on each answer that it or the caller
        ended.
    """

    begun: int = 0
    refused: int = 0
    whole: int = 0
    wrong: int = 0
    unlogged: int = 0
    served: int = 0
    cut: Counter[EndedBy] = field(default_factory=Counter)
    delay: float = 0.0
    gaps: list[float] = field(default_factory=list)
    traces: list[str] = field(default_factory=list)

    def note(
        self, reading: Reading, request: str, events: int, played: Played
    ) -> None:
        """Count one answer."""
        if reading.status != 200:
            self.refused += 1
            return
        self.begun += 1
        self.gaps.append(reading.longest_gap)
        if not reading.ended:
            self._note_cut(request, played)
            return
        ids = re.findall(rb"^id: (\d+)$", reading.body, re.M)
        right = list(map(int, ids)) == list(range(1, events + 1))
        self.whole += right
        self.wrong += not right

    def _note_cut(self, request: str, played: Played) -> None:
        by = played.ended_by.get(request)
        if by is None:
            self.unlogged += 1
            return
        self.cut[by] += 1
        if by is not EndedBy.ENGINE:
            lines = played.gateway.recorder.list_events(request=request)
            self.traces += [line.to_json() for line in lines]
        last = played.gateway.runs[request][-1].state
        failed = last in (RunState.BROKEN, RunState.SILENT)
        self.served += by is EndedBy.GATEWAY and not failed

    def describe(self, name: str) -> dict[str, Any]:
        """Return the row of the table."""
        cut = self.begun - self.whole - self.wrong
        gaps = sorted(self.gaps) or [0.0]
        return {
            "case": name,
            "begun": self.begun,
            "whole": self.whole,
            "gateway": self.cut[EndedBy.GATEWAY],
            "caller": self.cut[EndedBy.CALLER],
            "engine": self.cut[EndedBy.ENGINE],
            "per 1000": round(1000 * cut / max(1, self.begun), 1),
            "served": self.served,
            "gap p50": round(statistics.median(gaps), 2),
            "gap p99": round(gaps[int(0.99 * (len(gaps) - 1))], 2),
            "refused": self.refused,
            "wrong": self.wrong,
            "unlogged": self.unlogged,
            "delay": round(self.delay, 2),
        }
