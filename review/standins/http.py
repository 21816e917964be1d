"""The little of HTTP/1.1 that the stand-ins need, on asyncio streams."""

import asyncio
from dataclasses import dataclass

__all__ = ["ClosedError", "Message", "read_message", "write_message"]

_REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class ClosedError(Exception):
    """The peer closed the channel in the middle of a message, or before it."""


@dataclass(frozen=True)
class Message:
    """A request or a response.

    :param first: the first line, split at spaces.
    :param headers: names in lower case.
    :param whole: whether the body is complete.
    """

    first: tuple[str, ...]
    headers: dict[str, str]
    body: bytes
    whole: bool = True

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message.

    :raises ClosedError: when the channel ends before the head is complete.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise ClosedError from exc
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    first = tuple(lines[0].split(" ", 2))
    body = bytearray()
    whole = True
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).strip() or b"x", 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            length = int(headers.get("content-length", 0))
            body += await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        whole = False
    return Message(first, headers, bytes(body), whole)


async def write_message(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Write a whole response."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()
