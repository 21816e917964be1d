"""Helpers of the benchmarks: environment, fits, tables, child processes."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import platform
import statistics
import subprocess
import sys
from typing import Any

import click

_RESULTS = pathlib.Path(__file__).parent / "results"


def read_environment() -> dict[str, Any]:
    """Return the environment on which results depend, and the commit."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    return {
        "commit": commit,
        "python": platform.python_version(),
        "system": f"{platform.system()} {platform.machine()}",
        "cores": os.cpu_count(),
        "load": os.getloadavg()[0],
    }


def fit_line(points: Sequence[tuple[float, float]]) -> dict[str, float]:
    """Return slope, intercept and largest residual of a linear fit.

    The residual is relative to the largest measured value.
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    max_residual = max(abs(y - slope * x - intercept) for x, y in points)
    return {
        "slope": slope,
        "intercept": intercept,
        "residual": max_residual / (max(map(abs, ys)) or 1.0),
    }


def show_table(rows: Sequence[dict[str, Any]]) -> None:
    """Print rows as a table with their keys as the header."""
    keys = list(rows[0])
    texts = [[_format(row[key]) for key in keys] for row in rows]
    widths = [
        max(len(text) for text in column)
        for column in zip(keys, *texts, strict=True)
    ]
    for line in (keys, *texts):
        cells = zip(line, widths, strict=True)
        click.echo("  ".join(cell.rjust(width) for cell, width in cells))


def _format(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def write_result(name: str, data: dict[str, Any]) -> None:
    """Write a result together with the environment."""
    _RESULTS.mkdir(exist_ok=True)
    path = _RESULTS / f"{name}.json"
    path.write_text(
        json.dumps({**read_environment(), **data}, indent=1) + "\n"
    )
    click.echo(f"written to measure/results/{name}.json")


def read_process(pid: int) -> dict[str, float]:
    """Return the processor time and the resident memory of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(map(int, fields.split()[11:13]))
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return {
        "cpu_seconds": ticks / os.sysconf("SC_CLK_TCK"),
        "memory_mb": pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
    }


@contextlib.contextmanager
def start_child(
    module: str, *args: str
) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """Run a module as a child process; yield it and its first output line."""
    child = subprocess.Popen(
        [sys.executable, "-m", module, *args],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert child.stdout is not None
        yield child, child.stdout.readline().strip()
    finally:
        child.kill()
        child.wait()
