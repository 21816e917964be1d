"""``magnoliacove-entry``: serves callers and operators over HTTP."""

from typing import Any

import click
import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import entry
from magnoliacove import errors
from magnoliacove import flags
from magnoliacove import logs
from magnoliacove import platform
from magnoliacove import settings
from magnoliacove import web
from magnoliacove.commands import running

_ADDRESS = settings.AddressType()


@click.command()
@settings.process_options
@click.option(
    "--callers",
    type=_ADDRESS,
    default="127.0.0.1:8080",
    show_default=True,
    show_envvar=True,
    help="Address on which callers connect over HTTP.",
)
@click.option(
    "--operators",
    type=_ADDRESS,
    default="127.0.0.1:8081",
    show_default=True,
    show_envvar=True,
    help="Address on which operators' calls are served.",
)
@click.option(
    "--operator-keys",
    required=True,
    show_envvar=True,
    help="Operators and their API keys, as name:key,name:key.",
)
@click.option(
    "--room",
    type=click.IntRange(1, 100_000),
    default=512,
    show_default=True,
    show_envvar=True,
    help="Maximum number of requests that run concurrently.",
)
@click.option(
    "--memory-mb",
    type=click.IntRange(64, 1_000_000),
    default=defaults.PROCESS_MEMORY_MB,
    show_default=True,
    show_envvar=True,
    help="Memory that this process may use.  Callers whose bodies find none "
    "are refused with a time to come back.",
)
def _command(**options: Any) -> None:
    """Serve callers' requests and operators' calls."""
    running.show_user_errors(lambda: _run(options))


def _run(options: dict[str, Any]) -> None:
    logs.start_logging(options["log_level"])
    process = make_entry(options)

    async def start(nursery: trio.Nursery) -> str:
        address = await nursery.start(process.run)
        return (
            f"entry {options['name']}: callers {process.callers_url}, "
            f"operators {process.operators_url}, peers {address}"
        )

    running.run_until_stopped(start, process.drain)


def make_entry(options: dict[str, Any]) -> entry.Entry:
    """Return an entry built from validated settings."""
    identity = settings.read_identity(options, "entry")
    tls = None
    if options["tls_certificate"] is not None:
        tls = web.ServerTls(options["tls_certificate"], options["tls_key"])
    metrics = options["metrics"]
    return entry.Entry(
        entry.EntryParts(
            identity,
            platform.HttpObjectApi(options["object_api"]),
            settings.read_network(options),
            settings.bind("--callers", options["callers"]),
            settings.bind("--operators", options["operators"]),
            _read_keys(options["operator_keys"]),
            options["seeds"],
            settings.bind("--metrics", metrics) if metrics else None,
            tls=tls,
            max_running=options["room"],
            memory_mb=options["memory_mb"],
        )
    )


def _read_keys(text: str) -> dict[str, str]:
    """Return the operators' names by the hashes of their keys."""
    keys = {}
    for part in text.split(","):
        name, _, key = part.partition(":")
        if not name or len(key) < 8:
            raise errors.UserError(
                "--operator-keys (MAGNOLIACOVE_OPERATOR_KEYS) needs a name "
                "and a key of at least 8 letters for each operator, as "
                "ann:KEY,ben:KEY"
            )
        keys[configuration.hash_key(key)] = name
    return keys


def main() -> None:
    """Run the program."""
    _command(auto_envvar_prefix=flags.PREFIX)
