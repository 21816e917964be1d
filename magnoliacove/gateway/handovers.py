"""Attempts of a begun stream to change to another path.

A reservation on another path is an estimate; only the answer of its first
engine shows that it runs the stream.  So the run on the current path goes on
until then.  If the other engine refuses or fails, or the current run brings
data first, the stream stays where it is.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

import trio

from magnoliacove.gateway.delivery import BrokenRunError
from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.path_reservations import ReservedPath
from magnoliacove.gateway.path_runs import PathRun

__all__ = ["Attempt", "Handover"]

# Seconds between two looks at an attempt that is not answered.  A look takes a
# search of milliseconds once the attempt is late.
_CHECK_INTERVAL = 0.25
# Seconds without an answer after which an attempt is given up if there is yet
# another path: as long as a stream may be silent before it moves.
_MAX_WAIT = 1.4

_WENT_ON = "the path that it was to leave went on"
_KEPT = "the stream's run goes on, or may not be repeated"
_LOST = "an engine of the other path is lost"
_LATE = "the other path brought no answer for too long"


class Attempt:
    """One run that is opened in a task of its own."""

    def __init__(self, run: PathRun) -> None:
        self.run = run
        self.failure: BrokenRunError | None = None
        self.done = trio.Event()
        self.given_up = False
        self.began_at = trio.current_time()
        self._scope = trio.CancelScope()

    async def open(self) -> None:
        """Open the run unless the attempt is given up meanwhile."""
        with self._scope:
            try:
                await self.run.open()
            except BrokenRunError as exc:
                self.failure = exc
        if self.given_up:
            await self.run.close()
        self.done.set()

    async def wait(self) -> None:
        """Return once the run is open.

        :raises BrokenRunError: when its engine has not accepted it.
        """
        try:
            await self.done.wait()
        except trio.Cancelled:
            await self.give_up()
            raise
        if self.failure is not None:
            raise self.failure

    async def give_up(self) -> None:
        """End the run, which is not forwarded."""
        self.cancel()
        await self.run.close()

    def cancel(self) -> None:
        """Let the task that opens the run end it."""
        self.given_up = True
        self._scope.cancel()


class Leaver(Protocol):
    """Decides whether the stream leaves its current path."""

    @property
    def running(self) -> bool:
        """Whether a run goes on along the current path."""

    def leave_for_accepted(self) -> bool:
        """End the current run; return False when the stream stays."""

    def end_attempt(self) -> None:
        """Stay on the current path after an attempt that failed."""


class Handover:
    """The attempt of one stream to change to another path.

    :param leaver: decides whether the stream leaves for an accepted run.
    :param make_run: makes the run of an attempt along a path.
    :param note_failure: called when an attempt has failed and the stream
        stays, with its run and the failure.
    :param read_retries: returns the number of retries that are left.
    """

    def __init__(
        self,
        leaver: Leaver,
        path_reservation: PathReservation,
        make_run: Callable[[ReservedPath], PathRun],
        note_failure: Callable[[PathRun, BrokenRunError], None],
        read_retries: Callable[[], int],
    ) -> None:
        self._leaver = leaver
        self._path_reservation = path_reservation
        self._make_run = make_run
        self._note_failure = note_failure
        self._read_retries = read_retries
        self._nursery: trio.Nursery | None = None
        self._attempt: Attempt | None = None

    @property
    def accepted(self) -> bool:
        """Whether an engine has accepted the run of the attempt."""
        attempt = self._attempt
        return (
            attempt is not None
            and attempt.done.is_set()
            and attempt.failure is None
        )

    async def run_beside(self, answer: Callable[[], Awaitable[None]]) -> None:
        """Answer the request; attempts run beside that and end with it."""
        failure: Exception | None = None
        try:
            async with trio.open_nursery() as self._nursery:
                try:
                    await answer()
                except Exception as exc:
                    # Raised below, as the nursery would wrap it.
                    failure = exc
                self._nursery.cancel_scope.cancel()
        finally:
            self._nursery = None
            if self._attempt is not None:
                await self._attempt.give_up()
        if failure is not None:
            raise failure

    def begin(self) -> None:
        """Begin an attempt on the path that is reserved beforehand."""
        reserved = self._path_reservation.next
        if reserved is None or self._nursery is None:
            return
        self._attempt = Attempt(self._make_run(reserved))
        self._nursery.start_soon(self._open, self._attempt)
        self._nursery.start_soon(self._watch, self._attempt)

    def take(self) -> Attempt | None:
        """Return the attempt, which becomes the stream's run, if any."""
        attempt, self._attempt = self._attempt, None
        return attempt

    def withdraw(self, why: str = _WENT_ON) -> None:
        """Give up the attempt, if any; the stream stays on its path."""
        attempt = self._attempt
        if attempt is None:
            return
        attempt.cancel()
        if attempt.done.is_set() and self._nursery is not None:
            # The task that opened the run has ended, and does not close it.
            self._nursery.start_soon(attempt.run.close)
        withdrawn = BrokenRunError(why, attempt.run.sent, left=True)
        self._fail(attempt, attempt.failure or withdrawn)

    def withdraw_lost(self) -> None:
        """Give up the attempt, if any, as its path cannot be used any more."""
        self.withdraw(_LOST)

    async def _open(self, attempt: Attempt) -> None:
        await attempt.open()
        if attempt is not self._attempt or not self._leaver.running:
            # It was given up, or is the stream's only run by now.
            return
        if attempt.failure is not None:
            self._fail(attempt, attempt.failure)
            return
        if not self._leaver.leave_for_accepted():
            self.withdraw(_KEPT)

    async def _watch(self, attempt: Attempt) -> None:
        """Give up an attempt whose engines are lost or do not answer."""
        while not attempt.done.is_set():
            await trio.sleep(_CHECK_INTERVAL)
            if attempt is not self._attempt or attempt.done.is_set():
                return
            if not self._path_reservation.is_next_usable():
                self.withdraw_lost()
            elif self._is_late(attempt):
                self.withdraw(_LATE)

    def _is_late(self, attempt: Attempt) -> bool:
        """Return whether another path should be tried instead."""
        waited = trio.current_time() - attempt.began_at
        if waited < _MAX_WAIT or self._read_retries() <= 0:
            return False
        self._path_reservation.avoid(attempt.run.first.name)
        return self._path_reservation.has_other_path()

    def _fail(self, attempt: Attempt, failure: BrokenRunError) -> None:
        self._attempt = None
        self._path_reservation.release_next()
        self._leaver.end_attempt()
        self._note_failure(attempt.run, failure)
