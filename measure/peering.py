"""What a gateway's heartbeats cost it: taking, making, sending them.

Takes heartbeats with the whole of a real gateway's beliefs behind it: loads,
budget, suspicions, what engines hold, who waits.  Beside the load book as it
is stands one that adds up all entries for each heartbeat.  What requests that
end targets add is measured apart, with as much of it as a heartbeat holds.

Run as ``python -m measure.peering``; results go to ``measure/results``.
"""

from collections.abc import Mapping
import dataclasses
import functools
import random
import time
from typing import Any
from typing import cast

import trio

from magnoliacove import peers
from magnoliacove import platform
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway import Gateway
from magnoliacove.limits import LoadBook
from magnoliacove.limits import TargetLoad
from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.platform.settings import Bounds
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.wire import Address
from measure import common

_SIZES = ((5, 42), (32, 52), (68, 130), (330, 850))
# Engines that one gateway's requests pass through, at most.
_LOADED = 80
_LEAST_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
_ROUNDS = 300
# Ends that one gateway tells of, peers that do at the same time, and requests
# of which ends are remembered.
_ENDS = 64
_TELLING = 8
_KEPT_REQUESTS = 1024


class _AddingUp(LoadBook):
    """A load book that adds up all entries for each heartbeat."""

    def __init__(self) -> None:
        super().__init__()
        self._heard: dict[str, Mapping[str, TargetLoad]] = {}

    def take_others(
        self, entry: str, loads: Mapping[str, TargetLoad], crossings: int
    ) -> None:
        self._heard[entry] = loads
        sums: dict[str, TargetLoad] = {}
        for heard in self._heard.values():
            for target, load in heard.items():
                known = sums.get(target, TargetLoad())
                sums[target] = known.add(load.requests, load.token_layers)


def _make_gateway(engines: list[str]) -> Gateway:
    address = Address("127.0.0.1", 1)
    settings = NodeSettings(
        name="front-1",
        data_centre="place-0",
        host=address.host,
        callers=address,
        readiness=address,
        peer_port=1,
        seeds=(),
        store=address,
        bounds=Bounds(3.0, 8.0, 0.2, 200.0, 10.0, 2.5),
        first_start=False,
    )
    gateway = Gateway(settings, cast(platform.ObjectApi, object()), 0)
    for number, name in enumerate(engines):
        gateway.state.targets.apply(
            ListedTarget(name, "llm", Address("10.0.0.1", number), "place-0")
        )
    return gateway


def _make_heartbeat(
    number: int, sequence: int, engines: list[str], gateways: int
) -> peers.Heartbeat:
    """Return a peer's heartbeat; the first peer does the placement duty."""
    rng = random.Random(number * 1000 + sequence)
    loaded = rng.sample(engines, min(_LOADED, len(engines)))
    acting = number == 0
    return peers.Heartbeat(
        name=f"front-{number + 2}",
        address=f"10.0.1.{number % 250}:7340",
        incarnation=1,
        sequence=sequence,
        data_centre="place-0",
        configuration_version=7,
        leaving=False,
        store_reachable=True,
        crossings=0,
        loads={
            name: TargetLoad(rng.randrange(1, 9), float(rng.randrange(400000)))
            for name in loaded
        },
        suspicions=(),
        holdings=tuple(
            peers.ReportedHolding(
                name, 0.1, EngineStatus(LayerRange(n % 72, 80))
            )
            for n, name in enumerate(engines)
        )
        if acting
        else (),
        services={"llm": (300, 4)},
        peers=tuple(
            f"10.0.1.{n % 250}:7340" for n in range(min(gateways, 64))
        ),
        acting=acting,
        recent={"llm": 5},
        counted_for=2.0,
    )


