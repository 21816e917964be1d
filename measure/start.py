"""Time from the start of a gateway to its first answer.

Simulates a store, a plain service and one caller on loopback, starts the
program repeatedly, and prints the median, minimum and maximum of each figure.
The caller connects as soon as it can, sends its request at once and waits for
the answer, like the callers of a fleet whose gateways were all killed.

    python -m measure.start --runs 7
"""

from dataclasses import astuple
from dataclasses import dataclass
from dataclasses import fields
import json
import pathlib
import signal
import statistics
import tempfile
import time

import click
import trio

from magnoliacove.sockets import bind_socket
from magnoliacove.standins import object_api
from soak.gateways import GatewayProcess
from soak.play import serve_app
from soak.targets import Ledger
from soak.targets import Target

# Seconds between attempts to connect.
_POLL_INTERVAL = 0.002
_PORTS = (28_101, 28_102, 28_103)
# Seconds within which the gateway must accept a connection.
_CONNECT_TIMEOUT = 20.0
_REQUEST = (
    b"GET /desk/ HTTP/1.1\r\nhost: start.example\r\nx-request-id: r-1\r\n"
    b"x-deadline-ms: 20000\r\nconnection: close\r\n\r\n"
)
_CONFIGURATION = {
    "version": 1,
    "limits": {},
    "services": [{"name": "desk"}],
    "routes": [
        {
            "name": "desk",
            "host": "start.example",
            "path_prefix": "/desk/",
            "service": "desk",
            "kind": "idempotent",
            "timeout_ms": 20_000,
            "target_latency_ms": 200,
            "max_attempts": 2,
        }
    ],
}


@dataclass(frozen=True)
class StartFigures:
    """The figures of one start; times in seconds since the process started.

    :param processor: processor time in seconds until the first answer.
    :param memory: peak memory in MB until the first answer.
    """

    listening: float
    answered: float
    ready: float
    processor: float
    memory: float


async def measure_start(gateway: GatewayProcess) -> StartFigures:
    """Start the program once, wait for its first answer and kill it."""
    started_at = time.monotonic()
    gateway.start()
    stream = await _connect(gateway.host, gateway.callers_port)
    listening = time.monotonic() - started_at
    await stream.send_all(_REQUEST)
    answer = await stream.receive_some(4096)
    answered = time.monotonic() - started_at
    if b" 200 " not in answer:
        raise click.ClickException(f"the first answer was {answer[:80]!r}")
    processor, memory = gateway.read_usage()
    await gateway.wait_ready()
    ready = time.monotonic() - started_at
    await gateway.end(signal.SIGKILL)
    return StartFigures(listening, answered, ready, processor, memory)


async def _connect(host: str, port: int) -> trio.SocketStream:
    with trio.fail_after(_CONNECT_TIMEOUT):
        while True:
            try:
                return await trio.open_tcp_stream(host, port)
            except OSError:
                await trio.sleep(_POLL_INTERVAL)


async def _measure(runs: int, folder: pathlib.Path) -> list[StartFigures]:
    target = Target("desk-0", Ledger(), 1, failure_rate=0.0)
    store = object_api.ObjectStore()
    gateway = GatewayProcess(90, _PORTS, folder)
    async with trio.open_nursery() as nursery:
        listener = bind_socket("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        await nursery.start(serve_app, object_api.make_app(store), listener)
        await nursery.start(target.run)
        entry = {
            "service": "desk",
            "address": f"127.0.0.1:{target.port}",
            "zone": "a",
            "state": "ready",
            "slots": 6,
        }
        await store.put("servers/desk-0", json.dumps(entry).encode())
        await store.put("config/main", json.dumps(_CONFIGURATION).encode())
        gateway.write_settings(address, [gateway.host])
        figures = [await measure_start(gateway) for _ in range(runs)]
        nursery.cancel_scope.cancel()
    return figures


@click.command(help=__doc__)
@click.option("--runs", default=7, show_default=True)
def main(runs: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        figures = trio.run(_measure, runs, pathlib.Path(folder))
    columns = zip(*map(astuple, figures), strict=True)
    for field, values in zip(fields(StartFigures), columns, strict=True):
        click.echo(
            f"{field.name:10} median {statistics.median(values):7.3f}  "
            f"min {min(values):7.3f}  max {max(values):7.3f}"
        )


if __name__ == "__main__":
    main()
