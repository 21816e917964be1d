"""Splitting of server-sent event streams into whole events."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

# Bytes of an event that has not ended yet.
_MAX_PENDING = 1024 * 1024


@dataclass(frozen=True)
class StreamEvent:
    """An event as it was sent.

    :param data: the bytes, including the empty line that ends the event.
    :param event_id: the id, or "".
    """

    data: bytes
    event_id: str

    @property
    def number(self) -> int | None:
        """The id as a number, or None if it is not one."""
        return int(self.event_id) if self.event_id.isdigit() else None


class EventSplitter:
    """Splits the parts of a body into whole events.

    An engine may stop in the middle of an event.  Only whole events are
    forwarded, so that a caller never has a partial event when the stream
    continues on another engine.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def rest(self) -> bytes:
        """The bytes after the last whole event."""
        return self._pending

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add a part of the body and return the events that it completes.

        :raises ValueError: when an event exceeds the maximum length.
        """
        pending = self._pending + data
        if len(pending) > _MAX_PENDING:
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
        at + len(terminator)
        for terminator in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(terminator)) >= 0
    ]
    return min(ends, default=-1)


def _make_event(data: bytes) -> StreamEvent:
    event_id = ""
    for line in data.splitlines():
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("latin-1")
    return StreamEvent(data, event_id)
