"""Processor time and memory of control work, by the size it scales with.

``python -m measure.slopes`` times the real code in this process, repeats
each measurement and takes the median.
"""

from collections.abc import Callable
from collections.abc import Sequence
import gc
import random
import statistics
import time
from typing import Any

import click
import logbook
import trio
import trio.lowlevel
import trio.testing

from magnoliacove import configuration
from magnoliacove import directory
from magnoliacove import limits
from magnoliacove import routing
from magnoliacove import targets
from magnoliacove import timeline
from magnoliacove import wire
from magnoliacove.agent.runner import StageRunner
from magnoliacove.wire import codec
from magnoliacove.wire import messages
from measure import common

# Repetitions of each measurement.
_ROUNDS = 5


def _time(work: Callable[[], Any], count: int) -> float:
    """Return the median processor time of one call in microseconds."""
    times = []
    for _ in range(_ROUNDS):
        started_at = time.process_time()
        for _ in range(count):
            work()
        times.append((time.process_time() - started_at) / count * 1e6)
    return statistics.median(times)


def _read_memory() -> float:
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


def _make_document(objects: int) -> configuration.Document:
    """Return a document with equal numbers of accounts and targets."""
    half = objects // 2
    items: list[configuration.ConfigurationObject] = [
        configuration.DataCentre("gent-a", "be-vla"),
        configuration.Service("llm", "model", 32),
    ]
    items += [
        configuration.ClientAccount(
            f"account-{n}", (configuration.hash_key(str(n)),)
        )
        for n in range(half)
    ]
    items += [
        configuration.Target(f"llm-{n}", "llm", "gent-a", "kind-1", 0, 8)
        for n in range(half)
    ]
    puts = tuple(configuration.Put(item) for item in items)
    empty = configuration.Document()
    return empty.apply(empty.propose("x", "ann", 0, puts).unwrap())


def _measure_configuration(objects: int) -> dict[str, Any]:
    before = _read_memory()
    document = _make_document(objects)
    memory = _read_memory() - before
    put = configuration.Put(configuration.ClientAccount("new"))
    change = document.propose("y", "ann", 0, (put,)).unwrap()
    data = change.to_bytes()

    def adopt() -> None:
        document.apply(configuration.Change.from_bytes(data))

    return {
        "objects": objects,
        "adopt_us": _time(adopt, 20),
        "propose_us": _time(
            lambda: document.propose("y", "ann", 0, (put,)), 5
        ),
        "change_bytes": len(data),
        "checkpoint_bytes": len(document.to_bytes()),
        "memory_bytes": memory,
    }


def _measure_chains(targets: int) -> dict[str, Any]:
    ranges = [(0, 8), (8, 16), (16, 24), (24, 32)]
    options = [
        routing.StageOption(f"t{n}", *ranges[n % 4]) for n in range(targets)
    ]
    estimates = routing.Estimates("entry", lambda: 0.0)
    chooser = routing.ExpectedDelay(rng=random.Random(1))
    return {
        "targets": targets,
        "choose_us": _time(
            lambda: chooser.choose(options, 0, 32, estimates), 50
        ),
    }


def _measure_directory(instances: int) -> dict[str, Any]:
    recorder = timeline.Recorder("p")
    view = directory.View(recorder)
    before = _read_memory()
    entries = [
        directory.Instance(f"agent-{n}", "agent", 1, "10.0.0.1:7000", "gent-a")
        for n in range(instances)
    ]
    view.adopt_entries(entries)
    memory = _read_memory() - before
    revision = 1

    def adopt() -> None:
        nonlocal revision
        revision += 1
        view.adopt_entries(
            [
                directory.Instance(
                    "agent-0", "agent", revision, "10.0.0.1:7000", "gent-a"
                )
            ]
        )

    return {
        "instances": instances,
        "adopt_us": _time(adopt, 200),
        "entry_bytes": len(directory.write_entry(entries[0])),
        "memory_bytes": memory,
    }


def _measure_small() -> list[dict[str, Any]]:
    recorder = timeline.Recorder("p")
    budget = limits.RetryBudget()
    hello = messages.Hello(1, "entry-1", 1, "entry", "gent-a", 1, "10.0.0.1:7")
    ping = codec.encode(messages.Ping(1), 1)
    return [
        {
            "what": "record an event",
            "us": _time(lambda: recorder.record("k", request="r"), 2000),
        },
        {
            "what": "write a heartbeat",
            "us": _time(lambda: codec.encode(messages.Ping(1), 1), 2000),
        },
        {
            "what": "read a heartbeat",
            "us": _time(lambda: codec.decode(ping), 2000),
        },
        {
            "what": "write a hello",
            "us": _time(lambda: codec.encode(hello, 1), 2000),
        },
        {"what": "count a request", "us": _time(budget.note_request, 2000)},
    ]


