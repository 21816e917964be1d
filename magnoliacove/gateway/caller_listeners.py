"""The addresses of callers and of the balancer's probes."""

from collections.abc import Callable
import resource
import socket
import traceback

import trio

from magnoliacove import wire
from magnoliacove.configuration.routes import CallerLimits
from magnoliacove.gateway.callers import CallerConnection
from magnoliacove.gateway.callers import CallerResources
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.callers import Handler
from magnoliacove.gateway.draining import Drain
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.memory_limits import divide_limits
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.sockets import bind_socket
from magnoliacove.timeline import Recorder

__all__ = ["CallerListeners", "CallerMemories"]

# Bytes that wait in the kernel until a caller reads them; without a limit they
# grow to megabytes.
_SEND_BUFFER = 64 * 1024
# Limits of the balancer's probes, which have no body.
_PROBE_LIMITS = CallerLimits(body_bytes=0)


class CallerMemories:
    """What is held for callers, and apart from it for probes."""

    def __init__(self, settings: NodeSettings) -> None:
        self.callers = CallerMemory()
        self.probes = CallerMemory()
        self.apply(settings)

    def apply(self, settings: NodeSettings) -> None:
        """Take the limits from new settings and from those of the process."""
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = settings.descriptors
        if allowed != resource.RLIM_INFINITY:
            descriptors = min(descriptors, allowed)
        limits = divide_limits(settings.memory, descriptors)
        self.callers.limits, self.probes.limits = limits


class CallerListeners:
    """Accepts connections of callers and of probes.

    :param handle: answers a caller's request.
    :param is_ready: returns whether the balancer may send callers.
    """

    def __init__(
        self,
        state: GatewayState,
        memories: CallerMemories,
        drain: Drain,
        handle: Handler,
        is_ready: Callable[[], bool],
    ) -> None:
        self._state = state
        self._drain = drain
        self._handle = handle
        self._is_ready = is_ready
        record = state.recorder.record
        self._callers = CallerResources(memories.callers, record=record)
        self._probes = CallerResources(memories.probes, record=record)

    async def serve_callers(
        self, address: wire.Address, listener: socket.socket | None
    ) -> None:
        """Serve callers until cancelled.

        :param listener: used if it is bound to the address, else closed: then
            the settings name another address than at the process's start.
        """
        opened = _listen(address, listener)
        buffer = self._callers.memory.limits.receive_buffer
        # Accepted connections inherit both.
        opened.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        opened.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER
        )
        async with trio.open_nursery() as nursery:
            with self._drain.accepting:
                await trio.serve_listeners(
                    self._serve_caller, [opened], handler_nursery=nursery
                )
            # The gateway no longer listens.  Open connections continue.
            await trio.sleep_forever()

    async def serve_probes(self, address: wire.Address) -> None:
        """Serve the balancer's probes until cancelled."""
        await trio.serve_listeners(self._serve_probe, [_listen(address)])

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self._read_limits,
            self._handle,
            lambda: self._state.leaving,
            lambda: self._drain.accepting.cancel_called,
            self._callers,
        )
        self._drain.connections.add(connection)
        try:
            await _run_guarded(connection, self._state.recorder)
        finally:
            self._drain.connections.discard(connection)

    async def _serve_probe(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            lambda: _PROBE_LIMITS,
            self._answer_probe,
            lambda: False,
            resources=self._probes,
        )
        await _run_guarded(connection, self._state.recorder)

    async def _answer_probe(self, exchange: Exchange) -> None:
        await exchange.answer(200 if self._is_ready() else 503, [], b"")

    def _read_limits(self) -> CallerLimits:
        table = self._state.routes
        return table.limits if table else CallerLimits()


async def _run_guarded(
    connection: CallerConnection, recorder: Recorder
) -> None:
    """Serve a connection; a fault in one must not end all others."""
    try:
        await connection.run()
    except Exception as error:
        recorder.record(
            "connection-failed",
            why=repr(error),
            traceback=traceback.format_exc(),
        )


def _listen(
    address: wire.Address, listener: socket.socket | None = None
) -> trio.SocketListener:
    wanted = (address.host, address.port)
    if listener is not None and listener.getsockname()[:2] != wanted:
        listener.close()
        listener = None
    if listener is None:
        listener = bind_socket(*wanted)
    return trio.SocketListener(trio.socket.from_stdlib_socket(listener))
