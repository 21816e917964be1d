"""Pauses between the attempts of a failed call."""

import random

import trio

from magnoliacove import defaults

__all__ = ["Backoff"]


class Backoff:
    """Random pauses whose upper bound doubles up to a maximum.

    :param initial: upper bound of the first pause, in seconds.
    :param maximum: largest upper bound of a pause, in seconds.
    """

    def __init__(
        self,
        initial: float = defaults.INITIAL_STORE_RETRY_DELAY,
        maximum: float = defaults.MAX_STORE_RETRY_DELAY,
    ) -> None:
        self._initial = initial
        self._maximum = maximum
        self._next = initial

    async def pause(self) -> None:
        """Sleep for a random time up to the current bound; double the bound.

        Each pause takes at least half of the initial bound.
        """
        await trio.sleep(random.uniform(self._initial / 2, self._next))
        self._next = min(self._next * 2, self._maximum)

    def reset(self) -> None:
        """Reset the bound to its initial value."""
        self._next = self._initial
