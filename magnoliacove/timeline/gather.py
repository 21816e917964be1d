"""Collection of the events of many processes in causal order."""

from collections.abc import Iterable

import trio

from magnoliacove import errors
from magnoliacove import wire
from magnoliacove.timeline.clock import Clock
from magnoliacove.timeline.events import Event
from magnoliacove.wire import messages

__all__ = ["merge_events", "query_events", "read_log"]

# Seconds to wait for all events of a process.
_QUERY_TIMEOUT = 3.0


def merge_events(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Return all events without duplicates, in causal order."""
    unique = {
        (event.process, event.clock): event for part in parts for event in part
    }
    return sorted(unique.values(), key=lambda e: (e.clock, e.process))


def read_log(lines: Iterable[str]) -> list[Event]:
    """Return the events in lines of JSON logs; other lines are skipped.

    A log collector may prefix each line with the time and the host.
    """
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            events.append(Event.from_json(line[start:]))
        except (ValueError, TypeError):
            continue
    return events


async def query_events(
    network: wire.Network,
    address: wire.Address,
    query: messages.EventsQuery,
    send: "trio.MemorySendChannel[Event]",
) -> bool:
    """Send a process's events to a channel; return whether it answered.

    With ``query.follow`` this continues until cancelled or the process ends.
    """
    clock = Clock()
    complete = False

    async def receive(
        connection: wire.Connection, message: messages.Message
    ) -> None:
        nonlocal complete
        if not isinstance(message, messages.Events):
            return
        for line in message.items:
            await send.send(Event.from_json(line))
        if not message.items:
            complete = True
            connection.close()

    def hello() -> messages.Hello:
        return messages.Hello(1, "timeline", 0, "timeline", "", 0, "")

    timeout = float("inf") if query.follow else _QUERY_TIMEOUT
    with trio.move_on_after(timeout):
        try:
            stream = await network.connect(address)
            connection = wire.Connection(stream, clock, hello)
            await connection.run(receive, lambda c: c.post(query))
        except errors.Error:
            return complete
    return complete
