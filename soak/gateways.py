"""The gateways of a soak: real processes, controlled by signals."""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys

import trio

__all__ = ["GatewayProcess", "choose_port", "name_host"]

# Seconds within which a gateway must become ready.
_READY_TIMEOUT = 15.0
# Ranges of the second and third octet of the loopback addresses of runs.
_HOST_BLOCKS = 200
_HOSTS_IN_BLOCK = 256
# The state of an open connection in the kernel's table of connections.
_ESTABLISHED = "01"


def choose_port(rng: random.Random) -> int:
    """Return a random port; gateways share it, each on its own address."""
    return rng.randrange(20_000, 30_000)


def name_host(number: int, run: int) -> str:
    """Return the loopback address of a gateway of one run.

    The address depends on the run because ports are derived from the seed
    and listeners share a port.  On common addresses, two concurrent runs of
    the same seed answer each other's callers, and requests seem to have run
    twice.

    :param run: the id of the process that runs the soak.
    """
    block, host = divmod(run, _HOSTS_IN_BLOCK)
    return f"127.{1 + block % _HOST_BLOCKS}.{host}.{10 + number}"


class GatewayProcess:
    """One gateway process on its own loopback address.

    :param stopping: whether it was asked to end and has not been restarted.
    :param unexpected_exits: the exit codes when the process ended without
        being asked to.
    :param grace: seconds from SIGTERM to the end of the process.
    :param retry_slack: retries in ten seconds beyond a share of the requests.
    :param memory_mb: memory that the process may use.
    :param max_descriptors: open descriptors that the process may have.
    """

    def __init__(
        self, number: int, ports: tuple[int, int, int], folder: pathlib.Path
    ) -> None:
        self.name = f"g-{number}"
        self.host = name_host(number, os.getpid())
        self.callers_port, self.ready_port, self.peer_port = ports
        self.stopping = False
        self.unexpected_exits: list[int] = []
        self.grace = 4
        self.retry_slack = 200
        self.memory_mb = 300
        self.max_descriptors = 4100
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.json"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, store: str, hosts: list[str]) -> None:
        """Write the settings file."""
        seeds = [f"{host}:{self.peer_port}" for host in hosts]
        settings = {
            "node_name": self.name,
            "ip": self.host,
            "zone": "a",
            "listen": {
                "front": f"{self.host}:{self.callers_port}",
                "ready_addr": f"{self.host}:{self.ready_port}",
            },
            "internal_ports": [self.peer_port],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {
                "memory_mb": self.memory_mb,
                "max_fds": self.max_descriptors,
            },
            "bounds": {
                "drain_ms": 2000,
                "grace_s": self.grace,
                "retry_budget_ratio": 0.2,
                "budget_slack": self.retry_slack,
                "budget_window_s": 10,
            },
            "platform": {"address": store},
        }
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        program = [sys.executable, "-m", "magnoliacove.commands.gateway"]
        flags = ["--settings", str(self._settings)]
        flags += ["--callers", f"{self.host}:{self.callers_port}"]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [*program, *flags],
                stdout=log,
                stderr=log,
            )
        self.stopping = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def reload(self) -> None:
        """Ask the process to read its settings again.

        Skip a process that has not set its signal handler yet: while the
        interpreter starts, the default action of the signal ends the process
        whatever the program does.
        """
        if self._process is None or self._process.poll() is not None:
            return
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        masks = dict(
            line.split(":\t", 1)
            for line in status.read_text().splitlines()
            if line.startswith(("SigIgn", "SigCgt"))
        )
        hangup = 1 << (signal.SIGHUP - 1)
        if any(int(mask, 16) & hangup for mask in masks.values()):
            self.send(signal.SIGHUP)

    @property
    def alive(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def count_descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(list((self._read_folder() / "fd").iterdir()))

    def read_unread_bytes(self) -> int:
        """Return the bytes that callers sent and the process has not read."""
        octets = reversed(self.host.split("."))
        address = "".join(f"{int(octet):02X}" for octet in octets)
        local = f"{address}:{self.callers_port:04X}"
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        rows = (line.split() for line in lines)
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            if row[1] == local and row[3] == _ESTABLISHED
        )

    def read_resident(self) -> float:
        """Return the resident memory of the process in MB."""
        pages = int((self._read_folder() / "statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024

    def _read_folder(self) -> pathlib.Path:
        if self._process is None:
            raise RuntimeError(f"{self.name} was not started; start it first")
        return pathlib.Path(f"/proc/{self._process.pid}")

    def read_usage(self) -> tuple[float, float]:
        """Return the processor time in seconds and the peak memory in MB."""
        if self._process is None:
            return 0.0, 0.0
        folder = self._read_folder()
        # The fields after the program's name, which may contain spaces.
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        status = (folder / "status").read_text()
        peak = int(status.partition("VmHWM:")[2].split()[0])
        return ticks / os.sysconf("SC_CLK_TCK"), peak / 1024

    def restart_if_exited(self) -> None:
        """Restart the process if it has exited; record an unexpected exit."""
        if self._process is None or self._process.poll() is None:
            return
        if not self.stopping:
            self.unexpected_exits.append(self._process.returncode)
        self.start()

    async def end(self, number: signal.Signals) -> None:
        """Send a signal that ends the process and wait until it has exited."""
        self.stopping = True
        self.send(number)
        self.send(signal.SIGCONT)
        while self._process is not None and self._process.poll() is None:
            await trio.sleep(0.02)

    async def wait_ready(self) -> None:
        """Wait until the process reports that it is ready."""
        with trio.fail_after(_READY_TIMEOUT):
            while not await self._is_ready():
                await trio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            stream = await trio.open_tcp_stream(self.host, self.ready_port)
            async with stream:
                await stream.send_all(
                    b"GET /v1/readiness HTTP/1.1\r\nhost: x\r\n"
                    b"connection: close\r\n\r\n"
                )
                return b" 200 " in await stream.receive_some(64)
        except (OSError, trio.BrokenResourceError):
            # The process does not listen yet, or has just ended.
            return False
