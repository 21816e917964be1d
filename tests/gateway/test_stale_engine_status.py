"""Answers that contradict the recorded status of an engine."""

import json

import pytest
import trio

from magnoliacove.directory.listed import LayerRange
from tests.gateway import stubs

_HEADERS = {"x_token_usage": "100,20", "x_deadline_ms": "20000"}
_NOT_HERE = (
    b"HTTP/1.1 421 Misdirected Request\r\nx-not-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)
_WHOLE = stubs.STREAM + stubs.chunk(stubs.make_events(1, 3)) + stubs.END


def _refuse(report):
    """Return a script of an engine that refuses and sends a report."""

    async def script(received, stream):
        if received.target == "/v1/report":
            body = json.dumps(report).encode()
            await stream.send_all(stubs.make_answer(body))
            return
        await stream.send_all(_NOT_HERE)

    return script


async def _ask(harness, count):
    answers = []

    async def ask():
        answers.append(
            await harness.ask("/stream/1", method="POST", **_HEADERS)
        )

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(ask)
    return answers


def _count(stub, target):
    return sum(request.target.startswith(target) for request in stub.requests)


@pytest.mark.parametrize(
    "report",
    [
        {"busy": False, "sequence": 0},
        {"busy": True, "sequence": 1, "layers": {"from": 40, "to": 80}},
    ],
)
async def test_a_refusal_corrects_the_status_for_all_requests(report):
    """An engine has loaded other layers than recorded, as after a restart.
    It is the fastest, so every request goes there first and is refused.
    Without a shared correction each request takes the same path again and
    ends with 503.  One report must correct the status for all that follow.
    """
    async with stubs.open_harness() as harness:
        wrong = await harness.add("i-1", _refuse(report), layers=(0, 80))
        script = stubs.answer_with(_WHOLE)
        await harness.add("i-2", script, layers=(0, 80), accelerator="l4")
        answers = await _ask(harness, 1)
        await trio.sleep(0.5)
        answers += await _ask(harness, 5)
        assert all(answer.endswith(stubs.END) for answer in answers)
        assert _count(wrong, "/stream") == 1
        assert _count(wrong, "/v1/report") == 1
        (name, _, status), *_ = harness.state.engine_statuses.list_corrected()
        assert name == "i-1"
        assert status.layers in (None, LayerRange(40, 80))


async def test_a_refusal_shows_that_an_engine_restarted():
    """An engine crashed and is back under its name, but its entry is still
    the old one.  Its report names another incarnation, so its recorded
    status is discarded at once and it counts as having no layers loaded.
    """
    async with stubs.open_harness() as harness:
        report = {"busy": False, "sequence": 0, "born": 2000}
        await harness.add(
            "i-1@1000", _refuse(report), layers=(0, 80), incarnation=1000
        )
        script = stubs.answer_with(_WHOLE)
        await harness.add("i-2", script, layers=(0, 80), accelerator="l4")
        (answer,) = await _ask(harness, 1)
        assert answer.endswith(stubs.END)
        found = harness.state.targets.find("i-1@2000")
        assert (found.entry, found.layers) == ("i-1", None)


async def test_streams_leave_an_engine_that_restarted():
    """The second engine of a path restarts while a stream passes through it.
    Its state of the stream is lost and the stream stalls.  The stream must
    continue on another path as soon as the restart is known, and the engine
    must not be suspected for it.
    """
    orders = []

    async def first(received, stream):
        if received.target == "/v1/report":
            stalled = [{"id": "r1", "address": str(second.address)}]
            body = json.dumps({"sequence": 1, "stalled": stalled}).encode()
            await stream.send_all(stubs.make_answer(body))
        elif received.target == "/v1/order":
            orders.append(json.loads(received.body))
            await stream.send_all(stubs.make_answer(b"{}"))
            moved.set()
        else:
            event = stubs.chunk(stubs.make_events(1, 1))
            await stream.send_all(stubs.STREAM + event)
            begun.set()
            await moved.wait()
            event = stubs.chunk(stubs.make_events(2, 3))
            await stream.send_all(event + stubs.END)

    begun, moved = trio.Event(), trio.Event()
    async with stubs.open_harness() as harness:
        await harness.add("i-1", first, layers=(0, 40))
        second = await harness.add(
            "i-2@1000", stubs.stay_silent, layers=(40, 80), incarnation=1000
        )
        third = await harness.add(
            "i-3", stubs.stay_silent, layers=(40, 80), accelerator="l4"
        )
        harness.nursery.start_soon(_restart, harness, begun)
        (answer,) = await _ask(harness, 1)
        assert answer.endswith(stubs.END)
        assert str(third.address) in orders[0]["path"]
        assert harness.state.health.is_usable("i-2@2000")


async def _restart(harness, begun):
    """Restart the second engine once the stream passes through it."""
    await begun.wait()
    await trio.sleep(0.1)
    harness.state.targets.note_incarnation("i-2", 2000)
