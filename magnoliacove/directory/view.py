"""What one process knows: the configuration and the other instances.

Everything in it only moves forward: a document by its version, an entry of
the directory by its rank.  News may come twice, late, from the store or
from any peer, in any order; the result is the same.
"""

from collections.abc import Callable
from collections.abc import Iterable

import trio

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove.directory import instances
from magnoliacove.timeline import Recorder

__all__ = ["View"]


class View:
    """The newest configuration and directory that reached this process."""

    def __init__(self, recorder: Recorder) -> None:
        self.document = configuration.Document()
        self.forked = False
        # The version that the store held when this process first read it;
        # what is newer came into being under this process's eyes.
        self.first_stored: int | None = None
        self.changes_kept: list[configuration.Change] = []
        self._recorder = recorder
        self._entries: dict[tuple[str, str], instances.Entry] = {}
        self._changed = trio.Event()
        self._listeners: list[Callable[[], None]] = []

    # Reading.

    @property
    def version(self) -> int:
        """The version of the configuration in force here."""
        return self.document.version

    def find_instance(self, name: str) -> instances.Instance | None:
        """Return an instance's announcement, or None."""
        found = self._entries.get((instances.Instance.kind, name))
        return found if isinstance(found, instances.Instance) else None

    def list_instances(self, role: str = "") -> list[instances.Instance]:
        """Return the announced instances that are not gone, by name."""
        found = (
            entry
            for _, entry in sorted(self._entries.items())
            if isinstance(entry, instances.Instance)
        )
        return [
            entry
            for entry in found
            if entry.state != "gone" and role in ("", entry.role)
        ]

    def list_entries(self) -> list[instances.Entry]:
        """Return the whole directory."""
        return list(self._entries.values())

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance, or its target, is to get no work.

        The operator's word, the agent's own and the platform's list each
        suffice: they reach us with different delays.
        """
        target = self.document.find(configuration.Target, name)
        if target is not None and target.state == "draining":
            return True
        instance = self.find_instance(name)
        if instance is not None and instance.state != "live":
            return True
        state = self._entries.get((instances.PlatformState.kind, name))
        return (
            isinstance(state, instances.PlatformState)
            and state.state == "leaving"
        )

    def changes_after(self, version: int) -> list[configuration.Change] | None:
        """Return the changes since a version, or None when too many."""
        wanted = [c for c in self.changes_kept if c.version > version]
        if len(wanted) != self.version - version:
            return None
        return wanted

    async def wait_changed(self) -> None:
        """Wait for the next news of any kind."""
        await self._changed.wait()

    async def wait_version(self, version: int, timeout: float) -> bool:
        """Wait until a version is in force here; return whether it is."""
        with trio.move_on_after(timeout):
            while self.version < version:
                await self._changed.wait()
        return self.version >= version

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each news."""
        self._listeners.append(listener)

    # News.

    def adopt_document(
        self, document: configuration.Document, source: str
    ) -> None:
        """Take a document, unless the present one is as new."""
        if document.version <= self.version:
            # A peer or a restarted store that is behind must not undo an
            # accepted change.
            if (
                document.version == self.version
                and document.digest != self.document.digest
            ):
                self._note_fork(source)
            return
        self.changes_kept.clear()
        self._put_in_force(document, source)

    def adopt_change(self, change: configuration.Change, source: str) -> bool:
        """Take a change; return False when changes before it are missing."""
        if change.version <= self.version:
            return True
        if change.version > self.version + 1:
            return False
        try:
            document = self.document.apply(change)
        except errors.ProtocolError:
            self._note_fork(source)
            return True
        self.changes_kept.append(change)
        del self.changes_kept[:-256]
        self._put_in_force(document, source)
        return True

    def adopt_entries(self, entries: Iterable[instances.Entry]) -> bool:
        """Take entries of the directory; return whether any was news."""
        news = False
        for entry in entries:
            key = (entry.kind, entry.name)
            known = self._entries.get(key)
            if known is not None and known.rank >= entry.rank:
                continue
            self._entries[key] = entry
            news = True
            self._recorder.record(
                f"{entry.kind}-{getattr(entry, 'state', '')}",
                target=entry.name,
                rank=entry.rank,
            )
        if news:
            self._tell()
        return news

    def _put_in_force(
        self, document: configuration.Document, source: str
    ) -> None:
        self.document = document
        self._recorder.version = document.version
        author = document.change_ids[-1][0] if document.change_ids else ""
        self._recorder.record(
            "configuration-in-force",
            why=f"from {source}",
            version=document.version,
            digest=document.digest,
            change=author,
        )
        self._tell()

    def _note_fork(self, source: str) -> None:
        if not self.forked:
            self._recorder.record(
                "configuration-forked",
                why=f"{source} has another history of the same version; "
                "the one in force here is kept",
            )
        self.forked = True

    def _tell(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        for listener in self._listeners:
            listener()
