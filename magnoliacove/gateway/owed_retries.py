"""Retries that a stream spends only when it has a path.

A begun answer can only be cut off, not refused, so it waits until the budget
allows another run.  It does not wait in the queue of capacity: while no retry
is left it could use no path, and the requests behind it would wait for
nothing.
"""

from collections.abc import Callable

import trio

from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.state import GatewayState
from magnoliacove.routing.paths import Path

__all__ = ["OwedRetry"]

# Seconds between two looks at the budget.  It grows as requests arrive and as
# retries leave its window, and no event tells of the latter.
_CHECK_INTERVAL = 0.05


class OwedRetry:
    """Whether the next path of one stream costs a retry, and its payment.

    :param note_withheld: called when no retry is left.
    """

    def __init__(
        self,
        state: GatewayState,
        service: str,
        path_reservation: PathReservation,
        note_withheld: Callable[[], None],
    ) -> None:
        self._state = state
        self._service = service
        self._path_reservation = path_reservation
        self._note_withheld = note_withheld
        self._owed = False

    def owe(self) -> None:
        """Let the next path cost a retry that is not spent yet."""
        self._owed = True

    async def wait_payable(self) -> None:
        """Return once the budget has a retry left, if one is owed."""
        while self._owed and self._is_spent():
            self._note_withheld()
            await trio.sleep(_CHECK_INTERVAL)

    def reserve_path(self, *, begun: bool) -> Path | None:
        """Reserve a path, and spend the retry that it may cost.

        :param begun: whether the answer has begun.
        :returns: None when there is no path, or no retry for it.
        """
        if self._owed and self._is_spent():
            self._note_withheld()
            return None
        path = self._path_reservation.reserve(begun=begun)
        if path is None or not self._owed:
            return path
        if not self._state.retry_budget.try_spend(self._service):
            # The budget shrinks as requests leave its window.
            self._path_reservation.release_path()
            return None
        self._owed = False
        return path

    def _is_spent(self) -> bool:
        return self._state.retry_budget.read_remaining(self._service) <= 0
