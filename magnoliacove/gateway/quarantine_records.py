"""Quarantines in the platform's store, which outlive all gateways.

Gateways tell each other of quarantines, but when all are killed at once those
that start know nothing.  Each quarantine is one object; the store is read at
the start and when a target ended under a request of this gateway's, so one
that hears no peer learns of it with the first target that it costs.
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
from magnoliacove.directory.backoff import Backoff
from magnoliacove.limits.quarantine import MAX_QUARANTINE
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.timeline import Recorder

__all__ = ["QuarantineRecords", "read_record", "write_record"]

KIND = "quarantines"
# Pauses after a call that the store did not answer, in seconds.
_RETRY_FIRST = 0.2
_RETRY_MOST = 2.0
# The store is read again this long after it was read last at the earliest,
# seconds: many targets may end within one.
_READ_AGAIN = 1.0
# Quarantines that wait to be written while the store is away.
_MOST_WAITING = 64
# Objects that are deleted after one reading, since their time is over.
_MOST_DELETED = 8
_MS = 1000
_FINGERPRINT = re.compile(r"[0-9a-f]{16}")
# Heartbeats count with 32 bits.
_MOST_COUNTED = 2**31


class QuarantineRecords:
    """Writes this gateway's quarantines and reads those of all others.

    :param book: what it reads goes there.
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
        self._waiting: OrderedDict[str, Quarantine] = OrderedDict()
        self._changed = trio.Event()
        self._look = True
        self._read_at = -math.inf
        # Whether the store may have lost what this gateway wrote.
        self._restored = False
        api.era.listen(self._note_restored)

    def save(self, quarantine: Quarantine) -> None:
        """Write a quarantine, or that it is over, as soon as possible."""
        self._waiting[quarantine.fingerprint] = quarantine
        if len(self._waiting) > _MOST_WAITING:
            self._waiting.popitem(last=False)
        self._changed.set()

    def look(self) -> None:
        """Read what the others wrote, soon."""
        self._look = True
        self._changed.set()

    def _note_restored(self, era: int, source: str) -> None:
        """Take it that the store came back from a copy."""
        self._restored = True
        self.look()

    async def run(self) -> None:
        """Write and read until cancelled."""
        backoff = Backoff(_RETRY_FIRST, _RETRY_MOST)
        while True:
            try:
                await self._write_waiting()
                if self._read_wait() <= 0.0:
                    await self._read()
                if self._waiting:
                    continue
            except (errors.PlatformError, platform.VersionConflictError) as e:
                # The gateways that live know it; it is tried again.
                self._recorder.record("quarantine-not-stored", why=str(e))
                await backoff.pause()
                continue
            backoff.reset()
            with trio.move_on_after(self._read_wait()):
                await self._changed.wait()
            self._changed = trio.Event()

    def _read_wait(self) -> float:
        """Return seconds until the store is to be read, perhaps infinite."""
        if not self._look:
            return math.inf
        return self._read_at + _READ_AGAIN - trio.current_time()

    async def _write_waiting(self) -> None:
        while self._waiting:
            fingerprint, quarantine = next(iter(self._waiting.items()))
            name = f"{KIND}/{fingerprint}"
            if quarantine.in_force:
                await self._api.put(name, write_record(quarantine))
            else:
                await self._api.delete(name)
            if self._waiting.get(fingerprint) is quarantine:
                del self._waiting[fingerprint]

    async def _read(self) -> None:
        self._look = False
        self._read_at = trio.current_time()
        try:
            listing = await self._api.list_records(f"{KIND}/")
        except errors.PlatformError:
            self._look = True
            raise
        over = []
        for record in listing.records:
            found = read_record(record)
            if found is None or found.expires_at <= trio.current_time():
                over.append(record)
                continue
            self._book.take(found, "the platform's store")
        if self._restored:
            self._restored = False
            self._write_again(listing.records)
        for record in over[:_MOST_DELETED]:
            with contextlib.suppress(platform.VersionConflictError):
                # Another gateway deleted it, or wrote a newer one.
                await self._api.delete(record.name, record.version)

    def _write_again(self, records: Iterable[platform.Record]) -> None:
        """Write the quarantines that a copy of the store lacks.

        Else a request that ended targets would be taken for a new one by the
        gateways that start after all were killed.  Of the gateways that know
        it one writes.
        """
        stored = {}
        for record in records:
            found = read_record(record)
            if found is not None:
                stored[found.fingerprint] = found.round
        for known in self._book.list_own():
            if stored.get(known.fingerprint, 0) < known.round:
                self.save(known)


def write_record(quarantine: Quarantine) -> bytes:
    """Return the object of a quarantine.

    Its end is a time of day, since no other clock outlives the process; a
    clock that is off by seconds moves the end by as much.
    """
    left = quarantine.until - trio.current_time()
    return orjson.dumps(
        {
            "round": quarantine.round,
            "seconds": quarantine.seconds,
            "crashes": quarantine.crashes,
            "until_ms": int((time.time() + left) * _MS),
        }
    )


def read_record(record: platform.Record) -> Quarantine | None:
    """Return the quarantine that an object holds, None when it holds none.

    Another writer's object keeps no request away, and what does not fit into
    a heartbeat would keep this gateway from sending any.
    """
    fingerprint = record.name.partition("/")[2]
    try:
        values = orjson.loads(record.value)
        number, crashes = int(values["round"]), int(values["crashes"])
        seconds, until = float(values["seconds"]), float(values["until_ms"])
    except (ValueError, KeyError, TypeError):
        return None
    if not _FINGERPRINT.fullmatch(fingerprint):
        return None
    if not (0.0 < seconds <= MAX_QUARANTINE and 0 < number <= _MOST_COUNTED):
        return None
    if not (0 <= crashes <= _MOST_COUNTED and math.isfinite(until)):
        return None
    # A clock that jumped must not make it last for longer.
    age = seconds - min(until / _MS - time.time(), seconds)
    return Quarantine(
        fingerprint, number, trio.current_time() - age, seconds, crashes
    )
