"""Logs of our programs: one JSON object a line.

The gateway writes to standard output, through a bounded buffer that never
blocks: a reader that stops must not stop requests.
"""

from collections import deque
from collections.abc import Callable
import json
import os
import sys
from typing import Any

import logbook
import trio

__all__ = [
    "JsonHandler",
    "LineHandler",
    "LineWriter",
    "start_line_logging",
    "start_logging",
]

# A gateway's share of calm traffic is 10 requests a second with three
# lines each; ten times that is kept before ordinary lines are dropped.
LINES_PER_SECOND = 300
BURST_LINES = 1500
# Lines of a reader that has stopped: 8 MB at 1 KB each.
_MOST_LINES = 8000
_FLUSH_EVERY = 0.2
# Writes of up to so many bytes to a pipe are taken whole or not at all, so
# a line is never torn by what another writer adds in between.
_ATOMIC_WRITE = 4096
# Events that a budget never drops: they say why a request failed, or that
# a belief on which many requests hang has changed.
_ALWAYS_KEPT = frozenset(
    [
        "request-failed",
        "request-fault",
        "connection-failed",
        "task-failed",
        "path-lost",
        "call-failed",
        "target-suspected",
        "target-ended",
        "target-notice",
        "quarantine-begun",
        "quarantine-ended",
        "quarantine-tried",
        "quarantine-not-stored",
        "configuration-in-force",
        "configuration-unreadable",
        "store-lost",
        "store-regained",
        "placement-taken",
        "placement-left",
        "order-given",
        "started",
        "stopping",
        "stopped",
        "reloaded",
    ]
)


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one JSON object.

    A record of an event carries the event's fields, so the time line can
    be put together from collected logs as well.
    """

    def format(self, record: Any) -> str:
        """Return the line for a record."""
        event = record.extra.get("event")
        data = dict(event.__dict__) if event is not None else {}
        data.update(
            time=record.time.isoformat(),
            level=record.level_name,
            message=record.message,
        )
        if record.exc_info:
            data["traceback"] = record.formatted_exception
        return json.dumps(data, default=str)


def start_logging(level: str) -> None:
    """Send this process's log to standard error.

    :param level: the lowest level that is written, for example ``INFO``.
    """
    handler = JsonHandler(sys.stderr, level=level, bubble=False)
    handler.push_application()


class LineWriter:
    """Writes lines to a file descriptor without ever waiting for it.

    :param budget: lines a second; beyond it ordinary lines are dropped
        and counted, those in ``_ALWAYS_KEPT`` are not.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        budget: float = LINES_PER_SECOND,
        burst: float = BURST_LINES,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._budget = budget
        self._burst = burst
        self._read_time = read_time
        self._tokens = burst
        self._filled_at: float | None = None
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._told = 0
        os.set_blocking(descriptor, False)

    def add(self, line: str, *, keep: bool) -> None:
        """Queue a line, unless the budget or the buffer is used up."""
        self._refill()
        full = len(self._lines) >= _MOST_LINES
        if full or (self._tokens < 1 and not keep):
            self.dropped += 1
            return
        self._tokens = max(0.0, self._tokens - 1)
        self._lines.append(line.encode() + b"\n")

    def flush(self) -> None:
        """Write what the reader takes now."""
        if self.dropped > self._told and len(self._lines) < _MOST_LINES:
            missing = {"kind": "log-dropped", "lines": self.dropped}
            self._told = self.dropped
            self._lines.append(json.dumps(missing).encode() + b"\n")
        while self._rest or self._lines:
            self._fill_rest()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]

    def _fill_rest(self) -> None:
        """Take as many whole lines as one write moves."""
        while self._lines:
            size = len(self._rest) + len(self._lines[0])
            if self._rest and size > _ATOMIC_WRITE:
                return
            self._rest += self._lines.popleft()

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            await trio.sleep(_FLUSH_EVERY)
            self.flush()

    def _refill(self) -> None:
        try:
            now = self._read_time()
        except RuntimeError:
            # Before and after the event loop there is no time to tell.
            return
        if self._filled_at is not None:
            fresh = (now - self._filled_at) * self._budget
            self._tokens = min(self._burst, self._tokens + fresh)
        self._filled_at = now


class LineHandler(logbook.Handler):
    """Passes records as JSON lines to a writer."""

    def __init__(self, writer: LineWriter, level: str) -> None:
        super().__init__(level=level, bubble=False)
        self._writer = writer

    def emit(self, record: Any) -> None:
        """Queue the line of a record."""
        event = record.extra.get("event")
        if event is None:
            data = {"kind": "log", "message": record.message}
            self._writer.add(json.dumps(data, default=str), keep=True)
            return
        self._writer.add(event.to_json(), keep=event.kind in _ALWAYS_KEPT)


def start_line_logging(level: str) -> LineWriter:
    """Send this process's log to standard output.

    :param level: the lowest level that is written, for example ``INFO``.
    """
    writer = LineWriter(sys.stdout.fileno())
    LineHandler(writer, level).push_application()
    return writer
