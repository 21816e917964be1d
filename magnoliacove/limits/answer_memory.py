"""Memory for answers of targets that are read whole before they are forwarded.

A target in trouble may send a body without end, to many requests at once.
Each body may grow while the account of all that is held for callers has room
for it, so that few long answers fit, and many endless ones stop each other
early without taking the memory of short ones.
"""

from magnoliacove import errors
from magnoliacove.bodies import Body
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.caller_memory import Content

__all__ = [
    "MAX_BODY",
    "AnswerMemory",
    "AnswerTooLongError",
    "BodyBuffer",
]

# Bytes of one body.
MAX_BODY = 8 * 1024 * 1024
# Number of short parts of one body, and the length in bytes from which a part
# is not short.  Each costs processor time, however short it is.
MAX_SHORT_PARTS = 4096
_SHORT_PART = 512


class AnswerTooLongError(errors.Error):
    """A body is longer than the memory for it."""


class AnswerMemory:
    """The memory that the bodies of one process share.

    :param memory: the account of all that is held for callers.
    """

    def __init__(self, memory: CallerMemory | None = None) -> None:
        self.memory = memory or CallerMemory()

    @property
    def used(self) -> int:
        """The bytes of the bodies that are held now."""
        return self.memory.used_by[Content.ANSWERS]

    def open(
        self,
        max_bytes: int = MAX_BODY,
        max_short_parts: int = MAX_SHORT_PARTS,
    ) -> "BodyBuffer":
        """Return a buffer for one body."""
        allocation = Allocation(self.memory, Content.ANSWERS)
        return BodyBuffer(allocation, max_bytes, max_short_parts)


class BodyBuffer:
    """One body, whose memory is returned when the buffer is left.

    :param body: the bytes that have been read.
    """

    def __init__(
        self, allocation: Allocation, max_bytes: int, max_short_parts: int
    ) -> None:
        self.body = Body()
        self._max_bytes = max_bytes
        self._short_parts_left = max_short_parts
        self._allocation = allocation

    async def reserve(self, length: int) -> None:
        """Wait until there is memory for a body of a known length.

        :raises AnswerTooLongError: when there is none for some time.
        """
        self._check_length(length)
        if not await self._allocation.resize(length):
            raise self._make_error(length)

    def add(self, part: bytes) -> None:
        """Add the next part of the body.

        :raises AnswerTooLongError: when there is no memory for it.
        """
        size = len(self.body) + len(part)
        self._check_length(size)
        self._short_parts_left -= len(part) < _SHORT_PART
        if self._short_parts_left < 0:
            raise AnswerTooLongError(
                f"the answer has {len(self.body)} bytes in too many parts"
            )
        reserved = size <= self._allocation.size
        if not reserved and not self._allocation.try_resize(size):
            raise self._make_error(size)
        self.body.append(part)

    def release(self) -> None:
        """Return the memory."""
        self.body.clear()
        self._allocation.shrink(0)

    def _check_length(self, length: int) -> None:
        if length > self._max_bytes:
            raise AnswerTooLongError(
                f"the answer is longer than {self._max_bytes} bytes"
            )

    def _make_error(self, length: int) -> AnswerTooLongError:
        return AnswerTooLongError(
            f"there is no memory for {length} bytes of the answer"
        )

    def __enter__(self) -> "BodyBuffer":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
