"""What the measuring programs share: facts, fits, tables, child processes."""

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


def read_facts() -> dict[str, Any]:
    """Return what a figure depends on besides the code measured."""
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
    """Return slope, intercept and the largest residual of a line.

    The residual is relative to the largest value measured.
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    worst = max(abs(y - slope * x - intercept) for x, y in points)
    return {
        "slope": slope,
        "intercept": intercept,
        "residual": worst / (max(map(abs, ys)) or 1.0),
    }


def show_table(rows: Sequence[dict[str, Any]]) -> None:
    """Print rows under their keys."""
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
    """Write a result with the facts beside it."""
    _RESULTS.mkdir(exist_ok=True)
    path = _RESULTS / f"{name}.json"
    path.write_text(json.dumps({**read_facts(), **data}, indent=1) + "\n")
    click.echo(f"written to measure/results/{name}.json")


def read_process(pid: int) -> dict[str, float]:
    """Return a process's seconds of processor time and its memory."""
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
    """Run a module as a child; yield it and its first line of output."""
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
