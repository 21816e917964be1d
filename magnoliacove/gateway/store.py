"""Following the configuration and the list of targets in the store.

A watch that waits is cut, or falls silent, without notice.  So each waits
only for a short time, and what a watch may have missed is read again.
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

# How long a watch waits, in seconds.  A connection that fell silent is
# found out after this and the timeout of a call, and a call costs.  The
# holder of the placement duty waits shortly and tells the others how new its
# view is, so theirs may wait longer.
WATCH_SECONDS = 2.5
WATCH_SECONDS_FOLLOWING = 25.0
# The list is read on after so long, in seconds, so that changes which come
# together cost one call.  It is a tenth of the shortest time in which a target
# that leaves must be known to leave.
_GATHER = 0.2
# Who is told by a peer how new its list is waits for this part of that time
# instead, since a change in the list wakes all gateways.  Requests go by what
# the duty's holder says of engines, which is younger than the list.  So does
# who has no requests yet: after a start of the fleet the list fills, and each
# entry of it would wake all.
_GATHER_PART = 1 / 6
# Versions of the configuration that follow each other within _QUICKLY, in
# seconds, are read on after _GATHER_VERSIONS, and then the newest only.  Each
# is read whole by every gateway, over a link that carries callers' events
# too, and most are replaced at once.
_QUICKLY = 1.0
_GATHER_VERSIONS = 0.5
# A list that is behind the duty holder's for so long is read again, seconds;
# the watch's own answer mostly comes first.
_BEHIND = 0.5
# So long after an outage, in seconds, a removed entry may be one that lapsed
# meanwhile and comes back.
_LAPSES_TOLD = 2.5
# Unreadable entries that are remembered, so that each is told once.
_MOST_TOLD = 256
_RETRY_FIRST = 0.1
_RETRY_MOST = 0.8
_SOURCE = "the platform's store"
_CONFIGURATION_NAME = "/".join(CONFIGURATION)


class _Watch:
    """The watch on one kind of objects, which others may end."""

    def __init__(self, api: platform.ObjectApi, kind: str) -> None:
        self.kind = f"{kind}/"
        self._api = api
        self._scope = trio.CancelScope()

    async def wait(
        self, after: int, seconds: float
    ) -> tuple[tuple[platform.WatchEvent, ...], int] | None:
        """Return changes and the revision to go on from.

        :returns: None when the watch was ended; all is to be read again.
        """
        with trio.CancelScope() as self._scope:
            return await self._api.watch(self.kind, after, seconds)
        return None

    def end(self) -> None:
        """Wait no longer."""
        self._scope.cancel()


class StoreFollower:
    """Brings the beliefs of a gateway up to date with the store.

    :param is_following: whether a live peer that reaches the store has the
        placement duty, and so tells when a view is behind.
    :param drain: seconds in which a target that leaves must be known to.
    :param reachable: whether the last call was answered.
    :param lost_at: by trio's clock, when the first call failed since the
        last answer.
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
        self.unreachable_since = -1e9
        self._outage_at = -1e9
        self.configuration = b""
        self._state = state
        self._api = api
        self._is_following = is_following
        self._gather = max(_GATHER, drain * _GATHER_PART)
        self._list_watch = _Watch(api, SERVERS)
        self._configuration_watch = _Watch(api, CONFIGURATION[0])
        self._behind_since: float | None = None
        # Whether the list of targets may lack some that live: the store was
        # away since it was read last.  The two watches fail and recover one
        # after the other, so the other one's success says nothing of it.
        self._list_lapsed = True
        self._unreadable = ""
        # What was wrong with each entry of a target, as it was told.
        self._told: dict[str, str] = {}
        api.era.listen(self._note_restored)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, self._follow_configuration)
            nursery.start_soon(self._repeat, self._follow_targets)

    def record_answer(self) -> None:
        """Take it that the store answers."""
        if not self.reachable:
            self.record_outage()
            self._state.recorder.record("store-regained")
        self.reachable = True

    def record_failure(self, why: str) -> None:
        """Take it that the store does not answer.

        Watches wait for seconds and may outlive the store's refusal of all
        new calls, so whoever makes a call tells how it went.
        """
        if self.reachable:
            self.unreachable_since = trio.current_time()
            self._state.recorder.record("store-lost", why=why)
        self.reachable = False

    def record_outage(self) -> None:
        """Take it that the store is away, for this process or a peer.

        A watch may wait through a whole outage and then bring the removal
        of entries that lapsed in it.
        """
        self._outage_at = trio.current_time()

    @property
    def era(self) -> platform.StoreEra:
        """The store's era, as far as this process knows."""
        return self._api.era

    def update_era(self, era: int, peer: str) -> None:
        """Take the store's era from a peer, who may reach it sooner.

        :param era: 0 when it knows none.
        """
        if era:
            self._api.era.note(era, f"the gateway {peer}")

    def _note_restored(self, era: int, source: str) -> None:
        """Take it that the store came back from a copy.

        Both watches would go on from revisions that it gives out again, and
        bring changes of another history; so both are read anew.  Entries that
        the copy lacks are kept as after any outage, since their targets write
        them again.
        """
        self._state.recorder.record(
            "store-restored",
            era=era,
            why=f"it came back from a copy, as {source} says",
        )
        self._state.targets.note_restored()
        self._list_lapsed = True
        self.record_outage()
        self._list_watch.end()
        self._configuration_watch.end()

    def compare_list(self, newest_change: int) -> None:
        """Read the list of targets again if it stays behind a peer's.

        :param newest_change: the newest change that the peer knows.
        """
        if newest_change <= self._state.targets.newest_change:
            self._behind_since = None
            return
        now = trio.current_time()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= _BEHIND:
            self._behind_since = None
            self._state.recorder.record(
                "watch-stuck", why="the duty's holder has a newer list"
            )
            self._list_watch.end()

    def apply_configuration(self, value: bytes, source: str) -> None:
        """Put a configuration in force, unless it cannot be read."""
        try:
            table = read_routes(orjson.loads(value))
        except (errors.ProtocolError, ValueError) as why:
            # The last good configuration stays in force; one line says
            # what to correct, not one for each try.
            if str(why) != self._unreadable:
                self._unreadable = str(why)
                self._state.recorder.record(
                    "configuration-unreadable", why=str(why), source=source
                )
            return
        if self._state.apply_routes(table, source):
            self.configuration = value

    async def _repeat(
        self, follow: Callable[[Backoff], Awaitable[None]]
    ) -> None:
        backoff = Backoff(_RETRY_FIRST, _RETRY_MOST)
        while True:
            try:
                await follow(backoff)
            except platform.CompactedError:
                # The history after our revision is gone; reading
                # everything again misses nothing.
                self._state.recorder.record("store-compacted")
                await backoff.pause()
            except errors.PlatformError as why:
                self._list_lapsed = True
                self.record_failure(str(why))
                await backoff.pause()

    async def _follow_configuration(self, backoff: Backoff) -> None:
        watch = self._configuration_watch
        listing = await self._api.list_records(watch.kind)
        self.record_answer()
        self._take_records(listing.records)
        backoff.reset()
        revision, changed_at = listing.revision, -math.inf
        while True:
            found = await watch.wait(revision, self._choose_wait())
            if found is None:
                return
            events, revision = found
            self.record_answer()
            if not events:
                continue
            self._take_records(tuple(event.record for event in events))
            now = trio.current_time()
            quickly, changed_at = now - changed_at < _QUICKLY, now
            if quickly:
                await trio.sleep(_GATHER_VERSIONS)
                revision = max(revision, await self._read_newest())

    async def _read_newest(self) -> int:
        """Read the configuration as it is now; return its revision."""
        record = await self._api.get(_CONFIGURATION_NAME)
        self.record_answer()
        if record is None:
            return 0
        self._take_records((record,))
        return record.version

    def _take_records(self, records: tuple[platform.Record, ...]) -> None:
        """Put the newest configuration among objects in force."""
        found = [
            record
            for record in records
            if record.name == _CONFIGURATION_NAME and record.version
        ]
        if found:
            newest = max(found, key=lambda record: record.version)
            self.apply_configuration(newest.value, _SOURCE)

    async def _follow_targets(self, backoff: Backoff) -> None:
        watch = self._list_watch
        listing = await self._api.list_records(watch.kind)
        self.record_answer()
        self._state.targets.replace(
            self._read_targets(listing.records),
            listing.revision,
            after_outage=self._list_lapsed,
        )
        self._list_lapsed = False
        backoff.reset()
        revision = listing.revision
        while True:
            found = await watch.wait(revision, self._choose_wait())
            if found is None:
                return
            events, revision = found
            self.record_answer()
            for event in events:
                self._take_event(event)
            self._state.targets.expire()
            if events:
                await trio.sleep(self._choose_gather())

    def _choose_gather(self) -> float:
        if self._is_following() or not self._state.seen_traffic:
            return self._gather
        return _GATHER

    def _choose_wait(self) -> float:
        return (
            WATCH_SECONDS_FOLLOWING if self._is_following() else WATCH_SECONDS
        )

    def _take_event(self, event: platform.WatchEvent) -> None:
        if not event.record.version:
            name = event.record.name.partition("/")[2]
            since = trio.current_time() - self._outage_at
            self._state.targets.remove(
                name,
                event.revision,
                may_return=not self.reachable or since < _LAPSES_TOLD,
            )
            return
        target = self._read_target(event.record)
        if target is not None:
            self._state.targets.apply(target)
            return
        # Whatever the entry named before, it names nothing now.
        name = event.record.name.partition("/")[2]
        self._state.targets.remove(name, event.revision)

    def _read_targets(
        self, records: tuple[platform.Record, ...]
    ) -> list[ListedTarget]:
        found = map(self._read_target, records)
        return [target for target in found if target is not None]

    def _read_target(self, record: platform.Record) -> ListedTarget | None:
        """Return the target that an entry names, None when it names none.

        Others may write among the engines' entries, again and again; each
        entry is told once for each thing that is wrong with it.
        """
        try:
            target = read_server(record)
        except errors.ProtocolError as why:
            self._tell_unreadable(record.name, str(why))
            return None
        self._told.pop(record.name, None)
        return target

    def _tell_unreadable(self, name: str, why: str) -> None:
        if self._told.get(name) == why:
            return
        if len(self._told) >= _MOST_TOLD:
            self._told.clear()
        self._told[name] = why
        self._state.recorder.record(
            "target-unreadable", target=name.partition("/")[2], why=why
        )
