"""Child process: a bare hypercorn server that writes the same chunks.

It is the baseline for an entry, without accounts, agents or checks.
"""

import json
import sys
import time

import trio

from magnoliacove import sockets
from magnoliacove import web
from magnoliacove.commands import running


async def _app(scope, receive, send):  # type: ignore[no-untyped-def]
    if scope["type"] == "lifespan":
        await web.serve_lifespan(receive, send)
        return
    body = json.loads(await web.read_body(receive))
    headers = [(b"content-type", b"text/event-stream")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    prefix = b'data: {"id": "cmpl-0123456789abcdef0123456789abcdef", "object":'
    prefix += b' "text_completion", "created": 1796234329, "model": "catalog'
    prefix += b'-llm", "choices": [{"index": 0, "text": "'
    send_at = trio.current_time()
    for _ in range(body["max_tokens"]):
        send_at += 0.068
        await trio.sleep_until(send_at)
        text = f"{time.monotonic():.6f} ".encode()
        chunk = prefix + text + b'", "finish_reason": null}]}\n\n'
        await send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )
    await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})


async def _serve() -> None:
    async with trio.open_nursery() as nursery:
        listener = sockets.bind_socket("127.0.0.1", 0)
        url = await nursery.start(web.run_server, _app, listener)
        print(url)
        sys.stdout.flush()


def main() -> None:
    # Use the garbage collector settings of an entry, so that only the work
    # differs.
    running.tune_collector()
    trio.run(_serve)


if __name__ == "__main__":
    main()
