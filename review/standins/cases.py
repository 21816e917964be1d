"""How a case runs: a folder, a time limit, a record and an exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import os
import pathlib
import sys
import tempfile
import traceback
from typing import Any

from standins.gateways import Gateway
from standins.gateways import Hosts
from standins.gateways import choose_ports
from standins.servers import Record
from standins.store import Store

__all__ = ["Fleet", "run_case", "write_config"]

_LIMIT = 110.0
_HELD, _BROKEN, _NOT_RUN = 0, 1, 2


@dataclass
class Fleet:
    """The store, the gateways and the record of one case.

    :param trouble: whether the disruption comes.
    """

    folder: pathlib.Path
    trouble: bool
    hosts: Hosts = field(default_factory=Hosts)
    record: Record = field(default_factory=Record)
    store: Store = field(default_factory=Store)
    gateways: list[Gateway] = field(default_factory=list)

    async def start_store(self) -> None:
        """Start the platform's store."""
        await self.store.start(self.hosts.name(90))

    async def start_gateways(self, count: int) -> None:
        """Start gateways, and wait until they are ready."""
        ports = choose_ports(self.hosts.name(0), 5)
        self.gateways = [
            Gateway(n, self.hosts, ports, "colombo-a", self.folder)
            for n in range(count)
        ]
        await self.launch_gateways(first=True)

    async def launch_gateways(self, *, first: bool) -> None:
        """Start the processes, and wait until they are ready.

        :param first: whether the whole system starts for the first time.
        """
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.start(self.store.address, seeds, first=first)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.note("all gateways are ready")

    def kill_gateways(self) -> None:
        """Kill all gateways at once."""
        for gateway in self.gateways:
            gateway.kill()
        self.record.note("all gateways are killed")


def write_config(
    fleet: Fleet,
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
) -> None:
    """Write a config, as the operator does."""
    base = {
        "host": "review.example",
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        "public": True,
    }
    config = {
        "version": version,
        "routes": [{**base, **route} for route in routes],
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    fleet.store.write("config", "main", config)
    fleet.record.note(f"ack: config {version}")


def run_case(play: Callable[[Fleet], Awaitable[str]], place: str) -> None:
    """Run a case and exit with 1 if its rule was broken, 2 if it couldn't run.

    :param play: returns what broke the rule, "" if it held.
    :param place: a file in the case's folder, where the record goes.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status, broken = _NOT_RUN, ""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), trouble)

        async def run() -> str:
            async with asyncio.timeout(_LIMIT):
                return await play(fleet)

        try:
            broken = asyncio.run(run())
            status = _BROKEN if broken else _HELD
        except Exception:
            fleet.record.note(traceback.format_exc())
            traceback.print_exc()
        finally:
            for gateway in fleet.gateways:
                gateway.kill()
        logs = os.environ.get("KEEP_LOGS", "")
        if logs:
            for log in pathlib.Path(folder).glob("*.log"):
                target = pathlib.Path(logs) / log.name
                target.write_bytes(log.read_bytes())
    verdict = {
        _HELD: "held",
        _BROKEN: f"broken: {broken}",
        _NOT_RUN: "not run",
    }
    fleet.record.note(f"the rule: {verdict[status]}")
    record = pathlib.Path(place).resolve().parent / "record.txt"
    record.write_text("\n".join(fleet.record.lines) + "\n")
    print(verdict[status])
    sys.exit(status)
