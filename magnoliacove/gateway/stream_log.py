"""Log events of one stream: its paths, their failures and its answer."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from magnoliacove import errors
from magnoliacove.gateway.delivery import BrokenRunError
from magnoliacove.gateway.delivery import EventDelivery
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.limits.reruns import Obstacle
from magnoliacove.limits.reruns import RerunFacts
from magnoliacove.routing.paths import Path
from magnoliacove.timeline import Recorder

__all__ = ["Cut", "StreamLog"]


@dataclass(frozen=True)
class Cut:
    """The end of an answer that had begun and was not complete."""

    by: errors.EndedBy
    why: str


class StreamLog:
    """Records the log events of one stream."""

    def __init__(
        self,
        recorder: Recorder,
        routed: RoutedRequest,
        delivery: EventDelivery,
    ) -> None:
        self._recorder = recorder
        self._request = routed.caller_headers.request
        self._arrived = routed.request.arrived
        self._version = routed.version
        self._delivery = delivery
        self._retry_withheld = False

    def record_path(self, path: Path, number: int, now: float) -> None:
        """Record that the request is sent along a path.

        :param number: the number of paths so far, including this one.
        """
        self._recorder.record(
            "path-chosen",
            request=self._request,
            path=path.describe(),
            seconds=round(path.seconds, 3),
            crossings=path.crossings,
            waited=round(now - self._arrived, 3),
            last_event=self._delivery.last_event,
            number=number,
        )

    def record_withheld_retry(
        self, read_facts: Callable[[], RerunFacts]
    ) -> None:
        """Record once that a refused stream waits until a retry is left."""
        if self._retry_withheld:
            return
        self._retry_withheld = True
        facts = read_facts()
        self._recorder.record(
            "request-waiting",
            request=self._request,
            why="the retry budget is spent",
            refusals=facts.refusals,
            retries_left=round(facts.retries_left, 1),
            seconds_left=round(facts.seconds_left, 3),
        )

    def record_path_failure(
        self, target: str, failure: BrokenRunError, *, stays: bool = False
    ) -> None:
        """Record that a path failed.

        :param target: the first engine of the path, or "" when it is no
            longer listed.
        :param stays: whether the stream stays on another path, on which its
            run goes on.
        """
        self._recorder.record(
            "path-lost",
            request=self._request,
            target=target,
            why=failure.reason,
            ran=failure.ran,
            stays=stays,
            ran_for=0.0 if stays else round(self._delivery.read_run_age(), 3),
            events=self._delivery.count,
            last_event=self._delivery.last_event,
        )

    def record_path_kept(
        self, reason: str, obstacle: Obstacle, facts: RerunFacts
    ) -> None:
        """Record that the stream stays on a path that it should leave.

        :param reason: why it should leave.
        :param obstacle: why it cannot run elsewhere.
        """
        self._recorder.record(
            "path-kept",
            request=self._request,
            why=reason,
            refused=obstacle,
            events=self._delivery.count,
            **_describe_facts(facts),
        )

    def record_cut(
        self, cut: Cut, facts: RerunFacts, runs: int, other_path: bool
    ) -> None:
        """Record who ended an answer that had begun, and what else could be.

        :param runs: the number of runs that failed or were left.
        :param other_path: whether a path without the engines that failed it
            had capacity.
        """
        self._recorder.record(
            "answer-cut",
            request=self._request,
            why=cut.why,
            by=cut.by,
            events=self._delivery.count,
            last_event=self._delivery.last_event,
            configuration=self._version,
            runs=runs,
            other_path=other_path,
            **_describe_facts(facts),
        )

    def record_answer(
        self, status: int, runs: int, slowness: float, now: float
    ) -> float:
        """Record that the answer is complete.

        :param status: what the caller was told; an engine's failure may be
            forwarded.
        :param runs: the number of runs.
        :param slowness: the slowness of the last path's slowest engine.
        :returns: the seconds from the request to its first event.
        """
        first = self._delivery.read_first_event_delay(self._arrived)
        self._recorder.record(
            "request-answered",
            request=self._request,
            status=status,
            events=self._delivery.count,
            first_event=round(first, 3),
            longest_gap=round(self._delivery.longest_gap, 3),
            runs=runs,
            seconds=round(now - self._arrived, 3),
            slowness=slowness,
        )
        return first


def _describe_facts(facts: RerunFacts) -> dict[str, Any]:
    """Return the fields of a log event that tell what else could be done."""
    return {
        "refusals": facts.refusals,
        "repeatable": facts.repeatable,
        "quarantined": facts.quarantined,
        "retries_left": round(facts.retries_left, 1),
        "seconds_left": round(facts.seconds_left, 3),
    }
