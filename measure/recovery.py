"""How soon answers flow again after each fault, and what it costs.

``python -m measure.recovery`` runs real entries and agents over the
stand-in network under a virtual clock, with streams and bids going on all
the time, and brings about one fault (or two) after two seconds.
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
_FAULT_AT = 2.0
_END_AT = 12.0
_WINDOW = 0.1
_EXPECTED = b"".join(engine.compute_tokens(b"lot", 8, _TOKENS)).decode()
_SEEN = (
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
    """What callers saw."""

    token_times: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    failed: int = 0
    refused: int = 0
    wrong: int = 0
    answered: int = 0
    bids: int = 0
    bids_unknown: int = 0


_Fault = Callable[[fleets.Fleet], Awaitable[None]]


def _used(fleet: fleets.Fleet, first_layer: int) -> str:
    names = [n for n in fleet.agents if n.startswith(f"llm-{first_layer}-")]
    return max(names, key=lambda n: len(fleet.agents[n].server.stages.stages))


async def _stream(fleet: fleets.Fleet, entry: str, load: _Load) -> None:
    last = trio.current_time()

    async def note(_: int) -> None:
        nonlocal last
        now = trio.current_time()
        load.token_times.append(now)
        load.gaps.append(now - last)
        last = now

    body = callers.make_body("lot", _TOKENS, stream=True)
    app = fleet.entries[entry].server.app
    answer = await callers.ask(
        app, "POST", "/v1/completions", body, None, note
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


def _mint(now: float, rng: random.Random) -> str:
    value = int(now * 1000) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    return str(uuid.UUID(int=value & ~(0x3 << 62) | 0x2 << 62))


async def _bid(
    fleet: fleets.Fleet, entry: str, load: _Load, rng: random.Random
) -> None:
    key = _mint(fleet.read_time(), rng)
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


async def _keep_busy(
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
                    _keep_busy,
                    fleet,
                    entry,
                    lambda e=entry: _stream(fleet, e, load),
                )
            for entry in ("entry-0", "entry-1"):
                nursery.start_soon(
                    _keep_busy,
                    fleet,
                    entry,
                    lambda e=entry: _bid(fleet, e, load, rng),
                )
            await trio.sleep_until(start + _FAULT_AT)
            fault_reading = int(fleet.read_time() * 1000) / 1000
            await fault(fleet)
            await trio.sleep_until(start + _END_AT)
            seen = _list_seen(fleet, fault_reading)
            nursery.cancel_scope.cancel()
        runs = [
            run[2] for service in fleet.plains.values() for run in service.runs
        ]
    return {
        "fault": name,
        "seen_after_s": (seen[0] - fault_reading) if seen else float("nan"),
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


def _list_seen(fleet: fleets.Fleet, after: float) -> list[float]:
    return [
        (event.clock >> 16) / 1000
        for event in fleet.list_events()
        if event.kind in _SEEN and (event.clock >> 16) / 1000 >= after
    ]


def _find_recovery(times: list[float], start: float) -> float:
    """Return when the rate was back for good at what is left gives.

    That is eight tenths of the rate before the fault, or of the rate at the
    end when that is lower since there is less to run on.  Rates are taken
    over half a second, so that one slow batch does not count as a fall.
    """

    def rate(at: float) -> int:
        return sum(at <= t < at + 0.5 for t in times)

    before = [rate(start + 0.5 + n * _WINDOW) for n in range(10)]
    after = [rate(start + _END_AT - 3.0 + n * _WINDOW) for n in range(20)]
    usual = min(sorted(s)[len(s) // 2] for s in (before, after))
    steps = int((_END_AT - _FAULT_AT - 0.5) / _WINDOW)
    low = [
        n * _WINDOW + _WINDOW
        for n in range(steps)
        if rate(start + _FAULT_AT + n * _WINDOW) < 0.8 * usual
    ]
    return max(low, default=0.0)


# The faults.


async def _kill(fleet: fleets.Fleet, first_layer: int) -> None:
    fleet.kill(fleet.agents[_used(fleet, first_layer)])


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
    fleet.links.isolate(_used(fleet, 3))  # type: ignore[union-attr]


async def _freeze_engine(fleet: fleets.Fleet) -> None:
    fleet.engines[_used(fleet, 3)].faults.frozen = True


async def _fail_engine(fleet: fleets.Fleet) -> None:
    fleet.engines[_used(fleet, 3)].faults.failing = True


def _linked(fleet: fleets.Fleet) -> tuple[str, str]:
    """Return two agents of which one sends to the other."""
    one = _used(fleet, 0)
    stages = fleet.agents[one].server.stages.stages
    return one, next(iter(stages.values())).opened.next_name


async def _cut_link(fleet: fleets.Fleet) -> None:
    one, other = _linked(fleet)
    await fleet.links.cut(one, other)  # type: ignore[union-attr]


async def _silence_link(fleet: fleets.Fleet) -> None:
    one, other = _linked(fleet)
    fleet.links.silence(one, other)  # type: ignore[union-attr]


async def _silence_open(fleet: fleets.Fleet) -> None:
    used = _used(fleet, 0)
    fleet.links.silence_open("entry-0", used)  # type: ignore[union-attr]


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


async def _store_and_agent(fleet: fleets.Fleet) -> None:
    await _lose_store(fleet)
    await _kill(fleet, 3)


async def _kill_owner(fleet: fleets.Fleet) -> None:
    name = "desk-0"
    fleet.kill(fleet.agents[name])
    await trio.sleep(1.0)
    await fleet.start_agent(name)


async def _drain(fleet: fleets.Fleet) -> None:
    await fleet.agents[_used(fleet, 3)].server.drain()


async def _nothing(fleet: fleets.Fleet) -> None:
    await trio.lowlevel.checkpoint()


_FAULTS: dict[str, _Fault] = {
    "none": _nothing,
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
    "store down, stage killed": _store_and_agent,
    "owner of keys restarted": _kill_owner,
    "agent drained": _drain,
}


@click.command()
@click.option("--only", default="", help="Measure one fault only.")
def main(only: str) -> None:
    """Measure every fault and print the table."""
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
