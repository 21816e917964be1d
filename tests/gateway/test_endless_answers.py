"""Targets in trouble send bytes without end, in heads and bodies of all kinds.

A gateway that reads on until its caller's time is over takes them all into
its memory, is killed for it, and serves nobody meanwhile.
"""

import time

import pytest
import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.events import EventSplitter
from magnoliacove.gateway.events import StreamEvent
from magnoliacove.limits.answer_memory import MAX_BODY
from magnoliacove.limits.answer_memory import AnswerMemory
from magnoliacove.limits.answer_memory import AnswerTooLongError
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.memory_limits import MemoryLimits
from magnoliacove.platform.client import HttpObjectApi
from tests.gateway import stubs

_MB = 1024 * 1024
# What all answers together may hold, without settings that say otherwise.
_ALL_ANSWERS = 32 * _MB
# What the sockets of both ends may hold besides.
_BUFFERED = 8 * _MB
_CHUNKED = stubs.OK + b"transfer-encoding: chunked\r\n\r\n"
_LONG_CHUNK = stubs.chunk(b"x" * 65536)
_SHORT_CHUNKS = stubs.chunk(b"x") * 1000
# What is sent once, and what follows without end.
_BODIES = {
    "long chunks": (_CHUNKED, _LONG_CHUNK),
    "short chunks": (_CHUNKED, _SHORT_CHUNKS),
    "a length": (
        stubs.OK + b"content-length: 999999999999\r\n\r\n",
        b"x" * 65536,
    ),
    "no length": (stubs.OK + b"\r\n", b"x" * 65536),
    "a chunk's length": (_CHUNKED, b"0" * 4096),
    "trailers": (_CHUNKED + b"0\r\n", b"a: b\r\n" * 1000),
}
_HEADS = {
    "headers": (stubs.OK, b"a: b\r\n" * 1000),
    "one header": (stubs.OK + b"a: ", b"x" * 65536),
    "no line": (b"", b"x" * 65536),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "another request's answer": (
        stubs.OK.replace(b"200 OK\r\n", b"200 OK\r\nx-request-id: other\r\n")
        + b"transfer-encoding: chunked\r\n\r\n",
        _LONG_CHUNK,
    ),
}
_ALL = {**_BODIES, **_HEADS}
_each_kind = pytest.mark.parametrize("kind", _ALL)


class _Endless:
    """A script that answers without end.

    :ivar sent: bytes that were accepted, for the longest answer.
    """

    def __init__(self, kind):
        self.sent = 0
        self.answers = 0
        self._first, self._rest = _ALL[kind]

    async def __call__(self, received, stream):
        self.answers += 1
        sent = 0
        await stream.send_all(self._first)
        while True:
            await stream.send_all(self._rest)
            sent += len(self._rest)
            self.sent = max(self.sent, sent)


@_each_kind
async def test_a_request_is_answered_by_another_target(kind):
    """One of two targets answers without end."""
    async with stubs.open_harness() as harness:
        endless = _Endless(kind)
        await harness.add("i-1", endless)
        await harness.add("i-2", stubs.answer_with(stubs.make_answer(b"ok")))
        for _ in range(6):
            answer = await harness.ask("/get/1")
            assert answer.endswith(b"ok")
        assert endless.answers
        assert endless.sent <= MAX_BODY + _BUFFERED


@_each_kind
async def test_a_request_that_runs_once_fails_before_its_time_is_over(kind):
    """The caller must not wait for the end of an answer that has none."""
    async with stubs.open_harness() as harness:
        endless = _Endless(kind)
        await harness.add("i-1", endless)
        with trio.fail_after(1.2):
            answer = await harness.ask("/post/1", method="POST")
        assert answer.split(b" ")[1] == b"502"
        assert endless.answers == 1
        assert endless.sent <= MAX_BODY + _BUFFERED


