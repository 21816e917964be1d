"""Answers that had begun and ended early: by whom, and what the log tells."""

import contextlib
import dataclasses

import pytest
import trio

from magnoliacove.configuration import routes
from magnoliacove.limits import SharedRetryBudget
from tests.gateway import stubs

_ACCOUNT = routes.Account("lannoy", 3)


async def test_the_log_tells_that_an_engine_cut_an_answer():
    """Guards against cuts that nobody can attribute: here the engine's."""
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(trio.aclose_forcefully)
        await harness.add("i-1", script, layers=(0, 80))
        await stubs.ask_stream(harness, "/once/1")
        [(by, _)] = stubs.list_cuts(harness)
        assert by == "engine"
        [cut] = [
            event
            for event in harness.recorder.list_events()
            if event.kind == "answer-cut"
        ]
        assert not cut.detail["repeatable"]
        assert cut.detail["retries_left"] > 0.0
        assert cut.detail["configuration"] == 7
        assert cut.detail["last_event"] == "3"


async def test_the_log_tells_that_the_deadline_cut_an_answer():
    """Guards against cuts that nobody can attribute: here the deadline's."""
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=(0, 80))
        await stubs.ask_stream(harness, "/once/1", x_deadline_ms="400")
        assert stubs.list_cuts(harness) == [("gateway", "its deadline passed")]


async def test_the_log_tells_that_the_caller_cut_an_answer():
    """Guards against cuts that nobody can attribute: here the caller's."""
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=(0, 80))
        await _begin_and_close(harness)
        [(by, _)] = stubs.list_cuts(harness)
        assert by == "caller"
        assert "caller-left" in harness.list_kinds()


async def _begin_and_close(harness):
    """Ask for a stream and close the connection after its first event."""
    stream = await stubs.begin_stream(harness)
    await stream.aclose()
    with trio.fail_after(1.0):
        while harness.state.open_requests:
            await trio.sleep(0.01)


async def test_a_stop_of_the_gateway_is_not_logged_as_the_callers_departure():
    """Guards against cuts of a process that stops, told as its callers'."""
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=(0, 80))
        await stubs.begin_stream(harness)
        harness.nursery.cancel_scope.cancel()
    assert stubs.list_cuts(harness) == [("gateway", "this process stops")]
    assert "request-abandoned" in harness.list_kinds()
    assert "caller-left" not in harness.list_kinds()


async def test_a_broken_channel_inside_is_not_logged_as_the_callers_departure(
    monkeypatch,
):
    """Guards against a fault of the gateway that is told as its caller's."""
    async with stubs.open_harness() as harness:

        async def fail(*_):
            raise trio.ClosedResourceError

        monkeypatch.setattr(harness.relay, "_run", fail)
        with contextlib.suppress(trio.BrokenResourceError):
            answer = await stubs.ask_stream(harness, "/once/1")
        assert answer.split(b" ")[1] == b"502"
        assert "request-fault" in harness.list_kinds()
        assert "caller-left" not in harness.list_kinds()


async def _pause_then_end(stream):
    await trio.sleep(1.7)
    rest = stubs.chunk(stubs.make_events(4, 6))
    await stream.send_all(rest + stubs.END)


def _empty_retry_budget(harness):
    harness.state.retry_budget = SharedRetryBudget(0.0, 0.0, 10.0)


@pytest.mark.parametrize("cause", ["pause", "suspicion"])
@pytest.mark.parametrize("refusal", ["route", "budget"])
async def test_a_sound_engines_answer_is_not_given_up(cause, refusal):
    """Guards against cutting off an answer that its engine would finish.

    An engine sends three events, pauses for 1.7 s, or is wrongly suspected
    meanwhile, and another one is free.  The stream may not run once more: its
    route allows one run, or the retry budget is spent.  If it left its path,
    the caller's connection would be closed in the middle of the answer.
    """
    async with stubs.open_harness() as harness:
        pausing = stubs.begin_then(_pause_then_end)
        await harness.add("i-1", pausing, layers=(0, 80))
        await harness.add(
            "i-2", stubs.serve_whole, layers=(0, 80), accelerator="a100s"
        )
        if refusal == "budget":
            _empty_retry_budget(harness)
        if cause == "suspicion":
            harness.nursery.start_soon(
                stubs.suspect_when_begun, harness, "i-1"
            )
        path = "/once/1" if refusal == "route" else "/stream/1"
        answer = await stubs.ask_stream(harness, path)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert answer.endswith(stubs.END)
        assert "path-kept" in harness.list_kinds()


