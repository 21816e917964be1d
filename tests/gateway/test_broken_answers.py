"""Targets reset the connection before their answer is complete.

A caller that receives the part as a complete answer uses it, as nothing in it
tells that the rest is missing.
"""

import pytest
import trio

from tests import broken_ends
from tests.gateway import stubs

# More than the socket buffers of both ends take.
_LONG_UPLOAD = b"u" * 3_000_000
# A prompt that is still being sent when its answer begins.
_LONG_PROMPT = b"p" * 900_000
# Number of requests in a test.  Whether the task that writes or the one that
# reads receives the error of a reset varies from one request to the next.
_ROUNDS = 8
_PART = b"the first part"
_REFUSAL = stubs.NOT_RUN.replace(b"content-length: 0\r\n", b"")
_NO_LENGTH_STREAM = stubs.OK + b"content-type: text/event-stream\r\n\r\n"
_STATUS = slice(9, 12)


def _answer_early(data, end):
    """Return a script that answers long uploads before they have come.

    :param end: ends the connection after the answer.
    """

    async def script(received, stream):
        if received.method == "GET":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        await stream.send_all(data)
        await end(stream)

    return script


async def _serve_early(received, stream):
    """Answer at once, whole, and read on."""
    answer = stubs.make_answer(b"whole")
    script = _answer_early(answer, broken_ends.close_in_order)
    await script(received, stream)


async def _post(harness, path):
    """Send a long upload and return the answer."""
    return await harness.ask(
        path, method="POST", body=_LONG_UPLOAD, x_deadline_ms="5000"
    )


_each_break = pytest.mark.parametrize("end", broken_ends.BREAKS)
_each_head = pytest.mark.parametrize(
    "head",
    [
        stubs.OK + b"\r\n",
        stubs.OK + b"connection: close\r\n\r\n",
        stubs.OK.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n",
        _NO_LENGTH_STREAM,
    ],
    ids=["plain", "close", "HTTP/1.0", "event-stream"],
)


@_each_break
@_each_head
async def test_a_part_is_not_a_whole_answer(end, head):
    """Guards against a part of an answer that reaches its caller as whole.

    The target answers an upload at once with no length, sends a part and
    resets the connection while the upload is being written.  The write
    receives the error, so the read returns an end of file.
    """
    async with stubs.open_harness() as harness:
        script = _answer_early(head + _PART, end)
        await harness.add("d-1", script, early=True)
        for _ in range(_ROUNDS):
            answer = await _post(harness, "/post/1")
            assert answer[_STATUS] == b"502"


async def test_a_part_is_replaced_by_another_targets_answer():
    """Guards against a repeatable request that ends with a part."""
    async with stubs.open_harness() as harness:
        script = _answer_early(stubs.OK + b"\r\n" + _PART, broken_ends.reset)
        await harness.add("d-1", script, early=True)
        await harness.add("d-2", _serve_early, early=True)
        for _ in range(_ROUNDS):
            answer = await _post(harness, "/get/1")
            assert answer.endswith(b"\r\n\r\nwhole")


async def test_a_crash_after_a_part_of_the_upload_is_no_whole_answer():
    """Guards against a part of an answer by a process lost in an upload."""

    async def read_a_part(stream):
        left = 200_000
        while left > 0:
            left -= len(await stream.receive_some(min(left, 65536)))
        await broken_ends.reset(stream)

    async with stubs.open_harness() as harness:
        script = _answer_early(stubs.OK + b"\r\n" + _PART, read_a_part)
        await harness.add("d-1", script, early=True)
        for _ in range(_ROUNDS):
            answer = await _post(harness, "/post/1")
            assert answer[_STATUS] == b"502"


async def _send_and_close(_, stream):
    await stream.send_all(stubs.OK + b"\r\nwhole")
    await stream.aclose()


_LENGTH = stubs.make_answer(b"whole")
_NO_LENGTH = stubs.OK + b"\r\nwhole"


