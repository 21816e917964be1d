"""Begun streams that leave a path on which their run still goes on."""

import pytest
import trio

from magnoliacove.gateway.handovers import Handover
from magnoliacove.limits import SharedRetryBudget
from tests.gateway import stubs

_LAYERS = (0, 80)
_REST = stubs.chunk(stubs.make_events(4, 6)) + stubs.END


def _act_after(seconds, act):
    """Return a script that answers reports, and callers after a while.

    :param act: a coroutine of the request and the connection.
    """

    async def script(received, stream):
        if received.method == "GET":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        await trio.sleep(seconds)
        await act(received, stream)

    return script


async def _refuse(_, stream):
    await stream.send_all(stubs.NOT_RUN)


async def _hang(_, stream):
    await _wait_closed(stream)


async def _fail(_, stream):
    await stream.send_all(
        b"HTTP/1.1 500 Oops\r\nx-response-stamp: s\r\n"
        b"content-length: 0\r\n\r\n"
    )


async def _open_two(harness, first, second):
    """List two engines, of which the first one is suspected once begun."""
    old = await harness.add("i-1", first, layers=_LAYERS)
    new = await harness.add("i-2", second, layers=_LAYERS, accelerator="a100s")
    harness.nursery.start_soon(stubs.suspect_when_begun, harness, "i-1")
    return old, new


async def _beat(harness):
    """Change something at intervals, as the heartbeats of peers do."""
    while True:
        await trio.sleep(0.1)
        harness.state.capacity_queue.fill()


def _list_lost(harness):
    return [
        event
        for event in harness.recorder.list_events()
        if event.kind == "path-lost"
    ]


def _list_runs(stub):
    """Return the streams that an engine was sent, without checks of it."""
    return [r for r in stub.requests if r.method == "POST"]


async def _wait_closed(stream):
    """Never go on, and end with the connection."""
    while await stream.receive_some():
        pass


def _count_retries(harness):
    return harness.state.retry_budget.list_counts()["llm"][1]


async def _wait_request(stub):
    with trio.fail_after(3.0):
        while not _list_runs(stub):
            await trio.sleep(0.005)


class _AcceptedRun:
    """A run that is accepted at once, and counts how often it is closed."""

    sent = True

    def __init__(self):
        self.closed = 0

    async def open(self):
        await trio.lowlevel.checkpoint()

    async def close(self):
        await trio.lowlevel.checkpoint()
        self.closed += 1


class _Reservation:
    """A reservation on another path that stays usable."""

    next = "a path"

    def release_next(self):
        self.next = None


class _Stream:
    """A stream that leaves for a path that has accepted it."""

    running = True

    def leave_for_accepted(self):
        return True

    def end_attempt(self):
        pass


async def test_an_accepted_run_that_is_withdrawn_is_closed(autojump_clock):
    """Guards against an engine that works on for a stream that left it.

    A reroute was accepted in the moment in which the other path was.
    """
    run = _AcceptedRun()
    handover = Handover(
        _Stream(), _Reservation(), lambda _: run, lambda *_: None, lambda: 1
    )

    async def answer():
        handover.begin()
        await trio.sleep(0.1)
        assert handover.accepted
        handover.withdraw()
        await trio.sleep(0.1)
        assert run.closed == 1

    await handover.run_beside(answer)


@pytest.mark.parametrize(
    ("act", "ran"),
    [(_refuse, False), (_fail, True), (stubs.reset, True)],
)
async def test_a_stream_stays_until_another_path_has_accepted_it(act, ran):
    """Guards against giving up a run for a path that does not take it.

    The engine pauses and is wrongly suspected, and the other one refuses the
    stream or fails.  The engine that the stream would have left goes on.
    """
    async with stubs.open_harness() as harness:
        old, new = await _open_two(
            harness, stubs.go_on_after(1.5), _act_after(0.0, act)
        )
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert answer.endswith(stubs.END)
        assert len(_list_runs(old)) == 1
        # One in 0.25 s, as an attempt that finds no path.
        assert 1 <= len(_list_runs(new)) <= 6
        assert _count_retries(harness) == len(_list_runs(new))
        lost = _list_lost(harness)
        assert len(lost) == len(_list_runs(new))
        assert all(event.detail["stays"] for event in lost)
        assert {event.detail["ran"] for event in lost} == {ran}
        assert {event.target for event in lost} == {"i-2"}
        assert not harness.state.loads.list_own()


async def test_a_refusal_with_the_last_retry_does_not_cut_a_begun_answer():
    """Guards against the cut of a begun answer whose engine goes on.

    The only retry is spent on a path that refuses the stream.
    """
    async with stubs.open_harness() as harness:
        harness.state.retry_budget = SharedRetryBudget(0.0, 1.2, 30.0)
        old, new = await _open_two(
            harness, stubs.go_on_after(1.5), _act_after(0.0, _refuse)
        )
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(_list_runs(old)) == len(_list_runs(new)) == 1
        assert stubs.list_cuts(harness) == []


