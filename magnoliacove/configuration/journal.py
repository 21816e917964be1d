"""The configuration's journal in the platform's object API.

Each change is an object that is named by its version and created only if it
does not exist: if two operators race for a version, one gets it and the
other receives a conflict.  From time to time a checkpoint with the whole
document is written and old changes are deleted.
"""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.configuration.document import Change
from magnoliacove.configuration.document import Document
from magnoliacove.configuration.document import Put
from magnoliacove.configuration.document import Removal

__all__ = ["PREFIX", "Committed", "Journal"]

PREFIX = "state/configuration/"
_CHECKPOINT = PREFIX + "checkpoint"
_CHANGE = PREFIX + "change/"
_MAX_COMMIT_ATTEMPTS = 6


@dataclass(frozen=True)
class Committed:
    """An accepted change.

    :param version: the version that the change created.
    :param repeated: whether an earlier call had applied it.
    """

    document: Document
    version: int
    repeated: bool


def _change_name(version: int) -> str:
    return f"{_CHANGE}{version:012d}"


class Journal:
    """Reads and extends the configuration's journal."""

    def __init__(self, api: platform.ObjectApi) -> None:
        self._api = api

    async def load(self, known: Document | None = None) -> Document:
        """Return the newest document, reading only what is newer.

        :param known: a document from which to continue, or None to read
            the whole configuration.
        :raises magnoliacove.errors.PlatformError: if the platform does not
            answer.
        """
        if known is None:
            return await self._load_whole()
        document = known
        while True:
            change = await self._read_change(document.version + 1)
            if change is not None:
                document = document.apply(change)
                continue
            checkpoint = await self._read_checkpoint()
            if checkpoint.version <= document.version:
                return document
            # A compaction deleted the changes in between.
            document = checkpoint

    async def _load_whole(self) -> Document:
        """Return the newest document with two calls.

        No change after the checkpoint is missing, because a compaction
        deletes only changes up to the checkpoint that it replaces.
        """
        document = await self._read_checkpoint()
        listing = await self._api.list_records(_CHANGE)
        for record in sorted(listing.records, key=lambda r: r.name):
            if record.name > _change_name(document.version):
                document = document.apply(Change.from_bytes(record.value))
        return document

    async def commit(
        self,
        document: Document,
        change_id: str,
        author: str,
        read_clock: Callable[[], int],
        operations: tuple[Put | Removal, ...],
    ) -> Result[Committed, errors.UserError]:
        """Commit a change as the next version.

        A repeated call with the same change id returns the version of the
        first call and changes nothing.

        :raises magnoliacove.errors.PlatformError: if the platform does not
            answer; the error's outcome states whether the change may be in
            force.
        """
        may_have_run = False
        for attempt in range(_MAX_COMMIT_ATTEMPTS):
            try:
                document = await self.load(document)
                applied = document.find_change(change_id)
                if applied is not None:
                    return Success(Committed(document, applied, True))
                proposed = document.propose(
                    change_id, author, read_clock(), operations
                )
                if isinstance(proposed, Failure):
                    return Failure(proposed.failure())
                change = proposed.unwrap()
                await self._create(change)
                document = document.apply(change)
                return Success(Committed(document, change.version, False))
            except platform.VersionConflictError:
                # Another operator's change has this version.  The next
                # attempt reads it and checks this change on top of it.
                continue
            except errors.PlatformError as exc:
                may_have_run |= exc.outcome is not errors.Outcome.NOT_RUN
                # After a lost answer it is unknown whether the change
                # exists.  The next attempt looks for its id before it
                # writes again.
                if attempt == _MAX_COMMIT_ATTEMPTS - 1:
                    break
                await trio.sleep(
                    defaults.INITIAL_STORE_RETRY_DELAY * 2**attempt
                )
        raise errors.PlatformError(
            "the platform's object API does not answer; repeat the call "
            f"with the same change id {change_id} once it does",
            errors.Outcome.MAY_HAVE_RUN
            if may_have_run
            else errors.Outcome.NOT_RUN,
        )

    async def compact(self, document: Document) -> None:
        """Write a checkpoint and delete the changes up to the former one."""
        record = await self._api.get(_CHECKPOINT)
        version = record.version if record else 0
        former = Document.from_bytes(record.value) if record else Document()
        if document.version <= former.version:
            return
        await self._api.put(_CHECKPOINT, document.to_bytes(), version)
        # Keep the changes after the former checkpoint, so that a process
        # that is slightly behind can still read them.
        listing = await self._api.list_records(_CHANGE)
        for stored in listing.records:
            if stored.name <= _change_name(former.version):
                await self._api.delete(stored.name, stored.version)

    async def _create(self, change: Change) -> None:
        name = _change_name(change.version)
        version = await self._api.put(name, change.to_bytes(), 0)
        checkpoint = await self._read_checkpoint()
        if checkpoint.version < change.version:
            return
        if checkpoint.find_change(change.change_id) == change.version:
            return
        # This process was suspended while others committed many versions,
        # and a compaction deleted the change with this version, so that its
        # name was free again.  No process would ever read this change,
        # because it lies before the checkpoint: delete it.
        await self._api.delete(name, version)
        raise platform.VersionConflictError(
            f"version {change.version} was taken long ago"
        )

    async def _read_change(self, version: int) -> Change | None:
        record = await self._api.get(_change_name(version))
        return Change.from_bytes(record.value) if record else None

    async def _read_checkpoint(self) -> Document:
        record = await self._api.get(_CHECKPOINT)
        return Document.from_bytes(record.value) if record else Document()
