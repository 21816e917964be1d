"""What every process of ours has: a name, a clock, a view, a listener."""

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

_EVENTS_IN_FRAME = 200


@dataclass(frozen=True)
class Identity:
    """Who a process is.

    :param listen: where it listens for other processes of ours.
    :param advertise: the address that others dial, when it differs.
    """

    name: str
    role: str
    data_centre: str
    listen: wire.Address
    advertise: wire.Address | None = None


class Process:
    """The parts that entries and agents share."""

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
        """Return what this process says first on a connection."""
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
        """Return this process's next announcement."""
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
        gone: Callable[[wire.Connection, str], None],
        ready: Callable[[wire.Connection], None],
        *,
        task_status: trio.TaskStatus[wire.Address],
    ) -> None:
        """Serve the connections that other processes open."""

        async def take(
            connection: wire.Connection, message: messages.Message
        ) -> None:
            self._connections.add(connection)
            if self.feed.handle(connection, message):
                return
            if isinstance(message, messages.EventsQuery):
                nursery.start_soon(self._send_events, connection, message)
                return
            await handle(connection, message)

        def drop(connection: wire.Connection, reason: str) -> None:
            self._connections.discard(connection)
            self.feed.drop(connection)
            gone(connection, reason)

        async def serve(stream: trio.abc.Stream) -> None:
            await wire.serve_connection(
                stream,
                self.recorder,
                self.make_hello,
                take,
                make_pong,
                drop,
                ready,
            )

        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                self.network.listen, self.identity.listen, serve
            )
            if self.identity.advertise is None:
                # The port may have been left to the system to choose.
                self.address = address
            task_status.started(address)

    async def subscribe(
        self,
        address: wire.Address,
        *,
        mutual: bool = False,
        watch: Callable[[wire.Connection], Awaitable[None]] | None = None,
    ) -> bool:
        """Stay subscribed to a peer; return whether it ever answered.

        :param mutual: whether news goes up the connection as well.
        :param watch: runs beside the connection and may close it.
        """
        began = False
        connection: wire.Connection | None = None

        async def take(
            source: wire.Connection, message: messages.Message
        ) -> None:
            self.feed.handle(source, message)

        def begin(ready: wire.Connection) -> None:
            nonlocal began
            began = True
            self.recorder.record("feed-open", target=ready.name)
            own = self.identity.name
            ready.post(directory.make_subscribe(self.view, own))
            if mutual:
                self.feed.attach(ready)

        try:
            stream = await self.network.connect(address)
            connection = wire.Connection(
                stream,
                self.recorder.clock,
                self.make_hello,
                read_pace=lambda _: defaults.FEED_HEARTBEAT_INTERVAL,
            )
            async with trio.open_nursery() as nursery:
                if watch is not None:
                    nursery.start_soon(watch, connection)
                try:
                    await connection.run(take, begin)
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
        return began

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to everybody who has dialled this process."""
        for connection in tuple(self._connections):
            try:
                connection.post(message)
            except errors.PeerError:
                self._connections.discard(connection)

    async def _send_events(
        self, connection: wire.Connection, query: messages.EventsQuery
    ) -> None:
        found = self.recorder.list_events(
            request=query.request, target=query.target
        )
        lines = [event.to_json() for event in found]
        channel = self.recorder.follow()
        try:
            for at in range(0, len(lines), _EVENTS_IN_FRAME):
                part = tuple(lines[at : at + _EVENTS_IN_FRAME])
                await connection.send(messages.Events(part))
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
