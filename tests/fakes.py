"""Helpers that run in-memory fleets and send requests to ASGI apps."""

import contextlib
import json

import trio

from magnoliacove.standins import callers
from magnoliacove.standins import engine
from magnoliacove.standins import fleet as fleets
from magnoliacove.standins import network
from magnoliacove.wire import Address


@contextlib.asynccontextmanager
async def open_memory_fleet(**settings):
    """Run a fleet without sockets, so that the test clock can jump."""
    async with fleets.open_fleet(links=network.Links(), **settings) as fleet:
        yield fleet


async def ask(
    fleet, method, path, body=b"", headers=None, entry="entry-0", on_part=None
):
    """Send a request to an entry's ASGI app and return the answer."""
    app = fleet.entries[entry].server.app
    return await callers.ask(app, method, path, body, headers, on_part)


async def stream(fleet, prompt, tokens, on_token=None, entry="entry-0"):
    """Stream an answer; return its text, or the decoded error on failure."""
    texts, error = await stream_parts(fleet, prompt, tokens, on_token, entry)
    return error or "".join(texts)


async def stream_parts(fleet, prompt, tokens, on_token=None, entry="entry-0"):
    """Stream an answer; return its tokens, and the decoded error or None."""
    body = callers.make_body(prompt, tokens, stream=True)
    answer = await ask(
        fleet, "POST", "/v1/completions", body, None, entry, on_token
    )
    texts = []
    for event in answer.body.split(b"\n\n"):
        try:
            texts.extend(callers.read_events([event]))
        except RuntimeError as exc:
            return texts, json.loads(str(exc))
    return texts, None


def count_runs(fleet):
    """Return how many requests the plain services have run."""
    return sum(len(service.runs) for service in fleet.plains.values())


async def connect(fleet):
    """Connect to the callers' port of an entry of a fleet with sockets."""
    url = fleet.entries["entry-0"].server.callers_url
    address = Address.parse(url.removeprefix("http://"))
    return await trio.open_tcp_stream(address.host, address.port)


def compute_expected_text(prompt, tokens, layers=8):
    """Return the text that the model generates without any failure."""
    return b"".join(
        engine.compute_tokens(prompt.encode(), layers, tokens)
    ).decode()


def find_stage_target(fleet, first_layer):
    """Return the target that runs the stage that starts at a layer."""
    return next(
        name
        for name, agent in fleet.agents.items()
        if name.startswith(f"llm-{first_layer}-")
        and agent.server.stages.stages
    )


def list_events_of_kind(fleet, kind):
    """Return the events of one kind, in causal order."""
    return fleet.list_events(kind)
