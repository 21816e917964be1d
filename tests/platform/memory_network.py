"""A network in memory between clients over HTTP and a stand-in.

Under the mock clock it plays minutes in a moment, and its channels can go
silent: what is sent on one then arrives nowhere, while new channels work.
"""

from urllib.parse import urlsplit

import h11
import httpcore
import trio
import trio.testing

__all__ = ["MemoryNetwork", "connect"]

_READ_SIZE = 65536


class _Channel(httpcore.AsyncNetworkStream):
    """The client's end of a channel."""

    def __init__(self, stream):
        self._stream = stream
        self.silent = False

    async def read(self, max_bytes, timeout=None):
        with _fail_after(timeout, httpcore.ReadTimeout):
            data = await self._stream.receive_some(max_bytes)
            if self.silent:
                await trio.sleep_forever()
            return bytes(data)

    async def write(self, buffer, timeout=None):
        if not self.silent:
            await self._stream.send_all(buffer)

    async def aclose(self):
        await self._stream.aclose()

    def get_extra_info(self, info):
        return False if info == "is_readable" else None


class _fail_after:
    """A timeout that raises an error of the HTTP client."""

    def __init__(self, seconds, error):
        self._scope = trio.CancelScope(
            deadline=trio.current_time() + (seconds or float("inf"))
        )
        self._error = error

    def __enter__(self):
        self._scope.__enter__()

    def __exit__(self, *exc):
        suppressed = self._scope.__exit__(*exc)
        if self._scope.cancelled_caught:
            raise self._error
        return suppressed


class MemoryNetwork(httpcore.AsyncNetworkBackend):
    """Connects clients to an ASGI application.

    :param delay: seconds that an answer takes.
    """

    def __init__(self, nursery, app, delay=0.01):
        self._nursery = nursery
        self._app = app
        self._delay = delay
        self._channels = []

    def silence(self, keep=()):
        """Let all open channels go silent for good.

        :param keep: words; a channel whose last request has one works on.
        """
        for channel, last in self._channels:
            channel.silent |= not any(word in last[0] for word in keep)

    async def connect_tcp(self, host, port, **options):
        near, far = trio.testing.memory_stream_pair()
        channel, last = _Channel(near), [""]
        self._channels.append((channel, last))
        self._nursery.start_soon(self._serve, far, last)
        return channel

    async def sleep(self, seconds):
        await trio.sleep(seconds)

    async def _serve(self, stream, last):
        parser = h11.Connection(h11.SERVER)
        try:
            while True:
                request, body = await _read_request(parser, stream)
                if request is None:
                    return
                last[0] = request.target.decode()
                await trio.sleep(self._delay)
                await self._answer(parser, stream, request, body)
                parser.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _answer(self, parser, stream, request, body):
        parts = urlsplit(request.target.decode())
        scope = {
            "type": "http",
            "method": request.method.decode(),
            "path": parts.path,
            "query_string": parts.query.encode(),
            "headers": list(request.headers),
        }

        async def receive():
            return {"type": "http.request", "body": body}

        sent = []

        async def send(message):
            sent.append(message)

        await self._app(scope, receive, send)
        start, content = sent
        headers = [
            *start["headers"],
            (b"content-length", b"%d" % len(content["body"])),
        ]
        response = h11.Response(status_code=start["status"], headers=headers)
        for event in (
            response,
            h11.Data(data=content["body"]),
            h11.EndOfMessage(),
        ):
            await stream.send_all(parser.send(event) or b"")


async def _read_request(parser, stream):
    request, body = None, b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some(_READ_SIZE))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b""


def connect(api, network):
    """Let an object API's client use a network in memory."""
    api._pool = httpcore.AsyncConnectionPool(
        max_connections=8, network_backend=network
    )
