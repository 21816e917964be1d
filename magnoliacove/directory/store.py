"""Reading updates from the platform's object API; announcing this process.

Each failed call is retried after a growing, jittered pause, so that a
thousand processes do not call the platform simultaneously when it has just
recovered.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import json

import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.decoding import DECODE_ERRORS
from magnoliacove.directory import instances
from magnoliacove.directory.backoff import Backoff
from magnoliacove.directory.view import View
from magnoliacove.timeline import Recorder

__all__ = ["StoreReader", "announce"]

STATE_PREFIX = "state/"
PLATFORM_PREFIX = "platform/instances/"
_SOURCE = "the platform's store"


class StoreReader:
    """Updates a view from the store."""

    def __init__(
        self, api: platform.ObjectApi, view: View, recorder: Recorder
    ) -> None:
        self.reachable = True
        self._api = api
        self._view = view
        self._recorder = recorder
        self._journal = configuration.Journal(api)

    async def refresh(self, instances_prefix: str = instances.PREFIX) -> None:
        """Read the configuration and the directory once.

        :param instances_prefix: limits the instances that are read.
        :raises magnoliacove.errors.PlatformError: if the platform does not
            answer.
        """
        present = self._view.document if self._view.version else None
        document = await self._journal.load(present)
        if self._view.first_stored_version is None:
            self._view.first_stored_version = document.version
        self._view.adopt_document(document, _SOURCE)
        listing = await self._api.list_records(instances_prefix)
        self._adopt_records(listing.records)

    async def follow(self) -> None:
        """Read everything, then watch for changes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_state)
            nursery.start_soon(self._follow_platform)

    async def _follow_state(self) -> None:
        await self._repeat(self._watch_state)

    async def _follow_platform(self) -> None:
        await self._repeat(self._watch_platform)

    async def _repeat(
        self, watch: Callable[[Backoff], Awaitable[None]]
    ) -> None:
        backoff = Backoff()
        while True:
            try:
                await watch(backoff)
            except platform.CompactedError:
                # The platform no longer has the changes after our revision.
                # Reading everything again misses none of them.
                await backoff.pause()
            except errors.PlatformError as exc:
                self.note_reachable(False, str(exc))
                await backoff.pause()
            except errors.ProtocolError as exc:
                self._recorder.record("store-unreadable", why=str(exc))
                await backoff.pause()

    async def _watch_state(self, backoff: Backoff) -> None:
        # The revision is read before the objects, so that objects written in
        # between are seen twice rather than never.
        listing = await self._api.list_records(instances.PREFIX)
        revision = listing.revision
        await self.refresh()
        self.note_reachable(True)
        backoff.reset()
        while True:
            events, revision = await self._api.watch(
                STATE_PREFIX, revision, defaults.WATCH_TIMEOUT
            )
            self.note_reachable(True)
            await self._take_events(events)

    async def _take_events(
        self, events: tuple[platform.WatchEvent, ...]
    ) -> None:
        for event in events:
            record = event.record
            if record.version == 0:
                continue
            if record.name.startswith(instances.PREFIX):
                self._adopt_records((record,))
                continue
            if "/change/" not in record.name:
                continue
            change = configuration.Change.from_bytes(record.value)
            if not self._view.adopt_change(change, _SOURCE):
                await self.refresh()

    async def _watch_platform(self, backoff: Backoff) -> None:
        listing = await self._api.list_records(PLATFORM_PREFIX)
        revision = listing.revision
        self._adopt_platform(listing.records)
        backoff.reset()
        while True:
            events, revision = await self._api.watch(
                PLATFORM_PREFIX, revision, defaults.WATCH_TIMEOUT
            )
            self._adopt_platform(tuple(e.record for e in events))

    def _adopt_records(self, records: tuple[platform.Record, ...]) -> None:
        entries = map(self._read_entry, records)
        self._view.adopt_entries([e for e in entries if e is not None])

    def _read_entry(self, record: platform.Record) -> instances.Entry | None:
        """Return an entry, None for one that another writer corrupted."""
        try:
            return instances.read_entry(record.value)
        except errors.ProtocolError as exc:
            self._recorder.record(
                "entry-unreadable", target=record.name, why=str(exc)
            )
            return None

    def _adopt_platform(self, records: tuple[platform.Record, ...]) -> None:
        states = []
        for record in records:
            if not record.version:
                continue
            name = record.name.removeprefix(PLATFORM_PREFIX)
            try:
                state = str(json.loads(record.value).get("state", "live"))
            except DECODE_ERRORS as exc:
                self._recorder.record(
                    "entry-unreadable", target=record.name, why=str(exc)
                )
                continue
            states.append(instances.PlatformState(name, state, record.version))
        self._view.adopt_entries(states)

    def note_reachable(self, reachable: bool, why: str = "") -> None:
        """Record whether the store is reachable; log each change."""
        if reachable != self.reachable:
            kind = "store-back" if reachable else "store-lost"
            self._recorder.record(kind, why=why)
        self.reachable = reachable


async def announce(
    api: platform.ObjectApi, view: View, instance: instances.Instance
) -> None:
    """Write this process's announcement to the view and the store."""
    view.adopt_entries([instance])
    backoff = Backoff()
    while True:
        try:
            await api.put(
                instance.object_name, instances.write_entry(instance)
            )
            return
        except errors.PlatformError:
            await backoff.pause()
