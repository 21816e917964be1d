"""Gateways as separate processes, started by the deploy file's command."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tomllib

from stand_ins_2.messages import Message
from stand_ins_2.messages import read_message
from stand_ins_2.messages import write_head
from stand_ins_2.record import Record
from stand_ins_2.store import Store

__all__ = ["Gateway", "choose_hosts", "read_bounds"]

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_CONTROL_PORT = 8229
_CALLERS_PORT = 8227
_READY_PORT = 8220
_PEER_PORT = 7340
_METERS_PORT = 7355
_READY_TIMEOUT = 20.0


def read_bounds() -> dict[str, float | bool]:
    """Return the bounds of a small deployment, as in the pages' example."""
    return {
        "contact_ms": 3000,
        "drain_ms": 2000,
        "grace_s": 8,
        "loss_slack_ms": 200,
        "config_apply_ms": 2000,
        "rollback_slack_ms": 250,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "budget_slack": 202,
        "recovery_s": 12,
        "stall_ms": 2500,
        "fencing_required": False,
    }


def choose_hosts(count: int) -> list[str]:
    """Return loopback addresses on which the gateways' ports are free."""
    rng = random.Random()
    while True:
        prefix = f"127.{rng.randrange(1, 250)}.{rng.randrange(0, 250)}"
        hosts = [f"{prefix}.{10 + n}" for n in range(count)]
        if all(_is_free(host) for host in hosts):
            return hosts


def _is_free(host: str) -> bool:
    ports = (_CALLERS_PORT, _READY_PORT, _PEER_PORT, _METERS_PORT)
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Gateway:
    """One gateway process.

    :param first_start: whether the whole system starts for the first time.
    """

    def __init__(
        self,
        number: int,
        hosts: list[str],
        store: Store,
        folder: pathlib.Path,
        record: Record,
    ) -> None:
        self.name = f"front-a-{number + 1}"
        self.host = hosts[number]
        self.callers_port = _CALLERS_PORT
        self.first_start = True
        # Read at each start, so that a case may put a proxy in front.
        self.store_address = f"{store.host}:{store.port}"
        self._hosts = hosts
        self._record = record
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the settings and start the process."""
        self._write_settings()
        program, *words = self._read_command()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["MAGNOLIACOVE_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(_ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [shutil.which(program) or program, *words],
                cwd=_ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"gateway {self.name} starts on {self.host}")

    def _read_command(self) -> list[str]:
        text = (_ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        command = tomllib.loads(text)["roles"]["gateway"]["run"]
        address = f"{self.host}:{_CALLERS_PORT}"
        return str(command).replace("{{listen.front}}", address).split()

    def _write_settings(self) -> None:
        seeds = [f"{host}:{_CONTROL_PORT}" for host in self._hosts[:3]]
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "front": f"{self.host}:{_CALLERS_PORT}",
                "ready_addr": f"{self.host}:{_READY_PORT}",
                "control": f"{self.host}:{_CONTROL_PORT}",
            },
            "internal_ports": [_PEER_PORT, _METERS_PORT],
            "seeds": seeds,
            "bootstrap": self.first_start,
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "bounds": read_bounds(),
            "platform": {"address": self.store_address, "form": "objects"},
        }
        self._settings.write_text(json.dumps(settings), encoding="utf-8")

    def reload(self, store: Store) -> None:
        """Change the settings file, and tell the process so."""
        self.store_address = f"{store.host}:{store.port}"
        self._write_settings()
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._record.write(f"gateway {self.name} gets {number.name}")
            self._process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    async def end(self) -> None:
        """Kill the process."""
        if self._process is None:
            return
        if self._process.poll() is None:
            self._process.kill()
        while self._process.poll() is None:
            await asyncio.sleep(0.02)

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        async with asyncio.timeout(_READY_TIMEOUT):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, _READY_PORT
            )
        except OSError:
            return False
        head = {"Host": "x", "Connection": "close"}
        writer.write(write_head("GET /v1/readiness HTTP/1.1", head))
        answer = await read_message(reader, is_answer=True)
        writer.close()
        return answer is not None and answer.status == 200

    async def call_get(self, path: str, name: str) -> float:
        """Send one GET request; return when it was sent."""
        sent_at = self._record.now()
        await self.call("GET", path, name)
        return sent_at

    async def call(
        self,
        method: str,
        path: str,
        name: str,
        *,
        deadline_ms: int = 4000,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Message | None:
        """Send one request on a new channel and return the answer."""
        self._record.write(f"caller sends {name} to {self.name}")
        try:
            answer = await self._call(
                method, path, name, deadline_ms, headers or {}, body
            )
        except (OSError, TimeoutError) as error:
            self._record.write(f"caller of {name} has no answer: {error!r}")
            return None
        result = "none" if answer is None else str(answer.status)
        whole = "" if answer is None or answer.whole else ", cut"
        self._record.write(f"caller of {name} gets {result}{whole}")
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        name: str,
        deadline_ms: int,
        headers: dict[str, str],
        body: bytes,
    ) -> Message | None:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(
                self.host, _CALLERS_PORT
            )
            try:
                head = {
                    "Host": "review.example",
                    "X-Request-Id": name,
                    "X-Deadline-Ms": str(deadline_ms),
                    **headers,
                }
                if body:
                    head["Content-Length"] = str(len(body))
                writer.write(write_head(f"{method} {path} HTTP/1.1", head))
                writer.write(body)
                return await read_message(reader, is_answer=True)
            finally:
                writer.close()
