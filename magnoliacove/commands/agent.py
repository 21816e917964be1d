"""``magnoliacove-agent``: the process that runs next to each target."""

from typing import Any

import click
import trio

from magnoliacove import agent
from magnoliacove import flags
from magnoliacove import logs
from magnoliacove import platform
from magnoliacove import settings
from magnoliacove import targets
from magnoliacove.commands import running


@click.command()
@settings.process_options
@click.option(
    "--target-url",
    required=True,
    show_envvar=True,
    help="URL of this agent's target, as http://127.0.0.1:9000.",
)
@click.option(
    "--target-form",
    type=click.Choice(["model", "plain"]),
    required=True,
    show_envvar=True,
    help="Whether the target is a model engine or a plain service.",
)
def _command(**options: Any) -> None:
    """Connect one target to the magnoliacove system."""
    running.show_user_errors(lambda: _run(options))


def _run(options: dict[str, Any]) -> None:
    logs.start_logging(options["log_level"])
    process = make_agent(options)

    async def start(nursery: trio.Nursery) -> str:
        address = await nursery.start(process.run)
        return f"agent {options['name']}: peers {address}"

    running.run_until_stopped(start, process.drain)


def make_agent(options: dict[str, Any]) -> agent.Agent:
    """Return an agent built from validated settings."""
    identity = settings.read_identity(options, "agent")
    url, model = options["target_url"], options["target_form"] == "model"
    metrics = options["metrics"]
    return agent.Agent(
        agent.AgentParts(
            identity,
            platform.HttpObjectApi(options["object_api"]),
            settings.read_network(options),
            targets.HttpEngine(url) if model else None,
            None if model else targets.HttpPlainTarget(url),
            options["seeds"],
            settings.bind("--metrics", metrics) if metrics else None,
        )
    )


def main() -> None:
    """Run the program."""
    _command(auto_envvar_prefix=flags.PREFIX)