async def _measure_connections(count: int, idle: bool) -> dict[str, Any]:
    """Measure open connections over loopback, both ends in this process.

    :param idle: whether heartbeats are sent at the interval for idle
        connections, by the budget of an entry, instead of every 0.7 s.
    """
    interval = count * 290 / 3000 if idle else 0.7
    network, recorder = wire.Network(), timeline.Recorder("near")
    far = timeline.Recorder("far")

    def hello() -> messages.Hello:
        return messages.Hello(1, "x", 1, "agent", "gent-a", 1, "")

    async def ignore(_: wire.Connection, message: messages.Message) -> None:
        return None

    async def serve(stream: trio.abc.Stream) -> None:
        await wire.serve_connection(
            stream, far, hello, ignore, lambda n: messages.Pong(n)
        )

    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            network.listen, wire.Address("127.0.0.1", 0), serve
        )
        before = _read_memory()
        peers = [
            wire.Peer(
                f"p{n}",
                address,
                network,
                recorder,
                hello,
                ignore,
                get_heartbeat_interval=lambda _: interval,
            )
            for n in range(count)
        ]
        for peer in peers:
            nursery.start_soon(peer.run)
        for peer in peers:
            await peer.wait_up()
        # A new connection counts as active for five seconds.
        await trio.sleep(7.0 if idle else 1.5)
        memory = _read_memory() - before
        sent = sum(p.connection.frames_sent for p in peers if p.connection)
        started_at, cpu = trio.current_time(), time.process_time()
        await trio.sleep(6)
        spent = time.process_time() - cpu
        seconds = trio.current_time() - started_at
        pings = sum(p.connection.frames_sent for p in peers if p.connection)
        nursery.cancel_scope.cancel()
    return {
        "connections": count,
        "memory_bytes": memory / 2,
        "cpu_share_per_end": spent / seconds / 2,
        "heartbeats_s": (pings - sent) / seconds,
    }


class _InstantEngine:
    """An engine that answers every step at once."""

    async def run_steps(
        self, inputs: Sequence[targets.StepInput]
    ) -> tuple[targets.StepOutput, ...]:
        await trio.lowlevel.checkpoint()
        return tuple(
            targets.StepOutput(item.stream, item.step, b"x" * 16)
            for item in inputs
        )

    async def read_load(self) -> targets.EngineLoad:
        await trio.lowlevel.checkpoint()
        return targets.EngineLoad(0, 0, 0, 0)

    async def cancel(self, streams: Sequence[str]) -> None:
        await trio.lowlevel.checkpoint()


class _Sink:
    """Encodes the messages of an agent, as its connections do."""

    def __init__(self) -> None:
        self.waiting: list[messages.Step] = []
        self.closed = False

    def post(self, message: messages.Message) -> None:
        return None

    def send_step(self, name: str, address: str, item: messages.Step) -> None:
        self.waiting.append(item)

    def flush(self) -> None:
        if self.waiting:
            data = codec.encode(messages.Steps(tuple(self.waiting)), 1)
            codec.decode(data)
            self.waiting.clear()


async def _measure_steps(streams: int) -> dict[str, Any]:
    """Time an agent's work for a step: read, order, batch, store, write."""
    sink = _Sink()
    runner = StageRunner(
        "here",
        _InstantEngine(),  # type: ignore[arg-type]
        sink,  # type: ignore[arg-type]
        timeline.Recorder("here"),
        lambda: False,
        max_streams=streams,
    )
    names = [n.to_bytes(16, "big") for n in range(streams)]
    rounds = 6400 // streams
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        for name in names:
            open_stage = messages.OpenStage(
                name, 1, "llm", "a", 0, 8, "10.0.0.1:1", "next", 0, 10**6, 1
            )
            await runner.open(sink, open_stage)  # type: ignore[arg-type]
        started_at = time.process_time()
        for step in range(rounds):
            runner.take_steps(
                tuple(messages.Step(n, 1, step, b"x" * 16) for n in names)
            )
            while runner.steps_run < (step + 1) * streams:
                await trio.lowlevel.checkpoint()
            sink.flush()
        spent = time.process_time() - started_at
        nursery.cancel_scope.cancel()
    return {"streams": streams, "us_per_step": spent / 6400 * 1e6}


@click.command()
def main() -> None:
    """Measure everything and print the tables and the linear fits."""
    logbook.NullHandler().push_application()
    tables = {
        "configuration": [
            _measure_configuration(n) for n in (500, 1000, 2000)
        ],
        "directory": [_measure_directory(n) for n in (300, 600, 1200)],
        "chains": [_measure_chains(n) for n in (16, 48, 170)],
        "connections": [
            trio.run(_measure_connections, n, False) for n in (60, 120, 240)
        ],
        "idle connections": [
            trio.run(_measure_connections, n, True) for n in (60, 120, 240)
        ],
        "steps": [trio.run(_measure_steps, n) for n in (16, 64, 256)],
        "small": _measure_small(),
    }
    fits = {}
    for name, rows in tables.items():
        click.echo(f"\n{name}")
        common.show_table(rows)
        if name == "small":
            continue
        x, *ys = rows[0]
        for y in ys:
            fits[f"{name}: {y} per {x}"] = common.fit_line(
                [(row[x], row[y]) for row in rows]
            )
    for name, fit in fits.items():
        click.echo(
            f"{name}: {fit['slope']:.4g} (+{fit['intercept']:.4g}), "
            f"residual {fit['residual']:.2f}"
        )
    common.write_result("slopes", {"tables": tables, "fits": fits})


if __name__ == "__main__":
    main()
