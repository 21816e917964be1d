"""Following the configuration and the list of targets in the store.

A watch can be dropped, or stop receiving changes, without notice.  So each
call waits only for a short time, and what a watch may have missed is read
again.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import orjson
import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.decoding import DECODE_ERRORS
from magnoliacove.directory.backoff import Backoff
from magnoliacove.gateway.entries import EntryReader
from magnoliacove.gateway.state import GatewayState
from magnoliacove.gateway.store_contact import StoreContact
from magnoliacove.gateway.watches import FOLLOWER_WATCH_SECONDS
from magnoliacove.gateway.watches import WATCH_SECONDS
from magnoliacove.gateway.watches import Watch
from magnoliacove.platform.routes import CONFIGURATION
from magnoliacove.platform.routes import read_routes
from magnoliacove.platform.servers import SERVERS

__all__ = ["StoreFollower"]

# Seconds between checks whether a peer still reports changes, and for which
# none does until long waits end.  A leader that stops is replaced sooner.
_LEADER_CHECK_INTERVAL = 0.25
_LEADER_REPLACEMENT_TIME = 0.75
# Seconds between two calls of the watch on the list after a change, so that
# changes that come together cost one call.  It is a tenth of the shortest time
# within which a leaving target must be known to leave.
_BATCH_DELAY = 0.2
# Fraction of the time within which a leaving target must be known to leave.
# A gateway to which a peer reports how new its list is waits for this fraction
# instead, since a change in the list wakes all gateways.  Requests are routed
# by the engine statuses from the placement leader, which are newer than the
# list.  A gateway without requests waits as long: after a start of the fleet
# the list fills, and each entry of it would wake all.
_FOLLOWER_BATCH_FRACTION = 1 / 6
# After versions of the configuration that come within _QUICK_SUCCESSION
# seconds of each other the watch pauses for _VERSION_BATCH_DELAY seconds and
# only the newest version is read.  Each version is read whole by every
# gateway, over a link that also carries callers' events, and most are replaced
# at once.
_QUICK_SUCCESSION = 1.0
_VERSION_BATCH_DELAY = 0.5
# Seconds for which the list must be behind a peer's before it is read again.
# The watch mostly answers first, or begins only then.
_MAX_LIST_LAG = 0.5
_MIN_SILENCE = 0.3
_LAG_CHECK_INTERVAL = 0.1
# Minimum seconds between two renewals of the connections because a peer has a
# newer configuration.
_MIN_RENEWAL_INTERVAL = 2.0
# Seconds between attempts to reach the store.
_INITIAL_RETRY_DELAY = 0.1
_MAX_RETRY_DELAY = 0.8
_SOURCE = "the platform's store"
_CONFIGURATION_NAME = "/".join(CONFIGURATION)


class StoreFollower:
    """Keeps the state of a gateway up to date with the store.

    :param is_following: whether live peers that reach the store report its
        changes in time, so that this gateway may wait longer for them.
    :param drain: seconds within which a leaving target must be known to leave.
    :param contact: whether the store answers.
    :param configuration: the newest configuration as the store holds it,
        for peers that cannot reach the store.
    """

    def __init__(
        self,
        state: GatewayState,
        api: platform.ObjectApi,
        is_following: Callable[[], bool] = lambda: False,
        drain: float = 0.0,
    ) -> None:
        self.contact = StoreContact(state.recorder, api.renew_channels)
        self.configuration = b""
        self._state = state
        self._api = api
        self._is_following = is_following
        self._follower_batch_delay = max(
            _BATCH_DELAY, drain * _FOLLOWER_BATCH_FRACTION
        )
        self._list_watch = Watch(api, SERVERS, self._report_silence)
        self._configuration_watch = Watch(
            api, CONFIGURATION[0], self._report_silence
        )
        # The revision up to which the list is known here, and the newest one
        # at which a peer's list changed.
        self._list_revision = 0
        self._peers_change = 0
        self._behind = trio.Event()
        # When the list was last read, and the connections were renewed for a
        # peer's configuration; far in the past for never.
        self._listed_at = -1e9
        self._renewed_at = -1e9
        self._unreadable = ""
        self._entries = EntryReader(state.recorder)
        api.era.listen(self._handle_restore)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, self._follow_configuration)
            nursery.start_soon(self._repeat, self._follow_targets)
            nursery.start_soon(self._compare_lists)
            nursery.start_soon(self._check_leader)

    def _report_silence(self, kind: str, why: str) -> None:
        self._state.recorder.record(
            "watch-silent",
            target=kind.rstrip("/"),
            why=why,
            revision=self._list_revision,
        )

    @property
    def era(self) -> platform.StoreEra:
        """The store's era as known to this process."""
        return self._api.era

    def update_era(self, era: int, peer: str) -> None:
        """Update the store's era from a peer, which may reach it sooner.

        :param era: 0 when the peer knows none.
        """
        if era:
            self._api.era.note(era, f"the gateway {peer}")

    def _handle_restore(self, era: int, source: str) -> None:
        """Handle that the store was restored from an older snapshot.

        Both watches would continue from revisions that the store assigns
        again, and return changes of another history, so both are read anew.
        Entries that the snapshot lacks are kept as after any outage, since
        their targets write them again.
        """
        self._state.recorder.record(
            "store-restored",
            era=era,
            why=f"restored from an older snapshot, reported by {source}",
        )
        self._state.targets.note_restored()
        self.contact.record_outage()
        self._list_watch.end()
        self._configuration_watch.end()

    def compare_list(self, newest_change: int) -> None:
        """Read the list of targets again if it stays behind a peer's.

        :param newest_change: the newest change in the peer's list.
        """
        self._peers_change = max(self._peers_change, newest_change)
        if self._is_list_behind():
            self._behind.set()

    def _is_list_behind(self) -> bool:
        known = max(self._list_revision, self._state.targets.newest_change)
        return self._peers_change > known

    async def _compare_lists(self) -> None:
        """Read the list again each time that it stays behind a peer's."""
        while True:
            await self._behind.wait()
            await trio.sleep(_MAX_LIST_LAG)
            while (
                self._is_list_behind()
                and self._list_watch.waited < _MIN_SILENCE
            ):
                await trio.sleep(_LAG_CHECK_INTERVAL)
            self._behind = trio.Event()
            if self._is_list_behind():
                self._state.recorder.record(
                    "watch-stuck",
                    target=SERVERS,
                    why="a peer has a newer list",
                    revision=self._list_revision,
                    peers_revision=self._peers_change,
                )
                self._list_watch.end()
                self._api.renew_channels(trio.current_time())

    def record_newer_configuration(self, peer: str) -> None:
        """Read the configuration from the store, since a peer has a newer."""
        now = trio.current_time()
        if self._configuration_watch.waited < _MIN_SILENCE:
            # It pauses, as versions come in quick succession, and reads the
            # newest one after that.
            return
        if now - self._renewed_at < _MIN_RENEWAL_INTERVAL:
            return
        self._renewed_at = now
        self._state.recorder.record(
            "watch-stuck",
            target=CONFIGURATION[0],
            why=f"{peer} has a newer configuration",
        )
        self._api.renew_channels(now)

    async def _check_leader(self) -> None:
        """End long waits when no peer reports changes any more."""
        lost_at: float | None = None
        while True:
            await trio.sleep(_LEADER_CHECK_INTERVAL)
            now = trio.current_time()
            if self._is_following():
                lost_at = None
                continue
            lost_at = now if lost_at is None else lost_at
            if now - lost_at < _LEADER_REPLACEMENT_TIME:
                continue
            watches = (self._list_watch, self._configuration_watch)
            if any(watch.waits_long for watch in watches):
                self._api.renew_channels(now)

    def apply_configuration(self, value: bytes, source: str) -> None:
        """Put a configuration in force, unless it cannot be read."""
        try:
            table = read_routes(orjson.loads(value))
        except (errors.ProtocolError, *DECODE_ERRORS) as error:
            # The last good configuration stays in force.  The error is logged
            # once and not for each attempt.
            if str(error) != self._unreadable:
                self._unreadable = str(error)
                self._state.recorder.record(
                    "configuration-unreadable", why=str(error), source=source
                )
            return
        if self._state.apply_routes(table, source):
            self.configuration = value

    async def _repeat(
        self, follow: Callable[[Backoff], Awaitable[None]]
    ) -> None:
        backoff = Backoff(_INITIAL_RETRY_DELAY, _MAX_RETRY_DELAY)
        while True:
            try:
                await follow(backoff)
            except platform.CompactedError:
                # The store no longer has the history after our revision.
                # Reading everything again misses nothing.
                self._state.recorder.record("store-compacted")
                await backoff.pause()
            except platform.NoAnswerError as error:
                # The client has renewed the connections.
                self.contact.record_loss(str(error))
                await backoff.pause()
            except errors.PlatformError as error:
                self.contact.record_failure(str(error))
                await backoff.pause()

    async def _follow_configuration(self, backoff: Backoff) -> None:
        watch = self._configuration_watch
        listing = await self._api.list_records(watch.kind)
        self.contact.record_answer()
        self._take_records(listing.records)
        backoff.reset()
        revision, changed_at = listing.revision, -math.inf
        while True:
            changes = await watch.wait(revision, self._choose_wait())
            if changes is None:
                return
            events, revision = changes
            self.contact.record_answer()
            if not events:
                continue
            self._take_records(tuple(event.record for event in events))
            now = trio.current_time()
            is_quick, changed_at = now - changed_at < _QUICK_SUCCESSION, now
            if is_quick:
                await trio.sleep(_VERSION_BATCH_DELAY)
                revision = max(revision, await self._read_newest())

    async def _read_newest(self) -> int:
        """Read the current configuration and return its revision."""
        record = await self._api.get(_CONFIGURATION_NAME)
        self.contact.record_answer()
        if record is None:
            return 0
        self._take_records((record,))
        return record.version

    def _take_records(self, records: tuple[platform.Record, ...]) -> None:
        """Put the newest configuration among objects in force."""
        configurations = [
            record
            for record in records
            if record.name == _CONFIGURATION_NAME and record.version
        ]
        if configurations:
            newest = max(configurations, key=lambda record: record.version)
            self.apply_configuration(newest.value, _SOURCE)

    async def _follow_targets(self, backoff: Backoff) -> None:
        watch = self._list_watch
        listing = await self._api.list_records(watch.kind)
        self.contact.record_answer()
        self._replace_targets(listing)
        backoff.reset()
        revision = listing.revision
        while True:
            changes = await watch.wait(revision, self._choose_wait())
            if changes is None:
                return
            events, revision = changes
            self.contact.record_answer()
            self._note_listed(revision)
            for event in events:
                self._take_event(event, revision)
            self._state.targets.expire()
            if events:
                await trio.sleep(self._choose_batch_delay())

    def _replace_targets(self, listing: platform.Listing) -> None:
        self._state.targets.replace(
            self._entries.read_all(listing.records),
            listing.revision,
            after_outage=self._may_lack_targets(),
            removed_at=self._peers_change if self._is_following() else None,
        )
        self._note_listed(listing.revision)

    def _note_listed(self, revision: int) -> None:
        """Record up to which revision the list is known."""
        self._list_revision = revision
        self._listed_at = trio.current_time()

    def _may_lack_targets(self) -> bool:
        """Return whether the list may lack live targets.

        Their entries may have expired in an outage since the list was last
        read, or in one that ended too recently for them to be back.
        """
        return (
            self.contact.outage_at >= self._listed_at
            or self.contact.follows_outage
        )

    def _choose_batch_delay(self) -> float:
        if self._is_following() or not self._state.seen_traffic:
            return self._follower_batch_delay
        return _BATCH_DELAY

    def _choose_wait(self) -> float:
        return (
            FOLLOWER_WATCH_SECONDS if self._is_following() else WATCH_SECONDS
        )

    def _take_event(self, event: platform.WatchEvent, read_at: int) -> None:
        """Apply a change of the list.

        :param read_at: the store's revision when the change was read.
        """
        if not event.record.version:
            name = event.record.name.partition("/")[2]
            self._state.targets.remove(
                name,
                event.revision,
                read_at=read_at,
                may_return=not self.contact.reachable
                or self.contact.follows_outage,
            )
            return
        target = self._entries.read(event.record)
        if target is not None:
            self._state.targets.apply(target)
            return
        # Whichever target the entry named before, it names none now.
        name = event.record.name.partition("/")[2]
        self._state.targets.remove(name, event.revision)
