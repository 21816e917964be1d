"""``magnoliacove-demo``: a whole fleet in one process, for a first look."""

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
    help="Kill an agent in the middle of the answer.",
)
@click.option(
    "--html", type=click.Path(dir_okay=False), help="Write a picture as well."
)
def _command(tokens: int, kill: bool, html: str | None) -> None:
    """Stream one answer through an embedded fleet and explain it."""
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
                _kill_one(fleet)
        click.echo()
        expected = b"".join(
            engine.compute_tokens(_PROMPT.encode(), fleet.layers, tokens)
        )
        same = text.encode() == expected
        click.echo(
            f"{count} tokens; the same as of an undisturbed model: {same}"
        )
        events = fleet.list_events()
        name = next(e.request for e in events if e.kind == "request-arrived")
        click.echo(render.explain_request(events, name))
        if html is not None:
            page = render.render_html(events, "A first look")
            await trio.Path(html).write_text(page, encoding="utf-8")
            click.echo(f"the picture is in {html}")


def _kill_one(fleet: fleets.Fleet) -> None:
    for name, agent in fleet.agents.items():
        stages = agent.server.stages
        if stages is not None and stages.stages:
            click.echo(f"\n[killing {name}]")
            fleet.kill(agent)
            return


def main() -> None:
    """Run the program."""
    _command()
