"""Callers of an entry, over HTTP or directly through its application."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

import httpcore
import trio

__all__ = ["Answer", "Caller", "ask", "read_events"]

API_KEY = "demonstration-key"
MODEL = "catalog-llm"


def make_body(prompt: str, tokens: int, *, stream: bool) -> bytes:
    """Return the body of a completion request to the model."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens}
    return json.dumps({**body, "stream": stream}).encode()


class Caller:
    """A caller of one entry, over HTTP.

    :param url: the entry's URL for callers.
    :param key: the API key.
    """

    def __init__(self, url: str, key: str = API_KEY) -> None:
        self._url = url
        self._key = key
        self._pool = httpcore.AsyncConnectionPool(max_connections=1000)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> httpcore.Response:
        """Send one request and return its whole answer."""
        merged = {
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
            **(headers or {}),
        }
        sent: list[tuple[str, str]] = list(merged.items())
        return await self._pool.request(
            method, self._url + path, headers=sent, content=body or None
        )

    async def complete(self, prompt: str, tokens: int) -> str:
        """Request a completion and return its whole text."""
        response = await self.request(
            "POST",
            "/v1/completions",
            make_body(prompt, tokens, stream=False),
        )
        data = json.loads(response.content)
        if response.status != 200:
            raise RuntimeError(f"{response.status}: {data}")
        return data["choices"][0]["text"]

    async def stream(self, prompt: str, tokens: int) -> AsyncIterator[str]:
        """Request a streamed completion and yield its tokens on arrival."""
        async with self._pool.stream(
            "POST",
            self._url + "/v1/completions",
            headers={"authorization": f"Bearer {self._key}"},
            content=make_body(prompt, tokens, stream=True),
        ) as response:
            buffer = b""
            async for chunk in response.aiter_stream():
                buffer += chunk
                *events, buffer = buffer.split(b"\n\n")
                for text in read_events(events):
                    yield text


def read_events(events: list[bytes]) -> list[str]:
    """Return the texts of a stream's events.

    :raises RuntimeError: if the stream ends with an error.
    """
    texts = []
    for event in events:
        data = event.removeprefix(b"data: ")
        if not data or data == b"[DONE]":
            continue
        parsed = json.loads(data)
        if "error" in parsed:
            raise RuntimeError(json.dumps(parsed["error"]))
        text = parsed["choices"][0]["text"]
        if text:
            texts.append(text)
    return texts


class Answer:
    """The answer of an entry's application.

    :ivar parts: the parts of the body, in order of arrival.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.parts: list[bytes] = []

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


async def ask(
    app: Any,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    on_part: Callable[[int], Awaitable[None]] | None = None,
) -> Answer:
    """Send one request to an entry's ASGI application without sockets.

    :param on_part: called after each part with the number of parts so far.
    """
    answer = Answer()
    merged = {"authorization": f"Bearer {API_KEY}", **(headers or {})}
    sent = False

    async def receive() -> dict[str, Any]:
        nonlocal sent
        if sent:
            await trio.sleep_forever()
        sent = True
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
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
            (k.lower().encode(), v.encode()) for k, v in merged.items()
        ],
    }
    await app(scope, receive, send)
    return answer
