"""Servers release connections that their callers closed."""

import gc

from hypercorn.trio.tcp_server import TCPServer
import trio

from magnoliacove import sockets
from magnoliacove import web
from magnoliacove.standins import callers


async def _answer(request):
    return web.Response(200, {})


async def test_closed_connections_are_released():
    """Guard against memory growth of 16 KB per connection closed by a caller.

    The server keeps a closed connection until the idle time-out expires; at
    120 s and 12 connections a second that was 22 MB.
    """
    async with trio.open_nursery() as nursery:
        listener = sockets.bind_socket("127.0.0.1", 0)
        url = await nursery.start(
            lambda task_status: web.run_server(
                web.make_app(_answer),
                listener,
                keep_alive=0.05,
                task_status=task_status,
            )
        )
        for _ in range(5):
            caller = callers.Caller(url)
            await caller.request("GET", "/")
            await caller._pool.aclose()
        with trio.fail_after(10):
            while any(isinstance(o, TCPServer) for o in gc.get_objects()):
                await trio.sleep(0.05)
                gc.collect()
        nursery.cancel_scope.cancel()


async def test_a_body_without_end_is_refused():
    """Guards against a server whose memory a single body fills."""
    sent, received = [], 0

    async def receive():
        nonlocal received
        received += 1
        return {
            "type": "http.request",
            "body": b"x" * 65536,
            "more_body": True,
        }

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/",
        "query_string": b"",
        "headers": [],
    }
    with trio.fail_after(5):
        await web.make_app(_answer)(scope, receive, send)
    assert sent[0]["status"] == 413
    assert received < 100
