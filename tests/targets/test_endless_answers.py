"""Engines whose answers do not end.

An agent that holds such an answer whole runs out of memory, and the requests
of other callers end with it.
"""

import pytest

from magnoliacove.targets import EngineError
from magnoliacove.targets import HttpEngine
from tests.gateway import stubs

_MB = 1024 * 1024
# Bytes that an engine sends unless its caller closes the connection.
_ALL = 128 * _MB
# Bytes that it may send before that: those that the agent holds, and those in
# the socket buffers.
_MAX_SENT = 96 * _MB


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
    """Guards against an agent that runs out of memory."""
    sent = 0

    async def script(_, stream):
        nonlocal sent
        await stream.send_all(head)
        while sent < _ALL:
            await stream.send_all(part)
            sent += len(part)
        await stream.aclose()

    async with stubs.open_target(script) as url:
        with pytest.raises(EngineError):
            await HttpEngine(url).read_load()
        assert sent < _MAX_SENT
