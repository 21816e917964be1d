"""A sample heartbeat with a value in each field."""

from magnoliacove import peers
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import LayerRange
from magnoliacove.limits import TargetLoad
from magnoliacove.limits.backpressure import ReportedLimit
from magnoliacove.limits.grants import Grant
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.waiting import WaitingSummary
from magnoliacove.platform.eras import MAX_ERA
from magnoliacove.platform.eras import join_revision


def make_heartbeat(name="g-1", sequence=1, named=(), **changes):
    """Return a heartbeat, with some fields changed."""
    values = {
        "name": name,
        "address": "127.0.0.1:1",
        "incarnation": 7,
        "sequence": sequence,
        "data_centre": "a",
        "configuration_version": 12,
        "leaving": False,
        "store_reachable": True,
        "crossings": 3,
        "loads": {"i-1": TargetLoad(2, 9000.0)},
        "suspicions": (
            peers.ReportedSuspicion("i-2", 0.25, "no report", True),
        ),
        "holdings": (
            peers.ReportedEngineStatus(
                "i-1",
                0.5,
                EngineStatus(LayerRange(0, 34), True, 2.0, 10.0, True),
            ),
            peers.ReportedEngineStatus("i-3", 0.0, EngineStatus(None)),
        ),
        "services": {"llm": (30, 2)},
        "recent": {"llm": 6, "desk": 1},
        "counted_for": 1.5,
        "peers": tuple(named),
        "acting": True,
        "newest_change": join_revision(MAX_ERA, 70),
        "store_era": MAX_ERA,
        "crashes": (
            peers.ReportedCrash(
                CrashedRun("00c3b2a190817263", 4_000_000_000, "i-2", 0.125),
                1.5,
            ),
            peers.ReportedCrash(
                CrashedRun("00c3b2a190817263", 7, "i-3", 0.25), 0.5, True
            ),
        ),
        "limits": (
            ReportedLimit("i-4", 1.2, 0.75),
            ReportedLimit("i-5", None, 2.0),
        ),
        "grants": (Grant("i-4", "g-1", 0.5), Grant("i-4", "g-2", 0.75)),
        "answered": {"ffeeddccbbaa9988": 7},
        "quarantines": (
            peers.ReportedQuarantine("00c3b2a190817263", 2, 240.0, 30.5, 4),
        ),
        "waiting": (
            WaitingSummary("llm", 0, 12, 9600.0, 0.75),
            WaitingSummary("llm", 3, 2, 800.0, 4.5),
        ),
        "grant_rates": {"llm": 7.5},
    }
    return peers.Heartbeat(**{**values, **changes})
