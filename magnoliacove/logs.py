"""Logs of the programs, one JSON object per line.

The gateway writes to standard output through a bounded buffer that never
blocks, so that a reader that stops reading does not stall requests.
"""

from collections import Counter
from collections import deque
from collections.abc import Callable
import json
import os
import sys
from typing import Any

import logbook
import trio

from magnoliacove.timeline import Event

__all__ = [
    "JsonHandler",
    "LineHandler",
    "LineWriter",
    "start_line_logging",
    "start_logging",
]

# Lines per second above which ordinary lines are dropped.  The share of one
# gateway in normal traffic is 10 requests a second with three lines each;
# the budget is ten times that.
LINES_PER_SECOND = 300
# Lines that may exceed the budget after a quiet period.
BURST_LINES = 1500
# Lines, and their bytes, that are queued while the reader does not read.
_MAX_QUEUED_LINES = 8000
_MAX_QUEUED_BYTES = 8 * 1024 * 1024
# Seconds between writes.
_FLUSH_INTERVAL = 0.2
# Seconds that the last write waits for a reader that is behind, within the
# part of the grace time that is reserved for the log.
_LAST_FLUSH_TIMEOUT = 0.25
# Seconds between attempts of the last write.
_LAST_FLUSH_INTERVAL = 0.01
# A write of up to this many bytes to a pipe is atomic, so the output of
# another writer cannot split a line.
_ATOMIC_WRITE = 4096
# Kinds of events that the budget never drops: they give the reason for a
# failed request, or report a change of state that affects many requests.
_UNLIMITED_KINDS = frozenset(
    [
        "request-failed",
        "request-fault",
        "request-abandoned",
        "request-open",
        "answer-cut",
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
        "capacity-short",
        "service-full",
        "service-not-full",
        "retries-used",
        "room-left",
        "room-used-again",
        "started",
        "stopping",
        "stopped",
        "reloaded",
    ]
)


class JsonHandler(logbook.StreamHandler):
    """Formats each record as one JSON object.

    The record of an event includes the event's fields, so that a time line
    can also be built from collected logs.
    """

    def format(self, record: Any) -> str:
        """Return the log line of a record."""
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
    """Write the log of this process to standard error.

    :param level: the lowest level that is written, for example ``INFO``.
    """
    handler = JsonHandler(sys.stderr, level=level, bubble=False)
    handler.push_application()


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    :param budget: lines per second; ordinary lines above it are dropped
        and counted, lines that are added with ``keep`` are not.
    :param burst: lines that may exceed the budget after a quiet period.
    :param read_time: returns the current time in seconds.
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
        self._dropped_kinds: Counter[str] = Counter()
        self._descriptor = descriptor
        self._budget = budget
        self._burst = burst
        self._read_time = read_time
        self._tokens = burst
        self._refilled_at: float | None = None
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._buffer = b""
        self._reported_dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, line: str, *, keep: bool, kind: str = "log") -> None:
        """Queue a line, or drop and count it.

        :param keep: whether the line is queued even above the budget.  A
            full queue drops it nevertheless.
        :param kind: by which dropped lines are counted.
        """
        self._refill()
        data = line.encode() + b"\n"
        full = (
            len(self._lines) >= _MAX_QUEUED_LINES
            or self._queued_bytes + len(data) > _MAX_QUEUED_BYTES
        )
        if full or (self._tokens < 1 and not keep):
            self.dropped += 1
            self._dropped_kinds[kind] += 1
            return
        self._tokens = max(0.0, self._tokens - 1)
        self._queue(data)

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        if (
            self.dropped > self._reported_dropped
            and len(self._lines) < _MAX_QUEUED_LINES
        ):
            self._report_dropped()
        while self._buffer or self._lines:
            self._fill_buffer()
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the descriptor, and there is no other
                # place to report that.
                self._buffer = b""
                self._lines.clear()
                self._queued_bytes = 0
                return
            self._buffer = self._buffer[written:]

    def _report_dropped(self) -> None:
        """Queue a line with the number of dropped lines so far, by kind."""
        self._reported_dropped = self.dropped
        report = {
            "kind": "log-dropped",
            "lines": self.dropped,
            "kinds": dict(self._dropped_kinds.most_common()),
        }
        self._queue(json.dumps(report).encode() + b"\n")

    def _queue(self, data: bytes) -> None:
        self._lines.append(data)
        self._queued_bytes += len(data)

    def _fill_buffer(self) -> None:
        """Move queued lines into the buffer for the next write.

        The buffer takes complete lines up to the size of an atomic write,
        and at least one line.
        """
        while self._lines:
            size = len(self._buffer) + len(self._lines[0])
            if self._buffer and size > _ATOMIC_WRITE:
                return
            line = self._lines.popleft()
            self._queued_bytes -= len(line)
            self._buffer += line

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            await trio.sleep(_FLUSH_INTERVAL)
            self.flush()

    async def finish(self) -> None:
        """Write what is queued, and wait briefly for a reader that is behind.

        The pipe holds 64 KB.  The lines of the requests that end with the
        process are the last ones of the queue, and would be lost first.
        """
        with trio.move_on_after(_LAST_FLUSH_TIMEOUT):
            self.flush()
            while self._buffer or self._lines:
                await trio.sleep(_LAST_FLUSH_INTERVAL)
                self.flush()

    def _refill(self) -> None:
        try:
            now = self._read_time()
        except RuntimeError:
            # The clock is unavailable outside the event loop.
            return
        if self._refilled_at is not None:
            earned = (now - self._refilled_at) * self._budget
            self._tokens = min(self._burst, self._tokens + earned)
        self._refilled_at = now


class LineHandler(logbook.Handler):
    """Sends records as JSON lines to a writer.

    Once the process stops, all lines that name a request are kept: a request
    that is lost then is in no other log.
    """

    def __init__(self, writer: LineWriter, level: str) -> None:
        super().__init__(level=level, bubble=False)
        self._writer = writer
        self._stopping = False

    def emit(self, record: Any) -> None:
        """Queue the line of a record."""
        event = record.extra.get("event")
        if event is None:
            data = {"kind": "log", "message": record.message}
            self._writer.add(json.dumps(data, default=str), keep=True)
            return
        self._stopping = self._stopping or event.kind == "stopping"
        self._writer.add(
            event.to_json(), keep=self._must_keep(event), kind=event.kind
        )

    def _must_keep(self, event: Event) -> bool:
        """Return whether the budget must not drop the line of an event."""
        if event.kind in _UNLIMITED_KINDS:
            return True
        if self._stopping and event.request:
            return True
        # A target's work is lost, and no other line tells why.
        detail = event.detail
        begun = detail.get("started") or detail.get("sent")
        return event.kind == "caller-left" and bool(begun)


def start_line_logging(level: str) -> LineWriter:
    """Write the log of this process to standard output.

    :param level: the lowest level that is written, for example ``INFO``.
    """
    writer = LineWriter(sys.stdout.fileno())
    LineHandler(writer, level).push_application()
    return writer
