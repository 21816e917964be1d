"""A proxy in front of the store whose open channels may go silent."""

import asyncio
from dataclasses import dataclass

from stand_ins_2.store import Store

__all__ = ["Proxy"]

_READ_SIZE = 65536


@dataclass(eq=False)
class _Link:
    """A channel of a gateway and its counterpart to the store.

    :param silent: whether nothing passes any more, not even its end.
    """

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    silent: bool = False


class Proxy:
    """Passes on channels to the store.

    :param port: where it listens.
    """

    def __init__(self, store: Store) -> None:
        self.host = "127.0.0.1"
        self.port = 0
        self._store = store
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Let all open channels go silent for good; new ones work."""
        for link in self._links:
            link.silent = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far = await asyncio.open_connection(
                self._store.host, self._store.port
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, far)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(reader, far, link),
                self._pump(far_reader, writer, link),
            )
        except asyncio.CancelledError:
            # The case is over.
            return

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: _Link,
    ) -> None:
        try:
            while data := await reader.read(_READ_SIZE):
                if link.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # The channel broke; the other one ends with it.
            pass
        if link.silent:
            return
        self._links.discard(link)
        link.near.close()
        link.far.close()
