"""Run long-running programs: signals, graceful shutdown and errors."""

from collections.abc import Awaitable
from collections.abc import Callable
import gc
import signal
import sys
from typing import Any

import click
import trio

from magnoliacove import errors

__all__ = ["run_until_stopped", "show_user_errors", "tune_collector"]

# Net allocations that trigger a collection of the youngest generation.
_GC_THRESHOLD = 20_000


def show_user_errors(command: Callable[[], Any]) -> None:
    """Run a command, and print an error as one line.

    The program exits with status 2 after a user's mistake, and with status
    1 after any other error of this project.
    """
    try:
        command()
    except errors.UserError as exc:
        click.echo(f"error: {exc}", err=True)
        sys.exit(2)
    except errors.Error as exc:
        click.echo(f"error: {exc}", err=True)
        sys.exit(1)


def tune_collector() -> None:
    """Make the garbage collector run less often and scan fewer objects.

    The objects of imported modules live as long as the process.  Scanning
    them repeatedly takes long and delays tokens.
    """
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)


def run_until_stopped(
    start: Callable[[trio.Nursery], Awaitable[str]],
    drain: Callable[[], Awaitable[None]],
) -> None:
    """Run a program until SIGTERM or SIGINT, then drain and stop it.

    A second signal stops it immediately.

    :param start: starts the program and returns a line to print.
    :param drain: completes the running work before the program stops.
    """
    tune_collector()

    async def main() -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                click.echo(await start(nursery))
                sys.stdout.flush()
                await signals.__anext__()
                nursery.start_soon(_drain, drain, nursery.cancel_scope)
                await signals.__anext__()
                nursery.cancel_scope.cancel()

    show_user_errors(lambda: trio.run(main))


async def _drain(
    drain: Callable[[], Awaitable[None]], scope: trio.CancelScope
) -> None:
    await drain()
    scope.cancel()
