"""Logs of our programs: one JSON object a line, on standard error."""

import json
import sys
from typing import Any

import logbook

__all__ = ["JsonHandler", "start_logging"]


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
