"""A loopback proxy that injects faults into its connections."""

import socket

import trio

__all__ = ["Proxy"]

_READ_SIZE = 65536


class Proxy:
    """Forwards connections to one address and injects faults on request.

    :param delay: seconds by which each piece of data is delayed.
    :param refuse: whether new connections are reset at once.
    """

    def __init__(self, host: str, port: int) -> None:
        self.delay = 0.0
        self.refuse = False
        self.address = ""
        self._target = (host, port)
        self._links: set[_Link] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a free port until cancelled; `address` is set on start."""
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

    def blackhole_all(self, *, up: bool = True, down: bool = True) -> None:
        """Drop the data of open connections permanently; new ones work.

        :param up: whether data to the target is dropped.
        :param down: whether data from the target is dropped.
        """
        for link in tuple(self._links):
            link.drops_up |= up
            link.drops_down |= down

    async def _serve(self, near: trio.SocketStream) -> None:
        if self.refuse:
            _reset(near)
            return
        try:
            far = await trio.open_tcp_stream(*self._target)
        except OSError:
            # The target is down; reset the connection of the caller.
            _reset(near)
            return
        link = _Link(self, near, far)
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)


class _Link:
    """A connection from a caller and its counterpart to the target."""

    def __init__(
        self, proxy: Proxy, near: trio.SocketStream, far: trio.SocketStream
    ) -> None:
        self.drops_up = False
        self.drops_down = False
        self._proxy = proxy
        self._near = near
        self._far = far
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Forward data in both directions until one side ends."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, self._near, self._far, True)
                nursery.start_soon(self._forward, self._far, self._near, False)
        _reset(self._near)
        _reset(self._far)

    def reset(self) -> None:
        """Reset both connections at once."""
        self._scope.cancel()

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream, up: bool
    ) -> None:
        try:
            while data := await source.receive_some(_READ_SIZE):
                if self._proxy.delay:
                    await trio.sleep(self._proxy.delay)
                if not (self.drops_up if up else self.drops_down):
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Either end broke; both connections are closed below.
            pass
        if self.drops_up or self.drops_down:
            # A connection that drops data does not show its end either.
            await trio.sleep_forever()
        self._scope.cancel()


def _reset(stream: trio.SocketStream) -> None:
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
    )
    stream.socket.close()
