"""The encoding of a gateway's heartbeat as one datagram."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import functools
import pathlib
from typing import Any
import zlib

from magnoliacove import errors
from magnoliacove.limits.backpressure import ReportedLimit
from magnoliacove.limits.grants import Grant
from magnoliacove.limits.load import TargetLoad
from magnoliacove.limits.part_crashes import SoundPart
from magnoliacove.limits.waiting import WaitingSummary
from magnoliacove.peers import encoding
from magnoliacove.peers.reports import ReportedCrash
from magnoliacove.peers.reports import ReportedEngineStatus
from magnoliacove.peers.reports import ReportedQuarantine
from magnoliacove.peers.reports import ReportedSuspicion

__all__ = ["Heartbeat"]

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
            holdings=encoding.write_holdings(self.holdings),
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
            crashes=[encoding.write_crash(item) for item in self.crashes],
            answered=[
                {"fingerprint": int(fingerprint, 16), "count": count}
                for fingerprint, count in self.answered.items()
            ],
            quarantines=[
                encoding.write_quarantine(item) for item in self.quarantines
            ],
            storeEra=self.store_era,
            limits=encoding.write_limits(self.limits),
            grants=encoding.write_grants(self.grants),
        )
        if self.part_crashes or self.sound_parts:
            message.partCrashes = [
                *map(encoding.write_crash, self.part_crashes)
            ]
            message.soundParts = [
                *map(encoding.write_sound_part, self.sound_parts)
            ]
        if self.waiting:
            message.waiting = encoding.write_waiting(
                self.waiting, self.grant_rates
            )
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
                    loads=encoding.read_loads(read.loads),
                    suspicions=tuple(
                        ReportedSuspicion(
                            item.target,
                            item.age / 1000,
                            item.why,
                            item.leaving,
                        )
                        for item in read.suspicions
                    ),
                    holdings=encoding.read_holdings(read.holdings),
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
                    crashes=tuple(map(encoding.read_crash, read.crashes)),
                    answered={
                        encoding.read_fingerprint(item): item.count
                        for item in read.answered
                    },
                    quarantines=tuple(
                        map(encoding.read_quarantine, read.quarantines)
                    ),
                    store_era=read.storeEra,
                    limits=encoding.read_limits(read.limits),
                    grants=encoding.read_grants(read.grants),
                    waiting=encoding.read_waiting(read.waiting),
                    grant_rates=encoding.read_grant_rates(read.waiting),
                    part_crashes=tuple(
                        map(encoding.read_crash, read.partCrashes)
                    ),
                    sound_parts=tuple(
                        map(encoding.read_sound_part, read.soundParts)
                    ),
                )
        except (capnp.KjException, ValueError, zlib.error) as exc:
            raise errors.ProtocolError(
                f"a datagram is not a valid heartbeat: {exc}; check that all "
                "gateways run the same release"
            ) from exc
