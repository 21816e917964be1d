"""Direct exchange of state among gateways, without the platform's store."""

from magnoliacove.peers.datagram import Heartbeat
from magnoliacove.peers.datagram import ReportedCrash
from magnoliacove.peers.datagram import ReportedEngineStatus
from magnoliacove.peers.datagram import ReportedQuarantine
from magnoliacove.peers.datagram import ReportedSuspicion
from magnoliacove.peers.heartbeats import Heartbeats
from magnoliacove.peers.heartbeats import Peer

__all__ = [
    "Heartbeat",
    "Heartbeats",
    "Peer",
    "ReportedCrash",
    "ReportedEngineStatus",
    "ReportedQuarantine",
    "ReportedSuspicion",
]