async def test_many_endless_answers_at_once_stay_within_the_memory():
    """Forty callers reach the target in trouble.  Each answer for itself is
    short enough, and all together are not.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _Endless("long chunks"))
        await harness.add(
            "i-2", stubs.answer_with(stubs.make_answer(b"ok")), service="llm"
        )
        memory, most = harness.state.answer_memory, 0

        async def ask():
            answer = await harness.ask("/post/1", method="POST")
            assert answer.split(b" ")[1] in (b"502", b"503")

        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(ask)
            for _ in range(100):
                most = max(most, memory.used)
                await trio.sleep(0.01)
        assert 0 < most <= _ALL_ANSWERS
        assert memory.used == 0


async def test_short_answers_fit_beside_long_ones():
    """Endless answers must stop each other before they take all memory."""
    memory = AnswerMemory(CallerMemory(MemoryLimits(1000, 1)))
    endless = [memory.open() for _ in range(9)]
    while endless:
        for buffer in tuple(endless):
            try:
                buffer.add(b"x" * 10)
            except AnswerTooLongError:
                buffer.release()
                endless.remove(buffer)
        with memory.open() as short:
            short.add(b"x" * 50)
    assert memory.used == 0


@_each_kind
@pytest.mark.parametrize("call", ["report", "order", "path", "health"])
async def test_a_call_to_an_engine_ends_early(call, kind):
    """Reports come again twice a second; each without end fills the memory."""
    async with stubs.open_harness() as harness:
        endless = _Endless(kind)
        await harness.add("i-1", endless, layers=(0, 10))
        [target] = harness.state.targets.list_all()
        calls = stubs.make_own_calls(harness, target)
        with trio.fail_after(2.0):
            # An answer to another request is as good as any here.
            with pytest.raises(TargetError):
                await calls[call]()
        assert endless.sent <= _MB + _BUFFERED


async def test_an_event_without_end_leaves_the_engine():
    """The stream goes on at another engine after the last whole event."""

    async def endless(received, stream):
        if received.method == "GET":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        await stream.send_all(
            stubs.STREAM + stubs.chunk(stubs.make_events(1, 3))
        )
        while True:
            await stream.send_all(stubs.chunk(b"data: x" * 100) * 10)

    async with stubs.open_harness() as harness:
        await harness.add("i-1", endless, layers=(0, 80))
        await harness.add("i-2", stubs.serve_whole, layers=(0, 80))
        for _ in range(4):
            answer = await stubs.ask_stream(harness)
            assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]


def test_an_event_in_many_small_parts_costs_little():
    """Each part was copied and searched together with all before it: an event
    of half a megabyte in parts of one byte took half a minute.
    """
    splitter, began = EventSplitter(), time.process_time()
    for _ in range(500_000):
        assert not list(splitter.feed(b"x"))
    assert time.process_time() - began < 5.0
    [event] = splitter.feed(b"\r\n\r\n")
    assert len(event.data) == 500_004


@pytest.mark.parametrize("cut", range(1, 24))
def test_events_are_found_wherever_the_parts_are_cut(cut):
    data = b"id: 1\ndata: a\n\nid: 2\r\n\r\n\n\nid: 3\n\n"
    splitter, events = EventSplitter(), []
    for at in range(0, len(data), cut):
        events += splitter.feed(data[at : at + cut])
    assert b"".join(event.data for event in events) == data
    assert [event.event_id for event in events] == ["1", "2", "", "3"]


@pytest.mark.parametrize("event_id", ["9" * 5000, "\u00b2", "x", ""])
def test_an_event_id_that_is_no_number_breaks_nothing(event_id):
    """Python refuses to convert thousands of digits, and takes a raised two
    for a digit that it cannot convert.
    """
    assert StreamEvent(b"", event_id).number is None


@pytest.mark.parametrize("kind", ["long chunks", "no length", "a length"])
async def test_an_answer_of_the_store_without_end_is_an_error(kind):
    async with stubs.open_harness() as harness:
        stub = stubs.StubTarget(_Endless(kind))
        await harness.nursery.start(stub.listen)
        api = HttpObjectApi(f"http://{stub.address}", timeout=1.0)
        with trio.fail_after(8.0), pytest.raises(errors.PlatformError):
            await api.list_records("servers/")


async def test_an_answer_of_the_store_that_trickles_hides_no_change():
    """Each part comes within the timeout, and the answer never ends.  The
    watch must end like a silent one.
    """

    async def trickle(received, stream):
        await stream.send_all(_CHUNKED)
        while True:
            await stream.send_all(stubs.chunk(b" "))
            await trio.sleep(0.05)

    async with stubs.open_harness() as harness:
        stub = stubs.StubTarget(trickle)
        await harness.nursery.start(stub.listen)
        api = HttpObjectApi(f"http://{stub.address}", timeout=0.3)
        with trio.fail_after(3.0), pytest.raises(platform.NoAnswerError):
            await api.watch("servers/", 0, 0.3)