async def test_a_stream_leaves_a_sound_engine_only_for_a_reserved_path():
    """Guards against cutting off an answer for a path that has no capacity.

    The engine is wrongly suspected, and no other one serves the model until
    it has gone on.  The stream stays and no second run begins.
    """
    async with stubs.open_harness() as harness:
        pausing = stubs.begin_then(_pause_then_end)
        stub = await harness.add("i-1", pausing, layers=(0, 80))
        harness.nursery.start_soon(stubs.suspect_when_begun, harness, "i-1")
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(stub.callers_requests) == 1
        assert not harness.state.capacity_queue.waiting
        assert not harness.state.loads.list_own()


async def test_a_suspected_stream_changes_to_a_path_that_gets_free():
    """Guards against staying on a lost engine until the caller leaves.

    The only engine stops for good and is suspected.  Another one is listed
    later, and the stream, which waits for it, continues there at once.
    """
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=(0, 80))
        harness.nursery.start_soon(stubs.suspect_when_begun, harness, "i-1")

        async def add_later():
            await trio.sleep(0.9)
            await harness.add("i-2", stubs.serve_whole, layers=(0, 80))

        harness.nursery.start_soon(add_later)
        began = trio.current_time()
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert trio.current_time() - began < 1.3
        assert not harness.state.loads.list_own()


def _allow_runs(harness, runs):
    """Let each route use a number of first engines."""
    table = harness.state.routes
    changed = tuple(
        dataclasses.replace(route, max_attempts=runs) for route in table.routes
    )
    harness.state.routes = routes.RouteTable(
        8, changed, table.services, table.limits, {"k1": _ACCOUNT}
    )


async def test_a_stream_does_not_return_to_the_engine_that_it_left():
    """Guards against runs that are spent on the engine just left.

    The quickest engine falls silent, the next one breaks off, and a third
    one is free.  On the first one the stream would get no event either.
    """
    async with stubs.open_harness() as harness:
        _allow_runs(harness, 3)
        silent = await harness.add(
            "i-1", stubs.begin_then(stubs.pause_for_ever), layers=(0, 80)
        )
        await harness.add(
            "i-2",
            stubs.begin_then(trio.aclose_forcefully, events=4),
            layers=(0, 80),
            accelerator="a100s",
        )
        await harness.add(
            "i-3", stubs.serve_whole, layers=(0, 80), accelerator="t4"
        )
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert answer.endswith(stubs.END)
        assert len(silent.callers_requests) == 1


async def _wait_for(harness, kind):
    while kind not in harness.list_kinds():
        await trio.sleep(0.001)


async def test_refusals_do_not_end_an_answer_that_has_begun():
    """Guards against cutting off an answer after some refusals.

    The run breaks off, and the second engines of the next five paths are
    full.  After four refusals a request that has not begun is refused, as its
    caller can come back; this answer cannot be refused.
    """
    refusals = []

    async def refuse_then_serve(received, stream):
        if received.method == "POST" and len(refusals) < 5:
            hops = received.headers["x-hops"].split(",")
            refusals.append(hops[1].partition("=")[0])
            at = f"at-server: {refusals[-1]}\r\ncontent-length".encode()
            refusal = stubs.NOT_RUN.replace(b"content-length", at)
            await stream.send_all(refusal)
            return
        await stubs.serve_whole(received, stream)

    async def replace(harness):
        await _wait_for(harness, "path-lost")
        harness.state.targets.remove("i-0", 2)
        await harness.add("i-1", refuse_then_serve, layers=(0, 40))
        for number in range(2, 9):
            await harness.add(
                f"i-{number}", stubs.stay_silent, layers=(40, 80)
            )

    async with stubs.open_harness() as harness:
        script = stubs.begin_then(trio.aclose_forcefully)
        await harness.add("i-0", script, layers=(0, 80))
        harness.nursery.start_soon(replace, harness)
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert len(set(refusals)) == 5
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]


async def test_a_full_queue_does_not_end_an_answer_that_has_begun():
    """Guards against cutting off an answer when the queue is full.

    The only engine breaks off while as many requests wait as may.  New ones
    are refused then, but this answer has begun and cannot be refused; another
    engine is listed a little later.
    """

    async def break_off(stream):
        await trio.sleep(0.1)
        await trio.aclose_forcefully(stream)

    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.begin_then(break_off), layers=(0, 80))

        async def replace():
            while not any(stream.began for stream in harness.stalls.streams):
                await trio.sleep(0.001)
            queue = harness.state.capacity_queue
            for _ in range(256):
                queue.add(lambda: None, priority=5, fresh_until=0.0)
            await _wait_for(harness, "path-lost")
            harness.state.targets.remove("i-1", 2)
            await trio.sleep(0.3)
            await harness.add("i-2", stubs.serve_whole, layers=(0, 80))

        harness.nursery.start_soon(replace)
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
