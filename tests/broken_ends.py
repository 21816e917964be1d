"""Ways in which a stand-in ends the connection of an answer too early."""

import socket
import struct

import trio

__all__ = ["BREAKS", "close_in_order", "reset"]

# Seconds within which the other end has read what was sent.
_READ_TIME = 0.05
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def reset(stream):
    """Reset the connection once the other end has read what was sent."""
    await trio.sleep(_READ_TIME)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    await trio.aclose_forcefully(stream)


async def reset_late(stream):
    """Reset the connection while the other end waits for more."""
    await trio.sleep(0.3)
    await reset(stream)


async def end_then_reset(stream):
    """Close the own end, and reset the connection before all has come."""
    await stream.send_eof()
    await reset(stream)


async def close_unread(stream):
    """Close with the upload unread, as the kernel does for a lost process."""
    await trio.sleep(_READ_TIME)
    await trio.aclose_forcefully(stream)


async def close_in_order(stream):
    """Close the own end, then read the rest of the upload."""
    await stream.send_eof()
    while await stream.receive_some(65536):
        continue


BREAKS = (reset, reset_late, end_then_reset, close_unread)
