"""Leases in the platform's object API, with fencing tokens.

A lease is one object that contains its holder, a fencing token, which
increases each time the lease is acquired, and a count of renewals.  Clocks of
different processes are never compared: the holder measures from before it
sends its request, an observer from when it first saw the present version.

The store may be restored from an older snapshot.  The lease that it then
contains is outdated: the holder that it names may have lost the lease since,
and the last holder may be missing.  Therefore the era of the store is the
upper part of a fencing token.  Tokens never decrease, and a token of a former
era shows that the record comes from a snapshot.
"""

from collections.abc import Callable
from dataclasses import dataclass
import json

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.decoding import DECODE_ERRORS
from magnoliacove.platform.eras import split_revision
from magnoliacove.timeline import Recorder

__all__ = ["Lease", "Membership", "StoredLease", "read_lease"]

# Seconds before the expiry of the lease at which the holder stops using it, so
# that a timer that fires late does not lead to two holders.
_SAFETY_MARGIN = 0.5
# Maximum number of acquisitions of a lease in one era of the store.
_FENCES_PER_ERA = 1 << 32
# The holder of a lease whose object cannot be read.
_UNKNOWN_HOLDER = "?"


@dataclass(frozen=True)
class Membership:
    """How many processes compete for a lease, which the lease also stores.

    A process that starts learns it from the lease, before it hears from the
    others, and also where it reaches only some of them.

    :param count: returns the number that this process knows, itself included.
    :param expect: called with the number that the lease contains, 0 for none.
    """

    count: Callable[[], int] = lambda: 0
    expect: Callable[[int], None] = lambda _: None


@dataclass(frozen=True)
class StoredLease:
    """What a lease's object contains.

    :param holder: ``NAME/INCARNATION``, or "" for none.
    :param fence: the fencing token.
    :param members: how many processes compete for the lease, 0 if unknown.
    """

    holder: str
    fence: int
    members: int


@dataclass(frozen=True)
class _Observed:
    """The last seen version of a lease, and when it was first seen."""

    version: int
    holder: str
    since: float


