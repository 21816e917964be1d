"""Persistent connections to peers, and serving accepted connections."""

from collections.abc import Callable
import random
from typing import TypeVar

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.timeline import Clock
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages
from magnoliacove.wire.connection import Connection
from magnoliacove.wire.connection import Handler
from magnoliacove.wire.network import Address
from magnoliacove.wire.network import Network

__all__ = ["Peer", "ask", "serve_connection"]

_T = TypeVar("_T")


def _do_nothing(*_: object) -> None:
    return None


class Peer:
    """A peer that this process connects to, and reconnects until stopped.

    :param name: the instance's name.
    :param hello: returns the first message that this end sends.
    :param handle: called with each message.
    :param on_connected: called when a connection is ready.
    :param on_disconnected: called with the reason when a connection was lost
        or could not be opened.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        network: Network,
        recorder: Recorder,
        hello: Callable[[], messages.Hello],
        handle: Handler,
        *,
        on_connected: Callable[["Peer"], None] = _do_nothing,
        on_disconnected: Callable[["Peer", str], None] = _do_nothing,
        get_heartbeat_interval: Callable[[bool], float] = lambda _: (
            defaults.MIN_HEARTBEAT_INTERVAL
        ),
    ) -> None:
        self.name = name
        self.address = address
        self.connection: Connection | None = None
        self.failures = 0
        self._network = network
        self._recorder = recorder
        self._hello = hello
        self._handle = handle
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._get_heartbeat_interval = get_heartbeat_interval
        self._ready = trio.Event()
        self._scope = trio.CancelScope()

    @property
    def up(self) -> bool:
        """Whether a connection is open."""
        return self.connection is not None and not self.connection.closed

    async def wait_up(self) -> None:
        """Wait until a connection is open."""
        while not self.up:
            await self._ready.wait()

    def post(self, message: messages.Message) -> None:
        """Queue a message without waiting.

        :raises magnoliacove.errors.PeerError: when no connection is open.
        """
        if self.connection is None:
            raise errors.PeerError(f"{self.name} is not connected")
        self.connection.post(message)

    def stop(self) -> None:
        """Close the connection and stop reconnecting."""
        self._scope.cancel()

    async def run(self) -> None:
        """Keep a connection open until :meth:`stop`."""
        delay = defaults.INITIAL_RECONNECT_DELAY
        with self._scope:
            while True:
                reason = await self._connect_once()
                if self.failures == 0:
                    delay = defaults.INITIAL_RECONNECT_DELAY
                self.failures += 1
                self._on_disconnected(self, reason)
                # Jitter keeps hundreds of processes from connecting to a
                # restarted instance at the same moment.
                await trio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, defaults.MAX_RECONNECT_DELAY)

    async def _connect_once(self) -> str:
        try:
            stream = await self._network.connect(self.address)
            connection = Connection(
                stream,
                self._recorder.clock,
                self._hello,
                get_heartbeat_interval=self._get_heartbeat_interval,
            )
            await connection.run(self._handle, self._adopt)
        except errors.Error as exc:
            reason = str(exc)
        was_up = self.connection is not None
        self.connection = None
        self._ready = trio.Event()
        if was_up:
            self.failures = 0
            self._recorder.record(
                "connection-lost", target=self.name, why=reason
            )
        return reason

    def _adopt(self, connection: Connection) -> None:
        self.connection = connection
        self._ready.set()
        self._recorder.record("connection-open", target=self.name)
        self._on_connected(self)


async def serve_connection(
    stream: trio.abc.Stream,
    recorder: Recorder,
    hello: Callable[[], messages.Hello],
    handle: Handler,
    make_pong: Callable[[int], messages.Pong],
    on_close: Callable[[Connection, str], None] = _do_nothing,
    ready: Callable[[Connection], None] = _do_nothing,
) -> None:
    """Serve one accepted connection until it ends.

    :param on_close: called with the reason when the connection has ended.
    :param ready: called after both ends have sent their hello.
    """
    connection = Connection(
        stream,
        recorder.clock,
        hello,
        # The connecting end sends heartbeats well before this interval.
        get_heartbeat_interval=lambda _: defaults.ACCEPTED_HEARTBEAT_INTERVAL,
        make_pong=make_pong,
    )
    try:
        await connection.run(handle, ready)
    except errors.ProtocolError as exc:
        recorder.record("protocol-error", target=connection.name, why=str(exc))
        on_close(connection, str(exc))
    except errors.PeerError as exc:
        on_close(connection, str(exc))


async def ask(
    network: Network,
    address: Address,
    clock: Clock,
    hello: Callable[[], messages.Hello],
    request: messages.Message,
    kind: type[_T],
    timeout: float,
) -> _T | None:
    """Send one request on a new connection and wait for the answer.

    :param kind: the type of the answer.
    :param timeout: seconds for the whole exchange.
    :returns: the answer, or None if none arrives in time.
    """
    answers: list[_T] = []

    async def take(connection: Connection, message: messages.Message) -> None:
        if isinstance(message, kind):
            answers.append(message)
            connection.close()

    with trio.move_on_after(timeout):
        try:
            stream = await network.connect(address)
            connection = Connection(stream, clock, hello)
            await connection.run(take, lambda c: c.post(request))
        except errors.Error:
            pass
    return answers[0] if answers else None
