"""Reading and writing of HTTP/1.1 messages."""

import asyncio
from dataclasses import dataclass
from dataclasses import field

__all__ = ["Message", "read_message", "write_head"]


@dataclass
class Message:
    """A request or an answer.

    :param first: the words of the first line.
    :param headers: names in lower case.
    :param whole: whether the end of the body was read.
    """

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool = False
) -> Message | None:
    """Return the next message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    try:
        await _read_body(reader, message, is_answer)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.whole = False
    return message


async def _read_body(
    reader: asyncio.StreamReader, message: Message, is_answer: bool
) -> None:
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return
            message.body += part[:-2]
    length = message.headers.get("content-length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif is_answer:
        message.body = await reader.read()


def write_head(first: str, headers: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [first, *(f"{n}: {v}" for n, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")
