"""The events that one stream records."""

from collections.abc import Sequence

import trio

from magnoliacove import errors
from magnoliacove.entry.pool import TargetPool
from magnoliacove.entry.replanning import ChainInterrupted
from magnoliacove.entry.replanning import StreamChain
from magnoliacove.entry.stages import StreamRequest
from magnoliacove.timeline import Recorder

__all__ = ["StreamLog"]


class StreamLog:
    """Records what happens to one stream, and what else was possible."""

    def __init__(
        self, request: StreamRequest, pool: TargetPool, recorder: Recorder
    ) -> None:
        self._request = request
        self._pool = pool
        self._recorder = recorder

    def record_tried(
        self, chain: StreamChain, why: ChainInterrupted, attempt: int
    ) -> None:
        """Record the chain of an attempt before its stages answer."""
        self._recorder.record(
            "chain-tried",
            request=self._request.request_id,
            why=str(why),
            chain=_list_stages(chain),
            attempt=attempt,
            usable=self._list_usable(),
        )

    def record_opened(
        self,
        chain: StreamChain,
        why: ChainInterrupted,
        attempt: int,
        steps: Sequence[int],
        tokens: int,
        seconds: float,
    ) -> None:
        """Record that all stages of a chain are open.

        :param steps: the step that each stage expects next.
        :param seconds: the time that it took.
        """
        self._recorder.record(
            "chain-opened" if attempt == 1 else "stream-resumed",
            request=self._request.request_id,
            why=str(why),
            chain=_list_stages(chain),
            attempt=attempt,
            next_steps=steps,
            fed_again=tokens - steps[0] if tokens else 0,
            milliseconds=round(seconds * 1000, 1),
        )

    def record_interrupted(
        self, interruption: ChainInterrupted, attempt: int, tokens: int
    ) -> None:
        """Record that an attempt ended before the answer was complete."""
        self._recorder.record(
            "stream-interrupted",
            request=self._request.request_id,
            target=",".join(sorted(interruption.names)),
            why=str(interruption),
            attempt=attempt,
            tokens=tokens,
        )

    def record_waiting(self, interruption: ChainInterrupted) -> None:
        """Record that the stream waits for a usable target."""
        self._recorder.record(
            "stream-waiting",
            request=self._request.request_id,
            target=",".join(sorted(interruption.names)),
            why="no usable target serves the missing layers",
        )

    def record_cut(
        self, by: errors.EndedBy, why: str, attempt: int, tokens: int
    ) -> None:
        """Record who ended an answer that had begun, and what was left."""
        left = self._request.deadline - trio.current_time()
        self._recorder.record(
            "answer-cut",
            request=self._request.request_id,
            why=why,
            by=by,
            attempt=attempt,
            tokens=tokens,
            seconds_left=round(left, 1),
            usable=self._list_usable(),
        )

    def _list_usable(self) -> list[str]:
        options = self._pool.list_options(self._request.service)
        return sorted(option.target for option in options)


def _list_stages(chain: StreamChain) -> list[str]:
    return [f"{s.target}:{s.first_layer}-{s.end_layer}" for s in chain.stages]
