"""What the log says of one stream, from its paths to its end."""

from magnoliacove.gateway.delivery import BrokenRunError
from magnoliacove.gateway.delivery import EventDelivery
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.routing.paths import Path
from magnoliacove.timeline import Recorder

__all__ = ["StreamLines"]


class StreamLines:
    """Writes one stream's lines."""

    def __init__(
        self,
        recorder: Recorder,
        routed: RoutedRequest,
        delivery: EventDelivery,
    ) -> None:
        self._recorder = recorder
        self._request = routed.marks.request
        self._arrived = routed.request.arrived
        self._delivery = delivery

    def note_path(self, path: Path, number: int, now: float) -> None:
        """Write down that the request goes along a path.

        :param number: how many paths it took, with this one.
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

    def note_lost(self, target: str, failure: BrokenRunError) -> None:
        """Write down that the path was lost.

        :param target: its first engine, or "" when that was gone.
        """
        self._recorder.record(
            "path-lost",
            request=self._request,
            target=target,
            why=failure.why,
            ran=failure.ran,
            ran_for=round(self._delivery.read_run_age(), 3),
            events=self._delivery.count,
            last_event=self._delivery.last_event,
        )

    def note_answered(self, runs: int, slowness: float, now: float) -> float:
        """Write down that the answer is whole.

        :param runs: how many runs it took.
        :param slowness: of the slowest engine of the last path.
        :returns: the seconds from the request to its first event.
        """
        first = self._delivery.read_first(self._arrived)
        self._recorder.record(
            "request-answered",
            request=self._request,
            events=self._delivery.count,
            first_event=round(first, 3),
            longest_gap=round(self._delivery.longest_gap, 3),
            runs=runs,
            seconds=round(now - self._arrived, 3),
            slowness=slowness,
        )
        return first
