"""Cost of heartbeats for a gateway: receiving, creating and sending them.

Processes heartbeats with the complete state of a real gateway: loads, retry
budget, suspicions, loaded layers and waiting requests.  For comparison, a
second load book sums up the loads of all gateways for each heartbeat.  The
costs of reports about requests that crash targets, at the maximum that a
heartbeat contains, and of what waits at full queues are measured separately.

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
from magnoliacove.limits.capacity import Waiter
from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.limits.waiting import WaitingSummary
from magnoliacove.platform.settings import Bounds
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.standins.object_api import ObjectStore
from magnoliacove.wire import Address
from measure import common

_SIZES = ((4, 42), (32, 52), (68, 130), (330, 850))
# Maximum number of engines that the requests of one gateway pass through.
_ENGINES_IN_USE = 80
# Seconds between heartbeats of a gateway: the minimum, and the time for each
# of its peers.
_MIN_INTERVAL = 0.15
_INTERVAL_PER_PEER = 0.012
# Approximate number of calls over which the cost of a call is averaged.
_CALLS = 300
# Crashes that one gateway reports, peers that report crashes at the same time,
# and requests whose crashes are stored.
_CRASHES = 64
_REPORTING_PEERS = 8
_STORED_REQUESTS = 1024
# Urgencies in which the requests of a full queue wait, and their number.
_URGENCIES = 3
_WAITING = 256


class _SummingLoadBook(LoadBook):
    """A load book that sums up all gateways' loads for each heartbeat."""

    def __init__(self) -> None:
        super().__init__()
        self._received: dict[str, Mapping[str, TargetLoad]] = {}

    def take_others(
        self, entry: str, loads: Mapping[str, TargetLoad], crossings: int
    ) -> None:
        self._received[entry] = loads
        sums: dict[str, TargetLoad] = {}
        for gateway_loads in self._received.values():
            for target, load in gateway_loads.items():
                total = sums.get(target, TargetLoad())
                sums[target] = total.add(load.requests, load.token_layers)


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
    gateway = Gateway(settings, cast(platform.ObjectApi, ObjectStore()), 0)
    for number, name in enumerate(engines):
        gateway.state.targets.apply(
            ListedTarget(name, "llm", Address("10.0.0.1", number), "place-0")
        )
    return gateway


