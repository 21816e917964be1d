"""Plain services in trouble break off answers, or send them without end."""

import pytest
import trio

from magnoliacove import web
from magnoliacove.standins import fleet as fleets
from tests import fakes

_PATH = f"/services/{fleets.PLAIN}/lots"


def _make_app(answer):
    """Return an application that answers with a coroutine of `send`."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await web.serve_lifespan(receive, send)
            return
        await answer(send)

    return app


async def _send_part(send):
    head = {"type": "http.response.start", "status": 200, "headers": []}
    await send(head)
    part = {"type": "http.response.body", "body": b"part", "more_body": True}
    await send(part)


async def _break_off(send):
    await _send_part(send)
    await trio.sleep(0.1)
    raise ConnectionAbortedError


async def _answer_in_parts(send):
    await _send_part(send)
    await trio.sleep(0.1)
    await send({"type": "http.response.body", "body": b", rest"})


async def _ask_without_chunks(fleet):
    """Ask as a caller of HTTP/1.0; return all until the connection ends."""
    stream = await fakes.connect(fleet)
    head = f"GET {_PATH} HTTP/1.0\r\nauthorization: Bearer {fleets.API_KEY}"
    await stream.send_all(f"{head}\r\n\r\n".encode())
    answer = b""
    while part := await stream.receive_some():
        answer += part
    return answer


@pytest.mark.parametrize(
    ("answer_request", "status", "end"),
    [
        (_break_off, b"502", b"}"),
        (_answer_in_parts, b"200", b"\r\n\r\npart, rest"),
    ],
)
async def test_only_whole_answers_look_whole_without_chunks(
    answer_request, status, end, monkeypatch
):
    """Guards against a cut answer whose caller sees its connection end."""
    app = _make_app(answer_request)
    monkeypatch.setattr(fleets.plain, "make_app", lambda _: app)
    async with fleets.open_fleet(replicas=1) as fleet:
        answer = await _ask_without_chunks(fleet)
        assert answer.split(b" ")[1] == status
        assert answer.endswith(end)