@pytest.mark.parametrize(
    ("script", "early"),
    [
        *((_answer_early(_LENGTH, end), True) for end in broken_ends.BREAKS),
        (_answer_early(_NO_LENGTH, broken_ends.close_in_order), True),
        (_send_and_close, False),
    ],
)
async def test_a_whole_answer_stays_whole(script, early):
    """Guards against giving up answers that came whole.

    They have a length and are followed by a reset, or have none and close in
    order, while the upload is being read or after it.
    """
    async with stubs.open_harness() as harness:
        await harness.add("d-1", script, early=early)
        for _ in range(_ROUNDS):
            answer = await _post(harness, "/post/1")
            assert answer.endswith(b"\r\n\r\nwhole")


@_each_break
async def test_a_refusal_stands_without_its_body(end):
    """Guards against doubt whether a request ran that was refused early."""
    async with stubs.open_harness() as harness:
        refuse = _answer_early(_REFUSAL + b"no room", end)
        await harness.add("d-1", refuse, early=True)
        for _ in range(_ROUNDS):
            answer = await _post(harness, "/post/1")
            assert answer[_STATUS] == b"503"


@_each_break
async def test_the_end_of_a_stray_answer_is_that_of_the_exchange(end):
    """Guards against a wait for an answer on a connection that broke."""
    stray = stubs.OK + b"x-request-id: other\r\n\r\n" + _PART
    async with stubs.open_harness() as harness:
        script = _answer_early(stray, end)
        await harness.add("d-1", script, early=True)
        for _ in range(_ROUNDS):
            with trio.fail_after(3.0):
                answer = await _post(harness, "/post/1")
            assert answer[_STATUS] == b"502"


@_each_break
@pytest.mark.parametrize("resumable", [True, False])
async def test_a_reset_between_events_is_no_end_of_a_stream(end, resumable):
    """Guards against a stream that ends between two events and looks whole.

    A resumable stream continues on another engine; any other one stops
    without its last chunk.
    """
    broken = _answer_early(_NO_LENGTH_STREAM + stubs.make_events(1, 3), end)
    path = "/stream/1" if resumable else "/once/1"
    for _ in range(_ROUNDS // 2):
        async with stubs.open_harness() as harness:
            await harness.add("i-1", broken, layers=(0, 80), early=True)
            if resumable:
                await harness.add("i-2", stubs.serve_whole, layers=(0, 80))
            answer = await stubs.ask_stream(harness, path, body=_LONG_PROMPT)
            assert answer.endswith(stubs.END) == resumable
            last = 6 if resumable else 3
            assert stubs.read_ids(answer) == list(range(1, last + 1))


async def test_a_stream_that_closes_in_order_is_whole():
    """Guards against running a stream again that its engine has ended."""

    async def script(received, stream):
        if received.method == "GET":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        await stream.send_all(_NO_LENGTH_STREAM + stubs.make_events(1, 6))
        await stream.aclose()

    async with stubs.open_harness() as harness:
        await harness.add("i-1", script, layers=(0, 80))
        answer = await stubs.ask_stream(harness, "/once/1", body=_LONG_PROMPT)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert answer.endswith(stubs.END)


async def _ask_without_chunks(harness):
    """Begin a stream as a caller of HTTP/1.0; return its connection."""
    return await stubs.begin_stream(
        harness, version="1.0", events=3, x_deadline_ms="1000"
    )


@pytest.mark.parametrize(
    "act", [broken_ends.reset, trio.aclose_forcefully, stubs.pause_for_ever]
)
async def test_a_cut_answer_does_not_look_whole_without_chunks(act):
    """Guards against a cut answer whose caller sees its connection end."""
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.begin_then(act), layers=(0, 80))
        stream = await _ask_without_chunks(harness)
        with pytest.raises(trio.BrokenResourceError):
            while await stream.receive_some():
                continue


async def test_a_stopped_process_leaves_no_answer_that_looks_whole():
    """Guards against an answer without chunks that ends with its process."""
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=(0, 80))
        stream = await _ask_without_chunks(harness)
        harness.nursery.cancel_scope.cancel()
    with pytest.raises(trio.BrokenResourceError):
        await stream.receive_some()


async def test_a_whole_answer_without_chunks_ends_in_order():
    """Guards against whole answers that look cut to callers of HTTP/1.0."""

    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.go_on_after(0.05), layers=(0, 80))
        stream = await _ask_without_chunks(harness)
        rest = b""
        while part := await stream.receive_some():
            rest += part
        assert rest == stubs.make_events(4, 6)
