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
from magnoliacove.directory.backoff import Backoff
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.state import GatewayState
from magnoliacove.platform.routes import CONFIGURATION
from magnoliacove.platform.routes import read_routes
from magnoliacove.platform.servers import SERVERS
from magnoliacove.platform.servers import read_server

__all__ = ["StoreFollower"]

# Seconds for which one call of a watch waits.  An unresponsive connection is
# detected after this time plus the timeout of a call, and each call has a
# cost.  The placement leader waits for the short time and reports how new its
# list is, so the other gateways may wait longer.
WATCH_SECONDS = 2.5
FOLLOWER_WATCH_SECONDS = 25.0
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
# Seconds for which the list must be behind the placement leader's before it is
# read again.  The watch mostly answers first.
_MAX_LIST_LAG = 0.5
# Seconds after an outage in which a removed entry may be one that expired
# during the outage and will be written again.
_EXPIRY_WINDOW = 2.5
# Maximum number of unreadable entries whose error is remembered, so that each
# is logged once.
_MAX_REMEMBERED_ERRORS = 256
# Seconds between attempts to reach the store.
_INITIAL_RETRY_DELAY = 0.1
_MAX_RETRY_DELAY = 0.8
_SOURCE = "the platform's store"
_CONFIGURATION_NAME = "/".join(CONFIGURATION)


class _Watch:
    """A watch on one kind of objects that can be ended from outside."""

    def __init__(self, api: platform.ObjectApi, kind: str) -> None:
        self.kind = f"{kind}/"
        self._api = api
        self._scope = trio.CancelScope()

    async def wait(
        self, after: int, seconds: float
    ) -> tuple[tuple[platform.WatchEvent, ...], int] | None:
        """Return changes and the revision to continue from.

        :returns: None when the watch was ended and everything must be read
            again.
        """
        with trio.CancelScope() as self._scope:
            return await self._api.watch(self.kind, after, seconds)
        return None

    def end(self) -> None:
        """Stop waiting."""
        self._scope.cancel()


