"""Events of one process: a ring buffer, JSON lines and subscribers.

Events are not stored on disk, so an operator can query past events only as
far as the ring buffer reaches.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any

import logbook
import trio

from magnoliacove import defaults
from magnoliacove.timeline.clock import Clock

__all__ = ["Event", "Recorder"]

# Characters of an event's texts at most.  Some are a caller's, as long as the
# limit of a head, and thousands of events are kept and wait to be written.
_MAX_REQUEST = 128
_MAX_TEXT = 1024
_MAX_TRACEBACK = 8192

_log = logbook.Logger("magnoliacove")


@dataclass(frozen=True)
class Event:
    """One action or observation of a process.

    :param clock: a hybrid logical clock reading.
    :param process: the name of the process.
    :param kind: the event kind, for example ``stage-lost``.
    :param request: the request that it concerns, in hexadecimal, or "".
    :param target: the target that it concerns, or "".
    :param version: the configuration version in force at that time.
    :param why: the cause, as text.
    :param detail: further fields by name.
    """

    clock: int
    process: str
    kind: str
    request: str = ""
    target: str = ""
    version: int = 0
    why: str = ""
    detail: dict[str, Any] = field(default_factory=dict)

    @property
    def targets(self) -> tuple[str, ...]:
        """The targets that the event concerns; some kinds list several."""
        return (self.target, *self.detail.get("targets", ()))

    def to_json(self) -> str:
        """Return the event as one JSON object."""
        return json.dumps(self.__dict__, separators=(",", ":"), default=str)

    @classmethod
    def from_json(cls, line: str) -> "Event":
        """Return the event that a line with a JSON object describes.

        :raises ValueError: when the line is not an event.
        """
        data = json.loads(line)
        if not isinstance(data, dict) or "kind" not in data:
            raise ValueError("the line is JSON but not an event")
        values = {k: data[k] for k in cls.__dataclass_fields__ if k in data}
        return cls(**values)


class Recorder:
    """Records the events of one process.

    :param process: the name of the process.
    :param clock: the process's clock.
    :param max_events: the size of the ring buffer, in events.
    """

    def __init__(
        self,
        process: str,
        clock: Clock | None = None,
        *,
        max_events: int = defaults.MAX_RETAINED_EVENTS,
    ) -> None:
        self.process = process
        self.clock = clock or Clock()
        self.version = 0
        self._ring: deque[Event] = deque(maxlen=max_events)
        self._followers: set[trio.MemorySendChannel[Event]] = set()

    def record(
        self,
        kind: str,
        *,
        request: bytes | str = b"",
        target: str = "",
        why: str = "",
        **detail: Any,
    ) -> Event:
        """Record one event and send it to followers and the log."""
        name = request if isinstance(request, str) else request.hex()
        event = Event(
            self.clock.now(),
            self.process,
            kind,
            name[:_MAX_REQUEST],
            target,
            self.version,
            why[:_MAX_TEXT],
            {key: _shorten(key, value) for key, value in detail.items()},
        )
        self._ring.append(event)
        _log.info(kind, extra={"event": event})
        for follower in tuple(self._followers):
            try:
                follower.send_nowait(event)
            except (trio.WouldBlock, trio.BrokenResourceError):
                # A follower that reads too slowly loses events, so that it
                # does not delay the process that it observes.
                continue
        return event

    def list_events(
        self, *, request: str = "", target: str = ""
    ) -> list[Event]:
        """Return the events in the ring buffer that match, oldest first."""
        return [
            event
            for event in self._ring
            if (not request or event.request.startswith(request))
            and (not target or target in event.targets)
        ]

    def follow(self) -> "trio.MemoryReceiveChannel[Event]":
        """Return a channel that receives all later events."""
        send, receive = trio.open_memory_channel[Event](256)
        self._followers.add(send)
        return receive

    def unfollow(self, channel: "trio.MemoryReceiveChannel[Event]") -> None:
        """Stop sending events to a channel that :meth:`follow` returned."""
        channel.close()
        for send in tuple(self._followers):
            if send.statistics().open_receive_channels == 0:
                self._followers.discard(send)
                send.close()


def _shorten(key: str, value: Any) -> Any:
    """Return a detail, of which only texts are shortened."""
    if not isinstance(value, str):
        return value
    return value[: _MAX_TRACEBACK if key == "traceback" else _MAX_TEXT]
