"""Engines that send bytes without end.

An agent that keeps them all runs out of memory, and ends the requests of
others with it.
"""

import pytest
import trio

from magnoliacove.targets import EngineError
from magnoliacove.targets import HttpEngine
from tests.gateway import stubs

_MB = 1024 * 1024
# What an engine sends where nobody stops it, and what may be taken of it, with
# what the sockets of both ends hold.
_ALL = 128 * _MB
_MAX_TAKEN = 96 * _MB


@pytest.mark.parametrize(
    ("head", "part"),
    [
        (stubs.OK + b"\r\n", b"x" * 65536),
        (
            stubs.OK + b"transfer-encoding: chunked\r\n\r\n",
            stubs.chunk(b"x" * 65536),
        ),
        (stubs.OK + b"content-length: 999999999999\r\n\r\n", b"x" * 65536),
        (stubs.OK, b"a: b\r\n" * 1000),
    ],
    ids=["no length", "chunks", "a length", "a head"],
)
async def test_an_agent_does_not_keep_an_engines_answer_without_end(
    head, part
):
    """Guards against an agent that reads on until it is killed."""
    sent = 0

    async def script(_, stream):
        nonlocal sent
        await stream.send_all(head)
        while sent < _ALL:
            await stream.send_all(part)
            sent += len(part)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        stub = stubs.StubTarget(script)
        await nursery.start(stub.listen)
        with pytest.raises(EngineError):
            await HttpEngine(f"http://{stub.address}").read_load()
        assert sent < _MAX_TAKEN
        nursery.cancel_scope.cancel()
