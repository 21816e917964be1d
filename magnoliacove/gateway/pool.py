"""Pool of reusable connections to targets."""

from collections import defaultdict
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import socket

import trio

from magnoliacove import errors
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import AnswerListener
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import TargetError
from magnoliacove.wire.network import Address

__all__ = ["ChannelPool"]

# Seconds to wait for a connection to open.  Inside a region this takes a few
# milliseconds; a lost SYN packet is sent again after a second, which is too
# late to wait for.
_CONNECT_TIMEOUT = 0.4
# Milliseconds that sent data may stay unacknowledged before the connection
# breaks.  Without this a connection through a cut link hangs for many minutes.
_UNACKNOWLEDGED_TIMEOUT_MS = 3000


class ChannelPool:
    """Keeps idle connections to targets and opens new ones.

    :param start_soon: starts a task that may outlive an exchange.
    :param on_answer: called for each answer of a target, to any request.
    """

    def __init__(
        self,
        start_soon: Callable[..., object] = trio.lowlevel.spawn_system_task,
        on_answer: AnswerListener = lambda target, answer, path, request: None,
    ) -> None:
        self.opened = 0
        self.start_soon = start_soon
        self._on_answer = on_answer
        self._idle: dict[str, list[Channel]] = defaultdict(list)

    @contextlib.asynccontextmanager
    async def use(
        self, target: ListedTarget, *, fresh: bool = False
    ) -> AsyncIterator[Channel]:
        """Provide a connection for one exchange; close it if that fails.

        Closing it also stops the target's work after a caller disconnected.

        :param fresh: as for :meth:`acquire`.
        :raises TargetError: when the target cannot be reached; the
            request did not run.
        """
        channel = await self.acquire(target, fresh=fresh)
        completed = False
        try:
            yield channel
            completed = True
        finally:
            if completed:
                await self.release(channel)
            else:
                with trio.CancelScope(shield=True):
                    await channel.close()

    async def acquire(
        self, target: ListedTarget, *, fresh: bool = False
    ) -> Channel:
        """Return a connection for one exchange.

        :param fresh: open a new connection.  A target may close an idle one
            just as a request is sent, and then it is unknown whether the
            request ran.
        :raises TargetError: when the target cannot be reached; the
            request did not run.
        """
        idle = self._idle[target.name]
        now = trio.current_time()
        while idle:
            channel = idle.pop()
            if not fresh and now < channel.idle_until and channel.has_no_input:
                return channel
            await channel.close()
        stream = await self._open(target.address)
        self.opened += 1
        return Channel(target.name, stream, self.start_soon, self._on_answer)

    async def release(self, channel: Channel) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if channel.finish(trio.current_time()):
            self._idle[channel.target].append(channel)
            return
        await channel.close()

    async def close_expired(self, listed: set[str]) -> None:
        """Close connections that expired or whose targets are not listed."""
        now = trio.current_time()
        for name, idle in list(self._idle.items()):
            for channel in list(idle):
                if now < channel.idle_until and name in listed:
                    continue
                idle.remove(channel)
                await channel.close()
            if not idle:
                del self._idle[name]

    async def _open(self, address: Address) -> trio.SocketStream:
        try:
            with trio.fail_after(_CONNECT_TIMEOUT):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as exc:
            raise TargetError(
                f"{address} cannot be reached; check that it runs",
                errors.Outcome.NOT_RUN,
                refused=_is_refused(exc),
            ) from exc
        stream.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_TIMEOUT_MS,
        )
        return stream


def _is_refused(exc: Exception) -> bool:
    """Return whether the instance refused all attempts to connect."""
    failures = getattr(exc.__cause__, "exceptions", (exc.__cause__ or exc,))
    return all(isinstance(error, ConnectionRefusedError) for error in failures)
