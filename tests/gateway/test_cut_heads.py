"""Targets stop in the middle of their answer's head and close in order.

A caller that got a 200 for it would take an empty or short body for the whole
answer; a gateway that believed a part of a head would place layers, change
paths or drain engines by it.
"""

import pytest
import trio

from magnoliacove import errors
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engine_checks import EngineChecks
from tests import broken_ends
from tests.cut_heads import CUT_HEADS
from tests.cut_heads import LINE_ENDS
from tests.gateway import stubs

_STATUS = slice(9, 12)
_UPLOAD = b"u" * 900_000
_ENDS = {
    "in order": trio.SocketStream.aclose,
    "with a reset": broken_ends.reset,
}

_each_cut = pytest.mark.parametrize("cut", CUT_HEADS)
_each_line_end = pytest.mark.parametrize("cut", LINE_ENDS)
# All cuts that end in order, and with a reset those that end with a line.
_each_end = pytest.mark.parametrize(
    ("cut", "end"),
    [
        *((cut, "in order") for cut in CUT_HEADS),
        *((cut, "with a reset") for cut in LINE_ENDS),
    ],
)


def _stop_inside(data, end):
    """Return a script that stops so, but for reports."""

    stop = stubs.stop_inside(data, _ENDS[end])

    async def script(received, stream):
        if received.target == "/v1/report":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        await stop(received, stream)

    return script


@_each_end
async def test_a_call_that_may_run_once_fails(cut, end):
    """Guards against a 200 for an answer that never began."""
    async with stubs.open_harness() as harness:
        stub = await harness.add("d-1", _stop_inside(CUT_HEADS[cut], end))
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer[_STATUS] == b"502"
        assert len(stub.requests) == 1


@_each_cut
async def test_an_upload_that_may_run_once_fails(cut):
    """Guards against a 200 for a head cut while its request is being sent."""
    async with stubs.open_harness() as harness:
        script = _stop_inside(CUT_HEADS[cut], "in order")
        await harness.add("d-1", script, early=True)
        answer = await harness.ask(
            "/post/1", method="POST", body=_UPLOAD, x_deadline_ms="5000"
        )
        assert answer[_STATUS] == b"502"


@_each_cut
async def test_an_idempotent_call_is_served_by_another_target(cut):
    """Guards against giving up a call that a sound target serves."""
    async with stubs.open_harness() as harness:
        script = _stop_inside(CUT_HEADS[cut], "in order")
        await harness.add("d-1", script)
        sound = stubs.make_answer(b"whole")
        await harness.add("d-2", stubs.answer_with(sound))
        for _ in range(4):
            answer = await harness.ask("/get/1")
            assert answer.endswith(b"\r\n\r\nwhole")


@_each_cut
async def test_a_stray_answer_does_not_complete_a_head(cut):
    """Guards against a cut head that the answer before it makes whole."""
    stray = stubs.make_answer(b"x", stubs.OK + b"x-request-id: other\r\n")
    async with stubs.open_harness() as harness:
        script = _stop_inside(stray + CUT_HEADS[cut], "in order")
        await harness.add("d-1", script)
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer[_STATUS] == b"502"


@_each_end
async def test_a_stream_that_may_run_once_fails(cut, end):
    """Guards against an empty stream that ends as complete."""
    async with stubs.open_harness() as harness:
        script = _stop_inside(CUT_HEADS[cut], end)
        stub = await harness.add("i-1", script, layers=(0, 80))
        answer = await stubs.ask_stream(harness, "/once/1")
        assert answer[_STATUS] == b"502"
        assert len(stub.callers_requests) == 1


@_each_cut
async def test_a_resumable_stream_goes_on_elsewhere(cut):
    """Guards against a stream that ends with the head of its first run."""
    async with stubs.open_harness() as harness:
        script = _stop_inside(CUT_HEADS[cut], "in order")
        await harness.add("i-1", script, layers=(0, 80))
        await harness.add("i-2", stubs.serve_whole, layers=(0, 80))
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert answer.endswith(stubs.END)


@_each_line_end
async def test_a_begun_stream_is_not_ended_by_a_cut_head(cut):
    """Guards against events that are missing at the end of an answer.

    The first engine breaks off after three events, and the only other one
    stops in the head of its answer.
    """

    async def script(received, stream):
        if "last-event-id" in received.headers:
            await stream.send_all(CUT_HEADS[cut])
            await stream.aclose()
            return
        await stubs.begin_then(trio.aclose_forcefully)(received, stream)

    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2"):
            await harness.add(name, script, layers=(0, 80))
        answer = await stubs.ask_stream(harness, x_deadline_ms="500")
        assert stubs.read_ids(answer) == [1, 2, 3]
        assert not answer.endswith(stubs.END)


@_each_cut
@pytest.mark.parametrize("call", ["report", "order", "path", "health"])
async def test_a_call_of_the_gateway_itself_fails(call, cut):
    """Guards against orders that count as done and checks that count."""
    script = stubs.stop_inside(CUT_HEADS[cut])
    async with stubs.open_harness() as harness:
        await harness.add("i-1", script, layers=(0, 10))
        [target] = harness.state.targets.list_all()
        calls = stubs.make_own_calls(harness, target)
        with trio.fail_after(2.0), pytest.raises(TargetError) as caught:
            await calls[call]()
        assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


async def test_cut_reports_and_health_checks_change_no_belief():
    """Guards against engines that leave or lose layers by a cut head."""
    part = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stop_inside(part), layers=(0, 80))
        target = harness.state.targets.find("i-1")
        checks = EngineChecks(harness.state, harness.calls, lambda: None)
        assert await checks.read_report(target, "asked") is None
        await checks.check_refusal(target, 503, "/health")
        assert harness.state.targets.find("i-1") == target
        assert not harness.state.engine_statuses.list_corrected()
