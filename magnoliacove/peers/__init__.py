"""Direct exchange of state among gateways, without the platform's store."""

from magnoliacove.peers.datagram import Heartbeat
from magnoliacove.peers.heartbeats import Heartbeats
from magnoliacove.peers.heartbeats import Peer
from magnoliacove.peers.reports import ReportedCrash
from magnoliacove.peers.reports import ReportedEngineStatus
from magnoliacove.peers.reports import ReportedQuarantine
from magnoliacove.peers.reports import ReportedSuspicion

__all__ = [
    "Heartbeat",
    "Heartbeats",
    "Peer",
    "ReportedCrash",
    "ReportedEngineStatus",
    "ReportedQuarantine",
    "ReportedSuspicion",
]
