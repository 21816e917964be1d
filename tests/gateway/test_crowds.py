"""Crowds of clients outside the limits, or just inside, and one gateway.

Each kind of crowd ended the process, took more than its memory or its
descriptors, or kept it from answering anybody.
"""

import pytest
import trio

from tests.gateway import stubs
from tests.gateway.crowds import BODY_LIMIT
from tests.gateway.crowds import Crowd
from tests.gateway.crowds import Stage
from tests.gateway.crowds import make_head

_GB = 1024 * 1024 * 1024
# Maximum number of bytes of a client whose body has no end.
_ENDLESS = 4 * BODY_LIMIT
_PART = b"x" * 65536
_LEGAL = b"x" * BODY_LIMIT
_ID = "i" * 15_000
_CHUNKED = {"transfer_encoding": "chunked"}


def _announce(length, path="/post/ok", **headers):
    return make_head(path, content_length=str(length), **headers)


async def _announce_and_send(stream):
    await stream.send_all(_announce(_GB))
    for _ in range(_ENDLESS // len(_PART)):
        await stream.send_all(_PART)


async def _send_chunks_without_end(stream):
    await stream.send_all(make_head("/post/ok", **_CHUNKED))
    for _ in range(_ENDLESS // len(_PART)):
        await stream.send_all(stubs.chunk(_PART))


async def _send_whole(stream):
    await stream.send_all(_announce(BODY_LIMIT, "/post/slow") + _LEGAL)


async def _stop_short(stream):
    await stream.send_all(_announce(BODY_LIMIT) + _LEGAL[:-1])


async def _stop_short_in_pieces(stream):
    await stream.send_all(_announce(BODY_LIMIT))
    for begin in range(0, BODY_LIMIT - 16384, 16384):
        await stream.send_all(_LEGAL[begin : begin + 16384])
        await trio.sleep(0.001)
    await stream.send_all(_LEGAL[:16383])


async def _stop_short_after_continue(stream):
    await stream.send_all(_announce(BODY_LIMIT, expect="100-continue"))
    await stream.receive_some(1024)
    await stream.send_all(_LEGAL[:-1])


async def _stop_short_in_chunks(stream):
    await stream.send_all(make_head("/post/ok", **_CHUNKED))
    for _ in range(BODY_LIMIT // len(_PART)):
        await stream.send_all(stubs.chunk(_PART))


async def _stop_short_in_tiny_chunks(stream):
    await stream.send_all(make_head("/post/ok", **_CHUNKED))
    await stream.send_all(stubs.chunk(b"x") * 40_000)


async def _send_whole_in_tiny_chunks(stream):
    await stream.send_all(make_head("/post/ok", **_CHUNKED))
    await stream.send_all(stubs.chunk(b"x") * 40_000 + stubs.END)


async def _leave_answer_unread(stream):
    await stream.send_all(make_head("/get/big", "GET"))


async def _leave_echo_unread(stream):
    await stream.send_all(_announce(BODY_LIMIT, "/post/echo") + _LEGAL)


async def _stay_idle(stream):
    await stream.send_all(b"")


async def _stop_short_in_head(stream):
    head = make_head("/get/ok", "GET", x_filler="x" * 16_000)
    await stream.send_all(head[:-1])


async def _send_many_headers(stream):
    head = make_head("/get/slow", "GET")
    await stream.send_all(head[:-2] + b"a:b\r\n" * 3000 + b"\r\n")


async def _send_long_ids(stream):
    for _ in range(60):
        await stream.send_all(make_head("/get/ok", "GET", x_request_id=_ID))
        while not (await stream.receive_some(65536)).endswith(b"ok"):
            continue


async def _send_further_requests(stream):
    further = make_head("/get/ok", "GET") * 400
    await stream.send_all(make_head("/get/slow", "GET") + further[:60_000])


_CROWDS = {
    "bodies-over-the-limit-announced": Crowd(_announce_and_send),
    "chunks-without-end": Crowd(_send_chunks_without_end),
    "whole-legal-bodies": Crowd(_send_whole),
    "whole-legal-bodies-left-at-once": Crowd(_send_whole, leaves=True),
    "bodies-one-byte-short": Crowd(_stop_short),
    "bodies-in-pieces-one-byte-short": Crowd(_stop_short_in_pieces),
    "bodies-after-100-one-byte-short": Crowd(_stop_short_after_continue),
    "legal-chunks-the-end-missing": Crowd(_stop_short_in_chunks),
    "tiny-chunks-the-end-missing": Crowd(
        _stop_short_in_tiny_chunks, count=100
    ),
    "tiny-chunks-whole": Crowd(_send_whole_in_tiny_chunks, count=100),
    "answers-that-nobody-reads": Crowd(_leave_answer_unread, count=100),
    "echoes-that-nobody-reads": Crowd(_leave_echo_unread),
    "idle-connections": Crowd(_stay_idle, count=600, max_descriptors=400),
    "heads-just-short-of-their-end": Crowd(
        _stop_short_in_head, count=900, memory_mb=72, max_descriptors=2000
    ),
    "requests-behind-a-slow-one": Crowd(
        _send_further_requests, count=400, memory_mb=72
    ),
    "heads-of-many-headers": Crowd(
        _send_many_headers, count=150, memory_mb=96
    ),
    "long-request-ids": Crowd(_send_long_ids, memory_mb=60),
    "idle-connections-of-probes": Crowd(
        _stay_idle, count=600, max_descriptors=400, probes=True
    ),
}


@pytest.mark.parametrize("kind", _CROWDS)
async def test_a_crowd_does_not_end_the_process_or_take_its_memory(
    kind, tmp_path
):
    """Two crowds come, stay and go; then one ordinary request is answered."""
    crowd = _CROWDS[kind]
    async with Stage(tmp_path, crowd).open() as stage:
        await stage.play()
        await stage.play()
        served = await stage.ask_patiently()
        assert stage.gateway.alive
        assert stage.usage.memory_mb <= crowd.memory_mb, stage.usage
        assert stage.usage.descriptors <= crowd.max_descriptors, stage.usage
        assert served, stage.usage


@pytest.mark.parametrize("size", [1, 1000, 65536])
async def test_a_legal_body_is_served_however_small_its_chunks(size, tmp_path):
    """The largest body in chunks of one byte took longer than its time."""
    count = BODY_LIMIT // size
    body = stubs.chunk(b"x" * size) * count + stubs.END
    head = make_head("/post/echo", connection="close", **_CHUNKED)
    async with Stage(tmp_path, Crowd(_stay_idle)).open() as stage:
        answer = await stage.send(head + body)
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"x" * size * count)


async def test_the_largest_legal_body_is_served_in_calm(tmp_path):
    """A bound on memory must not refuse what the limits allow."""
    head = _announce(BODY_LIMIT, "/post/echo", connection="close")
    async with Stage(tmp_path, Crowd(_stay_idle)).open() as stage:
        answer = await stage.send(head + _LEGAL)
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(_LEGAL)
