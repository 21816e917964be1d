"""Delivery of a stream's events to the caller: whole, in order, once each.

The events may come from several runs on several paths.  The caller receives
one answer, with the headers of the first run.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import trio

from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.events import EventSplitter
from magnoliacove.gateway.events import read_number
from magnoliacove.gateway.target_answers import TargetAnswer
from magnoliacove.platform import headers

__all__ = ["BrokenRunError", "EventDelivery"]


class BrokenRunError(Exception):
    """A run on one path did not produce a whole stream.

    :param ran: whether the request may have run.
    :param answer: an engine's error answer, forwarded to the caller when no
        other path is tried.
    :param left: whether this gateway left the path, while its engine may
        still have served the stream.
    """

    def __init__(
        self,
        reason: str,
        ran: bool,
        answer: TargetAnswer | None = None,
        *,
        left: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.ran = ran
        self.answer = answer
        self.left = left


class EventDelivery:
    """Writes the events of one stream to its caller.

    :param last_event: the id of the last event that the caller has, or "".
    :param on_write: called after each write.
    :param answered: whether the current run's answer has begun.
    :param longest_gap: seconds of the longest interval between two writes of
        events to the caller.
    """

    def __init__(
        self,
        exchange: Exchange,
        last_event: str,
        on_write: Callable[[], None],
    ) -> None:
        self.last_event = last_event
        self.count = 0
        self.answered = False
        self.writing = False
        self.first_at = 0.0
        self.sent_at = 0.0
        self.received_at = 0.0
        # When the engines of the current path last brought data.
        self.data_at = -math.inf
        self.longest_gap = 0.0
        self._exchange = exchange
        self._on_write = on_write
        self._answer: Answer | None = None
        self._splitter = EventSplitter()
        self._run_began_at: float | None = None
        self._run_received_at = 0.0

    @property
    def began(self) -> bool:
        """Whether the caller was sent an event of this answer."""
        return self.count > 0

    def prepare_run(self) -> None:
        """Prepare for a new run before its request is sent."""
        self._run_began_at = None
        self.answered = False
        self.received_at = trio.current_time()
        self.forget_data()

    def forget_data(self) -> None:
        """Forget when data came, as other engines bring it from now on."""
        self.data_at = -math.inf

    def begin_run(self, answer: Answer) -> None:
        """Start reading a new run after the head of its answer."""
        self._answer = answer
        self.answered = True
        self._splitter = EventSplitter()

    def read_run_age(self) -> float:
        """Return the seconds from the first to the latest bytes of the run.

        Time since the latest bytes does not count: an engine that waits for
        another one does not run the request.
        """
        if self._run_began_at is None:
            return 0.0
        return self._run_received_at - self._run_began_at

    async def deliver(self, part: bytes) -> None:
        """Forward the events that a part of the body completes.

        :raises BrokenRunError: when an event does not end, or when events
            are missing.
        """
        now = trio.current_time()
        self.received_at = self.data_at = self._run_received_at = now
        if self._run_began_at is None:
            self._run_began_at = now
        try:
            events = list(self._splitter.feed(part))
        except ValueError as exc:
            raise BrokenRunError(str(exc), True) from exc
        new_data, last, count = b"", self.last_event, 0
        for event in events:
            if event.number is not None and not _is_next(event.number, last):
                continue
            new_data += event.data
            last = event.event_id or last
            count += 1
        if not new_data:
            return
        sent_before = self.sent_at
        await self._write(new_data)
        if self.began:
            # Measured between writes: the caller also waits while the stream
            # changes paths and while its own connection is blocked.
            gap = self.sent_at - sent_before
            self.longest_gap = max(self.longest_gap, gap)
        # Updated only after the write: if the stream leaves its path just as
        # events arrive, they must not count as sent, or the next path
        # continues after a gap.
        self.last_event = last
        self.count += count
        self.first_at = self.first_at or now

    def read_first_event_delay(self, since: float) -> float:
        """Return the seconds from a time to the first event.

        :returns: 0 when no event was sent.
        """
        return self.first_at - since if self.began else 0.0

    async def finish(self) -> None:
        """End the answer to the caller after the run's answer has ended.

        :raises BrokenRunError: when the run's answer ended inside an event.
        """
        rest = self._splitter.rest
        if rest and not self._has_framing():
            # An answer without a length ends when its connection closes,
            # also when the engine crashes.  A partial event shows that the
            # answer is incomplete.
            raise BrokenRunError("the answer ended inside an event", True)
        if rest:
            await self._write(rest)
        await self._start()
        await self._send(self._exchange.end)

    def _has_framing(self) -> bool:
        names = (
            {name for name, _ in self._answer.headers} if self._answer else ()
        )
        return b"transfer-encoding" in names or b"content-length" in names

    async def _write(self, data: bytes) -> None:
        await self._start()
        await self._send(lambda: self._exchange.write(data))

    async def _start(self) -> None:
        if self._exchange.started or self._answer is None:
            return
        copied = [
            (name, value)
            for name, value in headers.copy_answer(self._answer.headers)
            if name != b"content-length"
        ]
        chunked = (b"transfer-encoding", b"chunked")
        await self._send(lambda: self._exchange.start(200, [*copied, chunked]))

    async def _send(self, send: Callable[[], Awaitable[None]]) -> None:
        """Send data to the caller; the path is not left meanwhile.

        If leaving the path cancelled a write, the caller would receive a part
        of the data, followed by data of the next path: an invalid answer.  A
        path that was left sends nothing more.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self.writing = True
        try:
            await send()
        finally:
            self.writing = False
            self.sent_at = trio.current_time()
            # Time that the caller takes to read does not count as silence
            # of the engine.
            self.received_at = self.sent_at
        self._on_write()


def _is_next(number: int, last_event: str) -> bool:
    """Return whether an event is the next one; False for a duplicate.

    :raises BrokenRunError: when events before it are missing.
    """
    last = read_number(last_event)
    if last is None:
        return True
    if number <= last:
        return False
    if number > last + 1:
        raise BrokenRunError(
            f"event {number} came after event {last}; some are missing", True
        )
    return True
