"""The configuration's journal in the platform's object API.

Each change is one object whose name is its version, created only if it
does not exist: of two operators who race for a version one gets it and
the other is told.  Now and then a checkpoint holds the whole document and
old changes are deleted.
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
_COMMIT_TRIES = 6


@dataclass(frozen=True)
class Committed:
    """An accepted change.

    :param version: the version that the change led to.
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
        """Return the newest document, reading as little as possible.

        :raises magnoliacove.errors.PlatformError: when the platform does
            not answer.
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
            # The changes in between were compacted away.
            document = checkpoint

    async def _load_whole(self) -> Document:
        """Return the newest document with two calls.

        Of the changes after the checkpoint none is missing: a compaction
        deletes only those before the checkpoint that it replaces.
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
        """Make a change the next version.

        A repeated call with the same change id finds the first one's
        version instead of changing anything again.

        :raises magnoliacove.errors.PlatformError: when the platform does
            not answer; its outcome tells whether the change may be in
            force.
        """
        may_have_run = False
        for attempt in range(_COMMIT_TRIES):
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
                # Another operator's change took this version.  It is read
                # and this one is checked again on top of it.
                continue
            except errors.PlatformError as why:
                may_have_run |= why.outcome is not errors.Outcome.NOT_RUN
                # A lost answer leaves it open whether the change exists.
                # The next turn looks for its id before it writes again.
                if attempt == _COMMIT_TRIES - 1:
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
        """Write a checkpoint and delete the changes well before it."""
        record = await self._api.get(_CHECKPOINT)
        version = record.version if record else 0
        old = Document.from_bytes(record.value) if record else Document()
        if document.version <= old.version:
            return
        await self._api.put(_CHECKPOINT, document.to_bytes(), version)
        # Changes after the former checkpoint stay: a process that is a
        # little behind still finds them.
        listing = await self._api.list_records(_CHANGE)
        for found in listing.records:
            if found.name <= _change_name(old.version):
                await self._api.delete(found.name, found.version)

    async def _create(self, change: Change) -> None:
        name = _change_name(change.version)
        version = await self._api.put(name, change.to_bytes(), 0)
        checkpoint = await self._read_checkpoint()
        if checkpoint.version < change.version:
            return
        if checkpoint.find_change(change.change_id) == change.version:
            return
        # This process slept while others went far ahead and the change
        # that held this version was compacted away, so its name was free
        # again.  Nobody would ever read this one: it is taken back.
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
