"""What control costs the platform and the network, against fleet size.

``python -m measure.control`` runs real entries and agents over the
stand-in network under a virtual clock, at three sizes: calls to the object
API, control bytes, and how long a change takes to be in force everywhere.
"""

import math
import statistics
from typing import Any

import click
import logbook
import trio
import trio.testing

from magnoliacove import configuration
from magnoliacove import timeline
from magnoliacove.standins import fleet as fleets
from magnoliacove.standins import network
from measure import common

_QUIET = 60.0


def _count_calls(fleet: fleets.Fleet) -> int:
    return sum(fleet.store.counts.values())


async def _rate(fleet: fleets.Fleet, seconds: float) -> float:
    before = _count_calls(fleet)
    await trio.sleep(seconds)
    return (_count_calls(fleet) - before) / seconds


async def _peak(fleet: fleets.Fleet, seconds: float) -> int:
    """Return the most calls within any one second."""
    most = 0
    for _ in range(int(seconds)):
        before = _count_calls(fleet)
        await trio.sleep(1.0)
        most = max(most, _count_calls(fleet) - before)
    return most


async def _change(fleet: fleets.Fleet, weight: float) -> int:
    """Commit a change as an entry does for an operator."""
    view = fleet.entries["entry-0"].server.process.view
    journal = configuration.Journal(fleet.store)
    put = configuration.Put(configuration.ClientAccount("other", (), weight))
    clock = timeline.Clock(fleet.read_time)
    result = await journal.commit(
        view.document, f"c-{weight}", "ann", clock.now, (put,)
    )
    return result.unwrap().version


def _list_processes(fleet: fleets.Fleet) -> list[Any]:
    return [
        running.server.process
        for running in (*fleet.entries.values(), *fleet.agents.values())
        if not running.scope.cancel_called
    ]


async def _time_change(fleet: fleets.Fleet, weight: float) -> list[float]:
    """Return the seconds until a change was in force, for each process."""
    began = fleet.read_time()
    version = await _change(fleet, weight)
    waits = []
    for process in _list_processes(fleet):
        with trio.fail_after(60):
            await process.view.wait_version(version, 60)
        event = next(
            e
            for e in process.recorder.list_events()
            if e.kind == "configuration-in-force" and e.version == version
        )
        waits.append((event.clock >> 16) / 1000 - began)
    return [max(0.0, wait) for wait in waits]


def _measure_bytes(fleet: fleets.Fleet) -> float:
    """Return the bytes that an entry's connections to agents carried."""
    pool = fleet.entries["entry-0"].server.pool
    total = 0.0
    for peer in pool._peers.values():
        if peer.connection is not None:
            sent = peer.connection
            headers = 2 * 66 * sent.frames_sent
            total += sent.bytes_sent + sent.bytes_received + headers
    return total


async def _measure(entries: int, replicas: int) -> dict[str, Any]:
    async with fleets.open_fleet(
        links=network.Links(), entries=entries, replicas=replicas
    ) as fleet:
        agents = len(fleet.agents)
        await trio.sleep(10)
        before = _measure_bytes(fleet)
        steady = await _rate(fleet, _QUIET)
        carried = (_measure_bytes(fleet) - before) / _QUIET
        watches = fleet.store.waiting_watches
        waits = [w for n in range(5) for w in await _time_change(fleet, n + 1)]
        calls = _count_calls(fleet)
        for number in range(20):
            await _change(fleet, 10.0 + number)
            await trio.sleep(0.01)
        per_change = (_count_calls(fleet) - calls) / 20
        holder = next(
            running
            for running in fleet.entries.values()
            if running.server.distribution.lease.held
        )
        fleet.kill(holder)
        killed = await _time_change(fleet, 50.0)
        await trio.sleep(10)
        holder = next(
            running
            for running in fleet.entries.values()
            if running.server.distribution.lease.held
            and not running.scope.cancel_called
        )
        fleet.links.isolate(  # type: ignore[union-attr]
            holder.server.process.identity.name
        )
        silent = await _time_change(fleet, 51.0)
        await trio.sleep(10)
        fleet.store.faults.outage = True
        fleet.store.wake_watches()
        outage = await _rate(fleet, 300)
        fleet.store.faults.outage = False
        back = await _peak(fleet, 20)
    return {
        "entries": entries,
        "agents": agents,
        "steady_calls_s": steady,
        "waiting_watches": watches,
        "calls_per_change": per_change,
        "outage_calls_s": outage,
        "back_peak_calls_s": back,
        "heartbeat_bytes_s": carried,
        "connections": agents,
        "change_max_s": max(waits),
        "holder_killed_max_s": max(killed),
        "holder_silent_p50_s": statistics.median(silent),
        "holder_silent_max_s": max(silent),
    }


async def _measure_restart(entries: int, replicas: int) -> dict[str, Any]:
    """Restart every agent and all entries but one, at the same moment."""
    async with fleets.open_fleet(
        links=network.Links(), entries=entries, replicas=replicas
    ) as fleet:
        await trio.sleep(10)
        names = list(fleet.agents)
        entry_names = list(fleet.entries)[1:]
        for running in fleet.agents.values():
            fleet.kill(running)
        for name in entry_names:
            fleet.kill(fleet.entries[name])
        await trio.sleep(1)
        processes = len(names) + len(entry_names)
        # The platform's 2,000 reads a second for 1,180 processes, scaled.
        fleet.store.faults.calls_per_second = math.ceil(processes * 1.7)
        before = _count_calls(fleet)
        began = trio.current_time()
        most = 0

        async def watch() -> None:
            nonlocal most
            most = await _peak(fleet, 30)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            for name in names:
                await fleet.start_agent(name)
            for name in entry_names:
                await fleet.start_entry(name)
            for process in _list_processes(fleet):
                await process.view.wait_version(1, 60)
            known = trio.current_time() - began
            await fleet.wait_ready(1)
            ready = trio.current_time() - began
        total = _count_calls(fleet) - before
    return {
        "processes": processes,
        "calls": total,
        "calls_per_process": total / processes,
        "peak_calls_s": most,
        "limit_calls_s": math.ceil(processes * 1.7),
        "configured_after_s": known,
        "all_connected_after_s": ready,
    }


def _run(function: Any, *args: Any) -> Any:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


@click.command()
@click.option("--sizes", default="2,4,8", show_default=True)
def main(sizes: str) -> None:
    """Measure each size: entries, and twice as many replicas of targets."""
    logbook.NullHandler().push_application()
    counts = tuple(map(int, sizes.split(",")))
    rows = [_run(_measure, n, n) for n in counts]
    common.show_table(rows)
    restarts = [_run(_measure_restart, n, n) for n in counts]
    common.show_table(restarts)
    fits = {
        key: common.fit_line([(row["entries"], row[key]) for row in rows])
        for key in (
            "steady_calls_s",
            "waiting_watches",
            "calls_per_change",
            "outage_calls_s",
            "back_peak_calls_s",
        )
    }
    fits["restart_calls"] = common.fit_line(
        [(row["processes"], row["calls"]) for row in restarts]
    )
    for key, fit in fits.items():
        click.echo(f"{key} per entry (process for restart_calls): {fit}")
    common.write_result(
        "control", {"rows": rows, "restarts": restarts, "fits": fits}
    )


if __name__ == "__main__":
    main()
