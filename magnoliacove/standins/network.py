"""A stand-in network in memory.

Its connections can be closed, lose all data, or delay messages.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import trio
import trio.testing

from magnoliacove import errors
from magnoliacove import wire

__all__ = ["Links", "MemoryNetwork"]

# Seconds until an attempt to connect over a silent link fails.
_CONNECT_TIMEOUT = 1.0


@dataclass(eq=False)
class _Connection:
    """One connection between two processes.

    :param source: the process that opened the connection.
    :param sink: the process that accepted it.
    :param silent: whether all data that is sent on it is lost.
    """

    source: str
    sink: str
    silent: bool = False
    ends: "list[_ConnectionEnd]" = field(default_factory=list)


class _ConnectionEnd(trio.abc.Stream):
    """One end of a connection, as a stream."""

    def __init__(
        self, inner: trio.abc.Stream, connection: _Connection, links: "Links"
    ) -> None:
        self._inner = inner
        self._connection = connection
        self._links = links

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        delay = self._links.delay(
            self._connection.source, self._connection.sink
        )
        if delay:
            await trio.sleep(delay)
        if self._connection.silent or self._links.is_silent(self._connection):
            self._connection.silent = True
            await trio.lowlevel.checkpoint()
            return
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(
        self, max_bytes: int | None = None
    ) -> bytes | bytearray:
        return await self._inner.receive_some(max_bytes)

    async def aclose(self) -> None:
        if not self._connection.silent:
            await self._inner.aclose()
            return
        await trio.lowlevel.checkpoint()


class Links:
    """All links of one stand-in network.

    A connection that was silent once stays silent.  Whether new connections
    work depends on the present state of the link.
    """

    def __init__(self) -> None:
        self.listeners: dict[str, tuple[str, Callable[..., object]]] = {}
        self._silent: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._delays: dict[frozenset[str], float] = {}
        self._connections: list[_Connection] = []
        self._ports = 0

    def next_address(self) -> wire.Address:
        """Return an unused address."""
        self._ports += 1
        return wire.Address("127.0.0.1", self._ports)

    def set_delay(self, one: str, other: str, seconds: float) -> None:
        """Delay each message between two processes."""
        self._delays[frozenset((one, other))] = seconds

    def delay(self, one: str, other: str) -> float:
        """Return the delay of a message, in seconds."""
        return self._delays.get(frozenset((one, other)), 0.0)

    def silence(self, one: str, other: str) -> None:
        """Lose all data between two processes, also on new connections."""
        self._silent.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Make new connections between two processes work again."""
        self._silent.discard(frozenset((one, other)))

    def isolate(self, name: str) -> None:
        """Lose all data from and to a process, as after a power failure."""
        self._isolated.add(name)

    def rejoin(self, name: str) -> None:
        """Undo :meth:`isolate` for new connections."""
        self._isolated.discard(name)

    def silence_open(self, one: str, other: str) -> None:
        """Lose all data on open connections between two processes.

        New connections work.
        """
        for connection in self._connections:
            if {connection.source, connection.sink} == {one, other}:
                connection.silent = True

    async def cut(self, one: str, other: str) -> None:
        """Close the open connections between two processes."""
        for connection in self._connections:
            if {connection.source, connection.sink} == {one, other}:
                for end in connection.ends:
                    await end.aclose()

    def is_silent(self, connection: _Connection) -> bool:
        """Return whether a connection's link loses all data at present."""
        return not self.is_open(connection.source, connection.sink)

    def is_open(self, one: str, other: str) -> bool:
        """Return whether a link transmits data at present."""
        if {one, other} & self._isolated:
            return False
        return frozenset((one, other)) not in self._silent

    def open_connection(
        self, source: str, sink: str
    ) -> tuple[_ConnectionEnd, _ConnectionEnd]:
        """Return both ends of a new connection."""
        one, other = trio.testing.memory_stream_pair()
        connection = _Connection(source, sink)
        connection.ends = [
            _ConnectionEnd(one, connection, self),
            _ConnectionEnd(other, connection, self),
        ]
        self._connections.append(connection)
        return connection.ends[0], connection.ends[1]


class MemoryNetwork:
    """One process's access to a stand-in network.

    :param name: the process's name.
    """

    def __init__(self, name: str, links: Links) -> None:
        self._name = name
        self._links = links

    async def connect(self, address: wire.Address) -> trio.abc.Stream:
        """Open a connection."""
        await trio.lowlevel.checkpoint()
        listener = self._links.listeners.get(str(address))
        if listener is None:
            raise errors.PeerError(f"{address} cannot be reached: refused")
        name, accept = listener
        if not self._links.is_open(self._name, name):
            await trio.sleep(_CONNECT_TIMEOUT)
            raise errors.PeerError(f"{address} cannot be reached: no answer")
        near, far = self._links.open_connection(self._name, name)
        accept(far)
        return near

    async def listen(
        self,
        address: wire.Address,
        serve: Callable[[trio.abc.Stream], Awaitable[None]],
        *,
        task_status: trio.TaskStatus[wire.Address],
    ) -> None:
        """Accept connections, one task for each, until cancelled."""
        bound = address if address.port else self._links.next_address()
        async with trio.open_nursery() as nursery:

            def accept(stream: trio.abc.Stream) -> None:
                nursery.start_soon(serve, stream)

            self._links.listeners[str(bound)] = (self._name, accept)
            try:
                task_status.started(bound)
                await trio.sleep_forever()
            finally:
                del self._links.listeners[str(bound)]
