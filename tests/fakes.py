"""Small helpers for tests: fleets in memory, and asking an ASGI app."""

import contextlib
import json

from magnoliacove.standins import callers
from magnoliacove.standins import engine
from magnoliacove.standins import fleet as fleets
from magnoliacove.standins import network


@contextlib.asynccontextmanager
async def open_memory_fleet(**settings):
    """Run a fleet without sockets, so that the clock may jump."""
    async with fleets.open_fleet(links=network.Links(), **settings) as fleet:
        yield fleet


async def ask(
    fleet, method, path, body=b"", headers=None, entry="entry-0", on_part=None
):
    """Send one request to an entry's application and return the answer."""
    app = fleet.entries[entry].made.app
    return await callers.ask(app, method, path, body, headers, on_part)


async def stream(fleet, prompt, tokens, on_token=None, entry="entry-0"):
    """Stream an answer; return its text, or the error that ended it."""
    body = callers.make_body(prompt, tokens, stream=True)
    answer = await ask(
        fleet, "POST", "/v1/completions", body, None, entry, on_token
    )
    try:
        return "".join(callers.read_events(answer.body.split(b"\n\n")))
    except RuntimeError as why:
        return json.loads(str(why))


def compute_expected_text(prompt, tokens, layers=8):
    """Return the text of an undisturbed model."""
    return b"".join(
        engine.compute_tokens(prompt.encode(), layers, tokens)
    ).decode()


def find_stage_target(fleet, first_layer):
    """Return the target that runs the stage from a layer on."""
    return next(
        name
        for name, running in fleet.agents.items()
        if name.startswith(f"llm-{first_layer}-")
        and running.made.stages.stages
    )


def list_kinds(fleet, kind):
    """Return the events of one kind, in causal order."""
    return fleet.list_events(kind)
