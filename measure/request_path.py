"""Processor time of a gateway per request, by module.

Runs one gateway with plain targets and engines on loopback under a profiler.
For each module, it prints the processor time of one request, from the
caller's bytes to the target and back.  A profiler overstates the cost of
small functions, so only the shares are meaningful, not the sums.

    python -m measure.request_path --seconds 8
"""

from collections import defaultdict
import json
import pathlib
import pstats
import signal
import subprocess
import sys
import tempfile

import click
import trio

from soak.callers import KINDS
from soak.gateways import GatewayProcess
from soak.play import Soak

_PACKAGE = "magnoliacove"
# Milliseconds per request from which a module is shown.
_MIN_SHOWN_MS = 0.01


class _ProfiledGateway(GatewayProcess):
    """A gateway that writes its profile when it ends."""

    def start(self) -> None:
        """Start the process."""
        program = [sys.executable, "-m", "cProfile", "-o", str(self.profile)]
        module = ["-m", "magnoliacove.commands.gateway"]
        flags = ["--settings", str(self._settings)]
        flags += ["--callers", f"{self.host}:{self.callers_port}"]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [*program, *module, *flags], stdout=log, stderr=log
            )
        self.stopping = False

    @property
    def profile(self) -> pathlib.Path:
        """The file to which the profile is written."""
        return self._settings.with_suffix(".prof")


class _FaultlessSoak(Soak):
    """A soak of one gateway without faults."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(1, 1, folder)
        gateway = self._gateways[0]
        ports = (gateway.callers_port, gateway.ready_port, gateway.peer_port)
        self.gateway = _ProfiledGateway(0, ports, folder)
        self._gateways[:] = [self.gateway]

    def count_requests(self) -> int:
        """Return the number of completed requests."""
        return sum(self._callers.outcomes.values())

    async def _inject_faults(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for _ in range(len(KINDS) * 4):
                    nursery.start_soon(self._callers.run)

    async def _check_recovery(self) -> None:
        await self.gateway.end(signal.SIGTERM)


def _find_module(path: str) -> str:
    """Return the module of a profiled function, by its file."""
    for package in (_PACKAGE, "trio", "h11", "httpcore", "hypercorn"):
        marker = f"/{package}/"
        if marker in path:
            rest = path.rpartition(marker)[2].removesuffix(".py")
            if package == _PACKAGE:
                return rest.replace("/", ".")
            return package
    return "built-in and others"


@click.command()
@click.option("--seconds", type=float, default=8.0, show_default=True)
def main(seconds: float) -> None:
    """Run the gateway and print the time of one request by module."""
    with tempfile.TemporaryDirectory() as temporary:
        soak = _FaultlessSoak(pathlib.Path(temporary))
        trio.run(soak.run, seconds)
        stats = pstats.Stats(str(soak.gateway.profile))
        count = max(1, soak.count_requests())
        spent: dict[str, float] = defaultdict(float)
        for (path, _, _), timings in stats.stats.items():  # type: ignore[attr-defined]
            spent[_find_module(path)] += timings[2]
    click.echo(json.dumps({"requests": count}))
    for module, seconds_spent in sorted(
        spent.items(), key=lambda item: -item[1]
    ):
        milliseconds = seconds_spent / count * 1000
        if milliseconds >= _MIN_SHOWN_MS:
            click.echo(f"{module:32} {milliseconds:7.3f} ms per request")


if __name__ == "__main__":
    main()
