"""Passing one stream's events on to the caller: whole, in order, once.

The events may come from several runs on several paths; the caller sees one
answer, with the headers of the first run.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import Answer
from magnoliacove.gateway.events import EventSplitter
from magnoliacove.platform import headers

__all__ = ["BrokenRunError", "EventDelivery"]


class BrokenRunError(Exception):
    """A run on one path gave no whole stream.

    :param ran: whether the request may have run.
    :param answer: an engine's own failure, to be passed on at the end.
    """

    def __init__(
        self,
        why: str,
        ran: bool,
        answer: Answer | None = None,
        body: bytes = b"",
    ) -> None:
        super().__init__(why)
        self.why = why
        self.ran = ran
        self.answer = answer
        self.body = body


class EventDelivery:
    """The caller's end of one stream.

    :param last_event: the last event that the caller has, or "".
    :param written: called after each write.
    :param longest_gap: seconds, the longest from one event that the caller
        was sent to the next.
    """

    def __init__(
        self,
        exchange: Exchange,
        last_event: str,
        written: Callable[[], None],
    ) -> None:
        self.last_event = last_event
        self.count = 0
        self.writing = False
        self.first_at = 0.0
        self.sent_at = 0.0
        self.heard_at = 0.0
        self.longest_gap = 0.0
        self._exchange = exchange
        self._written = written
        self._answer: Answer | None = None
        self._splitter = EventSplitter()
        self._run_began_at: float | None = None
        self._run_heard_at = 0.0

    @property
    def began(self) -> bool:
        """Whether the caller has an event of this answer."""
        return self.count > 0

    def await_run(self) -> None:
        """Take it that the request goes out for a new run."""
        self._run_began_at = None
        self.heard_at = trio.current_time()

    def begin_run(self, answer: Answer) -> None:
        """Take the head of a new run's answer."""
        self._answer = answer
        self._splitter = EventSplitter()

    def read_run_age(self) -> float:
        """Return seconds from the run's first bytes to its last so far.

        Not to now: an engine that waits for another one does not run it.
        """
        if self._run_began_at is None:
            return 0.0
        return self._run_heard_at - self._run_began_at

    async def take(self, part: bytes) -> None:
        """Pass on the events that a part of the body completes.

        :raises BrokenRunError: when the run's events do not fit.
        """
        now = trio.current_time()
        self.heard_at = self._run_heard_at = now
        if self._run_began_at is None:
            self._run_began_at = now
        try:
            events = list(self._splitter.feed(part))
        except ValueError as why:
            raise BrokenRunError(str(why), True) from why
        fresh, last, count = b"", self.last_event, 0
        for event in events:
            if event.number is not None and not _is_next(event.number, last):
                continue
            fresh += event.data
            last = event.event_id or last
            count += 1
        if not fresh:
            return
        sent_before = self.sent_at
        await self._write(fresh)
        if self.began:
            # From write to write: what a caller waits for also goes by
            # between two paths and while its own connection takes nothing.
            gap = self.sent_at - sent_before
            self.longest_gap = max(self.longest_gap, gap)
        # Only now: a path that is left just as its events arrive must not
        # take them for sent, or the next one goes on behind a gap.
        self.last_event = last
        self.count += count
        self.first_at = self.first_at or now

    def read_first(self, since: float) -> float:
        """Return seconds from a moment to the first event, 0 for none."""
        return self.first_at - since if self.began else 0.0

    async def finish(self) -> None:
        """End the answer, as the run's answer has ended.

        :raises BrokenRunError: when it ended inside an event.
        """
        rest = self._splitter.rest
        if rest and not self._is_framed():
            # An answer without a length ends where its connection does,
            # also when its engine dies: half an event tells.
            raise BrokenRunError("the answer ended inside an event", True)
        if rest:
            await self._write(rest)
        await self._start()
        await self._send(self._exchange.end)

    def _is_framed(self) -> bool:
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
        """Send something to the caller, whole, whatever befalls the path.

        A path that is left while a write is on its way would leave the
        half of it with the caller, and what comes from the next path would
        follow in the middle: an answer that is none.  So leaving waits for
        the write, and a path that is left already sends no more.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self.writing = True
        try:
            await send()
        finally:
            self.writing = False
            self.sent_at = trio.current_time()
            # Time that the caller took to read is not the engine's silence.
            self.heard_at = self.sent_at
        self._written()


def _is_next(number: int, last_event: str) -> bool:
    """Return whether an event is due; False for one sent already.

    :raises BrokenRunError: when events before it are missing.
    """
    if not last_event.isdigit():
        return True
    last = int(last_event)
    if number <= last:
        return False
    if number > last + 1:
        raise BrokenRunError(
            f"event {number} came after event {last}; some are missing", True
        )
    return True
