"""Running a long-lived program: signals, graceful stop, friendly errors."""

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

_GARBAGE_THRESHOLD = 20_000


def show_user_errors(command: Callable[[], Any]) -> None:
    """Run a command; show a user's mistake as one line."""
    try:
        command()
    except errors.UserError as why:
        click.echo(f"error: {why}", err=True)
        sys.exit(2)
    except errors.Error as why:
        click.echo(f"error: {why}", err=True)
        sys.exit(1)


def tune_collector() -> None:
    """Let the garbage collector run less often, over fewer objects.

    Objects of the imported modules live as long as the process.  Looking
    through them again and again takes long and delays tokens.
    """
    gc.freeze()
    gc.set_threshold(_GARBAGE_THRESHOLD)


def run_until_stopped(
    start: Callable[[trio.Nursery], Awaitable[str]],
    drain: Callable[[], Awaitable[None]],
) -> None:
    """Run a program until SIGTERM or SIGINT, then drain and stop it.

    A second signal stops it at once.

    :param start: starts the program and returns a line to print.
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