def _make_heartbeat(
    number: int, sequence: int, engines: list[str], gateways: int
) -> peers.Heartbeat:
    """Return a peer's heartbeat; the first peer is the placement leader."""
    rng = random.Random(number * 1000 + sequence)
    engines_in_use = rng.sample(engines, min(_ENGINES_IN_USE, len(engines)))
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
            for name in engines_in_use
        },
        suspicions=(),
        holdings=tuple(
            peers.ReportedEngineStatus(
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
    interval = max(_MIN_INTERVAL, _INTERVAL_PER_PEER * (gateways - 1))
    per_second = (gateways - 1) / interval
    decode = _time(
        [functools.partial(peers.Heartbeat.decode, data) for data in sent]
    )
    decoded = [peers.Heartbeat.decode(data) for data in sent]
    take = _time(
        [
            functools.partial(peering._take_heartbeat, heartbeat)
            for heartbeat in decoded
        ]
    )
    summing = _SummingLoadBook()
    summing_time = _time(
        [
            functools.partial(
                summing.take_others, heartbeat.name, heartbeat.loads, 0
            )
            for heartbeat in decoded
        ]
    )
    for name in names[:_ENGINES_IN_USE]:
        gateway.state.loads.reserve_target(name)
    make = _time([lambda: peering._make_heartbeat(1, ()).encode()])
    size = len(peering._make_heartbeat(1, ()).encode())
    rows = _summarize_full_queue()
    waiting_take = _time(
        [
            functools.partial(
                gateway.state.shared_waiting.take_others,
                f"front-{number}",
                rows,
                {"llm": 6.0},
            )
            for number in range(gateways - 1)
        ]
    )
    waiting_decide = _time(
        [lambda: gateway.state.shared_waiting.may_use("llm", 1, 0.5)]
    )
    told = dataclasses.replace(
        peering._make_heartbeat(1, ()), waiting=rows, grant_rates={"llm": 6.0}
    )
    waiting_size = len(told.encode())
    waiters = _fill_queue(gateway)
    waiting_make = _time([lambda: peering._make_heartbeat(1, ()).encode()])
    # The heartbeats below are to differ by the crashes alone.
    for waiter in waiters:
        gateway.state.capacity_queue.withdraw(waiter)
    _add_crashes(gateway)
    reports = [
        dataclasses.replace(
            peering._make_heartbeat(number + 3, ()), name=f"front-{number}"
        )
        for number in range(min(gateways - 1, _REPORTING_PEERS))
    ]
    crashes_take = _time(
        [
            functools.partial(peering._take_heartbeat, report)
            for report in reports
        ]
    )
    crashes_make = _time([lambda: peering._make_heartbeat(1, ()).encode()])
    crashes_size = len(peering._make_heartbeat(1, ()).encode())
    return {
        "gateways": gateways,
        "engines": engines,
        "taken_a_second": per_second,
        "decode_ms": decode * 1000,
        "take_ms": take * 1000,
        "make_ms": make * 1000,
        "core": per_second * (decode + take) + make / interval,
        "core_adding_up": per_second * (decode + take + summing_time)
        + make / interval,
        "bytes_a_second": size * per_second,
        "waiting_bytes": waiting_size - size,
        "waiting_bytes_a_second": (waiting_size - size) * per_second,
        "waiting_take_ms": waiting_take * 1000,
        "waiting_decide_ms": waiting_decide * 1000,
        "waiting_make_ms": waiting_make * 1000,
        "ends_bytes": crashes_size - size,
        "ends_take_ms": crashes_take * 1000,
        "ends_make_ms": crashes_make * 1000,
        "decide_ms": _measure_decision() * 1000,
    }


def _measure_decision() -> float:
    """Return the seconds of one decision over all stored crashes."""
    history = CrashHistory(lambda: 0.0)
    rng = random.Random(1)
    for number in range(_STORED_REQUESTS):
        # As observed with 40 concurrent streams that moved from one crashed
        # engine to the next.
        crashes = rng.choices((1, 2, 3, 4), (80, 17, 2, 1))[0]
        for crash in range(crashes):
            run = CrashedRun(f"{number}", crash, f"{number % 64}-{crash}", 0.1)
            history.note_crash(run)
    return _time([lambda: history.find_causes(())])


def _summarize_full_queue() -> tuple[WaitingSummary, ...]:
    return tuple(
        WaitingSummary("llm", urgency, _WAITING // _URGENCIES, 7e4, 1.5)
        for urgency in range(_URGENCIES)
    )


def _fill_queue(gateway: Gateway) -> list[Waiter]:
    """Let as many requests wait at a gateway as its queue takes."""
    return [
        gateway.state.capacity_queue.add(
            lambda: None,
            priority=number % _URGENCIES,
            fresh_until=0.0,
            service="llm",
        )
        for number in range(_WAITING)
    ]


def _add_crashes(gateway: Gateway) -> None:
    """Record as many crashes in a gateway as its heartbeat reports."""
    crashes = gateway.state.crash_history
    for number in range(_CRASHES):
        fingerprint = f"{number:016x}"
        target = f"i-{number:010x}"
        run = CrashedRun(fingerprint, number, target, 0.1)
        crashes.note_crash(run)
        crashes.note_answered(fingerprint)
        gateway.state.quarantine.begin(f"{number + _CRASHES:016x}", 3, "")


def _time(calls: list[Any]) -> float:
    """Return the mean processor seconds of one call.

    :param calls: the calls to run in turn; the last half runs before as a
        warm-up.
    """
    for call in calls[-len(calls) // 2 :]:
        call()
    rounds = max(1, _CALLS // len(calls))
    started_at = time.process_time()
    for _ in range(rounds):
        for call in calls:
            call()
    return (time.process_time() - started_at) / (rounds * len(calls))


def main() -> None:
    """Measure four fleet sizes and write the results."""
    rows = [trio.run(_measure, *size) for size in _SIZES]
    common.show_table(rows)
    common.write_result("peering", {"rows": rows})


if __name__ == "__main__":
    main()
