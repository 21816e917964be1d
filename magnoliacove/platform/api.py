"""The platform's object API as this project sees it."""

from dataclasses import dataclass
from typing import Protocol

from magnoliacove import errors
from magnoliacove.platform.eras import StoreEra

__all__ = [
    "CompactedError",
    "Listing",
    "ObjectApi",
    "Record",
    "VersionConflictError",
    "WatchEvent",
]


class VersionConflictError(errors.Error):
    """An object's version is not the one that the write was based on."""


class CompactedError(errors.Error):
    """A watch asks for changes that the platform does not hold.

    It dropped them, or it came back from a copy that is older than they are.
    """


@dataclass(frozen=True)
class Record:
    """One object of the platform.

    :param version: grows with each write of the object, also after the
        store came back from a copy; 0 stands for an object that does not
        exist.
    """

    name: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Listing:
    """The objects under a prefix, at one revision of the whole store."""

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True)
class WatchEvent:
    """One write; ``record.version`` is 0 when the object was deleted."""

    revision: int
    record: Record


class ObjectApi(Protocol):
    """Versions, conditional updates and watches.

    Versions and revisions hold the era of the store, see
    :mod:`magnoliacove.platform.eras`.  One of a former era is the version
    of nothing: a write that names it conflicts, a watch finds it compacted.

    :param era: the era that this process has heard of.

    Each method raises :class:`magnoliacove.errors.PlatformError` when the
    platform does not answer; its outcome tells whether a write may have
    taken effect.
    """

    era: StoreEra

    async def get(self, name: str) -> Record | None:
        """Return an object, or None when there is none."""

    async def list_records(
        self, prefix: str, *, stale: bool = False
    ) -> Listing:
        """Return the objects whose names start with a prefix.

        :param prefix: begins with the kind and a slash.
        :param stale: an answer that is some seconds old will do; it is
            cheaper and does not count against the store's rate.
        """

    async def put(
        self, name: str, value: bytes, if_version: int | None = None
    ) -> int:
        """Write an object and return its version.

        :param if_version: the version that the object must have; 0 when
            it must not exist, None to write in any case.
        :raises VersionConflictError: when it has another version.
        """

    async def delete(self, name: str, if_version: int | None = None) -> None:
        """Delete an object, if it has the given version.

        :raises VersionConflictError: when it has another version.
        """

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> tuple[tuple[WatchEvent, ...], int]:
        """Wait for writes under a prefix after a revision.

        :param timeout: seconds to wait for the first write.
        :returns: the writes in order, none at the timeout, and the
            revision to watch from next.
        :raises CompactedError: when the revision is too old.
        """
