"""What gateways tell each other without the platform's store."""

from magnoliacove.peers.heartbeats import Heartbeat
from magnoliacove.peers.heartbeats import Heartbeats
from magnoliacove.peers.heartbeats import Peer
from magnoliacove.peers.heartbeats import ReportedHolding
from magnoliacove.peers.heartbeats import ReportedSuspicion

__all__ = [
    "Heartbeat",
    "Heartbeats",
    "Peer",
    "ReportedHolding",
    "ReportedSuspicion",
]
