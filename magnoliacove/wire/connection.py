"""One connection between two of our processes.

Three tasks serve a connection: one reads frames, one writes what has
queued up, one sends heartbeats and notices silence.
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

_LENGTH = 4
_READ_SIZE = 65536
_CHECK_STEP = 0.01
_IDLE_CHECK = 1.0
_ANSWER_TIMEOUT = defaults.SILENCE_TIMEOUT - defaults.MIN_HEARTBEAT_INTERVAL
_LOSSES = (
    errors.PeerError,
    errors.ProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Connection:
    """A framed, heartbeating connection to one peer.

    :param stream: a connected trio stream, encrypted or not.
    :param clock: the process's clock, carried on each frame.
    :param hello: what this end says first.
    :param read_pace: returns the seconds between heartbeats, told whether
        something was sent lately.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        clock: Clock,
        hello: Callable[[], messages.Hello],
        *,
        read_pace: Callable[[bool], float] = lambda _: (
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
        self._choose_pace = read_pace
        self._posted = trio.current_time()
        self._make_pong = make_pong or (lambda n: messages.Pong(n))
        self._queue: deque[messages.Message] = deque()
        self._queued = trio.Event()
        self._room = trio.Event()
        self._room.set()
        self._heard = trio.current_time()
        self._sequence = 0
        self._closed = False
        self._scope: trio.CancelScope | None = None
        self._buffer = bytearray()

    @property
    def name(self) -> str:
        """The peer's name, or "" before its hello."""
        return self.remote.name if self.remote else ""

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any longer."""
        return self._closed

    def post(self, message: messages.Message) -> None:
        """Queue a message without waiting.

        :raises magnoliacove.errors.PeerError: when the connection is
            closed, or so much is queued that the peer must be stuck.
        """
        if self._closed:
            raise errors.PeerError(
                f"the connection to {self.name or 'a peer'} is closed; "
                "it is opened again by itself"
            )
        if len(self._queue) >= defaults.MAX_QUEUED_FRAMES:
            # A peer that takes nothing would let the queue grow until
            # this process runs out of memory and takes every other
            # stream with it.  Closing costs only this peer's streams,
            # and those resume elsewhere.
            self.close()
            raise errors.PeerError(
                f"{self.name} takes messages too slowly; its connection "
                "was closed and its streams resume elsewhere"
            )
        self._queue.append(message)
        self._queued.set()
        if not isinstance(message, messages.Ping | messages.Pong):
            self._posted = trio.current_time()
        if len(self._queue) >= defaults.MAX_QUEUED_FRAMES // 2:
            self._room = trio.Event()

    async def send(self, message: messages.Message) -> None:
        """Queue a message, waiting while the queue is half full."""
        while not self._room.is_set() and not self._closed:
            await self._room.wait()
        self.post(message)

    def close(self) -> None:
        """End the connection and the tasks that serve it."""
        self._closed = True
        self._room.set()
        if self._scope is not None:
            self._scope.cancel()

    async def run(
        self,
        handle: Handler,
        ready: Callable[["Connection"], None] | None = None,
    ) -> None:
        """Serve the connection until it ends.

        :param handle: called with each message.
        :param ready: called once, when both ends have said hello.
        :raises magnoliacove.errors.PeerError: when the peer is gone or
            silent.
        :raises magnoliacove.errors.ProtocolError: when the peer does not
            keep to the protocol.
        """
        try:
            with trio.CancelScope() as self._scope:
                await self._shake_hands()
                if ready is not None:
                    ready(self)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._watch_silence)
                    await self._read(handle)
        except _LOSSES as why:
            raise self._translate(why) from why
        except BaseExceptionGroup as group:
            # Reading and writing may fail at once, each in its own way;
            # it is one loss, and its handlers know single errors only.
            losses, others = group.split(_LOSSES)
            if others is not None or losses is None:
                # The process is being stopped at that very moment, or has
                # a fault of its own; the loss no longer matters.
                raise (others or group) from None
            raise self._translate(_find_first(losses)) from group
        finally:
            self._closed = True
            self._room.set()
            with trio.CancelScope(shield=True, deadline=0):
                await trio.aclose_forcefully(self._stream)
        raise errors.PeerError(f"the connection to {self.name} was closed")

    def _translate(self, why: BaseException) -> errors.Error:
        if isinstance(why, errors.Error):
            return why
        return errors.PeerError(
            f"the connection to {self.name or 'a peer'} broke"
        )

    async def _shake_hands(self) -> None:
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
        size = int.from_bytes(await self._read_exactly(_LENGTH), "big")
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
            self._heard = trio.current_time()
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
            self._room.set()
            await self._send_now(_gather(batch))

    async def _send_now(self, batch: list[messages.Message]) -> None:
        parts = []
        for message in batch:
            data = codec.encode(message, self._clock.now())
            parts.append(len(data).to_bytes(_LENGTH, "big"))
            parts.append(data)
        joined = b"".join(parts)
        self.bytes_sent += len(joined)
        self.frames_sent += len(batch)
        await self._stream.send_all(joined)

    # Liveness.

    async def _watch_silence(self) -> None:
        while True:
            quiet = trio.current_time() - self._heard
            pace = self._read_pace()
            if quiet >= pace + _ANSWER_TIMEOUT:
                # Something between the two ends may have forgotten the
                # connection: nothing arrives and nothing fails.  The
                # callers would wait for ever; closing makes the owner try
                # a new connection, which tells a dead peer from a dead
                # connection.
                raise errors.PeerError(
                    f"{self.name} was silent for {quiet:.1f} s"
                )
            if quiet >= pace:
                self._sequence += 1
                self.post(messages.Ping(self._sequence))
            await trio.sleep(min(pace / 2, _IDLE_CHECK))

    def _read_pace(self) -> float:
        """Return the seconds of quiet after which a heartbeat is sent.

        A connection on which something was sent lately has somebody who
        waits for it, and is watched closely.  The many that are idle at a
        large fleet would use up the budget for control at that pace.
        """
        active = (
            trio.current_time() - self._posted
            < defaults.CONNECTION_ACTIVE_WINDOW
        )
        return max(defaults.MIN_HEARTBEAT_INTERVAL, self._choose_pace(active))

    async def check(self, timeout: float) -> bool:
        """Send a heartbeat now; return whether anything comes back.

        :param timeout: seconds to wait.
        """
        asked, before = trio.current_time(), self.bytes_received
        with contextlib.suppress(errors.PeerError):
            self._sequence += 1
            self.post(messages.Ping(self._sequence))
            while trio.current_time() < asked + timeout:
                if self.bytes_received > before:
                    return True
                await trio.sleep(_CHECK_STEP)
        return self.bytes_received > before


def _find_first(group: BaseExceptionGroup[Any]) -> BaseException:
    """Return one error of a group, our own before the library's."""
    found: list[BaseException] = [group]
    for error in found:
        if isinstance(error, BaseExceptionGroup):
            found.extend(error.exceptions)
    single = [e for e in found if not isinstance(e, BaseExceptionGroup)]
    return min(single, key=lambda e: not isinstance(e, errors.Error))


def _gather(batch: list[messages.Message]) -> list[messages.Message]:
    """Join neighbouring lists of steps, and of tokens, into one frame.

    Order is kept, and nothing waits for more to gather: only what queued
    up during the previous write goes out together.
    """
    joined: list[messages.Message] = []
    run: list[Any] = []
    kind: type | None = None
    for message in batch:
        if isinstance(message, messages.Steps | messages.Tokens):
            if type(message) is not kind:
                _close_run(joined, kind, run)
                kind, run = type(message), []
            run.extend(message.items)
            continue
        _close_run(joined, kind, run)
        kind, run = None, []
        joined.append(message)
    _close_run(joined, kind, run)
    return joined


def _close_run(
    joined: list[messages.Message], kind: Any, run: list[Any]
) -> None:
    if run:
        joined.append(kind(tuple(run)))
