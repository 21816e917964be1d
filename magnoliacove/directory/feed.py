"""Handing the configuration and the directory on from peer to peer.

A subscriber says what it has; it gets what it lacks, then every news as it
comes.  News flows both ways, so an agent that starts while the store is
down still becomes known through the peer it subscribes to.
"""

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove import wire
from magnoliacove.directory import instances
from magnoliacove.directory.view import View
from magnoliacove.wire import messages

__all__ = ["Feed", "make_subscribe"]

_FEED_MESSAGES = (
    messages.Subscribe,
    messages.Snapshot,
    messages.Changes,
    messages.Instances,
)


def make_subscribe(view: View, own: str) -> messages.Subscribe:
    """Return what a subscriber says first."""
    instance = view.find_instance(own)
    known = (instances.write_entry(instance),) if instance else ()
    return messages.Subscribe(view.version, known)


class Feed:
    """Sends a process's news to its subscribers and takes theirs."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._subscribers: dict[wire.Connection, int] = {}
        self._sent: dict[wire.Connection, dict[tuple[str, str], object]] = {}
        view.listen(self._push)

    @property
    def subscribers(self) -> int:
        """How many connections receive news."""
        return len(self._subscribers)

    def handle(
        self, connection: wire.Connection, message: messages.Message
    ) -> bool:
        """Take a message of the feed; return whether it was one."""
        if not isinstance(message, _FEED_MESSAGES):
            return False
        if isinstance(message, messages.Subscribe):
            self._subscribers[connection] = message.configuration_version
            self._sent[connection] = {}
            self._take_entries(connection, message.instances)
            self._send_news(connection)
        elif isinstance(message, messages.Snapshot):
            document = configuration.Document.from_bytes(message.data)
            self._view.adopt_document(document, connection.name)
        elif isinstance(message, messages.Changes):
            self._take_changes(connection, message)
        elif isinstance(message, messages.Instances):
            self._take_entries(connection, message.items)
        return True

    def attach(self, connection: wire.Connection) -> None:
        """Send news up a connection that this process dialled."""
        remote = connection.remote
        self._subscribers[connection] = (
            remote.configuration_version if remote else 0
        )
        self._sent[connection] = {}
        self._send_news(connection)

    def drop(self, connection: wire.Connection) -> None:
        """Forget a connection that ended."""
        self._subscribers.pop(connection, None)
        self._sent.pop(connection, None)

    def _take_changes(
        self, connection: wire.Connection, message: messages.Changes
    ) -> None:
        for data in message.items:
            change = configuration.Change.from_bytes(data)
            if not self._view.adopt_change(change, connection.name):
                # Changes before this one never arrived.  Asking anew with
                # our version brings all of them or the whole document.
                connection.post(messages.Subscribe(self._view.version))
                return

    def _take_entries(
        self, connection: wire.Connection, items: tuple[bytes, ...]
    ) -> None:
        entries = [instances.read_entry(item) for item in items]
        sent = self._sent.get(connection)
        if sent is not None:
            # What a peer told us is not told back to it.
            sent.update({(e.kind, e.name): e.rank for e in entries})
        self._view.adopt_entries(entries)

    def _push(self) -> None:
        for connection in tuple(self._subscribers):
            self._send_news(connection)

    def _send_news(self, connection: wire.Connection) -> None:
        try:
            self._send_configuration(connection)
            self._send_entries(connection)
        except errors.PeerError:
            self.drop(connection)

    def _send_configuration(self, connection: wire.Connection) -> None:
        version = self._subscribers[connection]
        if version >= self._view.version:
            return
        changes = self._view.changes_after(version)
        if changes is None:
            data = self._view.document.to_bytes()
            connection.post(messages.Snapshot(data))
        else:
            items = tuple(change.to_bytes() for change in changes)
            connection.post(messages.Changes(items))
        self._subscribers[connection] = self._view.version

    def _send_entries(self, connection: wire.Connection) -> None:
        sent = self._sent[connection]
        news = []
        for entry in self._view.list_entries():
            key = (entry.kind, entry.name)
            if sent.get(key) != entry.rank:
                sent[key] = entry.rank
                news.append(instances.write_entry(entry))
        if news:
            connection.post(messages.Instances(tuple(news)))
