"""The parts of a heartbeat in the form of its schema.

Many items of one kind are encoded as columns: lists of equal length, one for
each field.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import LayerRange
from magnoliacove.limits.backpressure import ReportedLimit
from magnoliacove.limits.grants import Grant
from magnoliacove.limits.load import TargetLoad
from magnoliacove.limits.part_crashes import SoundPart
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.waiting import WaitingSummary
from magnoliacove.peers.reports import ReportedCrash
from magnoliacove.peers.reports import ReportedEngineStatus
from magnoliacove.peers.reports import ReportedQuarantine

__all__ = [
    "read_crash",
    "read_fingerprint",
    "read_grant_rates",
    "read_grants",
    "read_holdings",
    "read_limits",
    "read_loads",
    "read_quarantine",
    "read_sound_part",
    "read_waiting",
    "write_crash",
    "write_grants",
    "write_holdings",
    "write_limits",
    "write_quarantine",
    "write_sound_part",
    "write_waiting",
]

# The encoded rate of a limit that has ended.
_ENDED_RATE = -1.0


def read_fingerprint(item: Any) -> str:
    """Return the fingerprint of an encoded item, as 16 digits."""
    return f"{item.fingerprint:016x}"


def write_crash(item: ReportedCrash) -> dict[str, Any]:
    """Return a crash as fields of the schema."""
    return {
        "fingerprint": int(item.run.fingerprint, 16),
        "attempt": item.run.attempt,
        "target": item.run.target,
        "seconds": int(item.run.seconds * 1000),
        "age": int(item.age * 1000),
        "silent": item.silent,
    }


def read_crash(item: Any) -> ReportedCrash:
    """Return the crash that an encoded item contains."""
    run = CrashedRun(
        read_fingerprint(item),
        item.attempt,
        item.target,
        item.seconds / 1000,
    )
    return ReportedCrash(run, item.age / 1000, item.silent)


def write_sound_part(item: SoundPart) -> dict[str, int]:
    """Return a cleared part of prompts as fields of the schema."""
    return {
        "fingerprint": int(item.fingerprint, 16),
        "age": int(item.age * 1000),
    }


def read_sound_part(item: Any) -> SoundPart:
    """Return the cleared part that an encoded item contains."""
    return SoundPart(read_fingerprint(item), item.age / 1000)


def write_quarantine(item: ReportedQuarantine) -> dict[str, Any]:
    """Return a quarantine as fields of the schema."""
    return {
        "fingerprint": int(item.fingerprint, 16),
        "round": item.round,
        "seconds": int(item.seconds * 1000),
        "age": int(item.age * 1000),
        "crashes": item.crashes,
    }


def read_quarantine(item: Any) -> ReportedQuarantine:
    """Return the quarantine that an encoded item contains."""
    return ReportedQuarantine(
        read_fingerprint(item),
        item.round,
        item.seconds / 1000,
        item.age / 1000,
        item.crashes,
    )


def write_limits(items: Sequence[ReportedLimit]) -> dict[str, list[Any]]:
    """Return limits as columns of the schema."""
    return {
        "targets": [item.target for item in items],
        "rates": [
            item.rate if item.rate is not None else _ENDED_RATE
            for item in items
        ],
        "ages": [int(item.age * 1000) for item in items],
    }


def read_limits(read: Any) -> tuple[ReportedLimit, ...]:
    """Return the limits that encoded columns contain."""
    columns = zip(read.targets, read.rates, read.ages, strict=True)
    return tuple(
        ReportedLimit(target, rate if rate >= 0.0 else None, age / 1000)
        for target, rate, age in columns
    )


def write_grants(items: Sequence[Grant]) -> dict[str, list[Any]]:
    """Return grants as columns of the schema."""
    return {
        "targets": [item.target for item in items],
        "gateways": [item.gateway for item in items],
        "rates": [item.rate for item in items],
    }


def read_grants(read: Any) -> tuple[Grant, ...]:
    """Return the grants that encoded columns contain."""
    columns = zip(read.targets, read.gateways, read.rates, strict=True)
    return tuple(Grant(*column) for column in columns)


def write_waiting(
    items: Sequence[WaitingSummary], grant_rates: Mapping[str, float]
) -> dict[str, list[Any]]:
    """Return what waits, and the grant rates, as columns."""
    return {
        "services": [item.service for item in items],
        "priorities": [item.priority for item in items],
        "requests": [item.requests for item in items],
        "tokens": [int(item.tokens) for item in items],
        "ages": [int(item.oldest * 1000) for item in items],
        "grantRates": [grant_rates.get(item.service, 0.0) for item in items],
    }


def read_waiting(read: Any) -> tuple[WaitingSummary, ...]:
    """Return what waits by the encoded columns."""
    columns = zip(
        read.services,
        read.priorities,
        read.requests,
        read.tokens,
        read.ages,
        strict=True,
    )
    return tuple(
        WaitingSummary(service, priority, requests, float(tokens), age / 1000)
        for service, priority, requests, tokens, age in columns
    )


def read_grant_rates(read: Any) -> dict[str, float]:
    """Return requests a second that get capacity, by service."""
    return dict(zip(read.services, read.grantRates, strict=True))


def read_loads(read: Any) -> dict[str, TargetLoad]:
    """Return the loads by target that encoded columns contain."""
    columns = zip(read.targets, read.requests, read.tokenLayers, strict=True)
    return {
        target: TargetLoad(requests, float(token_layers))
        for target, requests, token_layers in columns
    }


def write_holdings(
    items: Sequence[ReportedEngineStatus],
) -> dict[str, list[Any]]:
    """Return the status of engines as columns of the schema."""
    holdings = [item.holding for item in items]
    ranges = [holding.layers or LayerRange(0, 0) for holding in holdings]
    return {
        "targets": [item.target for item in items],
        "ages": [int(item.age * 1000) for item in items],
        "firsts": [layers.first for layers in ranges],
        "ends": [layers.end for layers in ranges],
        "loading": [holding.loading for holding in holdings],
        "slowness": [holding.slowness for holding in holdings],
        "used": [int(holding.used) for holding in holdings],
        "moving": [holding.moving for holding in holdings],
    }


def read_holdings(read: Any) -> tuple[ReportedEngineStatus, ...]:
    """Return the status of engines that encoded columns contain."""
    columns = zip(
        read.targets,
        read.ages,
        read.firsts,
        read.ends,
        read.loading,
        read.slowness,
        read.used,
        read.moving,
        strict=True,
    )
    return tuple(
        ReportedEngineStatus(
            target,
            age / 1000,
            EngineStatus(
                LayerRange(first, end) if end > first else None,
                loading,
                slowness,
                float(used),
                moving,
            ),
        )
        for target, age, first, end, loading, slowness, used, moving in columns
    )
