"""The gateway's command: settings, signals and shutdown."""

from collections.abc import AsyncIterator
import signal
import socket

import click
import trio

from magnoliacove import errors
from magnoliacove import flags
from magnoliacove import logs
from magnoliacove.commands import running
from magnoliacove.gateway import Gateway
from magnoliacove.platform import HttpObjectApi
from magnoliacove.platform.settings import NodeSettings
from magnoliacove.platform.settings import read_settings

# Seconds; shorter than the general time-out.  A call that takes longer is
# retried on another connection, because a connection may become
# unresponsive permanently.
_STORE_TIMEOUT = 1.0


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    envvar="MAGNOLIACOVE_NODE_FILE",
    show_envvar=True,
    help="Settings file written by the platform.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(0, 65535),
    default=0,
    show_default=True,
    show_envvar=True,
    help="Port for /metrics on this instance's address; 0 disables it.",
)
@click.option(
    "--callers",
    default="",
    show_envvar=True,
    # listen_early has already read this option; it is declared here only so
    # that it is accepted and documented.
    expose_value=False,
    help="The address for callers in the settings file.  The gateway listens "
    "on it before it reads that file, so that callers connect and wait.",
)
@click.option(
    "--share-waiting",
    is_flag=True,
    show_envvar=True,
    help="Leave capacity to requests that wait at other gateways and are more "
    "urgent, or wait much longer.  All gateways report what waits anyway.",
)
@flags.log_level_option
@click.option(
    "--check",
    is_flag=True,
    help="Validate the settings file and exit.",
)
@click.pass_obj
def _command(
    listener: socket.socket | None,
    path: str,
    metrics_port: int,
    share_waiting: bool,
    log_level: str,
    check: bool,
) -> None:
    """Forward callers' requests to the platform's targets."""

    def run() -> None:
        settings = read_settings(path)
        if check:
            click.echo(
                f"{path} is in order: {settings.name}, {settings.callers}"
            )
            return
        running.tune_collector()
        writer = logs.start_line_logging(log_level)
        trio.run(
            _serve,
            settings,
            path,
            metrics_port,
            share_waiting,
            listener,
            writer,
        )

    running.show_user_errors(run)


async def _serve(
    settings: NodeSettings,
    path: str,
    metrics_port: int,
    share_waiting: bool,
    listener: socket.socket | None,
    writer: logs.LineWriter,
) -> None:
    api = HttpObjectApi(f"http://{settings.store}", timeout=_STORE_TIMEOUT)
    gateway = Gateway(
        settings, api, metrics_port, listener, shares_waiting=share_waiting
    )
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            nursery.start_soon(gateway.run)
            async for number in signals:
                if number == signal.SIGHUP:
                    _reload(gateway, path)
                    continue
                break
            nursery.start_soon(_ignore_signals, signals, gateway)
            await gateway.drain()
            nursery.cancel_scope.cancel()
        await writer.finish()


async def _ignore_signals(
    signals: AsyncIterator[int], gateway: Gateway
) -> None:
    """Take the signals that arrive during the drain.

    One that nobody takes is delivered at the end with its default action,
    which ends the process before its last lines are written.
    """
    async for number in signals:
        gateway.recorder.record(
            "signal-ignored",
            why="this process stops already",
            signal=signal.Signals(number).name,
        )


def _reload(gateway: Gateway, path: str) -> None:
    """Reload the settings file.

    An invalid file leaves the present settings in force.
    """
    try:
        gateway.reload(read_settings(path))
    except errors.UserError as exc:
        gateway.recorder.record("settings-unreadable", why=str(exc))


def main(listener: socket.socket | None = None) -> None:
    """Run the program.

    :param listener: the socket that already listens on the callers'
        address, or None.
    """
    _command(obj=listener, auto_envvar_prefix=flags.PREFIX)
