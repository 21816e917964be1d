"""Load of the control plane on the platform and the network by fleet size.

``python -m measure.control`` runs real entries and agents over the
stand-in network under a virtual clock, at three sizes.  It measures calls to
the object API, control bytes, and the time until a configuration change is
in force everywhere.
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

# Seconds of the steady-state measurement.
_STEADY_SECONDS = 60.0


def _count_calls(fleet: fleets.Fleet) -> int:
    return sum(fleet.store.counts.values())


async def _measure_call_rate(fleet: fleets.Fleet, seconds: float) -> float:
    """Return the calls per second over a period."""
    before = _count_calls(fleet)
    await trio.sleep(seconds)
    return (_count_calls(fleet) - before) / seconds


async def _measure_peak(fleet: fleets.Fleet, seconds: float) -> int:
    """Return the maximum number of calls in one second over a period."""
    peak = 0
    for _ in range(int(seconds)):
        before = _count_calls(fleet)
        await trio.sleep(1.0)
        peak = max(peak, _count_calls(fleet) - before)
    return peak


async def _commit_change(fleet: fleets.Fleet, weight: float) -> int:
    """Commit a configuration change as an entry does for an operator."""
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


async def _time_propagation(fleet: fleets.Fleet, weight: float) -> list[float]:
    """Return the seconds until a change is in force, for each process."""
    committed_at = fleet.read_time()
    version = await _commit_change(fleet, weight)
    waits = []
    for process in _list_processes(fleet):
        with trio.fail_after(60):
            await process.view.wait_version(version, 60)
        event = next(
            e
            for e in process.recorder.list_events()
            if e.kind == "configuration-in-force" and e.version == version
        )
        waits.append((event.clock >> 16) / 1000 - committed_at)
    return [max(0.0, wait) for wait in waits]


def _measure_bytes(fleet: fleets.Fleet) -> float:
    """Return the bytes on the connections of an entry to agents."""
    pool = fleet.entries["entry-0"].server.pool
    total = 0.0
    for peer in pool._peers.values():
        if peer.connection is not None:
            connection = peer.connection
            headers = 2 * 66 * connection.frames_sent
            total += (
                connection.bytes_sent + connection.bytes_received + headers
            )
    return total


async def _measure(entries: int, replicas: int) -> dict[str, Any]:
    async with fleets.open_fleet(
        links=network.Links(), entries=entries, replicas=replicas
    ) as fleet:
        agents = len(fleet.agents)
        await trio.sleep(10)
        before = _measure_bytes(fleet)
        steady = await _measure_call_rate(fleet, _STEADY_SECONDS)
        bytes_per_second = (_measure_bytes(fleet) - before) / _STEADY_SECONDS
        watches = fleet.store.waiting_watches
        waits = [
            w for n in range(5) for w in await _time_propagation(fleet, n + 1)
        ]
        calls = _count_calls(fleet)
        for number in range(20):
            await _commit_change(fleet, 10.0 + number)
            await trio.sleep(0.01)
        per_change = (_count_calls(fleet) - calls) / 20
        leader = next(
            running
            for running in fleet.entries.values()
            if running.server.distribution.lease.held
        )
        fleet.kill(leader)
        after_kill = await _time_propagation(fleet, 50.0)
        await trio.sleep(10)
        leader = next(
            running
            for running in fleet.entries.values()
            if running.server.distribution.lease.held
            and not running.scope.cancel_called
        )
        fleet.links.isolate(  # type: ignore[union-attr]
            leader.server.process.identity.name
        )
        after_isolation = await _time_propagation(fleet, 51.0)
        await trio.sleep(10)
        fleet.store.faults.outage = True
        fleet.store.wake_watches()
        outage = await _measure_call_rate(fleet, 300)
        fleet.store.faults.outage = False
        recovery_peak = await _measure_peak(fleet, 20)
    return {
        "entries": entries,
        "agents": agents,
        "steady_calls_s": steady,
        "waiting_watches": watches,
        "calls_per_change": per_change,
        "outage_calls_s": outage,
        "back_peak_calls_s": recovery_peak,
        "heartbeat_bytes_s": bytes_per_second,
        "connections": agents,
        "change_max_s": max(waits),
        "holder_killed_max_s": max(after_kill),
        "holder_silent_p50_s": statistics.median(after_isolation),
        "holder_silent_max_s": max(after_isolation),
    }


async def _measure_restart(entries: int, replicas: int) -> dict[str, Any]:
    """Restart all agents and all entries but one simultaneously."""
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
        # Scales the platform's limit of 2,000 reads per second for 1,180
        # processes.
        fleet.store.faults.calls_per_second = math.ceil(processes * 1.7)
        before = _count_calls(fleet)
        started_at = trio.current_time()
        peak = 0

        async def watch() -> None:
            nonlocal peak
            peak = await _measure_peak(fleet, 30)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            for name in names:
                await fleet.start_agent(name)
            for name in entry_names:
                await fleet.start_entry(name)
            for process in _list_processes(fleet):
                await process.view.wait_version(1, 60)
            configured = trio.current_time() - started_at
            await fleet.wait_ready(1)
            ready = trio.current_time() - started_at
        total = _count_calls(fleet) - before
    return {
        "processes": processes,
        "calls": total,
        "calls_per_process": total / processes,
        "peak_calls_s": peak,
        "limit_calls_s": math.ceil(processes * 1.7),
        "configured_after_s": configured,
        "all_connected_after_s": ready,
    }


def _run(function: Any, *args: Any) -> Any:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


@click.command()
@click.option("--sizes", default="2,4,8", show_default=True)
def main(sizes: str) -> None:
    """Measure fleets with given numbers of entries and replicas per target."""
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
        click.echo(f"{key} per entry (per process for restart_calls): {fit}")
    common.write_result(
        "control", {"rows": rows, "restarts": restarts, "fits": fits}
    )


if __name__ == "__main__":
    main()
