"""Stand-ins for clients."""

import asyncio
from dataclasses import dataclass
import itertools

from standins.http import ClosedError
from standins.http import Message
from standins.http import read_message
from standins.servers import Record

__all__ = ["Reply", "send"]

_numbers = itertools.count(1)


@dataclass(frozen=True)
class Reply:
    """How one client attempt ended.

    :param number: its ``X-Request-Id``.
    :param sent_at: seconds since the start of the case.
    :param status: 0 where there was no whole answer.
    :param genuine: whether it is a 200 with the receipt and a whole body.
    """

    number: str
    sent_at: float
    status: int
    genuine: bool = False


async def send(
    address: tuple[str, int],
    method: str,
    path: str,
    record: Record,
    *,
    headers: dict[str, str],
    limit: float,
) -> Reply:
    """Send one attempt on a new channel, and wait for its end.

    :param limit: seconds that the client waits.
    """
    number = f"{next(_numbers):016x}"
    sent_at = record.now()
    record.note(f"request {number} {method} {path} sent to {address[0]}")
    message: Message | None = None
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: review.example",
                f"X-Request-Id: {number}",
                f"X-Deadline-Ms: {int(limit * 1000)}",
                "Content-Length: 0",
            ]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            message = await read_message(reader)
    except (TimeoutError, OSError, ClosedError) as exc:
        record.note(f"request {number} ends without an answer: {exc!r}")
    finally:
        if writer is not None:
            writer.close()
    if message is None or not message.whole:
        return Reply(number, sent_at, 0)
    genuine = message.status == 200 and "x-response-stamp" in message.headers
    stamp = message.headers.get("x-response-stamp", "none")
    record.note(f"request {number} answered {message.status}, receipt {stamp}")
    return Reply(number, sent_at, message.status, genuine)
