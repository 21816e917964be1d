"""The protocol between our own processes."""

from magnoliacove.wire import messages
from magnoliacove.wire.connection import Connection
from magnoliacove.wire.network import Address
from magnoliacove.wire.network import Network
from magnoliacove.wire.network import TlsFiles
from magnoliacove.wire.peer import Peer
from magnoliacove.wire.peer import ask
from magnoliacove.wire.peer import serve_connection

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
