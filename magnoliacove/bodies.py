"""Bodies of messages, kept in blocks that are not copied."""

from collections.abc import Iterator

import h11

__all__ = ["Body", "Buffer", "encode_body"]

Buffer = bytes | memoryview

# Blocks of one size do not fragment the heap, and growing one copies little.
_BLOCK_BYTES = 64 * 1024


class Body:
    """A body that grows by parts.

    :param data: the first part.
    """

    def __init__(self, data: bytes = b"") -> None:
        self._blocks: list[bytearray] = []
        self._size = 0
        self.append(data)

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add a part."""
        rest = memoryview(data)
        self._size += len(rest)
        while rest:
            if not self._blocks or len(self._blocks[-1]) == _BLOCK_BYTES:
                self._blocks.append(bytearray())
            block = self._blocks[-1]
            free = _BLOCK_BYTES - len(block)
            block += rest[:free]
            rest = rest[free:]

    def read_blocks(self) -> Iterator[memoryview]:
        """Return the parts; the body must not grow while they are used."""
        return map(memoryview, tuple(self._blocks))

    def join(self) -> bytes:
        """Return a copy of the whole body."""
        return b"".join(self._blocks)

    def clear(self) -> None:
        """Drop the bytes, also where the body is still referred to."""
        self._blocks.clear()
        self._size = 0


def encode_body(
    parser: h11.Connection, body: bytes | Body
) -> Iterator[Buffer]:
    """Return the parts of a body to send, of which none is a copy.

    :param parser: the connection, whose message announced the length.
    """
    blocks = body.read_blocks() if isinstance(body, Body) else (body,)
    for block in filter(len, blocks):
        event = h11.Data(data=block)  # type: ignore[arg-type]
        yield from parser.send_with_data_passthrough(event) or ()
