"""Callers outside the limits, or just inside, at one connection each."""

import pytest
import trio

from magnoliacove.configuration.routes import CallerLimits
from magnoliacove.gateway.callers import CallerResources
from magnoliacove.limits.caller_memory import Allocation
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.caller_memory import Content
from magnoliacove.limits.memory_limits import MemoryLimits
from tests.gateway import stubs

_MB = 1024 * 1024
_LIMIT = CallerLimits().body_bytes
_ANSWER = stubs.answer_with(stubs.make_answer(b"ok"))


def _post(length, **headers):
    return stubs.make_request(
        "/post/1", "POST", content_length=str(length), **headers
    )


def _make_full():
    """Return resources whose memory answers in progress hold but for 1 MB."""
    memory = CallerMemory(MemoryLimits(8 * _MB, 100))
    memory.set_size(Allocation(memory, Content.ANSWERS), 7 * _MB)
    return CallerResources(memory)


async def _wait_returned(memory):
    """Return once nothing is held; closing a connection may take a second."""
    with trio.fail_after(3.0):
        while memory.connections or memory.used:
            await trio.sleep(0.02)


@pytest.mark.parametrize("expect", [{}, {"expect": "100-continue"}])
async def test_a_body_over_the_limit_is_refused_before_it_comes(expect):
    """The announced length was looked at after 4 MB had been read."""
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", _ANSWER)
        stream, _ = await harness.connect()
        await stream.send_all(_post(_LIMIT + 1, **expect))
        answer = await stubs.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 413")
        assert not stub.requests


async def test_chunks_over_the_limit_are_refused_with_413():
    async with stubs.open_harness() as harness:
        stream, _ = await harness.connect()
        head = stubs.make_request(
            "/post/1", "POST", transfer_encoding="chunked"
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                stream.send_all, head + stubs.chunk(b"x" * (_LIMIT + 1))
            )
            answer = await stubs.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 413")


async def test_a_legal_body_without_memory_gets_503_and_has_not_run():
    """A caller that still sends can read the refusal, and may come back."""
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", _ANSWER)
        resources = _make_full()
        stream, _ = await harness.connect(resources)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, _post(_MB) + b"x" * _MB)
            answer = await stubs.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"\r\nretry-after: " in answer.lower()
        assert b"\r\nconnection: close\r\n" in answer.lower()
        assert not stub.requests


async def test_a_large_body_waits_for_memory():
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _ANSWER)
        memory = CallerMemory(MemoryLimits(8 * _MB, 100))
        stream, _ = await harness.connect(CallerResources(memory))
        with memory.allocate(Content.REQUESTS) as held:
            assert held.try_resize(3 * _MB)
            await stream.send_all(_post(2 * _MB, x_deadline_ms="9000"))
            await trio.sleep(0.3)
            assert memory.used < 4 * _MB
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, b"x" * 2 * _MB)
            answer = await stubs.read_all(stream)
        assert answer.endswith(b"ok")
        await _wait_returned(memory)


async def test_continue_is_not_sent_without_memory():
    """A caller that asks first must not send a body that is refused."""
    async with stubs.open_harness() as harness:
        resources = _make_full()
        stream, _ = await harness.connect(resources)
        await stream.send_all(_post(_MB, expect="100-continue"))
        answer = await stubs.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 503")


async def test_a_stale_body_is_refused_when_another_needs_its_memory():
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _ANSWER)
        memory = CallerMemory(MemoryLimits(8 * _MB, 100))
        resources = CallerResources(memory)
        stale, _ = await harness.connect(resources)
        await stale.send_all(_post(2 * _MB) + b"x")
        await trio.sleep(2.1)
        other, _ = await harness.connect(resources)
        await other.send_all(_post(2 * _MB) + b"x" * 2 * _MB)
        assert (await stubs.read_all(other)).endswith(b"ok")
        assert (await stubs.read_all(stale)).startswith(b"HTTP/1.1 503")


async def test_all_is_returned_after_any_end_of_a_connection():
    """What is counted and never returned refuses everybody in the end."""
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _ANSWER)
        memory = CallerMemory()
        resources = CallerResources(memory)
        for data in (
            b"",
            b"GET",
            b"nonsense\r\n\r\n",
            _post(5),
            _post(_MB) + b"x" * 70_000,
            _post(_LIMIT + 1),
            _post(1) + b"x",
            stubs.make_request("/post/1", "POST", transfer_encoding="chunked")
            + stubs.chunk(b"x" * 70_000),
            stubs.make_request("/post/1", "POST", transfer_encoding="chunked")
            + b"zz\r\n",
        ):
            stream, _ = await harness.connect(resources)
            await stream.send_all(data)
            await trio.sleep(0.02)
            await stream.aclose()
        await _wait_returned(memory)


async def test_a_head_is_found_wherever_the_reads_are_cut():
    """What follows a head is kept from the parser of heads."""
    head = stubs.make_request("/post/1", "POST", transfer_encoding="chunked")
    data = head + stubs.chunk(b"body") + stubs.END
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", _ANSWER)
        for cut in range(len(head) - 6, len(data)):
            stream, _ = await harness.connect()
            await stream.send_all(data[:cut])
            await trio.sleep(0.005)
            await stream.send_all(data[cut:])
            assert (await stubs.read_all(stream)).endswith(b"ok")
        assert {r.body for r in stub.requests} == {b"body"}


async def test_requests_follow_each_other_whatever_their_bodies_are():
    """Bytes behind one body are the next request, and are lost otherwise."""
    kept = {"connection": "keep-alive"}
    chunked = stubs.make_request(
        "/post/1", "POST", transfer_encoding="chunked", **kept
    )
    requests = [
        chunked + stubs.chunk(b"one") + stubs.END,
        _post(3, **kept) + b"two",
        stubs.make_request("/get/1", **kept),
        chunked + stubs.END,
        stubs.make_request("/get/1"),
    ]
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", _ANSWER)
        stream, _ = await harness.connect()
        await stream.send_all(b"".join(requests))
        answer = await stubs.read_all(stream)
        assert answer.count(b"HTTP/1.1 200") == len(requests)
        bodies = [received.body for received in stub.requests]
        assert bodies == [b"one", b"two", b"", b"", b""]


async def test_requests_behind_each_other_give_way_when_memory_is_short():
    """Guards against connections that are never idle and keep out others."""
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", _ANSWER)
        resources = CallerResources()
        kept = stubs.make_request("/get/1", connection="keep-alive")
        resources.memory.note_refused()
        stream, _ = await harness.connect(resources)
        await stream.send_all(kept * 5)
        answer = await stubs.read_all(stream)
        assert answer.count(b"HTTP/1.1 200") == 1
        assert b"\r\nconnection: close\r\n" in answer.lower()
        assert len(stub.requests) == 1
