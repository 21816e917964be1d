"""Who does the placement duty: the holder of a lease, or a stand-in."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.directory import Lease
from magnoliacove.timeline import Recorder

__all__ = [
    "LEASE",
    "LEASE_SECONDS",
    "STORE_OUTAGE_SECONDS",
    "Leadership",
    "LeadershipInputs",
]

LEASE = "placement"
# A lease that is not renewed for LEASE_SECONDS may be taken.  Three renewals
# fit in, so one lost answer of the store costs nothing, and a holder that
# died is followed before its engines' requests have all been given up.
LEASE_SECONDS = 2.5
_RENEW_EVERY = 0.8
# A try to renew or take it that takes longer counts as failed, seconds.  A
# slow store takes half of this for the two calls of a try.
_RENEW_TIMEOUT = 0.6
# How often a lease is looked at whose holder's heartbeats are heard, seconds.
# When they stop it is looked at at once.
_LOOK_EVERY = 30.0
# The store is taken for away so long after the first call that failed,
# seconds.  A holder learns of an outage from its next renewal, 1.4 s after
# the last one at the latest, and goes on if the store counts as away before
# it stops trusting its lease, 2 s after that; else nobody places layers until
# another has found out.
STORE_OUTAGE_SECONDS = 0.5


@dataclass(frozen=True)
class LeadershipInputs:
    """What decides who does the duty, beside the lease.

    :param read_store_silence: seconds since the store was lost, else 0.
    :param note_answered: called when the store answered.
    :param note_lost: called with the reason when it did not.
    :param is_first_peer: whether no live gateway goes before this one.
    :param is_done_elsewhere: whether a live peer says that it does it.
    :param is_replaced: whether a live peer does it that reaches the store.
    """

    read_store_silence: Callable[[], float]
    is_first_peer: Callable[[], bool]
    is_done_elsewhere: Callable[[], bool]
    is_replaced: Callable[[], bool]
    note_answered: Callable[[], None]
    note_lost: Callable[[str], None]


class Leadership:
    """One gateway's part in who does the duty.

    :param acting: whether this gateway does it now.
    :param since: by trio's clock, when that changed last.
    """

    def __init__(
        self, sources: LeadershipInputs, lease: Lease, recorder: Recorder
    ) -> None:
        self.acting = False
        self.since = 0.0
        self._sources = sources
        self._lease = lease
        self._recorder = recorder
        self._leaving = False

    @property
    def fence(self) -> int:
        """The fencing number of the lease while it is held, else 0."""
        return self._lease.fence

    async def run(self) -> None:
        """Take or renew the lease until this process leaves."""
        while not self._leaving:
            await self._try_take()
            await self._pause()
        await trio.sleep_forever()

    async def _try_take(self) -> None:
        sources = self._sources
        try:
            with trio.move_on_after(_RENEW_TIMEOUT) as scope:
                await self._lease.try_take()
        except errors.PlatformError as why:
            sources.note_lost(str(why))
            return
        if scope.cancelled_caught:
            sources.note_lost(f"no answer on the lease in {_RENEW_TIMEOUT} s")
            return
        sources.note_answered()

    async def release(self) -> None:
        """Give the duty up for good, so that another takes it at once."""
        self._leaving = True
        self.acting = False
        with trio.move_on_after(defaults.STORE_TIMEOUT):
            await self._lease.release()

    def decide(self) -> bool:
        """Find out whether to act; return whether that has changed."""
        sources = self._sources
        away = sources.read_store_silence() > STORE_OUTAGE_SECONDS
        acting = not self._leaving and (
            self._lease.held
            or (away and (self._goes_on() or sources.is_first_peer()))
        )
        if acting == self.acting:
            return False
        self.acting = acting
        self.since = trio.current_time()
        why = "the lease is not held"
        if acting:
            why = "the store is away"
        if self._lease.held:
            why = "the lease is held"
        self._recorder.record(
            "placement-taken" if acting else "placement-left",
            why=why,
            fence=self.fence,
        )
        return True

    def _goes_on(self) -> bool:
        """Return whether the holder acts on while the store is away.

        The store may turn only some instances away.  Another then takes the
        lapsed lease, and both would plan from different reports and move
        the same engines to and fro.  The one that reaches the store stays.
        """
        return self.acting and not self._sources.is_replaced()

    async def _pause(self) -> None:
        """Wait until the lease is to be looked at, or renewed, again.

        While a peer says that it does the duty there is little to see;
        looks of all others were half of all calls to the store.
        """
        if self._lease.held:
            await trio.sleep(_RENEW_EVERY)
            return
        until = trio.current_time() + _LOOK_EVERY
        await trio.sleep(_RENEW_EVERY / 2)
        while trio.current_time() < until and not self._leaving:
            if not self._sources.is_done_elsewhere():
                return
            await trio.sleep(_RENEW_EVERY / 2)
