"""Splitting of server-sent event streams into whole events."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent", "read_number"]

# Bytes of an event that has not ended yet.
_MAX_PENDING = 1024 * 1024
# Empty lines that end an event.
_ENDS = (b"\n\n", b"\r\n\r\n")
_LONGEST_END = 4
# Digits of an event's number; Python refuses to convert thousands.
_MAX_NUMBER_DIGITS = 18


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
        return read_number(self.event_id)


def read_number(event_id: str) -> int | None:
    """Return an event's id as a number, or None if it is not one."""
    digits = event_id.isascii() and event_id.isdigit()
    if not digits or len(event_id) > _MAX_NUMBER_DIGITS:
        return None
    return int(event_id)


class EventSplitter:
    """Splits the parts of a body into whole events.

    An engine may stop in the middle of an event.  Only whole events are
    forwarded, so that a caller never has a partial event when the stream
    continues on another engine.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        # Where the end of the pending event may lie at the earliest.
        self._searched = 0

    @property
    def rest(self) -> bytes:
        """The bytes after the last whole event."""
        return bytes(self._pending)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add a part of the body and return the events that it completes.

        :raises ValueError: when an event exceeds the maximum length.
        """
        self._pending += data
        events, begin = [], 0
        while (end := _find_end(self._pending, self._searched)) >= 0:
            events.append(_make_event(bytes(self._pending[begin:end])))
            begin = self._searched = end
        del self._pending[:begin]
        if len(self._pending) > _MAX_PENDING:
            raise ValueError("an event of the stream is too long")
        # An event that comes in small parts is searched once.
        self._searched = max(0, len(self._pending) - _LONGEST_END + 1)
        return iter(events)


def _find_end(data: bytearray, start: int) -> int:
    """Return the position after the first empty line, or -1."""
    ends = [
        at + len(terminator)
        for terminator in _ENDS
        if (at := data.find(terminator, start)) >= 0
    ]
    return min(ends, default=-1)


def _make_event(data: bytes) -> StreamEvent:
    event_id = ""
    for line in data.splitlines():
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("latin-1")
    return StreamEvent(data, event_id)
