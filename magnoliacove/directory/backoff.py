"""Pauses between tries of a call that failed."""

import random

import trio

from magnoliacove import defaults

__all__ = ["Backoff"]


class Backoff:
    """Pauses that double up to a bound, with full jitter."""

    def __init__(
        self,
        first: float = defaults.INITIAL_STORE_RETRY_DELAY,
        most: float = defaults.MAX_STORE_RETRY_DELAY,
    ) -> None:
        self._first = first
        self._most = most
        self._next = first

    async def pause(self) -> None:
        """Sleep for up to the present pause, and double it."""
        await trio.sleep(random.uniform(self._first / 2, self._next))
        self._next = min(self._next * 2, self._most)

    def reset(self) -> None:
        """Begin again with the first pause."""
        self._next = self._first
