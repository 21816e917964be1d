"""``python -m soak``: inject random faults into real gateway processes."""

import pathlib
import tempfile

import click
import trio

from soak.play import Soak
from soak.restores import RestoreSoak
from soak.rolls import RollSoak
from soak.rolls import Variant

__all__ = ["main"]


@click.command()
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="May be repeated."
)
@click.option("--first", type=int, default=1, show_default=True)
@click.option(
    "--count", type=int, default=0, help="Number of seeds from --first on."
)
@click.option(
    "--seconds",
    type=float,
    default=12.0,
    show_default=True,
    help="Duration per seed.",
)
@click.option("--gateways", type=int, default=3, show_default=True)
@click.option(
    "--restores",
    is_flag=True,
    help="Also restore the store from older snapshots.",
)
@click.option(
    "--rolls",
    type=click.Choice([variant.value for variant in Variant]),
    help="Play planned work instead, or stops beside pauses of engines; "
    "give it 25 seconds or more.",
)
@click.option(
    "--logs", type=click.Path(), default="", help="Folder that keeps the logs."
)
def main(
    seeds: tuple[int, ...],
    first: int,
    count: int,
    seconds: float,
    gateways: int,
    restores: bool,
    rolls: str | None,
    logs: str,
) -> None:
    """Run seeds and report broken promises; fail if there are any."""
    failed = []
    for seed in [*seeds, *range(first, first + count)]:
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(logs or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            soak: Soak
            if rolls is not None:
                soak = RollSoak(seed, gateways, folder, Variant(rolls))
            elif restores:
                soak = RestoreSoak(seed, gateways, folder)
            else:
                soak = Soak(seed, gateways, folder)
            violations = trio.run(soak.run, seconds)
        click.echo(f"seed {seed}: {soak.describe()}")
        if isinstance(soak, RollSoak):
            for line in soak.cut_answers:
                click.echo(f"  CUT {line}")
        for line in violations:
            click.echo(f"  BROKEN {line}")
        if violations:
            failed.append(seed)
    if failed:
        raise click.ClickException(f"seeds with broken promises: {failed}")


if __name__ == "__main__":
    main()
