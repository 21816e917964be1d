"""The protocol between magnoliacove processes."""

from typing import TYPE_CHECKING

from magnoliacove.lazy import export_lazily

if TYPE_CHECKING:
    from magnoliacove.wire import messages
    from magnoliacove.wire.connection import Connection
    from magnoliacove.wire.network import Address
    from magnoliacove.wire.network import Network
    from magnoliacove.wire.network import TlsFiles
    from magnoliacove.wire.peer import Peer
    from magnoliacove.wire.peer import ask
    from magnoliacove.wire.peer import serve_connection
else:
    __getattr__ = export_lazily(
        __name__,
        {
            "Connection": "connection",
            "Address": "network",
            "Network": "network",
            "TlsFiles": "network",
            "Peer": "peer",
            "ask": "peer",
            "serve_connection": "peer",
        },
    )

__all__ = [
    "Address",
    "Connection",
    "Network",
    "Peer",
    "TlsFiles",
    "ask",
    "messages",
    "serve_connection",
]
