"""Memory for answers of targets that are read whole before they are forwarded.

A target in trouble may send a body without end, to many requests at once.  The
bytes of all such bodies together are bounded, and so is each one: it may grow
by as much as the others leave free.  Few long answers therefore fit, and many
endless ones stop each other early without taking the memory of short ones.
"""

from magnoliacove import errors

__all__ = [
    "MAX_BODIES",
    "MAX_BODY",
    "AnswerMemory",
    "AnswerTooLongError",
    "BodyBuffer",
]

# Bytes of one body and of all bodies together.  A gateway has a few hundred
# megabytes, and a body is copied a few times on its way.
MAX_BODY = 8 * 1024 * 1024
MAX_BODIES = 32 * 1024 * 1024
# Number of short parts of one body, and the length in bytes from which a part
# is not short.  Each costs processor time, however short it is.
MAX_SHORT_PARTS = 4096
_SHORT_PART = 512


class AnswerTooLongError(errors.Error):
    """A body is longer than the memory for it."""


class AnswerMemory:
    """The memory that the bodies of one process share.

    :param capacity: in bytes.
    :param used: bytes of the bodies that are held now.
    """

    def __init__(self, capacity: int = MAX_BODIES) -> None:
        self.capacity = capacity
        self.used = 0

    def open(
        self,
        max_bytes: int = MAX_BODY,
        max_short_parts: int = MAX_SHORT_PARTS,
    ) -> "BodyBuffer":
        """Return a buffer for one body."""
        return BodyBuffer(self, max_bytes, max_short_parts)


class BodyBuffer:
    """One body, whose memory is returned when the buffer is left.

    :param body: the bytes that have been read.
    """

    def __init__(
        self, memory: AnswerMemory, max_bytes: int, max_short_parts: int
    ) -> None:
        self.body = bytearray()
        self._memory = memory
        self._max_bytes = max_bytes
        self._short_parts_left = max_short_parts

    def add(self, part: bytes) -> None:
        """Add the next part of the body.

        :raises AnswerTooLongError: when there is no memory for it.
        """
        memory = self._memory
        free = memory.capacity - memory.used
        limit = min(self._max_bytes, free)
        if len(self.body) + len(part) > limit:
            raise AnswerTooLongError(
                f"the answer is longer than the {limit} bytes that are left "
                "for it"
            )
        self._short_parts_left -= len(part) < _SHORT_PART
        if self._short_parts_left < 0:
            raise AnswerTooLongError(
                f"the answer has {len(self.body)} bytes in too many parts"
            )
        self.body += part
        memory.used += len(part)

    def release(self) -> None:
        """Return the memory."""
        self._memory.used -= len(self.body)
        self.body = bytearray()

    def __enter__(self) -> "BodyBuffer":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
