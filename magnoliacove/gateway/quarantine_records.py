"""Quarantines in the platform's store, which outlive all gateways.

Gateways share quarantines in heartbeats, but if all are killed at once, those
that start have none.  Each quarantine is one object.  The store is read at the
start and when a target ended while it ran a request of this gateway.  A
gateway that reaches no peer therefore reads a quarantine after the request
crashed the first target at this gateway.
"""

from collections import OrderedDict
from collections.abc import Iterable
import contextlib
import math
import re
import time

import orjson
import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.decoding import DECODE_ERRORS
from magnoliacove.directory.backoff import Backoff
from magnoliacove.limits.quarantine import MAX_QUARANTINE
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.timeline import Recorder

__all__ = ["QuarantineRecords", "read_record", "write_record"]

KIND = "quarantines"
# Seconds between attempts after a call that the store did not answer.
_INITIAL_RETRY_DELAY = 0.2
_MAX_RETRY_DELAY = 2.0
# Minimum seconds between two reads of the store, since many targets may end
# within one second.
_MIN_READ_INTERVAL = 1.0
# Maximum number of quarantines that wait to be written during an outage of the
# store.
_MAX_PENDING = 64
# Maximum number of obsolete objects that are deleted after one read.
_MAX_DELETIONS = 8
# Milliseconds per second.
_MS = 1000
_FINGERPRINT = re.compile(r"[0-9a-f]{16}")
# Maximum count; counts in heartbeats have 32 bits.
_MAX_COUNT = 2**31


class QuarantineRecords:
    """Writes this gateway's quarantines and reads those of all others.

    :param book: receives the quarantines that are read.
    """

    def __init__(
        self,
        api: platform.ObjectApi,
        book: QuarantineBook,
        recorder: Recorder,
    ) -> None:
        self._api = api
        self._book = book
        self._recorder = recorder
        self._pending: OrderedDict[str, Quarantine] = OrderedDict()
        self._changed = trio.Event()
        self._read_requested = True
        self._read_at = -math.inf
        # Whether the store may have lost quarantines that were written to it.
        self._restored = False
        api.era.listen(self._handle_restore)

    def save(self, quarantine: Quarantine) -> None:
        """Write a quarantine, or its end, as soon as possible."""
        self._pending[quarantine.fingerprint] = quarantine
        if len(self._pending) > _MAX_PENDING:
            self._pending.popitem(last=False)
        self._changed.set()

    def request_read(self) -> None:
        """Request a read of what the other gateways wrote."""
        self._read_requested = True
        self._changed.set()

    def _handle_restore(self, era: int, source: str) -> None:
        """Handle that the store was restored from an older snapshot."""
        self._restored = True
        self.request_read()

    async def run(self) -> None:
        """Write and read until cancelled."""
        backoff = Backoff(_INITIAL_RETRY_DELAY, _MAX_RETRY_DELAY)
        while True:
            try:
                await self._write_pending()
                if self._get_read_delay() <= 0.0:
                    await self._read()
                if self._pending:
                    continue
            except (
                errors.PlatformError,
                platform.VersionConflictError,
            ) as error:
                # The live gateways have the quarantine, and the write is
                # retried.
                self._recorder.record("quarantine-not-stored", why=str(error))
                await backoff.pause()
                continue
            backoff.reset()
            with trio.move_on_after(self._get_read_delay()):
                await self._changed.wait()
            self._changed = trio.Event()

    def _get_read_delay(self) -> float:
        """Return seconds until the next read, infinity if none is due."""
        if not self._read_requested:
            return math.inf
        return self._read_at + _MIN_READ_INTERVAL - trio.current_time()

    async def _write_pending(self) -> None:
        while self._pending:
            fingerprint, quarantine = next(iter(self._pending.items()))
            name = f"{KIND}/{fingerprint}"
            if quarantine.in_force:
                await self._api.put(name, write_record(quarantine))
            else:
                await self._api.delete(name)
            if self._pending.get(fingerprint) is quarantine:
                del self._pending[fingerprint]

    async def _read(self) -> None:
        self._read_requested = False
        self._read_at = trio.current_time()
        try:
            listing = await self._api.list_records(f"{KIND}/")
        except errors.PlatformError:
            self._read_requested = True
            raise
        obsolete = []
        for record in listing.records:
            entry = read_record(record)
            if entry is None or entry.expires_at <= trio.current_time():
                obsolete.append(record)
                continue
            self._book.take(entry, "the platform's store")
        if self._restored:
            self._restored = False
            self._rewrite_missing(listing.records)
        for record in obsolete[:_MAX_DELETIONS]:
            with contextlib.suppress(platform.VersionConflictError):
                # Another gateway deleted it, or wrote a newer one.
                await self._api.delete(record.name, record.version)

    def _rewrite_missing(self, records: Iterable[platform.Record]) -> None:
        """Write the quarantines that the restored store lacks.

        Otherwise gateways that start after all were killed would treat a
        request that crashes targets as a new one.  Only one of the gateways
        that have the quarantine writes it.
        """
        stored = {}
        for record in records:
            entry = read_record(record)
            if entry is not None:
                stored[entry.fingerprint] = entry.round
        for own in self._book.list_own():
            if stored.get(own.fingerprint, 0) < own.round:
                self.save(own)


def write_record(quarantine: Quarantine) -> bytes:
    """Return the stored form of a quarantine.

    The end is stored as wall-clock time, since no other clock outlives the
    process.  A clock that is off by seconds shifts the end by as much.
    """
    remaining = quarantine.until - trio.current_time()
    return orjson.dumps(
        {
            "round": quarantine.round,
            "seconds": quarantine.seconds,
            "crashes": quarantine.crashes,
            "until_ms": int((time.time() + remaining) * _MS),
        }
    )


def read_record(record: platform.Record) -> Quarantine | None:
    """Return the quarantine that an object holds, None when it holds none.

    An invalid object of another writer must not block a request, and a value
    that does not fit into a heartbeat would prevent this gateway from sending
    any.
    """
    fingerprint = record.name.partition("/")[2]
    try:
        values = orjson.loads(record.value)
        number, crashes = int(values["round"]), int(values["crashes"])
        seconds, until = float(values["seconds"]), float(values["until_ms"])
    except DECODE_ERRORS:
        return None
    if not _FINGERPRINT.fullmatch(fingerprint):
        return None
    if not (0.0 < seconds <= MAX_QUARANTINE and 0 < number <= _MAX_COUNT):
        return None
    if not (0 <= crashes <= _MAX_COUNT and math.isfinite(until)):
        return None
    # A clock that jumped must not extend the quarantine.
    age = seconds - min(until / _MS - time.time(), seconds)
    return Quarantine(
        fingerprint, number, trio.current_time() - age, seconds, crashes
    )