class StoreFollower:
    """Keeps the state of a gateway up to date with the store.

    :param is_following: whether a live peer that reaches the store is the
        placement leader, and so reports when this gateway's list is behind.
    :param drain: seconds within which a leaving target must be known to leave.
    :param reachable: whether the last call was answered.
    :param unreachable_since: time by trio's clock at which the first call
        since the last answer failed.
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
        self.reachable = False
        # Far in the past: the store was never reached, and no outage is known.
        self.unreachable_since = -1e9
        self._outage_at = -1e9
        self.configuration = b""
        self._state = state
        self._api = api
        self._is_following = is_following
        self._follower_batch_delay = max(
            _BATCH_DELAY, drain * _FOLLOWER_BATCH_FRACTION
        )
        self._list_watch = _Watch(api, SERVERS)
        self._configuration_watch = _Watch(api, CONFIGURATION[0])
        self._behind_since: float | None = None
        # Whether the list may lack live targets, because the store was
        # unavailable since the list was last read.  The two watches fail and
        # recover independently, so the success of the other watch does not
        # reset this.
        self._may_lack_targets = True
        self._unreadable = ""
        # The last logged error of each unreadable entry, by name.
        self._reported_errors: dict[str, str] = {}
        api.era.listen(self._handle_restore)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, self._follow_configuration)
            nursery.start_soon(self._repeat, self._follow_targets)

    def record_answer(self) -> None:
        """Record that the store answers."""
        if not self.reachable:
            self.record_outage()
            self._state.recorder.record("store-regained")
        self.reachable = True

    def record_failure(self, why: str) -> None:
        """Record that the store does not answer.

        Watches wait for seconds and may continue while the store refuses all
        new calls, so each caller of the store reports the outcome.
        """
        if self.reachable:
            self.unreachable_since = trio.current_time()
            self._state.recorder.record("store-lost", why=why)
        self.reachable = False

    def record_outage(self) -> None:
        """Record an outage of the store, for this process or a peer.

        A watch may wait through a whole outage and then return the removal
        of entries that expired during it.
        """
        self._outage_at = trio.current_time()

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
        self._may_lack_targets = True
        self.record_outage()
        self._list_watch.end()
        self._configuration_watch.end()

    def compare_list(self, newest_change: int) -> None:
        """Read the list of targets again if it stays behind a peer's.

        :param newest_change: the newest change in the peer's list.
        """
        if newest_change <= self._state.targets.newest_change:
            self._behind_since = None
            return
        now = trio.current_time()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= _MAX_LIST_LAG:
            self._behind_since = None
            self._state.recorder.record(
                "watch-stuck", why="the placement leader has a newer list"
            )
            self._list_watch.end()

    def apply_configuration(self, value: bytes, source: str) -> None:
        """Put a configuration in force, unless it cannot be read."""
        try:
            table = read_routes(orjson.loads(value))
        except (errors.ProtocolError, ValueError) as error:
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
            except errors.PlatformError as error:
                self._may_lack_targets = True
                self.record_failure(str(error))
                await backoff.pause()

    async def _follow_configuration(self, backoff: Backoff) -> None:
        watch = self._configuration_watch
        listing = await self._api.list_records(watch.kind)
        self.record_answer()
        self._take_records(listing.records)
        backoff.reset()
        revision, changed_at = listing.revision, -math.inf
        while True:
            changes = await watch.wait(revision, self._choose_wait())
            if changes is None:
                return
            events, revision = changes
            self.record_answer()
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
        self.record_answer()
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
        self.record_answer()
        self._state.targets.replace(
            self._read_targets(listing.records),
            listing.revision,
            after_outage=self._may_lack_targets,
        )
        self._may_lack_targets = False
        backoff.reset()
        revision = listing.revision
        while True:
            changes = await watch.wait(revision, self._choose_wait())
            if changes is None:
                return
            events, revision = changes
            self.record_answer()
            for event in events:
                self._take_event(event)
            self._state.targets.expire()
            if events:
                await trio.sleep(self._choose_batch_delay())

    def _choose_batch_delay(self) -> float:
        if self._is_following() or not self._state.seen_traffic:
            return self._follower_batch_delay
        return _BATCH_DELAY

    def _choose_wait(self) -> float:
        return (
            FOLLOWER_WATCH_SECONDS if self._is_following() else WATCH_SECONDS
        )

    def _take_event(self, event: platform.WatchEvent) -> None:
        if not event.record.version:
            name = event.record.name.partition("/")[2]
            since = trio.current_time() - self._outage_at
            self._state.targets.remove(
                name,
                event.revision,
                may_return=not self.reachable or since < _EXPIRY_WINDOW,
            )
            return
        target = self._read_target(event.record)
        if target is not None:
            self._state.targets.apply(target)
            return
        # Whichever target the entry named before, it names none now.
        name = event.record.name.partition("/")[2]
        self._state.targets.remove(name, event.revision)

    def _read_targets(
        self, records: tuple[platform.Record, ...]
    ) -> list[ListedTarget]:
        results = map(self._read_target, records)
        return [target for target in results if target is not None]

    def _read_target(self, record: platform.Record) -> ListedTarget | None:
        """Return the target that an entry names, None when it names none.

        Other writers may repeatedly write invalid entries among those of the
        engines.  Each error of an entry is logged once.
        """
        try:
            target = read_server(record)
        except errors.ProtocolError as error:
            self._report_unreadable(record.name, str(error))
            return None
        self._reported_errors.pop(record.name, None)
        return target

    def _report_unreadable(self, name: str, why: str) -> None:
        if self._reported_errors.get(name) == why:
            return
        if len(self._reported_errors) >= _MAX_REMEMBERED_ERRORS:
            self._reported_errors.clear()
        self._reported_errors[name] = why
        self._state.recorder.record(
            "target-unreadable", target=name.partition("/")[2], why=why
        )
