"""What targets in need ask of those that send them requests."""

from dataclasses import dataclass

from magnoliacove.timeline import Recorder

__all__ = ["BackpressureBook", "TargetNotice"]


@dataclass(frozen=True)
class TargetNotice:
    """What a target says of itself in one answer.

    :param rate_limit: requests a second that it takes from all gateways
        together, None when it names no limit.
    :param leaving: it is to get no new requests any more.
    :param rest: seconds for which it wants nothing from this gateway.
    :param unreadable: what it said that has no meaning, or "".
    """

    rate_limit: float | None = None
    leaving: bool = False
    rest: float = 0.0
    unreadable: str = ""


_NOTHING = TargetNotice()


class BackpressureBook:
    """What each target said last.

    A target that starts again has another name here, and has said nothing.
    """

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._notices: dict[str, TargetNotice] = {}

    def take(self, target: str, notice: TargetNotice, source: str) -> None:
        """Take what a target says of itself.

        :param source: the answer that says so, for the log.
        """
        known = self._notices.get(target, _NOTHING)
        if notice == known and not notice.rest:
            return
        self._notices[target] = notice
        self._recorder.record(
            "target-notice",
            target=target,
            why=notice.unreadable,
            source=source,
            rate_limit=notice.rate_limit,
            leaving=notice.leaving,
            rest=notice.rest,
        )

    def forget(self, known: set[str]) -> None:
        """Drop what targets said that no longer exist."""
        for target in set(self._notices) - known:
            del self._notices[target]
