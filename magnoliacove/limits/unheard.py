"""How many requests other entries send that are not heard of in time.

Loads are known from heartbeats, which grow rarer as the entries grow more.
What went out after the last one of each entry is on the engines all the
same, and as much again goes out until the others hear of a choice made now.
How much that is follows from the pace of each entry's requests and from the
time since it was heard.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import random

import trio

from magnoliacove.limits.windows import WindowCounts
from magnoliacove.routing.paths import RequestsAhead

__all__ = ["UnheardRequests"]

# An entry's pace is counted over so many seconds: long enough that a few
# requests a second tell it, short enough that a burst shows.
_COUNTED = 2.0
# A pace is not told from less than this, in seconds: the first request of an
# entry that has just started says little of the next one.
_LEAST_COUNTED = 1.0
# The unheard requests among which one may have its turn, as a multiple of
# those that are out: they, and as many that will choose by the same news.
_TURNS = 2.0
# Requests a second; less is what rounding leaves of sums of differences.
_LEAST_PACE = 1e-3


@dataclass(frozen=True)
class _Pace:
    """Requests a second of one entry for each service, and when heard."""

    paces: Mapping[str, float]
    heard_at: float


@dataclass(frozen=True)
class _Sum:
    """Sums over all entries: paces, and paces by when they were heard."""

    pace: float = 0.0
    pace_by_time: float = 0.0

    def add(self, pace: float, heard_at: float) -> "_Sum":
        return _Sum(self.pace + pace, self.pace_by_time + pace * heard_at)


class UnheardRequests:
    """Estimates the requests of other entries that no news tells of yet.

    An entry that has just started and tells of no request is taken to have
    as many as this one.  When all start together, callers wait for them, and
    each gets several in the moment in which it can serve.  If each took the
    others for idle, all would send theirs along the same path.

    :param read_time: returns seconds.
    """

    def __init__(
        self, read_time: Callable[[], float] = trio.current_time
    ) -> None:
        self._read_time = read_time
        self._entries: dict[str, _Pace] = {}
        self._new: set[str] = set()
        self._sums: dict[str, _Sum] = {}
        self._own = WindowCounts(_COUNTED, read_time)
        self._started = read_time()

    @property
    def counted_for(self) -> float:
        """The seconds over which own requests are counted."""
        return min(_COUNTED, self._read_time() - self._started)

    def note_request(self, service: str) -> None:
        """Count one request that came from a caller."""
        self._own.note(service)

    def list_counts(self) -> dict[str, int]:
        """Return each service's own requests of the time counted."""
        return {name: self._own.count(name) for name in self._own.list_names()}

    def read_pace(self, service: str, entry: str = "") -> float:
        """Return the requests a second that an entry had for a service.

        :param entry: another one, "" for this one.
        """
        if entry:
            known = self._entries.get(entry)
            return known.paces.get(service, 0.0) if known else 0.0
        seconds = max(self.counted_for, _LEAST_COUNTED)
        return self._own.count(service) / seconds

    def take_others(
        self,
        entry: str,
        counts: Mapping[str, int],
        seconds: float,
    ) -> None:
        """Take what another entry counted.

        :param counts: requests of each service.
        :param seconds: how long it counted them.
        """
        self._take_off(entry)
        paces = {
            service: requests / max(seconds, _LEAST_COUNTED)
            for service, requests in counts.items()
        }
        if seconds < _LEAST_COUNTED and not any(counts.values()):
            self._new.add(entry)
        heard = _Pace(paces, self._read_time())
        self._entries[entry] = heard
        for service, pace in paces.items():
            known = self._sums.get(service, _Sum())
            self._sums[service] = known.add(pace, heard.heard_at)

    def forget(self, entries: Iterable[str]) -> None:
        """Drop what entries said that are gone."""
        for entry in entries:
            self._take_off(entry)

    def draw(
        self, service: str, rng: random.Random, displaced: int = 0
    ) -> RequestsAhead:
        """Return how many of them are taken to go before a request.

        None to all, each as likely: of the requests that choose by the same
        news each has another turn, and their choices together come out as
        if they were made one after the other.

        :param displaced: requests that their entries lead elsewhere now.
        """
        total = self._sums.get(service, _Sum())
        unheard, seconds = 0.0, 0.0
        if total.pace > _LEAST_PACE:
            unheard = self._read_time() * total.pace - total.pace_by_time
            seconds = unheard / total.pace
        own = self._own.count(service)
        expected = _TURNS * max(0.0, unheard) + len(self._new) * own
        expected += displaced
        return RequestsAhead(int(rng.uniform(0.0, expected + 1.0)), seconds)

    def _take_off(self, entry: str) -> None:
        self._new.discard(entry)
        before = self._entries.pop(entry, None)
        if before is None:
            return
        for service, pace in before.paces.items():
            left = self._sums[service].add(-pace, before.heard_at)
            self._sums[service] = left
