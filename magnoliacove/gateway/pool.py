"""Connections to targets: opened, kept while idle, and used again."""

from collections import defaultdict
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import socket

import trio

from magnoliacove import errors
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import Channel
from magnoliacove.gateway.channels import Hear
from magnoliacove.gateway.channels import TargetError
from magnoliacove.wire.network import Address

__all__ = ["ChannelPool"]

# A connection inside a region opens in a few milliseconds; a lost opening
# packet is sent again after a second, which is too late to wait for.
_CONNECT_TIMEOUT = 0.4
# What is sent unacknowledged for so long breaks the connection.  Without
# it a connection through a cut link hangs for many minutes.
_UNSENT_TIMEOUT_MS = 3000


class ChannelPool:
    """Idle connections to targets, and the opening of new ones.

    :param start_soon: starts a task that may outlive an exchange.
    :param hear: told of each answer of a target, whatever it was asked.
    """

    def __init__(
        self,
        start_soon: Callable[..., object] = trio.lowlevel.spawn_system_task,
        hear: Hear = lambda target, answer, path, request: None,
    ) -> None:
        self.opened = 0
        self.start_soon = start_soon
        self._hear = hear
        self._idle: dict[str, list[Channel]] = defaultdict(list)

    @contextlib.asynccontextmanager
    async def use(
        self, target: ListedTarget, *, fresh: bool = False
    ) -> AsyncIterator[Channel]:
        """Hold a connection for one exchange; close it if that breaks.

        Closing is also what ends a target's work when its caller left.

        :param fresh: as for :meth:`acquire`.
        :raises TargetError: when the target cannot be reached; the
            request did not run.
        """
        channel = await self.acquire(target, fresh=fresh)
        whole = False
        try:
            yield channel
            whole = True
        finally:
            if whole:
                await self.release(channel)
            else:
                with trio.CancelScope(shield=True):
                    await channel.close()

    async def acquire(
        self, target: ListedTarget, *, fresh: bool = False
    ) -> Channel:
        """Return a connection for one exchange.

        :param fresh: never one that was used before: a target may drop an
            idle connection just as a request goes out, and whether the
            request ran is then unknown.
        :raises TargetError: when the target cannot be reached; the
            request did not run.
        """
        idle = self._idle[target.name]
        now = trio.current_time()
        while idle:
            channel = idle.pop()
            if not fresh and now < channel.idle_until and channel.is_quiet:
                return channel
            await channel.close()
        stream = await self._open(target.address)
        self.opened += 1
        return Channel(target.name, stream, self.start_soon, self._hear)

    async def release(self, channel: Channel) -> None:
        """Keep a connection after a whole exchange, if it can be kept."""
        if channel.finish(trio.current_time()):
            self._idle[channel.target].append(channel)
            return
        await channel.close()

    async def close_expired(self, known: set[str]) -> None:
        """Close what is idle for too long, or leads to nobody any more."""
        now = trio.current_time()
        for name, idle in list(self._idle.items()):
            for channel in list(idle):
                if now < channel.idle_until and name in known:
                    continue
                idle.remove(channel)
                await channel.close()
            if not idle:
                del self._idle[name]

    async def _open(self, address: Address) -> trio.SocketStream:
        try:
            with trio.fail_after(_CONNECT_TIMEOUT):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as why:
            raise TargetError(
                f"{address} cannot be reached; check that it runs",
                errors.Outcome.NOT_RUN,
                refused=_is_refusal(why),
            ) from why
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNSENT_TIMEOUT_MS
        )
        return stream


def _is_refusal(why: Exception) -> bool:
    """Return whether nobody listens where a connection was to lead."""
    tries = getattr(why.__cause__, "exceptions", (why.__cause__ or why,))
    return all(isinstance(one, ConnectionRefusedError) for one in tries)
