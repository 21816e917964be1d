"""Election of the placement leader: a lease holder or a substitute."""

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
# Seconds without renewal after which another gateway may take the lease.
# Three renewals fit into this time, so one lost answer of the store has no
# effect, and a failed leader is replaced before all requests on its engines
# have been abandoned.
LEASE_SECONDS = 2.5
# Seconds between renewals.
_RENEW_INTERVAL = 0.8
# Seconds after which an attempt to renew or take the lease counts as failed.
# A slow store takes half of this for the two calls of an attempt.
_RENEW_TIMEOUT = 0.6
# Seconds between checks of a lease while heartbeats of its holder arrive.
# When they stop, the lease is checked at once.
_CHECK_INTERVAL = 30.0
# The store counts as unreachable this many seconds after the first failed
# call.  A leader detects an outage with its next renewal, at most 1.4 s
# after the previous one.  It continues if the store counts as unreachable
# before the leader considers its lease expired, 2 s after the previous
# renewal; otherwise no gateway places layers until another one detects the
# outage.
STORE_OUTAGE_SECONDS = 0.5


@dataclass(frozen=True)
class LeadershipInputs:
    """What decides which gateway is the leader, besides the lease.

    :param read_store_silence: returns the seconds since the store became
        unreachable, 0 while it is reachable.
    :param is_first_peer: whether no live gateway has precedence over this one.
    :param has_peer_leader: whether a live peer announces that it leads.
    :param is_superseded: whether a live peer that reaches the store leads.
    :param record_store_answer: called when the store answered.
    :param record_store_failure: called with the reason when the store
        refused a call.
    :param record_store_silence: called with the reason and the start of the
        call when the store did not answer in time; the next attempt uses a
        new connection.
    """

    read_store_silence: Callable[[], float]
    is_first_peer: Callable[[], bool]
    has_peer_leader: Callable[[], bool]
    is_superseded: Callable[[], bool]
    record_store_answer: Callable[[], None]
    record_store_failure: Callable[[str], None]
    record_store_silence: Callable[[str, float], None]


class Leadership:
    """Whether this gateway is the placement leader.

    :param acting: whether this gateway leads now.
    :param since: when `acting` last changed, by trio's clock.
    """

    def __init__(
        self, inputs: LeadershipInputs, lease: Lease, recorder: Recorder
    ) -> None:
        self.acting = False
        self.since = 0.0
        self._inputs = inputs
        self._lease = lease
        self._recorder = recorder
        self._leaving = False

    @property
    def fence(self) -> int:
        """The fencing token of the lease while it is held, else 0."""
        return self._lease.fence

    async def run(self) -> None:
        """Take or renew the lease until :meth:`release` is called."""
        while not self._leaving:
            answered = await self._try_take()
            if not answered and not self._leaving:
                # Perhaps only the connection was silent.  If the renewal
                # waited for its next turn, the lease would expire.
                await self._try_take()
            await self._pause()
        await trio.sleep_forever()

    async def _try_take(self) -> bool:
        """Take or renew the lease; return False if no answer came in time."""
        inputs = self._inputs
        began = trio.current_time()
        try:
            with trio.move_on_after(_RENEW_TIMEOUT) as scope:
                await self._lease.try_acquire()
        except errors.PlatformError as exc:
            inputs.record_store_failure(str(exc))
            return True
        if scope.cancelled_caught:
            inputs.record_store_silence(
                f"no answer on the lease in {_RENEW_TIMEOUT} s", began
            )
            return False
        inputs.record_store_answer()
        return True

    async def release(self) -> None:
        """Release leadership permanently; another gateway takes over."""
        self._leaving = True
        self.acting = False
        with trio.move_on_after(defaults.STORE_TIMEOUT):
            await self._lease.release()

    def decide(self) -> bool:
        """Update :attr:`acting`; return whether it has changed."""
        inputs = self._inputs
        unreachable = inputs.read_store_silence() > STORE_OUTAGE_SECONDS
        acting = not self._leaving and (
            self._lease.held
            or (
                unreachable
                and (self._may_continue() or inputs.is_first_peer())
            )
        )
        if acting == self.acting:
            return False
        self.acting = acting
        self.since = trio.current_time()
        why = "the lease is not held"
        if acting:
            why = "the store is unreachable"
        if self._lease.held:
            why = "the lease is held"
        self._recorder.record(
            "placement-taken" if acting else "placement-left",
            why=why,
            fence=self.fence,
        )
        return True

    def _may_continue(self) -> bool:
        """Return whether the leader continues without reaching the store.

        The store may be unreachable from some instances only.  Another
        gateway then takes the expired lease, and both would plan from
        different reports and move the same engines back and forth.  The
        gateway that reaches the store remains the leader.
        """
        return self.acting and not self._inputs.is_superseded()

    async def _pause(self) -> None:
        """Wait until the next check or renewal of the lease.

        While a peer announces that it leads, the lease is checked rarely:
        frequent checks by all other gateways made up half of all calls to the
        store.
        """
        if self._lease.held:
            await trio.sleep(_RENEW_INTERVAL)
            return
        until = trio.current_time() + _CHECK_INTERVAL
        await trio.sleep(_RENEW_INTERVAL / 2)
        while trio.current_time() < until and not self._leaving:
            if not self._inputs.has_peer_leader():
                return
            await trio.sleep(_RENEW_INTERVAL / 2)
