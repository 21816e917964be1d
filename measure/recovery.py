"""Recovery time after faults, and the requests that fail meanwhile.

``python -m measure.recovery`` runs real entries and agents over the
stand-in network under a virtual clock, with a constant load of streams and
bids, and injects one fault (or two) after two seconds.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
from typing import Any
import uuid

import click
import logbook
import trio
import trio.testing

from magnoliacove.standins import callers
from magnoliacove.standins import engine
from magnoliacove.standins import fleet as fleets
from magnoliacove.standins import network
from measure import common

_STREAMS = 12
_TOKENS = 60
# Seconds from the start until the fault and until the end.
_FAULT_AT = 2.0
_END_AT = 12.0
# Seconds between the points at which token rates are computed.
_RATE_STEP = 0.1
_EXPECTED = b"".join(engine.compute_tokens(b"lot", 8, _TOKENS)).decode()
# Kinds of events by which processes detect a fault.
_DETECTION_EVENTS = (
    "target-lost",
    "stage-lost",
    "engine-failed",
    "connection-lost",
    "target-leaving",
    "store-lost",
    "feed-broke",
    "stream-interrupted",
)


@dataclass
class _Load:
    """Counts and timings of the requests of all callers."""

    token_times: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    failed: int = 0
    refused: int = 0
    wrong: int = 0
    answered: int = 0
    bids: int = 0
    bids_unknown: int = 0


_Fault = Callable[[fleets.Fleet], Awaitable[None]]


def _find_used_agent(fleet: fleets.Fleet, first_layer: int) -> str:
    """Return the agent with the most streams at a range of layers."""
    names = [n for n in fleet.agents if n.startswith(f"llm-{first_layer}-")]
    return max(names, key=lambda n: len(fleet.agents[n].server.stages.stages))


async def _run_stream(fleet: fleets.Fleet, entry: str, load: _Load) -> None:
    last = trio.current_time()

    async def record_token(_: int) -> None:
        nonlocal last
        now = trio.current_time()
        load.token_times.append(now)
        load.gaps.append(now - last)
        last = now

    body = callers.make_body("lot", _TOKENS, stream=True)
    app = fleet.entries[entry].server.app
    answer = await callers.ask(
        app, "POST", "/v1/completions", body, None, record_token
    )
    if answer.status != 200:
        load.refused += 1
        await trio.sleep(0.5)
        return
    try:
        text = "".join(callers.read_events(answer.body.split(b"\n\n")))
    except RuntimeError:
        load.failed += 1
        return
    load.answered += 1
    load.wrong += text != _EXPECTED


def _make_key(now: float, rng: random.Random) -> str:
    """Return an idempotency key, a UUID of version 7."""
    value = int(now * 1000) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    return str(uuid.UUID(int=value & ~(0x3 << 62) | 0x2 << 62))


async def _send_bid(
    fleet: fleets.Fleet, entry: str, load: _Load, rng: random.Random
) -> None:
    key = _make_key(fleet.read_time(), rng)
    for _ in range(30):
        answer = await callers.ask(
            fleet.entries[entry].server.app,
            "POST",
            f"/services/{fleets.PLAIN}/bids",
            key.encode(),
            {"idempotency-key": key},
        )
        if answer.status == 200:
            load.bids += 1
            return
        if answer.json["error"]["outcome"] != "not_run":
            load.bids_unknown += 1
            return
        await trio.sleep(0.5)
    load.refused += 1


async def _repeat(
    fleet: fleets.Fleet, entry: str, work: Callable[[], Awaitable[None]]
) -> None:
    while not fleet.entries[entry].scope.cancel_called:
        await work()
        await trio.sleep(0.01)


async def _measure(name: str, fault: _Fault) -> dict[str, Any]:
    load, rng = _Load(), random.Random(3)
    async with fleets.open_fleet(
        links=network.Links(),
        entries=2,
        replicas=3,
        cuts=(0, 3, 5, 8),
        step_time=0.01,
    ) as fleet:
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(_STREAMS):
                entry = f"entry-{number % 2}"
                nursery.start_soon(
                    _repeat,
                    fleet,
                    entry,
                    lambda e=entry: _run_stream(fleet, e, load),
                )
            for entry in ("entry-0", "entry-1"):
                nursery.start_soon(
                    _repeat,
                    fleet,
                    entry,
                    lambda e=entry: _send_bid(fleet, e, load, rng),
                )
            await trio.sleep_until(start + _FAULT_AT)
            fault_at = int(fleet.read_time() * 1000) / 1000
            await fault(fleet)
            await trio.sleep_until(start + _END_AT)
            detections = _list_detections(fleet, fault_at)
            nursery.cancel_scope.cancel()
        runs = [
            run[2] for service in fleet.plains.values() for run in service.runs
        ]
    return {
        "fault": name,
        "seen_after_s": (detections[0] - fault_at)
        if detections
        else float("nan"),
        "recovered_after_s": _find_recovery(load.token_times, start),
        "longest_gap_s": max(load.gaps),
        "answered": load.answered,
        "failed": load.failed,
        "refused": load.refused,
        "wrong": load.wrong,
        "bids": load.bids,
        "bids_unknown": load.bids_unknown,
        "bids_doubled": len(runs) - len(set(runs)),
    }


def _list_detections(fleet: fleets.Fleet, after: float) -> list[float]:
    return [
        (event.clock >> 16) / 1000
        for event in fleet.list_events()
        if event.kind in _DETECTION_EVENTS
        and (event.clock >> 16) / 1000 >= after
    ]


def _find_recovery(times: list[float], start: float) -> float:
    """Return the seconds from the fault until the token rate stays recovered.

    The rate is recovered at eight tenths of the rate before the fault, or of
    the rate at the end if that is lower because fewer engines are left.
    Rates are averaged over 0.5 s, so that one slow batch is not taken for a
    drop.
    """

    def rate(at: float) -> int:
        return sum(at <= t < at + 0.5 for t in times)

    before = [rate(start + 0.5 + n * _RATE_STEP) for n in range(10)]
    after = [rate(start + _END_AT - 3.0 + n * _RATE_STEP) for n in range(20)]
    baseline = min(sorted(s)[len(s) // 2] for s in (before, after))
    steps = int((_END_AT - _FAULT_AT - 0.5) / _RATE_STEP)
    low_until = [
        n * _RATE_STEP + _RATE_STEP
        for n in range(steps)
        if rate(start + _FAULT_AT + n * _RATE_STEP) < 0.8 * baseline
    ]
    return max(low_until, default=0.0)


# Faults.


async def _kill(fleet: fleets.Fleet, first_layer: int) -> None:
    fleet.kill(fleet.agents[_find_used_agent(fleet, first_layer)])


async def _kill_first(fleet: fleets.Fleet) -> None:
    await _kill(fleet, 0)


async def _kill_middle(fleet: fleets.Fleet) -> None:
    await _kill(fleet, 3)


async def _kill_last(fleet: fleets.Fleet) -> None:
    await _kill(fleet, 5)


async def _kill_two(fleet: fleets.Fleet) -> None:
    await _kill(fleet, 0)
    await _kill(fleet, 5)


async def _kill_twice(fleet: fleets.Fleet) -> None:
    await _kill(fleet, 3)
    await trio.sleep(0.08)
    names = [n for n in fleet.agents if n.startswith("llm-3-")]
    alive = [n for n in names if not fleet.agents[n].scope.cancel_called]
    fleet.kill(fleet.agents[alive[0]])


async def _silence_agent(fleet: fleets.Fleet) -> None:
    fleet.links.isolate(_find_used_agent(fleet, 3))  # type: ignore[union-attr]


async def _freeze_engine(fleet: fleets.Fleet) -> None:
    fleet.engines[_find_used_agent(fleet, 3)].faults.frozen = True


async def _fail_engine(fleet: fleets.Fleet) -> None:
    fleet.engines[_find_used_agent(fleet, 3)].faults.failing = True


def _find_linked_agents(fleet: fleets.Fleet) -> tuple[str, str]:
    """Return two agents, of which the first sends to the second."""
    sender = _find_used_agent(fleet, 0)
    stages = fleet.agents[sender].server.stages.stages
    return sender, next(iter(stages.values())).opened.next_name


async def _cut_link(fleet: fleets.Fleet) -> None:
    sender, receiver = _find_linked_agents(fleet)
    await fleet.links.cut(sender, receiver)  # type: ignore[union-attr]


async def _silence_link(fleet: fleets.Fleet) -> None:
    sender, receiver = _find_linked_agents(fleet)
    fleet.links.silence(sender, receiver)  # type: ignore[union-attr]


async def _silence_open(fleet: fleets.Fleet) -> None:
    agent = _find_used_agent(fleet, 0)
    fleet.links.silence_open("entry-0", agent)  # type: ignore[union-attr]


async def _kill_entry(fleet: fleets.Fleet) -> None:
    fleet.kill(fleet.entries["entry-1"])


async def _kill_distributor(fleet: fleets.Fleet) -> None:
    for running in fleet.entries.values():
        if running.server.distribution.lease.held:
            fleet.kill(running)
            return


async def _lose_store(fleet: fleets.Fleet) -> None:
    fleet.store.faults.outage = True
    fleet.store.wake_watches()


async def _lose_store_and_agent(fleet: fleets.Fleet) -> None:
    await _lose_store(fleet)
    await _kill(fleet, 3)


async def _restart_key_owner(fleet: fleets.Fleet) -> None:
    name = "desk-0"
    fleet.kill(fleet.agents[name])
    await trio.sleep(1.0)
    await fleet.start_agent(name)


async def _drain_agent(fleet: fleets.Fleet) -> None:
    await fleet.agents[_find_used_agent(fleet, 3)].server.drain()


async def _inject_nothing(fleet: fleets.Fleet) -> None:
    await trio.lowlevel.checkpoint()


_FAULTS: dict[str, _Fault] = {
    "none": _inject_nothing,
    "first stage killed": _kill_first,
    "middle stage killed": _kill_middle,
    "last stage killed": _kill_last,
    "two stages killed": _kill_two,
    "same stage killed twice": _kill_twice,
    "agent silent": _silence_agent,
    "engine hangs": _freeze_engine,
    "engine fails": _fail_engine,
    "link between agents cut": _cut_link,
    "link between agents silent": _silence_link,
    "open connection silent": _silence_open,
    "entry killed": _kill_entry,
    "distributor killed": _kill_distributor,
    "store down": _lose_store,
    "store down, stage killed": _lose_store_and_agent,
    "owner of keys restarted": _restart_key_owner,
    "agent drained": _drain_agent,
}


@click.command()
@click.option("--only", default="", help="Measure one fault only.")
def main(only: str) -> None:
    """Measure recovery from every fault and print the table."""
    logbook.NullHandler().push_application()
    rows = []
    for name, fault in _FAULTS.items():
        if only in ("", name):
            clock = trio.testing.MockClock(autojump_threshold=0)
            rows.append(trio.run(_measure, name, fault, clock=clock))
    common.show_table(rows)
    common.write_result("recovery", {"rows": rows})


if __name__ == "__main__":
    main()
