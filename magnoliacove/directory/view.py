"""One process's view of the configuration and of the other instances.

The view never moves backwards: a newer document has a higher version, a newer
directory entry a higher rank.  Updates may arrive twice, late, from the store
or from any peer, and in any order; the result is the same.
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
    """The latest configuration and directory that reached this process."""

    def __init__(self, recorder: Recorder) -> None:
        self.document = configuration.Document()
        self.forked = False
        # Version of the configuration in the store when this process first
        # read it; newer versions were created while this process was running.
        self.first_stored_version: int | None = None
        self.recent_changes: list[configuration.Change] = []
        self._recorder = recorder
        self._entries: dict[tuple[str, str], instances.Entry] = {}
        self._changed = trio.Event()
        self._listeners: list[Callable[[], None]] = []

    # Reading.

    @property
    def version(self) -> int:
        """The version of the active configuration."""
        return self.document.version

    def find_instance(self, name: str) -> instances.Instance | None:
        """Return an instance's announcement, or None."""
        entry = self._entries.get((instances.Instance.kind, name))
        return entry if isinstance(entry, instances.Instance) else None

    def list_instances(self, role: str = "") -> list[instances.Instance]:
        """Return the announced instances that are not gone, by name.

        :param role: the only role to include, "" for all.
        """
        announced = (
            entry
            for _, entry in sorted(self._entries.items())
            if isinstance(entry, instances.Instance)
        )
        return [
            entry
            for entry in announced
            if entry.state != "gone" and role in ("", entry.role)
        ]

    def list_entries(self) -> list[instances.Entry]:
        """Return all entries of the directory."""
        return list(self._entries.values())

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance, or its target, must not get new work.

        The operator's setting, the agent's announcement or the platform's
        list alone is sufficient, since they arrive with different delays.
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
        """Return the changes since a version, or None if some are missing."""
        wanted = [c for c in self.recent_changes if c.version > version]
        if len(wanted) != self.version - version:
            return None
        return wanted

    async def wait_changed(self) -> None:
        """Wait for the next update of any kind."""
        await self._changed.wait()

    async def wait_version(self, version: int, timeout: float) -> bool:
        """Wait until a version is active; return whether it is.

        :param timeout: seconds to wait at most.
        """
        with trio.move_on_after(timeout):
            while self.version < version:
                await self._changed.wait()
        return self.version >= version

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each update."""
        self._listeners.append(listener)

    # Updates.

    def adopt_document(
        self, document: configuration.Document, source: str
    ) -> None:
        """Adopt a document, unless the active one is at least as new."""
        if document.version <= self.version:
            # A peer or a restarted store with an older version must not undo
            # an accepted change.
            if (
                document.version == self.version
                and document.digest != self.document.digest
            ):
                self._note_fork(source)
            return
        self.recent_changes.clear()
        self._activate(document, source)

    def adopt_change(self, change: configuration.Change, source: str) -> bool:
        """Adopt a change; return False if earlier changes are missing."""
        if change.version <= self.version:
            return True
        if change.version > self.version + 1:
            return False
        try:
            document = self.document.apply(change)
        except errors.ProtocolError:
            self._note_fork(source)
            return True
        self.recent_changes.append(change)
        # A peer that lacks more changes than these gets the whole document.
        del self.recent_changes[:-256]
        self._activate(document, source)
        return True

    def adopt_entries(self, entries: Iterable[instances.Entry]) -> bool:
        """Adopt directory entries; return whether any of them is newer."""
        updated = False
        for entry in entries:
            key = (entry.kind, entry.name)
            present = self._entries.get(key)
            if present is not None and present.rank >= entry.rank:
                continue
            self._entries[key] = entry
            updated = True
            self._recorder.record(
                f"{entry.kind}-{getattr(entry, 'state', '')}",
                target=entry.name,
                rank=entry.rank,
            )
        if updated:
            self._notify()
        return updated

    def _activate(self, document: configuration.Document, source: str) -> None:
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
        self._notify()

    def _note_fork(self, source: str) -> None:
        if not self.forked:
            self._recorder.record(
                "configuration-forked",
                why=f"{source} has a different history of the same version; "
                "the active one is kept",
            )
        self.forked = True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        for listener in self._listeners:
            listener()
