"""Memory and descriptors that a process uses for its callers.

Callers that nobody controls come in any number, send as much as they may, and
stay.  Whatever a process holds for them (connections, requests that are read,
requests in progress, answers) draws on one account, whose size follows from
the memory of the process.

What one caller holds may grow only while at least as much stays free (a
dynamic threshold).  So large bodies stop while there is memory for smaller
ones, and a few large ones fit where many do not.  Requests and answers each
leave the other a share.  When memory is short, the oldest of these are
evicted: connections that close or are idle, and requests and answers that take
long to be sent or read.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import enum
import math
import types

import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.limits.memory_limits import MemoryLimits
from magnoliacove.limits.memory_limits import divide_limits

__all__ = [
    "ACTIVE_CONNECTION_BYTES",
    "IDLE_CONNECTION_BYTES",
    "NO_MEMORY_RETRY",
    "Allocation",
    "CallerMemory",
    "Content",
    "EvictableBlock",
    "Use",
    "hold_part",
    "make_caller_memory",
    "make_no_memory",
    "release_part",
]

_MB = 1024 * 1024
# Bytes that an idle connection holds: its task, parser and socket.
IDLE_CONNECTION_BYTES = 16 * 1024
# Bytes of one that is used: also a head or a short body, requests that follow,
# what waits in the kernel, and the tasks and the connection to a target.
ACTIVE_CONNECTION_BYTES = 96 * 1024
# Bytes of the message that holds a part of an answer, besides the part.
_PART_BYTES = 512
# Seconds that a caller waits for memory, so that what becomes stale is gone
# before; and between two attempts.
_MAX_WAIT = 3.0
_RETRY_INTERVAL = 0.1
# Seconds after which a caller may retry whose request found no memory.
NO_MEMORY_RETRY = 1.0
# Seconds after a refusal for which memory counts as short.
_SHORTAGE_TIME = 1.0


class Content(enum.Enum):
    """What memory is held for."""

    REQUESTS = enum.auto()
    ANSWERS = enum.auto()


# Share of the memory that is reserved for each content.  Without it requests
# in progress would wait for each other's end, as none could read its answer,
# and unread answers would keep out all requests.
_SHARES = {Content.REQUESTS: 0.25, Content.ANSWERS: 0.25}
_OTHERS = {
    Content.REQUESTS: Content.ANSWERS,
    Content.ANSWERS: Content.REQUESTS,
}


class Use(enum.Enum):
    """What a connection is used for while others may need its memory."""

    CLOSING = enum.auto()
    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    WRITING = enum.auto()


# Seconds that a use may take once memory is short.
_STALE_TIMES = {
    Use.CLOSING: 0.0,
    Use.IDLE: 0.0,
    Use.HEAD: 0.5,
    Use.BODY: 2.0,
    Use.WRITING: 2.0,
}
_STALE_USES = (Use.HEAD, Use.BODY, Use.WRITING)
# Which uses end first, for a new connection and for the bytes of a message.
# An idle connection costs its caller a new one, a stale request costs more;
# but large bodies must not close the idle connections of everybody.
_ORDER_FOR_CONNECTIONS = (Use.CLOSING, Use.IDLE, *_STALE_USES)
_ORDER_FOR_MESSAGES = (Use.CLOSING, *_STALE_USES, Use.IDLE)


def make_caller_memory(
    memory_mb: int = defaults.PROCESS_MEMORY_MB,
) -> "CallerMemory":
    """Return the account of a process whose server keeps the connections.

    :param memory_mb: megabytes that the process may use.
    """
    limits, _ = divide_limits(memory_mb * _MB, defaults.PROCESS_DESCRIPTORS)
    return CallerMemory(limits)


def hold_part(allocation: "Allocation", part: bytes) -> None:
    """Count a part of an answer that is held until others have taken it.

    A target in trouble sends parts without end.

    :raises magnoliacove.errors.RequestError: when there is no memory for it.
    """
    size = allocation.size + len(part) + _PART_BYTES
    if allocation.try_resize(size):
        return
    raise errors.RequestError(
        "target_failed",
        f"there is no memory for {size} bytes of the answer; the request may "
        "have run",
        status=502,
        outcome=errors.Outcome.MAY_HAVE_RUN,
    )


def release_part(allocation: "Allocation", part: bytes) -> None:
    """Return the memory of a part that was held."""
    allocation.shrink(allocation.size - len(part) - _PART_BYTES)


def make_no_memory() -> errors.RequestError:
    """Return the error for a request for which there is no memory."""
    return errors.RequestError(
        "no_memory",
        "this entry holds too much for its callers; the request did not run",
        retry_after=NO_MEMORY_RETRY,
    )


class Allocation:
    """What is held for one connection or one message.

    :param memory: the account that it draws on.
    :param size: in bytes.
    """

    def __init__(self, memory: "CallerMemory", content: Content) -> None:
        self.size = 0
        self.content = content
        self.memory = memory

    def try_resize(self, size: int) -> bool:
        """Change the size, if there is memory; return whether there is."""
        fits = self.memory.try_resize(self, size)
        if not fits:
            self.memory.note_refused()
        return fits

    async def resize(self, size: int) -> bool:
        """Change the size, and wait for memory; return whether there is.

        What can never fit is refused at once.
        """
        if self.memory.try_resize(self, size):
            return True
        if self.memory.may_ever_fit(size):
            deadline = trio.current_time() + _MAX_WAIT
            while trio.current_time() < deadline:
                await trio.sleep(_RETRY_INTERVAL)
                if self.memory.try_resize(self, size):
                    return True
        self.memory.note_refused()
        return False

    def shrink(self, size: int) -> None:
        """Return the memory beyond a size."""
        if size < self.size:
            self.memory.set_size(self, size)

    def evictable(
        self, use: Use, timeout: float = math.inf
    ) -> "EvictableBlock":
        """Allow that a block is cancelled to make room for others.

        :param timeout: seconds after which it is cancelled in any case.
        """
        return EvictableBlock(self, use, timeout)


class EvictableBlock:
    """A block that may be cancelled, as a context of its cancel scope.

    Several surround each request, so it is no generator, which would cost a
    multiple.

    :param since: when it began, by trio's clock.
    :param evicted: whether it was cancelled to make room for others.
    """

    def __init__(
        self, allocation: Allocation, use: Use, timeout: float
    ) -> None:
        self.since = trio.current_time()
        self.evicted = False
        self.allocation = allocation
        self.use = use
        self.scope = trio.CancelScope(deadline=self.since + timeout)

    @property
    def cancelled_caught(self) -> bool:
        """Whether the block ended early."""
        return self.scope.cancelled_caught

    def evict(self) -> None:
        """End the block for others."""
        self.evicted = True
        self.scope.cancel()

    def __enter__(self) -> "EvictableBlock":
        self.scope.__enter__()
        self.allocation.memory.add_evictable(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool | None:
        self.allocation.memory.remove_evictable(self)
        return self.scope.__exit__(kind, error, traceback)


class CallerMemory:
    """The account of one process.

    :param used: bytes that are held now; `used_by` has them by content.
    :param connections: number of open connections.
    :param evicted: how often a use was ended for others.
    :param refused: how often there was no memory.
    """

    def __init__(self, limits: MemoryLimits | None = None) -> None:
        self.limits = limits or MemoryLimits()
        self.connections = 0
        self.evicted = 0
        self.refused = 0
        self._refused_at = -math.inf
        self.used = 0
        self.used_by = dict.fromkeys(Content, 0)
        # In the order in which they began.
        self._evictable: dict[Use, dict[EvictableBlock, None]] = {
            use: {} for use in Use
        }

    @contextlib.contextmanager
    def allocate(self, content: Content) -> Iterator[Allocation]:
        """Provide an allocation, which is returned at the end of the block."""
        allocation = Allocation(self, content)
        try:
            yield allocation
        finally:
            allocation.shrink(0)

    @contextlib.contextmanager
    def open_connection(self) -> Iterator[Allocation | None]:
        """Provide an allocation for a connection, None if there is none."""
        self.connections += 1
        try:
            with self.allocate(Content.REQUESTS) as allocation:
                yield allocation if self._admit(allocation) else None
        finally:
            self.connections -= 1

    def try_resize(self, allocation: Allocation, size: int) -> bool:
        """Change an allocation's size, and evict what may end for it."""
        return self._make_room(allocation, size, _ORDER_FOR_MESSAGES)

    def may_ever_fit(self, size: int) -> bool:
        """Return whether there may be memory when nothing else is held."""
        return size <= self.limits.memory * (1 - max(_SHARES.values())) / 2

    def set_size(self, allocation: Allocation, size: int) -> None:
        """Change the size of an allocation, whether it fits or not."""
        self.used += size - allocation.size
        self.used_by[allocation.content] += size - allocation.size
        allocation.size = size

    def note_refused(self) -> None:
        """Note that there was no memory for something."""
        self.refused += 1
        self._refused_at = trio.current_time()

    def is_short(self) -> bool:
        """Return whether there was no memory for something a moment ago."""
        return trio.current_time() - self._refused_at < _SHORTAGE_TIME

    def add_evictable(self, block: EvictableBlock) -> None:
        """Let a block end when others need its memory."""
        self._evictable[block.use][block] = None

    def remove_evictable(self, block: EvictableBlock) -> None:
        """Forget a block that has ended."""
        self._evictable[block.use].pop(block, None)

    def _admit(self, allocation: Allocation) -> bool:
        """Return whether a new connection may stay."""
        order = _ORDER_FOR_CONNECTIONS
        excess = self.connections - self.limits.connections
        admitted = (
            excess <= 0 or self._evict_next(order, allocation)
        ) and self._make_room(allocation, IDLE_CONNECTION_BYTES, order)
        if not admitted:
            self.note_refused()
        return admitted

    def _make_room(
        self, allocation: Allocation, size: int, order: Sequence[Use]
    ) -> bool:
        while not self._fits(allocation, size):
            if not self._evict_next(order, allocation):
                return False
        self.set_size(allocation, size)
        return True

    def _fits(self, allocation: Allocation, size: int) -> bool:
        if size <= allocation.size:
            return True
        free = self.limits.memory - self.used + allocation.size - size
        other = _OTHERS[allocation.content]
        left = int(_SHARES[other] * self.limits.memory) - self.used_by[other]
        return free - max(0, left) >= size

    def _evict_next(self, order: Sequence[Use], needs: Allocation) -> bool:
        """End one use for an allocation; return whether there was any."""
        now = trio.current_time()
        for use in order:
            for block in self._evictable[use]:
                if block.since > now - _STALE_TIMES[use]:
                    break
                if block.allocation is needs:
                    continue
                self._evict(block)
                return True
        return False

    def _evict(self, block: EvictableBlock) -> None:
        self.remove_evictable(block)
        # The bytes count as free at once; the cancelled task drops them in the
        # next round of the scheduler.
        block.allocation.shrink(0)
        block.evict()
        self.evicted += 1
