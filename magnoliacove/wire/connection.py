"""A connection between two magnoliacove processes.

Three tasks serve a connection: one reads frames, one writes the queued
messages, and one sends heartbeats and detects an unresponsive peer.
"""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.timeline import Clock
from magnoliacove.wire import codec
from magnoliacove.wire import messages

__all__ = ["Connection", "Handler"]

Handler = Callable[["Connection", messages.Message], Awaitable[None]]

# Bytes of the length prefix of a frame.
_LENGTH_BYTES = 4
# Bytes to read at once.
_READ_SIZE = 65536
# Seconds between two checks for an answer to a probe.
_PROBE_POLL = 0.01
# The most seconds between two checks for an unresponsive peer.
_MAX_CHECK_INTERVAL = 1.0
# Seconds after a heartbeat within which something must arrive.
_ANSWER_TIMEOUT = defaults.SILENCE_TIMEOUT - defaults.MIN_HEARTBEAT_INTERVAL
_CONNECTION_ERRORS = (
    errors.PeerError,
    errors.ProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Connection:
    """A connection to one peer, with framing and heartbeats.

    :param stream: a connected trio stream, encrypted or not.
    :param clock: the process's clock; each frame carries its reading.
    :param hello: returns the first message that this end sends.
    :param get_heartbeat_interval: returns the seconds between heartbeats;
        its argument is whether a message was sent recently.
    :param make_pong: returns the answer to a heartbeat, by its sequence
        number.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        clock: Clock,
        hello: Callable[[], messages.Hello],
        *,
        get_heartbeat_interval: Callable[[bool], float] = lambda _: (
            defaults.MIN_HEARTBEAT_INTERVAL
        ),
        make_pong: Callable[[int], messages.Pong] | None = None,
    ) -> None:
        self.remote: messages.Hello | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent = 0
        self._stream = stream
        self._clock = clock
        self._hello = hello
        self._choose_heartbeat_interval = get_heartbeat_interval
        self._last_posted = trio.current_time()
        self._make_pong = make_pong or (lambda n: messages.Pong(n))
        self._queue: deque[messages.Message] = deque()
        self._queued_bytes = 0
        self._queued = trio.Event()
        self._queue_below_half = trio.Event()
        self._queue_below_half.set()
        self._last_received = trio.current_time()
        self._sequence = 0
        self._closed = False
        self._scope: trio.CancelScope | None = None
        self._buffer = bytearray()

    @property
    def name(self) -> str:
        """The peer's name, or "" before its hello has arrived."""
        return self.remote.name if self.remote else ""

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer send messages."""
        return self._closed

    def post(self, message: messages.Message) -> None:
        """Queue a message without waiting.

        :raises magnoliacove.errors.PeerError: when the connection is
            closed, or the queue is full because the peer does not read.
        """
        if self._closed:
            raise errors.PeerError(
                f"the connection to {self.name or 'a peer'} is closed; "
                "it is opened again by itself"
            )
        if len(self._queue) >= defaults.MAX_QUEUED_FRAMES:
            # For a peer that does not read, the queue would grow until
            # this process runs out of memory and all its other streams
            # fail.  Closing affects only this peer's streams, and those
            # resume elsewhere.
            self.close()
            raise errors.PeerError(
                f"{self.name} takes messages too slowly; its connection "
                "was closed and its streams resume elsewhere"
            )
        self._queue.append(message)
        if isinstance(message, messages.Answer):
            self._queued_bytes += len(message.body)
        self._queued.set()
        if not isinstance(message, messages.Ping | messages.Pong):
            self._last_posted = trio.current_time()
        # Those that wait for the present event must not miss its end.
        if self._is_half_full() and self._queue_below_half.is_set():
            self._queue_below_half = trio.Event()

    def _is_half_full(self) -> bool:
        """Return whether senders that can wait should do so."""
        return (
            len(self._queue) >= defaults.MAX_QUEUED_FRAMES // 2
            or self._queued_bytes >= defaults.MAX_QUEUED_BYTES // 2
        )

    async def send(self, message: messages.Message) -> None:
        """Queue a message; wait first while the queue is half full or more."""
        while not self._queue_below_half.is_set() and not self._closed:
            await self._queue_below_half.wait()
        self.post(message)

    def close(self) -> None:
        """Close the connection and cancel the tasks that serve it."""
        self._closed = True
        self._queue_below_half.set()
        if self._scope is not None:
            self._scope.cancel()

    async def run(
        self,
        handle: Handler,
        ready: Callable[["Connection"], None] | None = None,
    ) -> None:
        """Serve the connection until it ends.

        :param handle: called with each message.
        :param ready: called once, after both ends have sent their hello.
        :raises magnoliacove.errors.PeerError: when the connection is lost
            or closed, or the peer is unresponsive.
        :raises magnoliacove.errors.ProtocolError: when the peer violates
            the protocol.
        """
        try:
            with trio.CancelScope() as self._scope:
                await self._handshake()
                if ready is not None:
                    ready(self)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._monitor_peer)
                    await self._read(handle)
        except _CONNECTION_ERRORS as exc:
            raise self._to_package_error(exc) from exc
        except BaseExceptionGroup as group:
            # Reading and writing may fail at the same time with different
            # errors.  This is one failure of the connection, and callers
            # handle single errors only.
            connection_errors, others = group.split(_CONNECTION_ERRORS)
            if others is not None or connection_errors is None:
                # The process is being stopped at the same moment, or has
                # an internal error; either takes precedence over the
                # failure of the connection.
                raise (others or group) from None
            raise self._to_package_error(
                _pick_error(connection_errors)
            ) from group
        finally:
            self._closed = True
            self._queue_below_half.set()
            with trio.CancelScope(shield=True, deadline=0):
                await trio.aclose_forcefully(self._stream)
        raise errors.PeerError(f"the connection to {self.name} was closed")

    def _to_package_error(self, exc: BaseException) -> errors.Error:
        if isinstance(exc, errors.Error):
            return exc
        return errors.PeerError(
            f"the connection to {self.name or 'a peer'} broke"
        )

    async def _handshake(self) -> None:
        await self._send_now([self._hello()])
        with trio.move_on_after(defaults.CONNECT_TIMEOUT) as scope:
            remote = await self._read_message()
        if scope.cancelled_caught:
            raise errors.PeerError(
                "a peer accepted the connection but said nothing; check "
                "that the address belongs to a magnoliacove process"
            )
        if not isinstance(remote, messages.Hello):
            raise errors.ProtocolError("a peer's first message was no hello")
        if remote.protocol_version != defaults.PROTOCOL_VERSION:
            raise errors.ProtocolError(
                f"{remote.name} speaks protocol version "
                f"{remote.protocol_version}, this process "
                f"{defaults.PROTOCOL_VERSION}; upgrade the older release"
            )
        self.remote = remote

    # Reading.

    async def _read(self, handle: Handler) -> None:
        while True:
            message = await self._read_message()
            if isinstance(message, messages.Ping):
                self.post(self._make_pong(message.sequence))
                continue
            await handle(self, message)

    async def _read_message(self) -> messages.Message:
        size = int.from_bytes(await self._read_exactly(_LENGTH_BYTES), "big")
        if size > defaults.MAX_FRAME:
            raise errors.ProtocolError(
                f"a peer announced a frame of {size} bytes; the most is "
                f"{defaults.MAX_FRAME}"
            )
        message, clock = codec.decode(await self._read_exactly(size))
        self._clock.observe(clock)
        return message

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            chunk = await self._stream.receive_some(_READ_SIZE)
            if not chunk:
                raise errors.PeerError(
                    f"{self.name or 'a peer'} closed the connection"
                )
            self._last_received = trio.current_time()
            self.bytes_received += len(chunk)
            self._buffer += chunk
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    # Writing.

    async def _write(self) -> None:
        while True:
            await self._queued.wait()
            self._queued = trio.Event()
            batch = list(self._queue)
            self._queue.clear()
            self._queued_bytes = 0
            self._queue_below_half.set()
            await self._send_now(_coalesce(batch))

    async def _send_now(self, batch: list[messages.Message]) -> None:
        parts = []
        for message in batch:
            data = codec.encode(message, self._clock.now())
            parts.append(len(data).to_bytes(_LENGTH_BYTES, "big"))
            parts.append(data)
        joined = b"".join(parts)
        self.bytes_sent += len(joined)
        self.frames_sent += len(batch)
        await self._stream.send_all(joined)

    # Liveness.

    async def _monitor_peer(self) -> None:
        while True:
            idle = trio.current_time() - self._last_received
            interval = self._get_heartbeat_interval()
            if idle >= interval + _ANSWER_TIMEOUT:
                # A device between the two ends may have dropped the
                # connection's state, so that nothing arrives and nothing
                # fails.  Callers would wait forever.  Closing makes the
                # owner open a new connection, which distinguishes a failed
                # peer from a broken connection.
                raise errors.PeerError(
                    f"{self.name} was silent for {idle:.1f} s"
                )
            if idle >= interval:
                self._sequence += 1
                self.post(messages.Ping(self._sequence))
            await trio.sleep(min(interval / 2, _MAX_CHECK_INTERVAL))

    def _get_heartbeat_interval(self) -> float:
        """Return the idle seconds after which a heartbeat is sent.

        A connection on which a message was sent recently has a caller
        waiting for it and is checked often.  If all connections were
        checked that often, the many idle ones of a large fleet would exceed
        the control budget.
        """
        active = (
            trio.current_time() - self._last_posted
            < defaults.CONNECTION_ACTIVE_WINDOW
        )
        return max(
            defaults.MIN_HEARTBEAT_INTERVAL,
            self._choose_heartbeat_interval(active),
        )

    async def probe(self, timeout: float) -> bool:
        """Send a heartbeat now; return whether anything arrives in time.

        :param timeout: seconds to wait.
        """
        started, before = trio.current_time(), self.bytes_received
        with contextlib.suppress(errors.PeerError):
            self._sequence += 1
            self.post(messages.Ping(self._sequence))
            while trio.current_time() < started + timeout:
                if self.bytes_received > before:
                    return True
                await trio.sleep(_PROBE_POLL)
        return self.bytes_received > before


def _pick_error(group: BaseExceptionGroup[Any]) -> BaseException:
    """Return one error of a group, preferring magnoliacove's own."""
    pending: list[BaseException] = [group]
    for error in pending:
        if isinstance(error, BaseExceptionGroup):
            pending.extend(error.exceptions)
    single = [e for e in pending if not isinstance(e, BaseExceptionGroup)]
    return min(single, key=lambda e: not isinstance(e, errors.Error))


def _coalesce(batch: list[messages.Message]) -> list[messages.Message]:
    """Merge adjacent lists of steps, and of tokens, into one frame.

    The order is kept, and no message is delayed for batching: only messages
    queued during the previous write are merged.
    """
    joined: list[messages.Message] = []
    run: list[Any] = []
    kind: type | None = None
    for message in batch:
        if isinstance(message, messages.Steps | messages.Tokens):
            if type(message) is not kind:
                _flush_run(joined, kind, run)
                kind, run = type(message), []
            run.extend(message.items)
            continue
        _flush_run(joined, kind, run)
        kind, run = None, []
        joined.append(message)
    _flush_run(joined, kind, run)
    return joined


def _flush_run(
    joined: list[messages.Message], kind: Any, run: list[Any]
) -> None:
    if run:
        joined.append(kind(tuple(run)))
