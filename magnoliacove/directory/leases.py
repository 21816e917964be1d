"""Leases in the platform's object API, with fencing numbers.

A lease is one object that holds its holder, a fencing number, which grows
each time the lease is taken, and a count of renewals.  No two clocks are
compared: the holder counts from before it asked, an observer from when it
first saw the present version.

The store may come back from an older copy.  What lies there then is a lease
of an earlier time: whoever it names may have lost it since, and whoever held
it may be missing.  So the era of the store is the upper part of a fencing
number: numbers never go back, and a record whose number is of a former era is
known for one from a copy.
"""

from dataclasses import dataclass
import json

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.platform.eras import split_revision
from magnoliacove.timeline import Recorder

__all__ = ["Lease", "read_lease"]

# The holder stops this long before others may take over, so that a timer
# which fires a little late does not make two holders.
_MARGIN = 0.5
# How many times a lease can be taken in one era of the store.
_FENCES = 1 << 32


@dataclass(frozen=True)
class _Observed:
    version: int
    holder: str
    since: float


class Lease:
    """One process's dealings with one lease.

    :param name: the lease, for example ``distributor-gent-a``.
    :param owner: this process's name and incarnation, ``NAME/INCARNATION``.
    """

    def __init__(
        self,
        api: platform.ObjectApi,
        recorder: Recorder,
        name: str,
        owner: str,
        *,
        duration: float = defaults.LEASE_DURATION,
    ) -> None:
        self.name = name
        self.fence = 0
        self._api = api
        self._recorder = recorder
        self._owner = owner
        self._duration = duration
        self._version = 0
        self._renewals = 0
        self._valid_until = 0.0
        self._observed: _Observed | None = None

    @property
    def held(self) -> bool:
        """Whether this process holds the lease now.

        A process that was paused finds the answer False as soon as it
        asks, since the monotonic clock went on without it.
        """
        return self.fence > 0 and trio.current_time() < self._valid_until

    @property
    def holder(self) -> str:
        """The holder as last observed, or ""."""
        return self._observed.holder if self._observed else ""

    async def try_take(self) -> bool:
        """Take or renew the lease if that is possible now.

        :raises magnoliacove.errors.PlatformError: when the platform does
            not answer.
        """
        if self.held and self._version and self._is_current():
            return await self._write(self._version, self.fence)
        if not self.held:
            self._drop("it lapsed")
        record = await self._api.get(f"leases/{self.name}")
        now = trio.current_time()
        version = record.version if record else 0
        holder, fence = read_lease(record)
        # A lease that is missing in two eras is not the same observation.
        seen = version or self._api.era.join(0)
        least = split_revision(seen)[0] * _FENCES
        copied = fence < least
        next_fence = max(fence, least) + 1
        if self.held and copied:
            # The store lost our renewals.  The others wait for a whole lease
            # from when they first see this record, so none of them can hold
            # it before ours lapses.
            return await self._write(version, next_fence)
        if self.fence and (holder, fence) == (self._owner, self.fence):
            # The answer to a renewal was lost although it took effect.
            # Nobody else wrote since, so the lease is still ours.
            return await self._write(version, fence)
        self._drop("another process took it")
        if self._observed is None or self._observed.version != seen:
            self._observed = _Observed(seen, holder, now)
        # Only one process of an instance runs at a time.  A holder that was
        # killed and started again need not wait for its own lease to lapse.
        # A record from a copy says nothing of that: another process may have
        # taken the lease in the time that the store lost, and hold it still.
        own = _instance(holder) == _instance(self._owner)
        free = not copied and (not holder or own)
        if not free and now - self._observed.since < self._duration:
            return False
        return await self._write(version, next_fence)

    async def release(self) -> None:
        """Give the lease up, so that another can take it at once."""
        if not self.held:
            return
        value = _write_lease("", self.fence, 0)
        self.fence = 0
        try:
            await self._api.put(f"leases/{self.name}", value, self._version)
        except (errors.PlatformError, platform.VersionConflictError):
            # It lapses by itself.
            return

    def _is_current(self) -> bool:
        """Return whether the last renewal is of the store's present era."""
        return self._api.era.is_current(self._version)

    async def _write(self, version: int, fence: int) -> bool:
        asked = trio.current_time()
        # The store takes a write that changes nothing for no write at all,
        # so without the count an observer would see no renewal.
        self._renewals += 1
        value = _write_lease(self._owner, fence, self._renewals)
        known, self._version = self._version, 0
        try:
            written = await self._api.put(
                f"leases/{self.name}", value, version
            )
        except platform.VersionConflictError:
            if known and self.held:
                # It may be our own write whose answer was lost; the next
                # try reads the object and tells.
                return True
            self._drop("another process took it")
            return False
        self._version = written
        self._valid_until = asked + self._duration - _MARGIN
        self._observed = _Observed(written, self._owner, asked)
        if self.fence != fence:
            self.fence = fence
            self._recorder.record("lease-taken", target=self.name, fence=fence)
        return True

    def _drop(self, why: str) -> None:
        if self.fence:
            self._recorder.record("lease-lost", target=self.name, why=why)
        self.fence = 0


def _instance(owner: str) -> str:
    """Return the instance's name of an owner, ``NAME/INCARNATION``."""
    return owner.partition("/")[0]


def read_lease(record: platform.Record | None) -> tuple[str, int]:
    """Return the holder and the fencing number of a lease's object."""
    if record is None:
        return "", 0
    values = json.loads(record.value)
    return values["holder"], values["fence"]


def _write_lease(holder: str, fence: int, renewals: int) -> bytes:
    values = {"holder": holder, "fence": fence, "renewals": renewals}
    return json.dumps(values).encode()
