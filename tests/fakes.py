"""Small helpers for tests: fleets in memory, and asking an ASGI app."""

import contextlib
import json

import trio

from magnoliacove.standins import engine
from magnoliacove.standins import fleet as fleets
from magnoliacove.standins import network


@contextlib.asynccontextmanager
async def open_memory_fleet(**settings):
    """Run a fleet without sockets, so that the clock may jump."""
    async with fleets.open_fleet(links=network.Links(), **settings) as fleet:
        yield fleet


class Answer:
    """What an ASGI application answered."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.parts = []

    @property
    def json(self):
        return json.loads(self.body)


async def ask(
    fleet, method, path, body=b"", headers=None, entry="entry-0", on_part=None
):
    """Send one request to an entry's application and return the answer."""
    app = fleet.entries[entry].made.app
    answer = Answer()
    given = {"authorization": f"Bearer {fleets.API_KEY}", **(headers or {})}
    sent = False

    async def receive():
        nonlocal sent
        if sent:
            await trio.sleep_forever()
        sent = True
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.start":
            answer.status = message["status"]
            answer.headers = {
                k.decode(): v.decode() for k, v in message["headers"]
            }
            return
        answer.body += message["body"]
        if message["body"]:
            answer.parts.append(message["body"])
            if on_part is not None:
                await on_part(len(answer.parts))

    path, _, query = path.partition("?")
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": [
            (k.lower().encode(), v.encode()) for k, v in given.items()
        ],
    }
    await app(scope, receive, send)
    return answer


async def stream(fleet, prompt, tokens, on_token=None, entry="entry-0"):
    """Stream an answer; return its text, or the error that ended it."""
    body = {
        "model": fleets.MODEL,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": True,
    }
    answer = await ask(
        fleet,
        "POST",
        "/v1/completions",
        json.dumps(body).encode(),
        entry=entry,
        on_part=on_token,
    )
    text = ""
    for event in answer.body.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if not data or data == b"[DONE]":
            continue
        parsed = json.loads(data)
        if "error" in parsed:
            return parsed["error"]
        text += parsed["choices"][0]["text"]
    return text


def expect(prompt, tokens, layers=8):
    """Return the text of an undisturbed model."""
    return b"".join(
        engine.compute_tokens(prompt.encode(), layers, tokens)
    ).decode()


def find_used(fleet, first_layer):
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
