"""Cutting a stream of server-sent events into whole events."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

_MOST_PENDING = 1024 * 1024


@dataclass(frozen=True)
class StreamEvent:
    """One event as it was sent.

    :param data: its bytes, with the empty line that ends it.
    :param event_id: its id, or "".
    """

    data: bytes
    event_id: str

    @property
    def number(self) -> int | None:
        """The id as a number, or None."""
        return int(self.event_id) if self.event_id.isdigit() else None


class EventSplitter:
    """Cuts parts of a body into whole events.

    An engine may stop in the middle of an event.  Only whole events are
    sent on, so that a caller never has the half of one when the stream
    goes on elsewhere.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def rest(self) -> bytes:
        """What came after the last whole event."""
        return self._pending

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Take a part of the body and return the events that it ends.

        :raises ValueError: when an event does not end.
        """
        pending = self._pending + data
        if len(pending) > _MOST_PENDING:
            raise ValueError("an event of the stream is too long")
        events = []
        while True:
            end = _find_end(pending)
            if end < 0:
                break
            events.append(_make_event(pending[:end]))
            pending = pending[end:]
        self._pending = pending
        return iter(events)


def _find_end(data: bytes) -> int:
    """Return the length of the first event with its empty line, or -1."""
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _make_event(data: bytes) -> StreamEvent:
    event_id = ""
    for line in data.splitlines():
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("latin-1")
    return StreamEvent(data, event_id)
