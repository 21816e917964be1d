"""Where a gateway spends its processor time on the path of a request.

Plays one gateway before plain targets and engines on loopback, under a
profiler, and prints for each module the processor time of one request: from a
caller's bytes to the target and back.  A profiler makes small functions look
dear, so shares count and not sums.

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
_LEAST_SHOWN = 0.01


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
        """Where the profile is written."""
        return self._settings.with_suffix(".prof")


class _QuietPlay(Soak):
    """Callers without faults, before one gateway."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(1, 1, folder)
        plain = self._gateways[0]
        ports = (plain.callers_port, plain.ready_port, plain.peer_port)
        self.gateway = _ProfiledGateway(0, ports, folder)
        self._gateways[:] = [self.gateway]

    def count_requests(self) -> int:
        """Return how many requests were sent."""
        return sum(self._callers.outcomes.values())

    async def _inject_faults(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for _ in range(len(KINDS) * 4):
                    nursery.start_soon(self._callers.run)

    async def _check_recovery(self) -> None:
        await self.gateway.end(signal.SIGTERM)


def _find_module(path: str) -> str:
    """Return the module that a profiled function belongs to."""
    for package in (_PACKAGE, "trio", "h11", "httpcore", "hypercorn"):
        marker = f"/{package}/"
        if marker in path:
            rest = path.rpartition(marker)[2].removesuffix(".py")
            if package == _PACKAGE:
                return rest.replace("/", ".")
            return package
    return "built in and others"


@click.command()
@click.option("--seconds", type=float, default=8.0, show_default=True)
def main(seconds: float) -> None:
    """Play, and print the time of one request by module."""
    with tempfile.TemporaryDirectory() as temporary:
        play = _QuietPlay(pathlib.Path(temporary))
        trio.run(play.run, seconds)
        stats = pstats.Stats(str(play.gateway.profile))
        count = max(1, play.count_requests())
        spent: dict[str, float] = defaultdict(float)
        for (path, _, _), found in stats.stats.items():  # type: ignore[attr-defined]
            spent[_find_module(path)] += found[2]
    click.echo(json.dumps({"requests": count}))
    for module, time in sorted(spent.items(), key=lambda one: -one[1]):
        milliseconds = time / count * 1000
        if milliseconds >= _LEAST_SHOWN:
            click.echo(f"{module:32} {milliseconds:7.3f} ms a request")


if __name__ == "__main__":
    main()
