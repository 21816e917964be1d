"""A stand-in network in memory, whose links can be cut, silent or slow."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import trio
import trio.testing

from magnoliacove import errors
from magnoliacove import wire

__all__ = ["Links", "MemoryNetwork"]

_CONNECT_TIMEOUT = 1.0


@dataclass(eq=False)
class _Wire:
    """One connection: who dialled whom, and what is wrong with it."""

    source: str
    sink: str
    silent: bool = False
    ends: "list[_End]" = field(default_factory=list)


class _End(trio.abc.Stream):
    """One end of a connection."""

    def __init__(
        self, inner: trio.abc.Stream, carried: _Wire, links: "Links"
    ) -> None:
        self._inner = inner
        self._wire = carried
        self._links = links

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        delay = self._links.delay(self._wire.source, self._wire.sink)
        if delay:
            await trio.sleep(delay)
        if self._wire.silent or self._links.is_silent(self._wire):
            self._wire.silent = True
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
        if not self._wire.silent:
            await self._inner.aclose()
            return
        await trio.lowlevel.checkpoint()


class Links:
    """All links of one stand-in network.

    A connection that was silent once stays silent; whether new ones work
    is a matter of the link's present state.
    """

    def __init__(self) -> None:
        self.listeners: dict[str, tuple[str, Callable[..., object]]] = {}
        self._silent: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._delays: dict[frozenset[str], float] = {}
        self._wires: list[_Wire] = []
        self._ports = 0

    def next_address(self) -> wire.Address:
        """Return an address that nobody has."""
        self._ports += 1
        return wire.Address("127.0.0.1", self._ports)

    def set_delay(self, one: str, other: str, seconds: float) -> None:
        """Let each message between two processes take a time."""
        self._delays[frozenset((one, other))] = seconds

    def delay(self, one: str, other: str) -> float:
        """Return the time that a message takes."""
        return self._delays.get(frozenset((one, other)), 0.0)

    def silence(self, one: str, other: str) -> None:
        """Lose everything between two processes, new connections too."""
        self._silent.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Let new connections between two processes work again."""
        self._silent.discard(frozenset((one, other)))

    def isolate(self, name: str) -> None:
        """Lose everything from and to a process, as if it lost power."""
        self._isolated.add(name)

    def rejoin(self, name: str) -> None:
        """Undo :meth:`isolate` for new connections."""
        self._isolated.discard(name)

    def silence_open(self, one: str, other: str) -> None:
        """Lose everything on open connections; new ones work."""
        for found in self._wires:
            if {found.source, found.sink} == {one, other}:
                found.silent = True

    async def cut(self, one: str, other: str) -> None:
        """Break the open connections between two processes."""
        for found in self._wires:
            if {found.source, found.sink} == {one, other}:
                for end in found.ends:
                    await end.aclose()

    def is_silent(self, carried: _Wire) -> bool:
        """Return whether a connection's link loses everything now."""
        return not self.is_open(carried.source, carried.sink)

    def is_open(self, one: str, other: str) -> bool:
        """Return whether a link carries anything now."""
        if {one, other} & self._isolated:
            return False
        return frozenset((one, other)) not in self._silent

    def open_wire(self, source: str, sink: str) -> tuple[_End, _End]:
        """Return both ends of a new connection."""
        one, other = trio.testing.memory_stream_pair()
        carried = _Wire(source, sink)
        carried.ends = [_End(one, carried, self), _End(other, carried, self)]
        self._wires.append(carried)
        return carried.ends[0], carried.ends[1]


class MemoryNetwork:
    """One process's part of a stand-in network.

    :param name: the process's name.
    """

    def __init__(self, name: str, links: Links) -> None:
        self._name = name
        self._links = links

    async def connect(self, address: wire.Address) -> trio.abc.Stream:
        """Open a connection."""
        await trio.lowlevel.checkpoint()
        found = self._links.listeners.get(str(address))
        if found is None:
            raise errors.PeerError(f"{address} cannot be reached: refused")
        name, accept = found
        if not self._links.is_open(self._name, name):
            await trio.sleep(_CONNECT_TIMEOUT)
            raise errors.PeerError(f"{address} cannot be reached: no answer")
        near, far = self._links.open_wire(self._name, name)
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
