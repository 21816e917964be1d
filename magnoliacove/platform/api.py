"""Interface to the platform's object API."""

from dataclasses import dataclass
from typing import Protocol

from magnoliacove import errors
from magnoliacove.platform.eras import StoreEra

__all__ = [
    "CompactedError",
    "Listing",
    "NoAnswerError",
    "ObjectApi",
    "Record",
    "VersionConflictError",
    "WatchEvent",
]


class VersionConflictError(errors.Error):
    """An object's version differs from the one the write is based on."""


class CompactedError(errors.Error):
    """A watch asks for changes that the platform no longer has.

    The platform has discarded them, or it was restored from a snapshot that
    is older than they are.
    """


class NoAnswerError(errors.PlatformError):
    """An open connection brought no answer in time.

    The platform may be unavailable, or only this connection may have gone
    silent, and others that were opened before with it.
    """


@dataclass(frozen=True)
class Record:
    """One object of the platform.

    :param version: increases with each write of the object, also across a
        restore of the store from an older snapshot; 0 if the object does
        not exist.
    """

    name: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Listing:
    """The objects under a prefix at one revision of the whole store."""

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True)
class WatchEvent:
    """One write; ``record.version`` is 0 if the object was deleted."""

    revision: int
    record: Record


class ObjectApi(Protocol):
    """An object store with versions, conditional writes and watches.

    Versions and revisions include the era of the store, see
    :mod:`magnoliacove.platform.eras`.  A version from an earlier era is
    never valid: a conditional write that uses it raises a conflict, and a
    watch that starts from it is reported as compacted.

    :param era: the newest era that this process has received.

    Each method raises :class:`magnoliacove.errors.PlatformError` if the
    platform does not answer; the error's outcome states whether a write may
    have taken effect.  It raises :class:`NoAnswerError` if a connection is
    open and silent.
    """

    era: StoreEra

    def renew_channels(self, began: float) -> None:
        """Use new connections from now on.

        A connection may go silent permanently while new ones work, and those
        that were opened before it probably did the same.  Watches that wait
        end with :class:`NoAnswerError`; other calls in progress continue.

        :param began: when the call began that was not answered, by trio's
            clock.  Nothing happens if the connections were renewed since.
        """

    async def get(self, name: str) -> Record | None:
        """Return an object, or None if it does not exist."""

    async def list_records(
        self, prefix: str, *, stale: bool = False
    ) -> Listing:
        """Return the objects whose names start with a prefix.

        :param prefix: starts with the kind and a slash.
        :param stale: accept an answer that is some seconds old, which is
            cheaper and does not count against the store's rate limit.
        """

    async def put(
        self, name: str, value: bytes, if_version: int | None = None
    ) -> int:
        """Write an object and return its version.

        :param if_version: the version that the object must have; 0 if it
            must not exist, None to write unconditionally.
        :raises VersionConflictError: if the object has another version.
        """

    async def delete(self, name: str, if_version: int | None = None) -> None:
        """Delete an object if it has the given version.

        :raises VersionConflictError: if the object has another version.
        """

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> tuple[tuple[WatchEvent, ...], int]:
        """Wait for writes under a prefix after a revision.

        :param timeout: seconds to wait for the first write.
        :returns: the writes in order (empty after a timeout) and the
            revision to watch from next.
        :raises CompactedError: if the platform no longer has the changes
            after the revision.
        """
