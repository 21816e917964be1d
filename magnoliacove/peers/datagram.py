"""The encoding of a gateway's heartbeat as one datagram."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import functools
import pathlib
from typing import Any
import zlib

from magnoliacove import errors
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import LayerRange
from magnoliacove.limits.backpressure import ReportedLimit
from magnoliacove.limits.grants import Grant
from magnoliacove.limits.load import TargetLoad
from magnoliacove.limits.part_crashes import SoundPart
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.waiting import WaitingSummary

__all__ = [
    "Heartbeat",
    "ReportedCrash",
    "ReportedEngineStatus",
    "ReportedQuarantine",
    "ReportedSuspicion",
]

# The encoded rate of a limit that has ended.
_ENDED_RATE = -1.0
# The zlib level.  Names of targets make up most of a heartbeat and repeat in
# it, so the fastest level is sufficient.  A datagram is compressed once for
# all peers.
_COMPRESSION_LEVEL = 1


@functools.cache
def _load_schema() -> Any:
    """Return the schema, loaded with the first heartbeat.

    So a starting process answers its callers before it loads the schema.
    """
    import capnp

    path = pathlib.Path(__file__).with_name("heartbeat.capnp")
    return capnp.load(str(path))


@dataclass(frozen=True)
class ReportedEngineStatus:
    """An engine's status, as reported to the placement leader.

    :param age: seconds since the report.
    """

    target: str
    age: float
    holding: EngineStatus


@dataclass(frozen=True)
class ReportedSuspicion:
    """A target that a gateway suspects.

    :param age: seconds since the suspicion began.
    :param why: the reason for the suspicion.
    :param leaving: whether the target finishes its work but accepts no more.
    """

    target: str
    age: float
    why: str
    leaving: bool


@dataclass(frozen=True)
class ReportedCrash:
    """A target that ended while a request ran there.

    :param age: seconds since it ended.
    :param silent: whether the target is unresponsive, so that it is not known
        whether it ended.
    """

    run: CrashedRun
    age: float
    silent: bool = False


@dataclass(frozen=True)
class ReportedQuarantine:
    """The quarantine of a request, or its early end.

    :param age: seconds since the quarantine began or was ended early.
    :param seconds: duration of the quarantine, 0 when it was ended early.
    """

    fingerprint: str
    round: int
    seconds: float
    age: float
    crashes: int


@dataclass(frozen=True)
class Heartbeat:
    """The state that one gateway reports to its peers.

    :param acting: whether the gateway acts as the placement leader now.
    :param services: each service's requests and retries in the current
        window.
    :param recent: each service's recent requests.
    :param counted_for: seconds over which `recent` is counted; fewer after a
        start.
    :param peers: addresses of the gateways that it receives heartbeats from.
    :param newest_change: the store's revision of the newest change that the
        gateway has in its list of targets.
    :param store_era: how often the store was restored from an older snapshot,
        as far as the gateway has observed.
    :param crashes: targets that recently ended while they ran its requests.
    :param answered: by fingerprint, how often the gateway answered requests
        that ran at crashes.
    :param part_crashes: targets that recently ended while they ran prompts
        with a part.
    :param sound_parts: parts with crashes that runs of the gateway cleared.
    :param quarantines: a sample of the quarantines that the gateway has.
    :param limits: limits that the gateway received from targets.
    :param grants: grants of the limits that the gateway coordinates, for all
        gateways.
    :param waiting: what waits for capacity at the gateway.
    :param grant_rates: requests a second that get capacity there, of each
        service for which some wait.
    """

    name: str
    address: str
    incarnation: int
    sequence: int
    data_centre: str
    configuration_version: int
    leaving: bool
    store_reachable: bool
    crossings: int
    loads: dict[str, TargetLoad]
    suspicions: tuple[ReportedSuspicion, ...]
    holdings: tuple[ReportedEngineStatus, ...]
    services: dict[str, tuple[int, int]]
    peers: tuple[str, ...]
    acting: bool = False
    newest_change: int = 0
    recent: Mapping[str, int] = field(default_factory=dict)
    counted_for: float = 0.0
    crashes: tuple[ReportedCrash, ...] = ()
    answered: Mapping[str, int] = field(default_factory=dict)
    part_crashes: tuple[ReportedCrash, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    quarantines: tuple[ReportedQuarantine, ...] = ()
    store_era: int = 0
    limits: tuple[ReportedLimit, ...] = ()
    grants: tuple[Grant, ...] = ()
    waiting: tuple[WaitingSummary, ...] = ()
    grant_rates: Mapping[str, float] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the heartbeat as one datagram."""
        schema = _load_schema()
        message = schema.Heartbeat.new_message(
            name=self.name,
            address=self.address,
            incarnation=self.incarnation,
            sequence=self.sequence,
            dataCentre=self.data_centre,
            configurationVersion=self.configuration_version,
            leaving=self.leaving,
            storeReachable=self.store_reachable,
            crossings=self.crossings,
            loads={
                "targets": list(self.loads),
                "requests": [load.requests for load in self.loads.values()],
                "tokenLayers": [
                    int(load.token_layers) for load in self.loads.values()
                ],
            },
            suspicions=[
                {
                    "target": item.target,
                    "age": int(item.age * 1000),
                    "why": item.why,
                    "leaving": item.leaving,
                }
                for item in self.suspicions
            ],
            holdings=_write_holdings(self.holdings),
            services=[
                {"service": name, "requests": counts[0], "repeats": counts[1]}
                for name, counts in self.services.items()
            ],
            peers=list(self.peers),
            acting=self.acting,
            newestChange=self.newest_change,
            recent=[
                {"service": name, "requests": count}
                for name, count in self.recent.items()
            ],
            countedFor=int(self.counted_for * 1000),
            crashes=[_write_crash(item) for item in self.crashes],
            answered=[
                {"fingerprint": int(fingerprint, 16), "count": count}
                for fingerprint, count in self.answered.items()
            ],
            quarantines=[_write_quarantine(item) for item in self.quarantines],
            storeEra=self.store_era,
            limits=_write_limits(self.limits),
            grants=_write_grants(self.grants),
        )
        if self.part_crashes or self.sound_parts:
            message.partCrashes = [*map(_write_crash, self.part_crashes)]
            message.soundParts = [*map(_write_sound_part, self.sound_parts)]
        if self.waiting:
            message.waiting = _write_waiting(self.waiting, self.grant_rates)
        return zlib.compress(message.to_bytes(), _COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, data: bytes) -> "Heartbeat":
        """Return the heartbeat that a datagram contains.

        :raises magnoliacove.errors.ProtocolError: when the datagram cannot be
            decoded.
        """
        import capnp

        schema = _load_schema()
        try:
            message = zlib.decompress(data)
            with schema.Heartbeat.from_bytes(message) as read:
                return cls(
                    name=read.name,
                    address=read.address,
                    incarnation=read.incarnation,
                    sequence=read.sequence,
                    data_centre=read.dataCentre,
                    configuration_version=read.configurationVersion,
                    leaving=read.leaving,
                    store_reachable=read.storeReachable,
                    crossings=read.crossings,
                    loads=_read_loads(read.loads),
                    suspicions=tuple(
                        ReportedSuspicion(
                            item.target,
                            item.age / 1000,
                            item.why,
                            item.leaving,
                        )
                        for item in read.suspicions
                    ),
                    holdings=_read_holdings(read.holdings),
                    services={
                        item.service: (item.requests, item.repeats)
                        for item in read.services
                    },
                    peers=tuple(read.peers),
                    acting=read.acting,
                    newest_change=read.newestChange,
                    recent={
                        item.service: item.requests for item in read.recent
                    },
                    counted_for=read.countedFor / 1000,
                    crashes=tuple(map(_read_crash, read.crashes)),
                    answered={
                        _read_fingerprint(item): item.count
                        for item in read.answered
                    },
                    quarantines=tuple(map(_read_quarantine, read.quarantines)),
                    store_era=read.storeEra,
                    limits=_read_limits(read.limits),
                    grants=_read_grants(read.grants),
                    waiting=_read_waiting(read.waiting),
                    grant_rates=_read_grant_rates(read.waiting),
                    part_crashes=tuple(map(_read_crash, read.partCrashes)),
                    sound_parts=tuple(map(_read_sound_part, read.soundParts)),
                )
        except (capnp.KjException, ValueError, zlib.error) as exc:
            raise errors.ProtocolError(
                f"a datagram is not a valid heartbeat: {exc}; check that all "
                "gateways run the same release"
            ) from exc


