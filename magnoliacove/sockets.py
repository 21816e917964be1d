"""Listening sockets.

This module imports nothing that is slow to load.
"""

import socket

__all__ = ["bind_socket"]

# Connections that the kernel queues until they are accepted.  While a
# gateway loads its modules, they wait there for up to half a second.
_BACKLOG = 512


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket.

    With port 0 the operating system chooses the port, which the caller
    reads from the socket.

    :raises OSError: when the address cannot be bound.
    """
    listener = socket.socket(
        socket.AF_INET6 if ":" in host else socket.AF_INET
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener
