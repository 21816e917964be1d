"""Whether a gateway reaches the store, and which outages entries expire in."""

from collections.abc import Callable

import trio

from magnoliacove.timeline import Recorder

__all__ = ["StoreContact"]

# Seconds after the first unanswered call within which the next is answered if
# only a connection was silent.  Entries expire in longer outages only: targets
# write theirs each 1.2 s, and an entry expires without three writes.
_SHORTEST_OUTAGE = 0.8
# Seconds for which the placement leader must report that it does not reach the
# store, for the same reason: it notices within 1.4 s.
_SHORTEST_LEADER_OUTAGE = 0.5
# Seconds after an outage in which a removed entry may be one that expired
# during the outage and will be written again.
_EXPIRY_WINDOW = 2.5
# Seconds in the log since the store was last reached if it never was.
_NEVER_REACHED = 1e6


class StoreContact:
    """Whether the store answers, as all callers of it report.

    :param renew_channels: makes later calls use new connections, given the
        start of the call that was not answered.
    :ivar reachable: whether the last call was answered.
    :ivar unreachable_since: time by trio's clock at which the first call
        since the last answer failed.
    :ivar outage_at: time by trio's clock at which the last outage ended, as
        far as this process or the placement leader knows.
    """

    def __init__(
        self, recorder: Recorder, renew_channels: Callable[[float], None]
    ) -> None:
        self.reachable = False
        # Far in the past: the store was never reached, and no outage is known.
        self.unreachable_since = -1e9
        self.outage_at = -1e9
        # Whether the store refused a call since its last answer.  A connection
        # that goes silent refuses none.
        self._refused = False
        self._leader_lost_at: float | None = None
        self._recorder = recorder
        self._renew_channels = renew_channels

    @property
    def follows_outage(self) -> bool:
        """Whether an entry may be missing that expired in an outage."""
        return trio.current_time() - self.outage_at < _EXPIRY_WINDOW

    def record_answer(self) -> None:
        """Record that the store answers."""
        now = trio.current_time()
        if not self.reachable:
            silence = now - self.unreachable_since
            outage = self._refused or silence >= _SHORTEST_OUTAGE
            if outage:
                self.record_outage()
            self._recorder.record(
                "store-regained",
                seconds=min(_NEVER_REACHED, round(silence, 2)),
                outage=outage,
            )
        self.reachable = True
        self._refused = False

    def record_failure(self, why: str) -> None:
        """Record that the store refuses calls or connections.

        Watches wait for seconds and may continue while the store refuses all
        new calls, so each caller of the store reports the outcome.
        """
        self._refused = True
        self.record_loss(why)

    def record_silence(self, why: str, began: float) -> None:
        """Record that a call was not answered in time.

        The store may be away, or the connection silent and with it all others
        that were open.  Calls on new connections show which.

        :param began: when the call began, by trio's clock.
        """
        self.record_loss(why)
        self._renew_channels(began)

    def record_loss(self, why: str) -> None:
        """Record that the store does not answer, for whatever reason."""
        if self.reachable:
            self.unreachable_since = trio.current_time()
            self._recorder.record("store-lost", why=why)
        self.reachable = False

    def record_outage(self) -> None:
        """Record an outage of the store, for this process or a peer.

        A watch may wait through a whole outage and then return the removal
        of entries that expired during it.
        """
        self.outage_at = trio.current_time()

    def record_leader_contact(self, reachable: bool) -> None:
        """Record whether the placement leader reaches the store.

        An outage that is too short for an entry to expire does not count.
        """
        now = trio.current_time()
        if reachable:
            self._leader_lost_at = None
            return
        if self._leader_lost_at is None:
            self._leader_lost_at = now
        if now - self._leader_lost_at >= _SHORTEST_LEADER_OUTAGE:
            self.record_outage()
