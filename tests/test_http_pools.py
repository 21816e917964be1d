"""Targets and the store break off answers to long requests.

When a request cannot be sent, httpcore reads on, and an end of file ends an
answer without a length: a part of it is forwarded as the whole answer, and an
order that has only begun counts as done.
"""

import httpcore
import pytest

from magnoliacove import errors
from magnoliacove.platform.client import HttpObjectApi
from magnoliacove.targets import EngineError
from magnoliacove.targets import HttpEngine
from magnoliacove.targets import HttpPlainTarget
from tests import broken_ends
from tests.gateway import stubs

# More than the socket buffers of both ends take.
_LONG = b"u" * 3_000_000
_ROUNDS = 4

_each_break = pytest.mark.parametrize("end", broken_ends.BREAKS)


def _open_stub(data, end, *, early=True):
    """Provide the URL of a stub that answers before it has read all."""

    async def script(_, stream):
        await stream.send_all(data)
        await end(stream)

    return stubs.open_target(script, early=early)


async def _call(url):
    """Return the body of a plain service's answer to an upload."""
    target = HttpPlainTarget(url)
    async with target.call("POST", "/", [], _LONG, 5.0) as answer:
        return b"".join([part async for part in answer.body])


@_each_break
async def test_a_part_is_not_a_plain_services_whole_answer(end):
    """Guards against passing on a part of an answer as a whole one."""
    async with _open_stub(stubs.OK + b"\r\nthe first part", end) as url:
        for _ in range(_ROUNDS):
            with pytest.raises(errors.RequestError) as caught:
                await _call(url)
            assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


@_each_break
async def test_an_early_answer_with_a_length_is_whole(end):
    """Guards against giving up an answer that came whole before a reset."""
    async with _open_stub(stubs.make_answer(b"whole"), end) as url:
        for _ in range(_ROUNDS):
            assert await _call(url) == b"whole"


@pytest.mark.parametrize("early", [True, False])
async def test_an_answer_that_closes_in_order_is_whole(early):
    """Guards against giving up an answer whose end is its connection's."""
    answer, end = stubs.OK + b"\r\nwhole", broken_ends.close_in_order
    async with _open_stub(answer, end, early=early) as url:
        for _ in range(_ROUNDS):
            assert await _call(url) == b"whole"


@_each_break
async def test_a_cache_is_not_imported_by_the_head_of_an_answer(end):
    """Guards against a KV cache that counts as imported and is not there."""
    async with _open_stub(stubs.OK + b"\r\n", end) as url:
        for _ in range(_ROUNDS):
            with pytest.raises(EngineError) as caught:
                await HttpEngine(url).import_cache("s", 1, _LONG)
            assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


@_each_break
async def test_a_write_is_not_confirmed_by_a_broken_answer(end):
    """Guards against a value that counts as stored and is not."""
    written = b'{"metadata": {"name": "n", "revision": 5}, "value": 1}'
    async with _open_stub(stubs.OK + b"\r\n" + written, end) as url:
        for _ in range(_ROUNDS):
            with pytest.raises(errors.PlatformError) as caught:
                await HttpObjectApi(url).put("kind/n", _LONG)
            assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


async def test_a_target_behind_tls_is_called(monkeypatch):
    """Guards against connections that cannot be encrypted."""
    answer = stubs.make_answer(b"whole")

    async def connect(*_, **options):
        return httpcore.AsyncMockStream([answer])

    monkeypatch.setattr(httpcore.TrioBackend, "connect_tcp", connect)
    assert await _call("https://target:1") == b"whole"
