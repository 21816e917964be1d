"""A loopback proxy that spoils the connections which pass through it."""

import socket

import trio

__all__ = ["Proxy"]

_READ_SIZE = 65536


class Proxy:
    """Passes connections on to one address, as well as it is told to.

    :param delay: seconds by which each piece of data is late.
    :param refuse: new connections are reset at once.
    """

    def __init__(self, host: str, port: int) -> None:
        self.delay = 0.0
        self.refuse = False
        self.address = ""
        self._target = (host, port)
        self._links: set[_Link] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a free port until cancelled; start with the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        await trio.serve_listeners(
            self._serve, listeners, task_status=task_status
        )

    def reset_all(self) -> None:
        """Reset every open connection."""
        for link in tuple(self._links):
            link.reset()

    def silence_all(self, *, up: bool = True, down: bool = True) -> None:
        """Let open connections fall silent for good; new ones work.

        :param up: what goes to the target is lost.
        :param down: what comes from it is lost.
        """
        for link in tuple(self._links):
            link.lost_up |= up
            link.lost_down |= down

    async def _serve(self, near: trio.SocketStream) -> None:
        if self.refuse:
            _reset(near)
            return
        try:
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            # The target is down: the caller sees its connection reset.
            _reset(near)
            return
        link = _Link(self, near, far)
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)


class _Link:
    """One connection and its other half."""

    def __init__(
        self, proxy: Proxy, near: trio.SocketStream, far: trio.SocketStream
    ) -> None:
        self.lost_up = False
        self.lost_down = False
        self._proxy = proxy
        self._near = near
        self._far = far
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Pass data both ways until one side ends."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, self._near, self._far, True)
                nursery.start_soon(self._pass, self._far, self._near, False)
        _reset(self._near)
        _reset(self._far)

    def reset(self) -> None:
        """End the connection at once."""
        self._scope.cancel()

    async def _pass(
        self, source: trio.SocketStream, sink: trio.SocketStream, up: bool
    ) -> None:
        try:
            while data := await source.receive_some(_READ_SIZE):
                if self._proxy.delay:
                    await trio.sleep(self._proxy.delay)
                if not (self.lost_up if up else self.lost_down):
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Either end broke: the link is torn down as a whole below.
            pass
        if self.lost_up or self.lost_down:
            # A silent connection shows no end either.
            await trio.sleep_forever()
        self._scope.cancel()


def _reset(stream: trio.SocketStream) -> None:
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
    )
    stream.socket.close()