class Lease:
    """A lease as one process acquires, renews and releases it.

    :param name: the lease, for example ``distributor-gent-a``.
    :param owner: this process's name and incarnation, ``NAME/INCARNATION``.
    :param duration: seconds after which a lease expires without renewal.
    """

    def __init__(
        self,
        api: platform.ObjectApi,
        recorder: Recorder,
        name: str,
        owner: str,
        *,
        duration: float = defaults.LEASE_DURATION,
        membership: Membership | None = None,
    ) -> None:
        self.name = name
        self.fence = 0
        self._api = api
        self._recorder = recorder
        self._owner = owner
        self._duration = duration
        self._membership = membership or Membership()
        # The highest fencing token that this process has seen, for a lease
        # that another writer made unreadable.
        self._highest_fence = 0
        self._version = 0
        self._renewals = 0
        self._valid_until = 0.0
        self._observed: _Observed | None = None

    @property
    def held(self) -> bool:
        """Whether this process holds the lease now.

        The value is False after a pause of the process that is longer than
        the lease, since the monotonic clock advances during the pause.
        """
        return self.fence > 0 and trio.current_time() < self._valid_until

    @property
    def holder(self) -> str:
        """The holder as last observed, or ""."""
        return self._observed.holder if self._observed else ""

    async def try_acquire(self) -> bool:
        """Acquire or renew the lease if possible; return whether it is held.

        :raises magnoliacove.errors.PlatformError: if the platform does not
            answer.
        """
        if self.held and self._version and self._is_current():
            return await self._write(self._version, self.fence)
        if not self.held:
            self._note_lost("the lease expired")
        record = await self._api.get(f"leases/{self.name}")
        now = trio.current_time()
        version = record.version if record else 0
        stored = read_lease(record)
        holder, fence = stored.holder, stored.fence
        self._membership.expect(stored.members)
        self._highest_fence = max(self._highest_fence, fence)
        # The version of a missing lease includes the era, so that its absence
        # in two eras counts as two observations.
        seen = version or self._api.era.join(0)
        era_minimum = split_revision(seen)[0] * _FENCES_PER_ERA
        from_snapshot = fence < era_minimum
        next_fence = max(self._highest_fence, era_minimum) + 1
        if self.held and from_snapshot:
            # The store lost our renewals.  Other processes wait for a full
            # lease duration after they first see this record, so none of
            # them can acquire the lease before ours expires.
            return await self._write(version, next_fence)
        if self.fence and (holder, fence) == (self._owner, self.fence):
            # The answer to a renewal was lost although it took effect.  No
            # other process has written since, so we still hold the lease.
            return await self._write(version, fence)
        self._note_lost("another process acquired the lease")
        if self._observed is None or self._observed.version != seen:
            self._observed = _Observed(seen, holder, now)
            if holder == _UNKNOWN_HOLDER:
                self._recorder.record(
                    "lease-unreadable",
                    target=self.name,
                    why="another writer changed its object",
                )
        # Only one process of an instance runs at a time, so a holder that was
        # killed and restarted need not wait until its own lease expires.  This
        # does not apply to a record from a snapshot: another process may have
        # acquired the lease after the snapshot and may still hold it.
        own = _instance_name(holder) == _instance_name(self._owner)
        available = not from_snapshot and (not holder or own)
        if not available and now - self._observed.since < self._duration:
            return False
        return await self._write(version, next_fence)

    async def release(self) -> None:
        """Release the lease, so that others can acquire it immediately."""
        if not self.held:
            return
        value = self._write_value("", self.fence, 0)
        self.fence = 0
        try:
            await self._api.put(f"leases/{self.name}", value, self._version)
        except (errors.PlatformError, platform.VersionConflictError):
            # The lease expires without a release.
            return

    def _is_current(self) -> bool:
        """Return whether the last renewal belongs to the current era."""
        return self._api.era.is_current(self._version)

    async def _write(self, version: int, fence: int) -> bool:
        requested_at = trio.current_time()
        # The store ignores a write that changes nothing.  Without the count,
        # observers would see no renewal.
        self._renewals += 1
        value = self._write_value(self._owner, fence, self._renewals)
        previous_version, self._version = self._version, 0
        try:
            written = await self._api.put(
                f"leases/{self.name}", value, version
            )
        except platform.VersionConflictError:
            if previous_version and self.held:
                # The conflict may be with our own write whose answer was
                # lost; the next attempt reads the object to find out.
                return True
            self._note_lost("another process acquired the lease")
            return False
        self._version = written
        self._highest_fence = max(self._highest_fence, fence)
        self._valid_until = requested_at + self._duration - _SAFETY_MARGIN
        self._observed = _Observed(written, self._owner, requested_at)
        if self.fence != fence:
            self.fence = fence
            self._recorder.record("lease-taken", target=self.name, fence=fence)
        return True

    def _write_value(self, holder: str, fence: int, renewals: int) -> bytes:
        values = {
            "holder": holder,
            "fence": fence,
            "renewals": renewals,
            "members": self._membership.count(),
        }
        return json.dumps(values).encode()

    def _note_lost(self, why: str) -> None:
        if self.fence:
            self._recorder.record("lease-lost", target=self.name, why=why)
        self.fence = 0


def _instance_name(owner: str) -> str:
    """Return the instance of an owner, ``NAME/INCARNATION``."""
    return owner.partition("/")[0]


def read_lease(record: platform.Record | None) -> StoredLease:
    """Return what a lease's object contains.

    An object that another writer made unreadable is held by nobody who is
    known.  Like any holder's, it expires without a renewal.
    """
    if record is None:
        return StoredLease("", 0, 0)
    try:
        values = json.loads(record.value)
        return StoredLease(
            str(values["holder"]),
            int(values["fence"]),
            # A lease that an older build wrote contains none.
            int(values.get("members", 0)),
        )
    except DECODE_ERRORS:
        return StoredLease(_UNKNOWN_HOLDER, 0, 0)