async def test_the_old_run_ends_only_once_the_new_one_is_accepted():
    """Guards against an old run that is ended, or kept, at the wrong time.

    The first engine never goes on.  The other one accepts the stream after
    0.4 s, and capacity is reserved on both until then.
    """
    open_at_answer, reserved = [], []

    async def serve(received, stream):
        open_at_answer.append(not old.closed.is_set())
        reserved.append(set(harness.state.loads.list_own()))
        await stubs.serve_whole(received, stream)

    async with stubs.open_harness() as harness:
        old, new = await _open_two(
            harness,
            stubs.begin_then(_wait_closed),
            _act_after(0.4, serve),
        )
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert open_at_answer == [True]
        assert reserved == [{"i-1", "i-2"}]
        [request] = _list_runs(new)
        assert request.headers["last-event-id"] == "3"
        assert len(_list_runs(old)) == 1
        assert _count_retries(harness) == 1
        with trio.fail_after(1.0):
            await old.closed.wait()
        assert not harness.state.loads.list_own()
        chosen = [
            event.detail["number"]
            for event in harness.recorder.list_events()
            if event.kind == "path-chosen"
        ]
        assert chosen == [1, 2]


async def test_a_run_that_goes_on_first_wins():
    """Guards against pieces of two runs in one answer.

    The engine that the stream would leave goes on before the other one has
    accepted the stream.  The attempt is closed, and its retry stays spent.
    """
    async with stubs.open_harness() as harness:

        async def go_on(stream):
            await _wait_request(new)
            await trio.sleep(0.2)
            await stream.send_all(_REST[: len(_REST) // 2])
            await trio.sleep(0.6)
            await stream.send_all(_REST[len(_REST) // 2 :])

        _, new = await _open_two(
            harness,
            stubs.begin_then(go_on),
            _act_after(0.4, stubs.serve_whole),
        )
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert answer.endswith(stubs.END)
        assert _count_retries(harness) == len(_list_runs(new))
        assert all(event.detail["stays"] for event in _list_lost(harness))
        assert not harness.state.loads.list_own()


async def test_an_attempt_becomes_the_run_of_a_stream_that_broke_off():
    """Guards against a second attempt, and its retry, for one further run.

    The old engine breaks off while the other one has not answered yet.
    """
    async with stubs.open_harness() as harness:
        harness.state.retry_budget = SharedRetryBudget(0.0, 1.2, 30.0)
        _, new = await _open_two(
            harness, stubs.break_after(0.7), _act_after(0.8, stubs.serve_whole)
        )
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(_list_runs(new)) == 1
        assert not harness.state.loads.list_own()


async def test_a_refused_attempt_after_the_old_run_broke_off_is_retried():
    """Guards against a cut when both runs of a stream fail in turn."""
    async with stubs.open_harness() as harness:
        refused = []

        async def refuse_once(received, stream):
            refused.append(received)
            act = _refuse if len(refused) == 1 else stubs.serve_whole
            await act(received, stream)

        _, new = await _open_two(
            harness, stubs.break_after(0.7), _act_after(0.8, refuse_once)
        )
        harness.nursery.start_soon(_beat, harness)
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(_list_runs(new)) == 2
        assert not harness.state.loads.list_own()


async def test_both_runs_end_when_the_caller_leaves_during_an_attempt():
    """Guards against an engine at work for a caller that is gone."""
    async with stubs.open_harness() as harness:
        old, new = await _open_two(
            harness,
            stubs.begin_then(_wait_closed),
            _act_after(0.0, _hang),
        )
        stream, _ = await harness.connect()
        request = stubs.make_request(
            "/stream/1", "POST", **stubs.STREAM_HEADERS
        )
        await stream.send_all(request)
        await _wait_request(new)
        await stream.aclose()
        with trio.fail_after(1.0):
            await old.closed.wait()
            await new.closed.wait()
            while harness.state.open_requests:
                await trio.sleep(0.01)
        assert not harness.state.loads.list_own()


async def test_a_quarantine_during_an_attempt_keeps_the_old_run():
    """Guards against ending a run that goes on for one that may not begin.

    The request is found to crash its targets while an attempt is under way.
    """
    async with stubs.open_harness() as harness:

        async def serve(received, stream):
            [watched] = harness.stalls.streams
            harness.state.quarantine.begin(watched.fingerprint, 3, "the test")
            await stubs.serve_whole(received, stream)

        old, _ = await _open_two(
            harness, stubs.go_on_after(1.5), _act_after(0.3, serve)
        )
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(_list_runs(old)) == 1


async def test_an_attempt_that_is_not_answered_gives_way_to_another():
    """Guards against a stream that is held by an engine that never answers.

    Its own engine is silent for good, the next one takes the request and says
    nothing, and a third one would serve it.
    """
    async with stubs.open_harness() as harness:
        old, _ = await _open_two(
            harness, stubs.begin_then(_wait_closed), _act_after(0.0, _hang)
        )
        third = await harness.add(
            "i-3", stubs.serve_whole, layers=_LAYERS, accelerator="t4"
        )
        harness.state.routes = stubs.make_table(max_attempts=3)
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(_list_runs(old)) == len(_list_runs(third)) == 1
        assert _count_retries(harness) == 2
        assert not harness.state.loads.list_own()


async def test_a_lost_engine_ends_an_attempt_and_not_the_old_run():
    """Guards against waiting for an engine that is gone without a word."""
    async with stubs.open_harness() as harness:
        old, new = await _open_two(
            harness, stubs.go_on_after(1.5), _act_after(0.0, _hang)
        )

        async def remove():
            await _wait_request(new)
            harness.state.targets.remove("i-2", 2)

        harness.nursery.start_soon(remove)
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(_list_runs(old)) == len(_list_runs(new)) == 1
        [lost] = _list_lost(harness)
        assert lost.detail["stays"]
        assert "is lost" in lost.why
        assert not harness.state.loads.list_own()


async def test_two_runs_of_a_stream_never_meet_in_an_engine():
    """Guards against one engine that is sent a request twice at a time.

    The inner engine of the path is lost.  The quickest other path has the
    same first engine; a slower one has no engine of the old path.
    """
    async with stubs.open_harness() as harness:
        old = await harness.add(
            "i-1", stubs.begin_then(_wait_closed), layers=(0, 40)
        )
        await harness.add("i-2", stubs.stay_silent, layers=(40, 80))
        await harness.add("i-3", stubs.stay_silent, layers=(40, 80))
        other = await harness.add(
            "i-4", stubs.serve_whole, layers=_LAYERS, accelerator="t4"
        )

        async def suspect():
            while not any(s.began for s in harness.stalls.streams):
                await trio.sleep(0.01)
            await trio.sleep(0.2)
            [stream] = harness.stalls.streams
            inner = stream.path.targets[1]
            stream.departure.leave_lost("the test says so", [inner])

        harness.nursery.start_soon(suspect)
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        posts = [r for r in _list_runs(old) if r.target == "/stream/1"]
        assert len(posts) == 1
        assert len(_list_runs(other)) == 1


async def test_events_are_whole_whichever_run_is_quicker():
    """Guards against missing, doubled or joined events as two runs compete.

    The old run goes on within some hundredths of a second of the moment in
    which the other one accepts the stream, and with a part of an event.
    """

    async def ask(number):
        async with stubs.open_harness() as harness:

            async def go_on(stream):
                with trio.move_on_after(2.0):
                    await _wait_request(new)
                    await trio.sleep(0.1 + 0.004 * (number - 6))
                half = len(_REST) // 3
                await stream.send_all(_REST[:half])
                await trio.sleep(0.01 * (number % 3))
                await stream.send_all(_REST[half:])

            _, new = await _open_two(
                harness,
                stubs.begin_then(go_on),
                _act_after(0.1, stubs.serve_whole),
            )
            answer = await stubs.ask_stream(harness)
            assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
            assert answer.count(b"data: piece") == 6
            assert answer.endswith(stubs.END)
            assert not harness.state.loads.list_own()

    async with trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(ask, number)


async def test_a_stream_goes_back_to_the_engine_that_it_left():
    """Guards against waiting for ever beside the engine that was left.

    The stream changed from one engine to another, which breaks off and is
    gone.  The first one, which this stream avoids, is usable again and the
    only one left.
    """
    async with stubs.open_harness() as harness:
        first_runs = []

        async def pause_then_serve(received, stream):
            if received.method == "GET":
                await stream.send_all(stubs.make_answer(b"{}"))
                return
            first_runs.append(received)
            first = stubs.begin_then(_wait_closed)
            script = first if len(first_runs) == 1 else stubs.serve_whole
            await script(received, stream)

        _, new = await _open_two(
            harness, pause_then_serve, stubs.break_after(0.3)
        )

        async def remove():
            await _wait_request(new)
            await trio.sleep(0.1)
            harness.state.targets.remove("i-2", 2)

        harness.nursery.start_soon(remove)
        harness.nursery.start_soon(_beat, harness)
        answer = b""
        with trio.move_on_after(8.0):
            answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert len(first_runs) == 2
        assert len(_list_runs(new)) == 1