async def _measure(gateways: int, engines: int) -> dict[str, Any]:
    rng = random.Random(engines)
    names = [f"i-{rng.getrandbits(40):010x}" for _ in range(engines)]
    gateway = _make_gateway(names)
    peering = gateway._peers
    sent = [
        _make_heartbeat(number, sequence, names, gateways).encode()
        for sequence in (1, 2)
        for number in range(gateways - 1)
    ]
    for data in sent:
        peering._take_heartbeat(peers.Heartbeat.decode(data))
    interval = max(_LEAST_INTERVAL, _INTERVAL_PER_PEER * (gateways - 1))
    a_second = (gateways - 1) / interval
    decode = _time(
        [functools.partial(peers.Heartbeat.decode, data) for data in sent]
    )
    decoded = [peers.Heartbeat.decode(data) for data in sent]
    take = _time(
        [functools.partial(peering._take_heartbeat, one) for one in decoded]
    )
    adding = _AddingUp()
    adding_up = _time(
        [
            functools.partial(adding.take_others, one.name, one.loads, 0)
            for one in decoded
        ]
    )
    for name in names[:_LOADED]:
        gateway.state.loads.reserve_target(name)
    make = _time([lambda: peering._make_heartbeat(1, ()).encode()])
    size = len(peering._make_heartbeat(1, ()).encode())
    _fill_with_ends(gateway)
    told = [
        dataclasses.replace(
            peering._make_heartbeat(number + 3, ()), name=f"front-{number}"
        )
        for number in range(min(gateways - 1, _TELLING))
    ]
    ends_take = _time(
        [functools.partial(peering._take_heartbeat, one) for one in told]
    )
    ends_make = _time([lambda: peering._make_heartbeat(1, ()).encode()])
    ends_size = len(peering._make_heartbeat(1, ()).encode())
    return {
        "gateways": gateways,
        "engines": engines,
        "taken_a_second": a_second,
        "decode_ms": decode * 1000,
        "take_ms": take * 1000,
        "make_ms": make * 1000,
        "core": a_second * (decode + take) + make / interval,
        "core_adding_up": a_second * (decode + take + adding_up)
        + make / interval,
        "bytes_a_second": size * a_second,
        "ends_bytes": ends_size - size,
        "ends_take_ms": ends_take * 1000,
        "ends_make_ms": ends_make * 1000,
        "decide_ms": _measure_deciding() * 1000,
    }


def _measure_deciding() -> float:
    """Return the seconds of one decision over all ends that are kept."""
    history = CrashHistory(lambda: 0.0)
    rng = random.Random(1)
    for number in range(_KEPT_REQUESTS):
        # As seen where 40 streams at a time travelled from end to end.
        ends = rng.choices((1, 2, 3, 4), (80, 17, 2, 1))[0]
        for end in range(ends):
            run = CrashedRun(f"{number}", end, f"{number % 64}-{end}", 0.1)
            history.note_crash(run)
    return _time([lambda: history.find_causes(())])


def _fill_with_ends(gateway: Gateway) -> None:
    """Let a gateway know as much of requests that end targets as it tells."""
    crashes = gateway.state.crash_history
    for number in range(_ENDS):
        fingerprint = f"{number:016x}"
        target = f"i-{number:010x}"
        run = CrashedRun(fingerprint, number, target, 0.1)
        crashes.note_crash(run)
        crashes.note_answered(fingerprint)
        gateway.state.quarantine.begin(f"{number + _ENDS:016x}", 3, "")


def _time(calls: list[Any]) -> float:
    """Return the processor seconds of one call, over all calls in turn."""
    for call in calls[-len(calls) // 2 :]:
        call()
    rounds = max(1, _ROUNDS // len(calls))
    began = time.process_time()
    for _ in range(rounds):
        for call in calls:
            call()
    return (time.process_time() - began) / (rounds * len(calls))


def main() -> None:
    """Measure fleets of four sizes and write the results."""
    rows = [trio.run(_measure, *size) for size in _SIZES]
    common.show_table(rows)
    common.write_result("peering", {"rows": rows})


if __name__ == "__main__":
    main()
