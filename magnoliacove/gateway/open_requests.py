"""The callers' requests in progress, for the log of a process that stops."""

from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from typing import Protocol

import trio

from magnoliacove.gateway.callers import Exchange
from magnoliacove.timeline import Recorder

__all__ = ["Call", "OpenRequest", "OpenRequests", "Progress"]


@dataclass(frozen=True)
class Progress:
    """How far a request has come.

    :param sent: whether a target may have run it.
    :param targets: those that it is running on now, none while it waits.
    """

    sent: bool = False
    targets: tuple[str, ...] = ()


class Call(Protocol):
    """Gets the answer to a request from targets."""

    def read_progress(self) -> Progress:
        """Return how far the request has come."""


class OpenRequest:
    """A request in progress.

    :param call: what gets its answer, None before its route is known.
    """

    def __init__(self, name: str, exchange: Exchange) -> None:
        self.call: Call | None = None
        self._name = name
        self._exchange = exchange

    def read_progress(self) -> Progress:
        """Return how far the request has come."""
        return self.call.read_progress() if self.call else Progress()

    def record(self, recorder: Recorder, why: str) -> None:
        """Record that the request is open, and how far it has come."""
        progress = self.read_progress()
        now = trio.current_time()
        recorder.record(
            "request-open",
            request=self._name,
            why=why,
            started=self._exchange.started,
            sent=progress.sent,
            targets=progress.targets,
            seconds=round(now - self._exchange.request.arrived, 3),
            silent=round(self._exchange.read_silence(), 3),
        )


class OpenRequests:
    """The requests in progress at this gateway."""

    def __init__(self) -> None:
        self._all: set[OpenRequest] = set()

    def __len__(self) -> int:
        return len(self._all)

    @contextlib.contextmanager
    def open(self, name: str, exchange: Exchange) -> Iterator[OpenRequest]:
        """Count a request as open until the end of the block.

        :param name: the request's id.
        """
        opened = OpenRequest(name, exchange)
        self._all.add(opened)
        try:
            yield opened
        finally:
            self._all.discard(opened)

    def record(self, recorder: Recorder, why: str) -> None:
        """Record each open request."""
        for opened in tuple(self._all):
            opened.record(recorder, why)
