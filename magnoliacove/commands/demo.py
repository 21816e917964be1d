"""``magnoliacove-demo``: a complete fleet in one process, as a demo."""

import sys

import click
import logbook
import trio

from magnoliacove.commands import running
from magnoliacove.standins import engine
from magnoliacove.standins import fleet as fleets
from magnoliacove.timeline import render

_PROMPT = "Describe lot 12: a Louis XV commode in kingwood."


@click.command()
@click.option("--tokens", type=click.IntRange(4, 2000), default=40)
@click.option(
    "--kill/--no-kill",
    default=True,
    help="Kill an agent while it streams the answer.",
)
@click.option(
    "--html",
    type=click.Path(dir_okay=False),
    help="Also write the time line to an HTML file.",
)
def _command(tokens: int, kill: bool, html: str | None) -> None:
    """Stream one answer through an embedded fleet and explain its events."""
    logbook.NullHandler().push_application()
    running.show_user_errors(lambda: trio.run(_run, tokens, kill, html))


async def _run(tokens: int, kill: bool, html: str | None) -> None:
    async with fleets.open_fleet(step_time=0.02) as fleet:
        caller = fleets.Caller(fleet.entries["entry-0"].server.callers_url)
        click.echo(f"prompt: {_PROMPT}")
        text = ""
        count = 0
        async for token in caller.stream(_PROMPT, tokens):
            click.echo(token, nl=False)
            sys.stdout.flush()
            text += token
            count += 1
            if kill and count == tokens // 2:
                _kill_active_agent(fleet)
        click.echo()
        expected = b"".join(
            engine.compute_tokens(_PROMPT.encode(), fleet.layers, tokens)
        )
        same = text.encode() == expected
        click.echo(
            f"{count} tokens; identical to those of the model alone: {same}"
        )
        events = fleet.list_events()
        request = next(
            event.request
            for event in events
            if event.kind == "request-arrived"
        )
        click.echo(render.explain_request(events, request))
        if html is not None:
            page = render.render_html(events, "magnoliacove demo")
            await trio.Path(html).write_text(page, encoding="utf-8")
            click.echo(f"wrote the time line to {html}")


def _kill_active_agent(fleet: fleets.Fleet) -> None:
    """Kill an agent that runs a stage of the stream."""
    for name, agent in fleet.agents.items():
        stages = agent.server.stages
        if stages is not None and stages.stages:
            click.echo(f"\n[killing {name}]")
            fleet.kill(agent)
            return


def main() -> None:
    """Run the program."""
    _command()
