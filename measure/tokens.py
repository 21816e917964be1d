"""Cost of a token in an entry, compared with a bare hypercorn server.

``python -m measure.tokens`` starts an entry in a separate process, provides
streams through a lightweight agent, and reads them by callers in another
process.  The bare server writes the same chunks to the same callers.
"""

import json
import subprocess
import sys
from typing import Any

import click
import trio

from magnoliacove import configuration
from magnoliacove import sockets
from magnoliacove import timeline
from magnoliacove import web
from magnoliacove import wire
from magnoliacove.directory import Instance
from magnoliacove.directory import write_entry
from magnoliacove.standins import fleet as fleets
from magnoliacove.standins import object_api
from measure import common
from measure import fake_agent

# Seconds between two tokens of a stream.
_TOKEN_INTERVAL = 0.068
# The number of engines that an entry uses for one range of layers.
_ENGINES = 12
_ENTRY = "from magnoliacove.commands.entry import main; main()"
_BARE = "from measure.bare_server import main; main()"


async def _run_callers(url: str, streams: int, tokens: int) -> Any:
    process = await trio.run_process(
        [
            sys.executable,
            "-m",
            "measure.callers",
            url,
            str(streams),
            str(tokens),
        ],
        capture_stdout=True,
    )
    return json.loads(process.stdout)


async def _measure(
    pid: int, url: str, streams: int, tokens: int
) -> dict[str, Any]:
    before = common.read_process(pid)
    results = await _run_callers(url, streams, tokens)
    after = common.read_process(pid)
    spent = after["cpu_seconds"] - before["cpu_seconds"]
    return {
        "streams": streams,
        "tokens_per_s": results["tokens"] / results["seconds"],
        "cpu_us_per_token": spent / results["tokens"] * 1e6,
        "core_share": spent / results["seconds"],
        "delay_p50_ms": results["delay_p50_ms"],
        "delay_p95_ms": results["delay_p95_ms"],
        "memory_mb": after["memory_mb"],
    }


async def _prepare(nursery: trio.Nursery) -> str:
    """Serve a store with the entry of one agent; return its URL."""
    store = object_api.ObjectStore()
    agent = fake_agent.FakeAgent("llm-0-0", _TOKEN_INTERVAL, groups=_ENGINES)
    address = await nursery.start(agent.run, wire.Network())
    journal = configuration.Journal(store)
    objects: list[configuration.ConfigurationObject] = [
        configuration.DataCentre("gent-a", "be-vla"),
        configuration.Service(fleets.MODEL, "model", 8),
        configuration.ClientAccount(
            "lannoy", (configuration.hash_key(fleets.API_KEY),)
        ),
        configuration.Target("llm-0-0", fleets.MODEL, "gent-a", "", 0, 8),
    ]
    puts = tuple(configuration.Put(item) for item in objects)
    clock = timeline.Clock()
    await journal.commit(configuration.Document(), "1", "ann", clock.now, puts)
    instance = Instance("llm-0-0", "agent", 1, str(address), "gent-a")
    await store.put(instance.object_name, write_entry(instance))
    return await nursery.start(
        web.run_server,
        object_api.make_app(store),
        sockets.bind_socket("127.0.0.1", 0),
    )


async def _run(counts: tuple[int, ...], tokens: int, rounds: int) -> None:
    rows: list[dict[str, Any]] = []
    async with trio.open_nursery() as nursery:
        store_url = await _prepare(nursery)
        flags = [
            "--name",
            "entry-0",
            "--data-centre",
            "gent-a",
            "--object-api",
            store_url,
            "--operator-keys",
            "ann:operator-key",
            "--callers",
            "127.0.0.1:0",
            "--operators",
            "127.0.0.1:0",
            "--log-level",
            "ERROR",
            "--room",
            "2000",
        ]
        entry = await _start(_ENTRY, *flags)
        bare = await _start(_BARE)
        entry_url = entry[1].split("callers ")[1].split(",")[0]
        await trio.sleep(3)
        try:
            for _ in range(rounds):
                for streams in counts:
                    for name, pid, url in (
                        ("entry", entry[0].pid, entry_url),
                        ("bare", bare[0].pid, bare[1]),
                    ):
                        row = await _measure(pid, url, streams, tokens)
                        rows.append({"server": name, **row})
        finally:
            for child in (entry[0], bare[0]):
                child.kill()
                child.wait()
        nursery.cancel_scope.cancel()
    common.show_table(rows)
    ratios = [
        entry_row["cpu_us_per_token"] / bare_row["cpu_us_per_token"]
        for entry_row, bare_row in zip(rows[::2], rows[1::2], strict=True)
    ]
    click.echo(
        "entry / bare, by pair: "
        + " ".join(f"{ratio:.2f}" for ratio in ratios)
    )
    points = [(r["tokens_per_s"], r["core_share"]) for r in rows[::2]]
    fit = common.fit_line(points)
    click.echo(f"share of a core per token/s: {fit}")
    common.write_result("tokens", {"rows": rows, "ratios": ratios, "fit": fit})


async def _start(
    program: str, *flags: str
) -> tuple[subprocess.Popen[str], str]:
    """Start a child process; return it and its first line of output."""

    def start() -> tuple[subprocess.Popen[str], str]:
        child = subprocess.Popen(
            [sys.executable, "-c", program, *flags],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None
        return child, child.stdout.readline().strip()

    return await trio.to_thread.run_sync(start)


@click.command()
@click.option("--streams", default="82,165,330", show_default=True)
@click.option("--tokens", default=100, show_default=True)
@click.option("--rounds", default=3, show_default=True)
def main(streams: str, tokens: int, rounds: int) -> None:
    """Measure and print the table."""
    counts = tuple(map(int, streams.split(",")))
    trio.run(_run, counts, tokens, rounds)


if __name__ == "__main__":
    main()
