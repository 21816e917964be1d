"""Gateways as separate processes, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

from standins.http import ClosedError
from standins.http import read_message

__all__ = ["BOUNDS", "Gateway", "Hosts", "choose_ports"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The bounds of the sheet that the cases name.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "stretch_max_ms": 5000,
    "revoke_fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 202,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 2500,
    "fencing_required": False,
}
_READY_SECONDS = 20.0


class Hosts:
    """Loopback addresses of one run, which no other run shares."""

    def __init__(self) -> None:
        block, host = divmod(os.getpid(), 250)
        self._base = f"127.{2 + block % 200}.{host}"

    def name(self, number: int) -> str:
        """Return the address of one machine."""
        return f"{self._base}.{10 + number}"


def choose_ports(host: str, count: int) -> list[int]:
    """Return free ports of an address."""
    held = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((host, 0))
        held.append(probe)
    ports = [probe.getsockname()[1] for probe in held]
    for probe in held:
        probe.close()
    return ports


class Gateway:
    """One gateway process.

    :param ports: of clients, readiness, control and the two internal ones.
    """

    def __init__(
        self,
        number: int,
        hosts: Hosts,
        ports: list[int],
        zone: str,
        folder: pathlib.Path,
    ) -> None:
        self.name = f"front-{zone}-{number}"
        self.host = hosts.name(number)
        self.port, self._ready_port, self._control_port = ports[:3]
        self._internal = ports[3:5]
        self._zone = zone
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def control(self) -> str:
        """The control address, by which others know it as a seed."""
        return f"{self.host}:{self._control_port}"

    def start(self, store: str, seeds: list[str], *, first: bool) -> None:
        """Start the process with the settings of a small deployment."""
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": self._zone,
            "region": "lk-west",
            "zones": {self._zone: "lk-west"},
            "listen": {
                "front": f"{self.host}:{self.port}",
                "ready_addr": f"{self.host}:{self._ready_port}",
                "control": self.control,
            },
            "internal_ports": self._internal,
            "seeds": seeds,
            "bootstrap": first,
            "tolerance_member": False,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "objects"},
        }
        self._settings.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = deploy["roles"]["gateway"]["run"]
        run = run.replace("{{listen.front}}", f"{self.host}:{self.port}")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["MAGNOLIACOVE_NODE_FILE"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                run.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready."""
        async with asyncio.timeout(_READY_SECONDS):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self._ready_port
            )
        except OSError:
            # It doesn't listen yet.
            return False
        try:
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            return (await read_message(reader)).status == 200
        except (ClosedError, ConnectionError):
            return False
        finally:
            writer.close()
