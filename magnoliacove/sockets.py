"""Listening sockets, without anything that takes long to load."""

import socket

__all__ = ["bind_socket"]

# Connections that wait to be taken.  Those of a gateway that still loads
# its modules wait here for up to half a second.
_BACKLOG = 512


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket, so that port 0 can be asked for.

    :raises OSError: when the address cannot be listened on.
    """
    listener = socket.socket(
        socket.AF_INET6 if ":" in host else socket.AF_INET
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(_BACKLOG)
    listener.setblocking(False)
    return listener
