"""Replication of the configuration and the directory between peers.

A subscriber reports its version; it receives what it lacks, then every
update.  Updates flow in both directions, so an agent that starts while the
store is down is still announced through the peer to which it subscribes.
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
    """Return the first message of a subscriber.

    :param own: the name of this process.
    """
    instance = view.find_instance(own)
    own_entries = (instances.write_entry(instance),) if instance else ()
    return messages.Subscribe(view.version, own_entries)


class Feed:
    """Sends updates of this process to subscribers and adopts theirs."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._subscribers: dict[wire.Connection, int] = {}
        self._sent: dict[wire.Connection, dict[tuple[str, str], object]] = {}
        view.listen(self._send_to_all)

    @property
    def subscribers(self) -> int:
        """Number of connections that receive updates."""
        return len(self._subscribers)

    def handle(
        self, connection: wire.Connection, message: messages.Message
    ) -> bool:
        """Handle a message of the feed; return whether it is one."""
        if not isinstance(message, _FEED_MESSAGES):
            return False
        if isinstance(message, messages.Subscribe):
            self._subscribers[connection] = message.configuration_version
            self._sent[connection] = {}
            self._adopt_entries(connection, message.instances)
            self._send_updates(connection)
        elif isinstance(message, messages.Snapshot):
            document = configuration.Document.from_bytes(message.data)
            self._view.adopt_document(document, connection.name)
        elif isinstance(message, messages.Changes):
            self._adopt_changes(connection, message)
        elif isinstance(message, messages.Instances):
            self._adopt_entries(connection, message.items)
        return True

    def attach(self, connection: wire.Connection) -> None:
        """Send updates over a connection that this process opened."""
        remote = connection.remote
        self._subscribers[connection] = (
            remote.configuration_version if remote else 0
        )
        self._sent[connection] = {}
        self._send_updates(connection)

    def drop(self, connection: wire.Connection) -> None:
        """Discard the state of a closed connection."""
        self._subscribers.pop(connection, None)
        self._sent.pop(connection, None)

    def _adopt_changes(
        self, connection: wire.Connection, message: messages.Changes
    ) -> None:
        for data in message.items:
            change = configuration.Change.from_bytes(data)
            if not self._view.adopt_change(change, connection.name):
                # Earlier changes did not arrive.  Subscribing again with our
                # version returns all of them or the whole document.
                connection.post(messages.Subscribe(self._view.version))
                return

    def _adopt_entries(
        self, connection: wire.Connection, items: tuple[bytes, ...]
    ) -> None:
        entries = [instances.read_entry(item) for item in items]
        sent = self._sent.get(connection)
        if sent is not None:
            # Entries that a peer sent are not sent back to it.
            sent.update({(e.kind, e.name): e.rank for e in entries})
        self._view.adopt_entries(entries)

    def _send_to_all(self) -> None:
        for connection in tuple(self._subscribers):
            self._send_updates(connection)

    def _send_updates(self, connection: wire.Connection) -> None:
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
        updates = []
        for entry in self._view.list_entries():
            key = (entry.kind, entry.name)
            if sent.get(key) != entry.rank:
                sent[key] = entry.rank
                updates.append(instances.write_entry(entry))
        if updates:
            connection.post(messages.Instances(tuple(updates)))