def _read_fingerprint(item: Any) -> str:
    return f"{item.fingerprint:016x}"


def _write_crash(item: ReportedCrash) -> dict[str, Any]:
    return {
        "fingerprint": int(item.run.fingerprint, 16),
        "attempt": item.run.attempt,
        "target": item.run.target,
        "seconds": int(item.run.seconds * 1000),
        "age": int(item.age * 1000),
        "silent": item.silent,
    }


def _read_crash(item: Any) -> ReportedCrash:
    run = CrashedRun(
        _read_fingerprint(item),
        item.attempt,
        item.target,
        item.seconds / 1000,
    )
    return ReportedCrash(run, item.age / 1000, item.silent)


def _write_sound_part(item: SoundPart) -> dict[str, int]:
    return {
        "fingerprint": int(item.fingerprint, 16),
        "age": int(item.age * 1000),
    }


def _read_sound_part(item: Any) -> SoundPart:
    return SoundPart(_read_fingerprint(item), item.age / 1000)


def _write_quarantine(item: ReportedQuarantine) -> dict[str, Any]:
    return {
        "fingerprint": int(item.fingerprint, 16),
        "round": item.round,
        "seconds": int(item.seconds * 1000),
        "age": int(item.age * 1000),
        "crashes": item.crashes,
    }


