"""What an entry has learned of the speed of engines and links.

Nobody states step times, so they are learned.  An engine's step takes a
fixed time and a further time for each stream in the batch; both follow
from the reports by a regression that forgets.  A link's delay follows from
what a chain took beyond its engines' steps.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove.wire import messages

__all__ = ["Estimates", "TargetEstimate"]

_FORGET = 0.98
_LINK_RATE = 0.1
_START_STEP = 0.02
# An engine never seen is taken to be a little faster than it may be, so
# that it is tried; one report corrects it.
_START_SLOPE = 0.0005
_FAILURE_PENALTY = 5.0
_LINK_PENALTY = 30.0


@dataclass
class TargetEstimate:
    """What is known of one target.

    :param running: streams or calls, as last reported.
    :param own: how many of them are this entry's, now.
    :param own_at_report: how many were this entry's at the report.
    """

    running: int = 0
    own: int = 0
    own_at_report: int = 0
    draining: bool = False
    failed_at: float = -1e9
    _weight: float = 0.0
    _sum_n: float = 0.0
    _sum_nn: float = 0.0
    _sum_s: float = 0.0
    _sum_ns: float = 0.0

    @property
    def expected_running(self) -> int:
        """The streams there now: the report, and what we did since.

        Reports lag.  Without the second part every request until the next
        report would pile up on the same seemingly idle target.
        """
        return max(self.own, self.running + self.own - self.own_at_report)

    @property
    def line(self) -> tuple[float, float]:
        """Seconds of a step: the fixed part, and the part per stream."""
        if self._weight < 1e-9:
            return _START_STEP, _START_SLOPE
        mean_n = self._sum_n / self._weight
        mean_s = self._sum_s / self._weight
        spread = self._sum_nn / self._weight - mean_n**2
        if spread < 0.25:
            return mean_s * 0.9, mean_s * 0.1 / max(mean_n, 1.0)
        slope = (self._sum_ns / self._weight - mean_n * mean_s) / spread
        slope = min(max(slope, 0.0), mean_s / max(mean_n, 1.0))
        return max(mean_s - slope * mean_n, 0.0), slope

    def note_report(self, load: messages.Load) -> None:
        """Take a report."""
        self.running = load.running
        self.own_at_report = self.own
        self.draining = load.draining
        if load.step_micros:
            self._learn(load.running, load.step_micros / 1e6)

    def step_seconds(self) -> float:
        """Return the expected time of a step with one more stream."""
        fixed, slope = self.line
        return fixed + slope * (self.expected_running + 1)

    def marginal_seconds(self) -> float:
        """Return what one more stream costs all streams there together."""
        fixed, slope = self.line
        return fixed + slope * (2 * self.expected_running + 1)

    def penalty(self, now: float) -> float:
        """Return seconds that a failure not long ago adds."""
        return max(0.0, _FAILURE_PENALTY - (now - self.failed_at))

    def _learn(self, n: float, seconds: float) -> None:
        self._weight = self._weight * _FORGET + 1.0
        self._sum_n = self._sum_n * _FORGET + n
        self._sum_nn = self._sum_nn * _FORGET + n * n
        self._sum_s = self._sum_s * _FORGET + seconds
        self._sum_ns = self._sum_ns * _FORGET + n * seconds


class Estimates:
    """The estimates of one entry.

    :param entry: the entry's name, one end of the first and last link.
    :param read_time: returns seconds.
    """

    def __init__(
        self,
        entry: str,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self.entry = entry
        self.read_time = read_time
        self._targets: dict[str, TargetEstimate] = {}
        self._links: dict[tuple[str, str], float] = {}
        self._failed_links: dict[tuple[str, str], float] = {}

    def target(self, name: str) -> TargetEstimate:
        """Return what is known of a target."""
        found = self._targets.get(name)
        if found is None:
            found = self._targets[name] = TargetEstimate()
        return found

    def link_seconds(self, source: str, sink: str) -> float:
        """Return the delay of a link, 0 for one never used."""
        delay = self._links.get((source, sink), 0.0)
        failed_at = self._failed_links.get((source, sink))
        if failed_at is None:
            return delay
        age = self.read_time() - failed_at
        return delay + max(0.0, _LINK_PENALTY - age)

    def note_link_failure(self, source: str, sink: str) -> None:
        """Keep streams off a link that broke while both ends live."""
        self._failed_links[(source, sink)] = self.read_time()

    def note_token(self, names: tuple[str, ...], seconds: float) -> None:
        """Learn from the time that one token took through a chain.

        What the engines' own reports leave unexplained is spread over the
        chain's links.  Each link is in many chains, so what belongs to
        another link averages out.
        """
        path = (self.entry, *names, self.entry)
        links = list(zip(path, path[1:], strict=False))
        known = sum(self.target(name).step_seconds() for name in names)
        expected = known + sum(self.link_seconds(*link) for link in links)
        share = (seconds - expected) / len(links)
        for link in links:
            before = self._links.get(link, 0.0)
            self._links[link] = max(0.0, before + _LINK_RATE * share)

    def forget(self, names: set[str]) -> None:
        """Drop what is known of targets that no longer exist."""
        for name in set(self._targets) - names:
            if not self._targets[name].own:
                del self._targets[name]
        for link in list(self._links):
            if not {*link} <= names | {self.entry}:
                del self._links[link]
                self._failed_links.pop(link, None)
