"""Lines of code by part of the project.

``python -m measure.counts`` counts lines that are neither blank nor
comments.
"""

import pathlib

import click

from measure import common

_CORE = (
    "agent",
    "configuration",
    "directory",
    "limits",
    "routing",
    "entry/streams.py",
    "entry/calls.py",
    "entry/claims.py",
    "entry/pool.py",
    "entry/distribution.py",
)


def _count(path: pathlib.Path) -> int:
    lines = path.read_text(encoding="utf-8").splitlines()
    stripped = (line.strip() for line in lines)
    return sum(bool(line) and not line.startswith("#") for line in stripped)


def _sum(*folders: str) -> int:
    total = 0
    for folder in folders:
        path = pathlib.Path(folder)
        files = [path] if path.is_file() else path.rglob("*.py")
        total += sum(_count(f) for f in files if "generated" not in f.parts)
    return total


@click.command()
def main() -> None:
    """Print the counts and shares."""
    package = _sum("magnoliacove")
    core = _sum(*(f"magnoliacove/{part}" for part in _CORE))
    tests = _sum("tests", "features")
    benchmarks = _sum("measure")
    total = package + tests + benchmarks
    rows = [
        {"part": "package", "lines": package, "share": package / total},
        {"part": "tests", "lines": tests, "share": tests / total},
        {
            "part": "benchmarks",
            "lines": benchmarks,
            "share": benchmarks / total,
        },
        {
            "part": "routing to recovery, of the package",
            "lines": core,
            "share": core / package,
        },
    ]
    common.show_table(rows)


if __name__ == "__main__":
    main()
