"""How a TCP connection ended: closed in order by the peer, or reset.

An answer without a length ends with its connection.  The kernel reports a
reset only once, to whichever call comes next.  If that is a write, the next
read returns an end of file, as if the peer had closed in order.
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
    """Return whether a connection has ended without a reset.

    It is called after an end of file.  The peer may still answer bytes that
    it has not acknowledged with a reset, as when its process ended before it
    read them.  So this waits until all are acknowledged, or the connection
    is reset.
    """
    while _count_unacknowledged(connection):
        if not _is_connected(connection):
            return False
        await trio.sleep(_INTERVAL)
    return _is_connected(connection)


def reset_on_close(
    connection: trio.socket.SocketType, *, enabled: bool
) -> None:
    """Choose whether closing a connection resets it.

    The kernel does the same with the connections of a process that ends.
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