def _read_quarantine(item: Any) -> ReportedQuarantine:
    return ReportedQuarantine(
        _read_fingerprint(item),
        item.round,
        item.seconds / 1000,
        item.age / 1000,
        item.crashes,
    )


def _write_limits(items: Sequence[ReportedLimit]) -> dict[str, list[Any]]:
    return {
        "targets": [item.target for item in items],
        "rates": [
            item.rate if item.rate is not None else _ENDED_RATE
            for item in items
        ],
        "ages": [int(item.age * 1000) for item in items],
    }


def _read_limits(read: Any) -> tuple[ReportedLimit, ...]:
    columns = zip(read.targets, read.rates, read.ages, strict=True)
    return tuple(
        ReportedLimit(target, rate if rate >= 0.0 else None, age / 1000)
        for target, rate, age in columns
    )


def _write_grants(items: Sequence[Grant]) -> dict[str, list[Any]]:
    return {
        "targets": [item.target for item in items],
        "gateways": [item.gateway for item in items],
        "rates": [item.rate for item in items],
    }


def _read_grants(read: Any) -> tuple[Grant, ...]:
    columns = zip(read.targets, read.gateways, read.rates, strict=True)
    return tuple(Grant(*column) for column in columns)


def _write_waiting(
    items: Sequence[WaitingSummary], grant_rates: Mapping[str, float]
) -> dict[str, list[Any]]:
    return {
        "services": [item.service for item in items],
        "priorities": [item.priority for item in items],
        "requests": [item.requests for item in items],
        "tokens": [int(item.tokens) for item in items],
        "ages": [int(item.oldest * 1000) for item in items],
        "grantRates": [grant_rates.get(item.service, 0.0) for item in items],
    }


def _read_waiting(read: Any) -> tuple[WaitingSummary, ...]:
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


def _read_grant_rates(read: Any) -> dict[str, float]:
    return dict(zip(read.services, read.grantRates, strict=True))


def _read_loads(read: Any) -> dict[str, TargetLoad]:
    columns = zip(read.targets, read.requests, read.tokenLayers, strict=True)
    return {
        target: TargetLoad(requests, float(token_layers))
        for target, requests, token_layers in columns
    }


def _write_holdings(
    items: Sequence[ReportedEngineStatus],
) -> dict[str, list[Any]]:
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


def _read_holdings(read: Any) -> tuple[ReportedEngineStatus, ...]:
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
