"""Plain services stop inside their answer's head; callers get no answer."""

import h2.config
import h2.connection
import h2.events
import pytest
import trio

from magnoliacove.standins import fleet as fleets
from magnoliacove.targets import HttpPlainTarget
from tests import fakes
from tests.cut_heads import CUT_HEADS
from tests.gateway import stubs

_PATH = f"/services/{fleets.PLAIN}/bids"
_KEY = f"Bearer {fleets.API_KEY}"
_READ_SIZE = 65536


async def _ask(fleet, version):
    """Send a bid by HTTP/1 and return the status and the outcome."""
    stream = await fakes.connect(fleet)
    head = (
        f"POST {_PATH} HTTP/{version}\r\nhost: x\r\nauthorization: {_KEY}\r\n"
        "content-length: 3\r\nconnection: close\r\n\r\nbid"
    )
    await stream.send_all(head.encode())
    answer = b""
    while part := await stream.receive_some():
        answer += part
    lines = answer.partition(b"\r\n\r\n")[0].split(b"\r\n")
    values = dict(line.split(b": ", 1) for line in lines[1:])
    return int(lines[0].split(b" ")[1]), values[b"x-outcome"].decode()


async def _ask_multiplexed(fleet, _):
    """Send a bid by HTTP/2 and return the status and the outcome."""
    stream = await fakes.connect(fleet)
    config = h2.config.H2Configuration(header_encoding="utf-8")
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":authority", "x"),
        (":path", _PATH),
        ("authorization", _KEY),
    ]
    connection.send_headers(1, headers)
    connection.send_data(1, b"bid", end_stream=True)
    values = {}
    while True:
        await stream.send_all(connection.data_to_send())
        data = await stream.receive_some(_READ_SIZE)
        for event in connection.receive_data(data):
            if isinstance(event, h2.events.ResponseReceived):
                values = dict(event.headers)
            if isinstance(event, h2.events.StreamEnded):
                await stream.aclose()
                return int(values[":status"]), values["x-outcome"]


@pytest.mark.parametrize(
    ("ask", "version"),
    [(_ask, "1.0"), (_ask, "1.1"), (_ask_multiplexed, "2")],
)
async def test_an_answer_that_never_began_reaches_no_caller(
    ask, version, monkeypatch
):
    """Guards against a 200 with an empty body that looks whole."""
    left = list(CUT_HEADS.values())

    async def script(_, stream):
        await stream.send_all(left.pop())
        await stream.aclose()

    async with stubs.open_target(script) as url:
        monkeypatch.setattr(
            fleets.targets, "HttpPlainTarget", lambda _: HttpPlainTarget(url)
        )
        async with fleets.open_fleet(replicas=1) as fleet:
            while left:
                with trio.fail_after(5.0):
                    result = await ask(fleet, version)
                assert result == (502, "may_have_run")
