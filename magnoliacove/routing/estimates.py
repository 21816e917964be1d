"""Estimates of the speed of engines and links.

Step times are not configured, so they are estimated.  A step of an engine
takes a fixed time plus a time for each stream in the batch; a regression
with exponential decay estimates both from the reports.  The delay of a link
is estimated from the time of a chain beyond the steps of its engines.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove.wire import messages

__all__ = ["Estimates", "TargetEstimate"]

# Factor on the weight of earlier reports with each new report.
_DECAY = 0.98
# Weight of a new sample in the moving mean of a link's delay.
_LINK_SMOOTHING = 0.1
# Step time assumed for an engine without reports, in seconds: the fixed part
# and the part per stream.  The estimate is slightly optimistic, so that the
# engine is tried; one report corrects it.
_INITIAL_STEP = 0.02
_INITIAL_SLOPE = 0.0005
# Seconds that a failure of a target or of a link adds at first; the penalty
# decreases by one second per second.
_FAILURE_PENALTY = 5.0
_LINK_PENALTY = 30.0


@dataclass
class TargetEstimate:
    """The load and speed of one target.

    :param running: streams or calls, as last reported.
    :param own: streams or calls of this entry now.
    :param own_at_report: streams or calls of this entry at the report.
    :param failed_at: when the target last failed.
    """

    running: int = 0
    own: int = 0
    own_at_report: int = 0
    draining: bool = False
    failed_at: float = -1e9
    _weight: float = 0.0
    _sum_running: float = 0.0
    _sum_running_squared: float = 0.0
    _sum_seconds: float = 0.0
    _sum_products: float = 0.0

    @property
    def expected_running(self) -> int:
        """The reported streams, updated by this entry's changes since then.

        Reports lag.  Without the correction, all requests until the next
        report would go to the same seemingly idle target.
        """
        return max(self.own, self.running + self.own - self.own_at_report)

    @property
    def line(self) -> tuple[float, float]:
        """Seconds of a step: the fixed part, and the part per stream."""
        if self._weight < 1e-9:
            return _INITIAL_STEP, _INITIAL_SLOPE
        mean_running = self._sum_running / self._weight
        mean_seconds = self._sum_seconds / self._weight
        spread = self._sum_running_squared / self._weight - mean_running**2
        if spread < 0.25:
            # The reported numbers of streams hardly differ, so the slope
            # cannot be estimated.  A tenth of the step time is assumed to
            # depend on the streams.
            return mean_seconds * 0.9, mean_seconds * 0.1 / max(
                mean_running, 1.0
            )
        slope = (
            self._sum_products / self._weight - mean_running * mean_seconds
        ) / spread
        slope = min(max(slope, 0.0), mean_seconds / max(mean_running, 1.0))
        return max(mean_seconds - slope * mean_running, 0.0), slope

    def note_report(self, load: messages.Load) -> None:
        """Record a report of the target."""
        self.running = load.running
        self.own_at_report = self.own
        self.draining = load.draining
        if load.step_micros:
            self._add_sample(load.running, load.step_micros / 1e6)

    def step_seconds(self) -> float:
        """Return the expected time of a step with one more stream."""
        fixed, slope = self.line
        return fixed + slope * (self.expected_running + 1)

    def marginal_seconds(self) -> float:
        """Return the seconds that one more stream adds to all streams."""
        fixed, slope = self.line
        return fixed + slope * (2 * self.expected_running + 1)

    def penalty(self, now: float) -> float:
        """Return the seconds that a recent failure adds."""
        return max(0.0, _FAILURE_PENALTY - (now - self.failed_at))

    def _add_sample(self, running: float, seconds: float) -> None:
        self._weight = self._weight * _DECAY + 1.0
        self._sum_running = self._sum_running * _DECAY + running
        self._sum_running_squared = (
            self._sum_running_squared * _DECAY + running * running
        )
        self._sum_seconds = self._sum_seconds * _DECAY + seconds
        self._sum_products = self._sum_products * _DECAY + running * seconds


class Estimates:
    """The estimates of one entry.

    :param entry: the entry's name; the first link begins and the last link
        ends there.
    :param read_time: returns the current time in seconds.
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
        """Return the estimate for a target."""
        estimate = self._targets.get(name)
        if estimate is None:
            estimate = self._targets[name] = TargetEstimate()
        return estimate

    def link_seconds(self, source: str, sink: str) -> float:
        """Return the delay of a link, 0 if never used, plus its penalty."""
        delay = self._links.get((source, sink), 0.0)
        failed_at = self._failed_links.get((source, sink))
        if failed_at is None:
            return delay
        age = self.read_time() - failed_at
        return delay + max(0.0, _LINK_PENALTY - age)

    def note_link_failure(self, source: str, sink: str) -> None:
        """Penalize a link that failed although both of its ends are alive."""
        self._failed_links[(source, sink)] = self.read_time()

    def note_token(self, names: tuple[str, ...], seconds: float) -> None:
        """Update link delays with the time of one token through a chain.

        The time that the engines' step times do not explain is divided
        equally among the links of the chain.  Each link is part of many
        chains, so the share that belongs to other links averages out.
        """
        path = (self.entry, *names, self.entry)
        links = list(zip(path, path[1:], strict=False))
        steps = sum(self.target(name).step_seconds() for name in names)
        expected = steps + sum(self.link_seconds(*link) for link in links)
        share = (seconds - expected) / len(links)
        for link in links:
            before = self._links.get(link, 0.0)
            self._links[link] = max(0.0, before + _LINK_SMOOTHING * share)

    def discard_unlisted(self, names: set[str]) -> None:
        """Discard the estimates of targets that no longer exist.

        :param names: the names of the targets that exist.
        """
        for name in set(self._targets) - names:
            if not self._targets[name].own:
                del self._targets[name]
        for link in list(self._links):
            if not {*link} <= names | {self.entry}:
                del self._links[link]
                self._failed_links.pop(link, None)
