"""``magnoliacove-standin``: stand-ins for external services."""

import click
import trio

from magnoliacove import settings
from magnoliacove import web
from magnoliacove.commands import running
from magnoliacove.standins import engine
from magnoliacove.standins import object_api
from magnoliacove.standins import plain

_LISTEN = click.option(
    "--listen",
    type=settings.AddressType(),
    default="127.0.0.1:0",
    show_default=True,
    help="Address on which HTTP is served.",
)


def _serve(app: web.App, listen: object) -> None:
    async def start(nursery: trio.Nursery) -> str:
        listener = settings.bind("--listen", listen)  # type: ignore[arg-type]
        return await nursery.start(web.run_server, app, listener)

    async def drain() -> None:
        return None

    running.run_until_stopped(start, drain)


@click.group()
def _command() -> None:
    """Run a stand-in for tests and trials; not for production."""


@_command.command("object-api")
@_LISTEN
def _serve_object_api(listen: object) -> None:
    """Serve the platform's object API from memory."""
    _serve(object_api.make_app(object_api.ObjectStore()), listen)


@_command.command("engine")
@_LISTEN
@click.option("--layers", type=int, required=True)
@click.option("--step-time", type=float, default=0.005, show_default=True)
@click.option("--item-time", type=float, default=0.0002, show_default=True)
@click.option("--end-after", type=int, default=0, show_default=True)
@click.option("--checks-orders", is_flag=True)
def _serve_engine(
    listen: object,
    layers: int,
    step_time: float,
    item_time: float,
    end_after: int,
    checks_orders: bool,
) -> None:
    """Serve a model engine with deterministic tokens."""
    model = engine.StandInEngine(
        layers,
        step_time=step_time,
        item_time=item_time,
        end_after=end_after,
        checks_orders=checks_orders,
    )
    _serve(engine.make_app(model), listen)


@_command.command("plain")
@_LISTEN
@click.option("--name", default="plain", show_default=True)
def _serve_plain(listen: object, name: str) -> None:
    """Serve a plain service that reports what it ran."""
    _serve(plain.make_app(plain.StandInPlain(name)), listen)


def main() -> None:
    """Run the program."""
    _command()
