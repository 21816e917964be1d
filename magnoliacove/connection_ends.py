"""How a connection over TCP ended: in order, or broken off.

An answer without a length ends with its connection.  The kernel reports that
a connection broke only once, to whichever call comes next; if that is a
write, the next read returns a plain end, as if the peer had closed in order.
"""

import errno
import fcntl
import socket
import struct
import sys
import termios

import trio

__all__ = ["ended_in_order", "reset_on_close"]

# Seconds between two looks at what the peer has not acknowledged yet.
_INTERVAL = 0.01
# Values of SO_LINGER: whether close waits, and for how many seconds.
_RESET = struct.pack("ii", 1, 0)
_IN_ORDER = struct.pack("ii", 0, 0)


async def ended_in_order(connection: trio.socket.SocketType) -> bool:
    """Return whether a peer that sent its end has closed in order.

    Bytes that the peer has not acknowledged may still be answered with a
    reset, as when it closed or its process was lost before it read them.  So
    this waits until the peer has them all, or the connection is broken.
    """
    while _count_unacknowledged(connection):
        if not _is_connected(connection):
            return False
        await trio.sleep(_INTERVAL)
    return _is_connected(connection)


def reset_on_close(
    connection: trio.socket.SocketType, *, enabled: bool
) -> None:
    """Choose whether the end of a connection looks broken off to its peer.

    It applies to each end, also to that of this process.
    """
    connection.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        _RESET if enabled else _IN_ORDER,
    )


def _is_connected(connection: trio.socket.SocketType) -> bool:
    """Return whether a connection was not reset."""
    try:
        connection.getpeername()
    except OSError as exc:
        return exc.errno != errno.ENOTCONN
    return True


def _count_unacknowledged(connection: trio.socket.SocketType) -> int:
    """Return the bytes sent that the peer's kernel has not acknowledged."""
    count = bytearray(4)
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        # Not every kernel tells; then a write that failed is all that is
        # known.
        return 0
    return int.from_bytes(count, sys.byteorder)
