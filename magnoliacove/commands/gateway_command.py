"""The gateway's command: its settings, its signals, its end."""

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

# Shorter than the general bound: a call that takes longer than this is
# tried again on another connection, since one may fall silent for good.
_STORE_TIMEOUT = 1.0


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    envvar="MAGNOLIACOVE_NODE_FILE",
    show_envvar=True,
    help="The settings file that the platform writes.",
)
@click.option(
    "--metrics-port",
    type=click.IntRange(0, 65535),
    default=0,
    show_default=True,
    show_envvar=True,
    help="Where /metrics is served on this instance's address; 0 for none.",
)
@click.option(
    "--callers",
    default="",
    show_envvar=True,
    # The program reads it in its first step; here it is only documented.
    expose_value=False,
    help="The settings file's address for callers, so that it is listened at "
    "before that file is read; callers that come meanwhile wait.",
)
@flags.log_level_option
@click.option(
    "--check",
    is_flag=True,
    help="Check the settings file and stop.",
)
@click.pass_obj
def _command(
    listener: socket.socket | None,
    path: str,
    metrics_port: int,
    log_level: str,
    check: bool,
) -> None:
    """Serve callers' requests from the platform's targets."""

    def run() -> None:
        read = read_settings(path)
        if check:
            click.echo(f"{path} is in order: {read.name}, {read.callers}")
            return
        running.tune_collector()
        writer = logs.start_line_logging(log_level)
        trio.run(_serve, read, path, metrics_port, listener, writer)

    running.show_user_errors(run)


async def _serve(
    read: NodeSettings,
    path: str,
    metrics_port: int,
    listener: socket.socket | None,
    writer: logs.LineWriter,
) -> None:
    api = HttpObjectApi(f"http://{read.store}", timeout=_STORE_TIMEOUT)
    gateway = Gateway(read, api, metrics_port, listener)
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
            await gateway.drain()
            nursery.cancel_scope.cancel()
    writer.flush()


def _reload(gateway: Gateway, path: str) -> None:
    """Read the settings file again; the last good one stays in force."""
    try:
        gateway.reload(read_settings(path))
    except errors.UserError as why:
        gateway.recorder.record("settings-unreadable", why=str(why))


def main(listener: socket.socket | None = None) -> None:
    """Run the program.

    :param listener: what listens at the callers' address already, or None.
    """
    _command(obj=listener, auto_envvar_prefix=flags.PREFIX)
