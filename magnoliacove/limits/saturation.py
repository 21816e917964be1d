"""Which services have more requests than their engines have capacity for.

A service is full once requests have found no path for a short time, although
every layer is loaded somewhere, or engines without room refused them.  Until
none has waited for a second, engines that are busy must not look failed, and
requests that they refuse must not use up the retries that failures need.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove.timeline import Recorder

__all__ = ["Saturation", "is_nearly_full"]

# Seconds for which requests find no path until their service counts as full.
# A single request that waits for the end of another one is no overload.
_MIN_DURATION = 0.2
# Seconds without a waiting request after which a service is not full any more.
# Capacity that is freed at once is used up within a usual stream.
_MAX_CALM = 1.0


# Fraction of an engine's memory in use from which on the lack of memory
# explains that it refuses a request.
_NEARLY_FULL = 0.8


def is_nearly_full(used: float, capacity: float) -> bool:
    """Return whether an engine refuses for lack of memory.

    :param used: its memory in use, in the unit of its capacity.
    """
    return 0.0 < _NEARLY_FULL * capacity <= used


@dataclass
class _Shortage:
    """The signs that one service has too little capacity.

    :param since: the first sign, by the clock in use, without a calm after it.
    :param last: the last sign.
    :param waiting: the most requests that waited at once.
    :param refusals: requests that engines refused for lack of capacity.
    """

    since: float
    last: float
    waiting: int = 0
    refusals: int = 0
    full: bool = False


class Saturation:
    """The services that are full, as this gateway's own requests show it.

    :param read_time: returns seconds.
    """

    def __init__(
        self,
        recorder: Recorder,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._recorder = recorder
        self._read_time = read_time
        self._shortages: dict[str, _Shortage] = {}

    def note_waiting(self, service: str, waiting: int) -> None:
        """Record that a request found no path with capacity.

        Not called while a layer is loaded nowhere: then no path exists,
        however many engines are idle.

        :param waiting: the number of requests that wait.
        """
        shortage = self._find_shortage(service)
        shortage.waiting = max(shortage.waiting, waiting)
        self._note_sign(service, shortage)

    def note_refusal(self, service: str) -> None:
        """Record that an engine without room refused a request."""
        shortage = self._find_shortage(service)
        shortage.refusals += 1
        self._note_sign(service, shortage)

    def is_full(self, service: str) -> bool:
        """Return whether a service has more requests than capacity."""
        shortage = self._shortages.get(service)
        if shortage is None or not shortage.full:
            return False
        return self._read_time() - shortage.last <= _MAX_CALM

    def list_full(self) -> list[str]:
        """Return the names of the services that are full."""
        return [name for name in self._shortages if self.is_full(name)]

    def end_calm(self) -> None:
        """Discard the shortages that are over, and log that they ended."""
        now = self._read_time()
        for service, shortage in list(self._shortages.items()):
            if now - shortage.last <= _MAX_CALM:
                continue
            del self._shortages[service]
            if not shortage.full:
                continue
            self._recorder.record(
                "service-not-full",
                why="no request waits any more",
                service=service,
                seconds=round(shortage.last - shortage.since, 2),
                calm=round(now - shortage.last, 2),
                waiting=shortage.waiting,
                refusals=shortage.refusals,
            )

    def _find_shortage(self, service: str) -> _Shortage:
        self.end_calm()
        now = self._read_time()
        return self._shortages.setdefault(service, _Shortage(now, now))

    def _note_sign(self, service: str, shortage: _Shortage) -> None:
        shortage.last = self._read_time()
        lasted = shortage.last - shortage.since
        if shortage.full or lasted < _MIN_DURATION:
            return
        shortage.full = True
        self._recorder.record(
            "service-full",
            why="requests find no path with capacity",
            service=service,
            seconds=round(lasted, 2),
            waiting=shortage.waiting,
            refusals=shortage.refusals,
        )
