"""Parts common to entry and agent processes.

These are an identity, a clock, a directory view and a listener.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import time

import trio

from magnoliacove import defaults
from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import platform
from magnoliacove import wire
from magnoliacove.timeline import Clock
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages
from magnoliacove.wire.connection import Handler

__all__ = ["Identity", "Process"]

# Events sent in one frame in answer to a query.
_EVENTS_PER_FRAME = 200


@dataclass(frozen=True)
class Identity:
    """Identity and addresses of a process.

    :param listen: the address on which other processes connect.
    :param advertise: the address that other processes dial, if it differs.
    """

    name: str
    role: str
    data_centre: str
    listen: wire.Address
    advertise: wire.Address | None = None


class Process:
    """State and connections of an entry or an agent."""

    def __init__(
        self,
        identity: Identity,
        api: platform.ObjectApi,
        network: wire.Network,
        clock: Clock | None = None,
    ) -> None:
        self.identity = identity
        self.api = api
        self.network = network
        self.recorder = Recorder(identity.name, clock)
        self.view = directory.View(self.recorder)
        self.feed = directory.Feed(self.view)
        self.store = directory.StoreReader(api, self.view, self.recorder)
        self.incarnation = time.time_ns() // 1_000_000
        self.address = identity.advertise or identity.listen
        self.leaving = False
        self._revision = 0
        self._connections: set[wire.Connection] = set()

    def make_hello(self) -> messages.Hello:
        """Return the first message that this process sends on a connection."""
        return messages.Hello(
            defaults.PROTOCOL_VERSION,
            self.identity.name,
            self.incarnation,
            self.identity.role,
            self.identity.data_centre,
            self.view.version,
            str(self.address),
        )

    def describe(self, state: str = "live") -> directory.Instance:
        """Return the next directory record of this process.

        Each call increments the revision.
        """
        self._revision += 1
        return directory.Instance(
            self.identity.name,
            self.identity.role,
            self.incarnation,
            str(self.address),
            self.identity.data_centre,
            self._revision,
            state,
        )

    async def listen(
        self,
        handle: Handler,
        make_pong: Callable[[int], messages.Pong],
        on_disconnect: Callable[[wire.Connection, str], None],
        on_connect: Callable[[wire.Connection], None],
        *,
        task_status: trio.TaskStatus[wire.Address],
    ) -> None:
        """Serve the connections that other processes open.

        :param handle: called with each message that this class does not
            handle.
        :param on_disconnect: called with the reason when a connection ends.
        :param on_connect: called after the handshake of a connection.
        """

        async def handle_message(
            connection: wire.Connection, message: messages.Message
        ) -> None:
            self._connections.add(connection)
            if self.feed.handle(connection, message):
                return
            if isinstance(message, messages.EventsQuery):
                nursery.start_soon(self._send_events, connection, message)
                return
            await handle(connection, message)

        def remove(connection: wire.Connection, reason: str) -> None:
            self._connections.discard(connection)
            self.feed.drop(connection)
            on_disconnect(connection, reason)

        async def serve(stream: trio.abc.Stream) -> None:
            await wire.serve_connection(
                stream,
                self.recorder,
                self.make_hello,
                handle_message,
                make_pong,
                remove,
                on_connect,
            )

        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                self.network.listen, self.identity.listen, serve
            )
            if self.identity.advertise is None:
                # With port 0 the operating system chooses the port.
                self.address = address
            task_status.started(address)

    async def subscribe(
        self,
        address: wire.Address,
        *,
        mutual: bool = False,
        watch: Callable[[wire.Connection], Awaitable[None]] | None = None,
    ) -> bool:
        """Subscribe to a peer until the connection ends.

        :param mutual: whether this process also sends its updates to the
            peer.
        :param watch: runs alongside the connection and may close it.
        :returns: whether the handshake with the peer succeeded.
        """
        connected = False
        connection: wire.Connection | None = None

        async def handle_message(
            source: wire.Connection, message: messages.Message
        ) -> None:
            self.feed.handle(source, message)

        def send_subscribe(opened: wire.Connection) -> None:
            nonlocal connected
            connected = True
            self.recorder.record("feed-open", target=opened.name)
            own = self.identity.name
            opened.post(directory.make_subscribe(self.view, own))
            if mutual:
                self.feed.attach(opened)

        try:
            stream = await self.network.connect(address)
            connection = wire.Connection(
                stream,
                self.recorder.clock,
                self.make_hello,
                get_heartbeat_interval=lambda _: (
                    defaults.FEED_HEARTBEAT_INTERVAL
                ),
            )
            async with trio.open_nursery() as nursery:
                if watch is not None:
                    nursery.start_soon(watch, connection)
                try:
                    await connection.run(handle_message, send_subscribe)
                finally:
                    nursery.cancel_scope.cancel()
        except* errors.Error as group:
            self.recorder.record(
                "feed-broke",
                target=connection.name if connection else str(address),
                why=str(group.exceptions[0]),
            )
        finally:
            if connection is not None:
                self.feed.drop(connection)
        return connected

    def broadcast(self, message: messages.Message) -> None:
        """Send a message on all connections that peers have opened."""
        for connection in tuple(self._connections):
            try:
                connection.post(message)
            except errors.PeerError:
                self._connections.discard(connection)

    async def _send_events(
        self, connection: wire.Connection, query: messages.EventsQuery
    ) -> None:
        recorded = self.recorder.list_events(
            request=query.request, target=query.target
        )
        lines = [event.to_json() for event in recorded]
        channel = self.recorder.follow()
        try:
            for offset in range(0, len(lines), _EVENTS_PER_FRAME):
                batch = tuple(lines[offset : offset + _EVENTS_PER_FRAME])
                await connection.send(messages.Events(batch))
            if not query.follow:
                await connection.send(messages.Events(()))
                return
            async for event in channel:
                if connection.closed:
                    return
                if not event.request.startswith(query.request):
                    continue
                if query.target in ("", event.target):
                    line = event.to_json()
                    await connection.send(messages.Events((line,)))
        except errors.PeerError:
            return
        finally:
            self.recorder.unfollow(channel)
