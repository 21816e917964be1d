"""Small HTTP servers that pass each request to one function."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import json
import socket
from typing import Any
from urllib.parse import parse_qsl
from urllib.parse import unquote

import trio

from magnoliacove import defaults
from magnoliacove.sockets import bind_socket

__all__ = [
    "App",
    "Request",
    "Response",
    "ServerTls",
    "bind_socket",
    "make_app",
    "run_server",
    "serve_lifespan",
]

App = Callable[[Any, Any, Any], Awaitable[None]]


@dataclass(frozen=True)
class Request:
    """An HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    headers: dict[str, str]


@dataclass(frozen=True)
class Response:
    """An HTTP response.

    :param body: bytes, or a value that is encoded as JSON.
    """

    status: int
    body: Any
    headers: tuple[tuple[bytes, bytes], ...] = ()


async def read_body(receive: Any) -> bytes | None:
    """Return the complete body of a request, None if it is too long."""
    body = bytearray()
    while len(body) <= defaults.MAX_REQUEST_BODY:
        message = await receive()
        if message["type"] != "http.request":
            return bytes(body)
        body += message.get("body", b"")
        if not message.get("more_body"):
            return bytes(body)
    return None


def make_app(answer: Callable[[Request], Awaitable[Response]]) -> App:
    """Return an ASGI application that answers requests with a function."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        content = await read_body(receive)
        if content is None:
            response = Response(413, {"error": "the body is too long"})
        else:
            response = await answer(_make_request(scope, content))
        body = response.body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        headers = [(b"content-type", b"application/json"), *response.headers]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})

    return app


def _make_request(scope: Any, body: bytes) -> Request:
    return Request(
        scope["method"],
        unquote(scope["path"]),
        dict(parse_qsl(scope["query_string"].decode(), True)),
        body,
        {k.decode(): v.decode("latin-1") for k, v in scope["headers"]},
    )


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the server's lifespan messages."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


@dataclass(frozen=True)
class ServerTls:
    """File paths of a server's certificate and private key."""

    certificate: str
    key: str


async def run_server(
    app: App,
    listener: socket.socket,
    *,
    tls: ServerTls | None = None,
    keep_alive: float = defaults.KEEP_ALIVE,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled.

    The task status reports the URL of the server.

    :param keep_alive: seconds that an idle connection stays open.  The
        server also keeps 16 KB for each closed connection for that long.
    """
    # Importing hypercorn takes a fifth of a gateway's start-up time, during
    # which the gateway answers no caller.  A gateway needs it for metrics
    # only, so it is imported here, in a thread.
    hypercorn = await trio.to_thread.run_sync(_import_server)
    host, port = listener.getsockname()[:2]
    config = hypercorn.config.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = keep_alive
    config.graceful_timeout = 1
    if tls is not None:
        config.certfile, config.keyfile = tls.certificate, tls.key
    scheme = "http" if tls is None else "https"

    def started(_: list[str]) -> None:
        return task_status.started(f"{scheme}://{host}:{port}")

    await hypercorn.trio.serve(
        app,
        config,
        shutdown_trigger=trio.sleep_forever,
        task_status=_Started(started),
    )


def _import_server() -> Any:
    import hypercorn.config
    import hypercorn.trio

    return hypercorn


class _Started:
    def __init__(self, started: Callable[[list[str]], None]) -> None:
        self.started = started
