"""Streams that leave, or stay on, a path for the wrong reason."""

import itertools

import pytest
import trio

from magnoliacove import errors
from magnoliacove.gateway.callers import Exchange
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.path_reservations import PathReservation
from magnoliacove.gateway.path_runs import PathRun
from magnoliacove.gateway.request_reader import RequestReader
from magnoliacove.limits import CapacityQueue
from magnoliacove.limits import SharedRetryBudget
from tests.gateway import stubs

_LAYERS = (0, 80)


async def _hang(received, stream):
    """Answer reports, and never a caller's request."""
    if received.method == "GET":
        await stream.send_all(stubs.make_answer(b"{}"))
        return
    await trio.sleep_forever()


async def _wait_streams(harness, count):
    while len([s for s in harness.stalls.streams if s.began]) < count:
        await trio.sleep(0.01)


async def _add_later(harness, seconds, script):
    await trio.sleep(seconds)
    return await harness.add("i-2", script, layers=_LAYERS)


async def _beat(harness):
    """Change something at intervals, as the heartbeats of peers do."""
    while True:
        await trio.sleep(0.1)
        harness.state.capacity_queue.fill()


@pytest.mark.parametrize("refusal", ["route", "budget"])
async def test_a_request_that_has_not_begun_is_refused_on_a_lost_engine(
    refusal,
):
    """Guards against a caller that gets neither an answer nor a refusal.

    The engine hangs before its first event and is suspected.  The request may
    not run once more.  Nothing was sent, so nothing can be cut off, and its
    caller must be told before it leaves after 2 s.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _hang, layers=_LAYERS)
        if refusal == "budget":
            harness.state.retry_budget = SharedRetryBudget(0.0, 0.0, 10.0)

        async def suspect():
            await trio.sleep(0.3)
            harness.state.health.suspect("i-1", "the test says so")

        harness.nursery.start_soon(suspect)
        path = "/once/1" if refusal == "route" else "/stream/1"
        answer = b""
        with trio.move_on_after(2.0):
            answer = await stubs.ask_stream(harness, path)
        assert answer.split(b" ")[1:2] == [b"502"]


async def test_a_quarantine_while_a_stream_waits_does_not_cut_it_off():
    """Guards against leaving a path although no further run is allowed.

    The stream waits for another path when it comes into quarantine.  Then a
    path gets free.  The engine, wrongly suspected, would finish the answer.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.go_on_after(1.7), layers=_LAYERS)
        harness.nursery.start_soon(stubs.suspect_when_begun, harness, "i-1")

        async def quarantine():
            await trio.sleep(0.7)
            assert harness.state.capacity_queue.waiting == 1
            [stream] = harness.stalls.streams
            harness.state.quarantine.begin(stream.fingerprint, 3, "the test")

        harness.nursery.start_soon(quarantine)
        harness.nursery.start_soon(_add_later, harness, 1.0, stubs.serve_whole)
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]


async def test_a_waiting_stream_is_rerouted_at_intervals(monkeypatch):
    """Guards against 20 searches a second for each stream that waits."""
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.go_on_after(2.2), layers=_LAYERS)
        tries = []
        rerouter = harness.stalls._rerouter
        original = rerouter._try_change_path

        async def count(*args):
            tries.append(trio.current_time())
            return await original(*args)

        monkeypatch.setattr(rerouter, "_try_change_path", count)
        harness.nursery.start_soon(stubs.suspect_when_begun, harness, "i-1")
        await stubs.ask_stream(harness, "/stream/1")
        # At most 2 s between the suspicion and the end, at one in 0.25 s,
        # and those before the stream counts as silent.
        assert len(tries) <= 12


async def test_streams_that_cannot_leave_do_not_hold_up_new_requests():
    """Guards against new requests that starve behind hopeless departures.

    Eight streams wait on a lost engine and may run on no second one.  Another
    engine is free, and a new request must get it.
    """
    async with stubs.open_harness() as harness:
        harness.state.routes = stubs.make_table(max_attempts=1)
        stalled = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", stalled, layers=_LAYERS)
        for number in range(8):
            harness.nursery.start_soon(
                lambda name: stubs.ask_stream(
                    harness, "/stream/1", x_request_id=name
                ),
                f"r-{number}",
            )
        with trio.fail_after(3.0):
            await _wait_streams(harness, 8)
        harness.state.health.suspect("i-1", "the test says so")
        await trio.sleep(0.8)
        await harness.add("i-2", stubs.serve_whole, layers=_LAYERS)
        answer = b""
        with trio.move_on_after(1.0):
            answer = await stubs.ask_stream(
                harness, "/stream/1", x_request_id="new"
            )
        waiting = harness.state.capacity_queue.waiting
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6], waiting


async def _ask_beside_a_full_queue(harness):
    """Return the answer to a stream whose engine breaks off meanwhile."""
    queue = CapacityQueue(max_waiting=1)
    harness.state.capacity_queue = queue
    harness.state.targets.listen(queue.fill)
    harness.nursery.start_soon(queue.run)
    await harness.add("i-1", stubs.break_after(0.3), layers=_LAYERS)

    async def fill_queue():
        await _wait_streams(harness, 1)
        queue.add(lambda: None, priority=1, fresh_until=1e9)

    harness.nursery.start_soon(fill_queue)
    harness.nursery.start_soon(_add_later, harness, 1.0, stubs.serve_whole)
    return await stubs.ask_stream(harness, "/stream/1")


async def test_a_full_queue_does_not_cut_off_an_answer_that_has_begun():
    """Guards against refusing a begun answer, which can only be cut off."""
    async with stubs.open_harness() as harness:
        answer = await _ask_beside_a_full_queue(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]


async def test_the_log_does_not_tell_a_gateways_cut_as_the_engines():
    """Guards against cuts of the gateway that are counted as an engine's.

    The engine broke off, which the stream survives; the gateway refuses to
    let it wait for another path.
    """
    async with stubs.open_harness() as harness:
        await _ask_beside_a_full_queue(harness)
        assert [by for by, _ in stubs.list_cuts(harness)] != ["engine"]


async def test_refusals_do_not_cut_off_an_answer_that_has_begun():
    """Guards against giving up a begun answer while it has 19 s left.

    Its engine breaks off, and the other one refuses five times, which takes
    less than a second, before it has capacity.
    """
    async with stubs.open_harness() as harness:
        refusals = []

        async def refuse_then_serve(received, stream):
            if received.method != "GET" and len(refusals) < 5:
                refusals.append(received)
                await stream.send_all(stubs.NOT_RUN)
                return
            await stubs.serve_whole(received, stream)

        await harness.add("i-1", stubs.break_after(0.3), layers=_LAYERS)

        async def replace():
            await _wait_streams(harness, 1)
            harness.state.targets.remove("i-1", 2)
            await harness.add("i-2", refuse_then_serve, layers=_LAYERS)

        harness.nursery.start_soon(replace)
        harness.nursery.start_soon(_beat, harness)
        began = trio.current_time()
        answer = await stubs.ask_stream(harness, "/stream/1")
        took = trio.current_time() - began
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6], took


async def test_a_silent_stream_waits_for_a_path_once_its_engine_is_lost():
    """Guards against a departure that uses up the turn of another one.

    The stream is silent for 1.4 s and finds no other path; each further
    attempt for that reason makes the one for the lost engine come too soon.
    """
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=_LAYERS)
        harness.nursery.start_soon(
            lambda: stubs.ask_stream(harness, "/stream/1")
        )
        await _wait_streams(harness, 1)
        await trio.sleep(1.7)
        harness.state.health.suspect("i-1", "the test says so")
        await trio.sleep(0.8)
        assert harness.state.capacity_queue.waiting == 1


async def test_a_reserved_path_whose_engine_is_lost_is_not_taken():
    """Guards against a run on an engine lost since the reservation."""
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent, layers=_LAYERS)
        reservation = stubs.make_reservation(harness.state)
        assert reservation.reserve() is not None
        await harness.add("i-2", stubs.stay_silent, layers=_LAYERS)
        path = reservation.reserve_next(["i-1"])
        assert path is not None
        assert path.targets[0] == "i-2"
        harness.state.health.suspect("i-2", "the test says so")
        assert not reservation.take_next()


@pytest.mark.parametrize("blocked", ["write", "end"])
async def test_a_path_that_goes_on_is_not_left_during_a_write(
    blocked, monkeypatch
):
    """Guards against leaving an engine that has gone on, or has finished.

    The stream waits for another path.  Its engine goes on, the caller reads
    slowly, and another path gets free before that write ends.
    """
    original = getattr(Exchange, blocked)

    async def send_slowly(self, *args):
        await original(self, *args)
        if blocked == "end" or b"id: 4" in args[0]:
            await trio.sleep(0.6)

    monkeypatch.setattr(Exchange, blocked, send_slowly)
    closing = stubs.STREAM.replace(
        b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"
    )

    async def script(received, stream):
        if received.method == "GET":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        events = stubs.make_events(1, 3 if blocked == "write" else 6)
        await stream.send_all(closing + stubs.chunk(events))
        await trio.sleep(0.8)
        rest = b""
        if blocked == "write":
            rest = stubs.chunk(stubs.make_events(4, 6))
        await stream.send_all(rest + stubs.END)

    async with stubs.open_harness() as harness:
        await harness.add("i-1", script, layers=_LAYERS)
        other = []

        async def add():
            await trio.sleep(1.1)
            other.append(
                await harness.add("i-2", stubs.serve_whole, layers=_LAYERS)
            )

        harness.nursery.start_soon(stubs.suspect_when_begun, harness, "i-1")
        harness.nursery.start_soon(add)
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert not other[0].callers_requests
        assert "request-fault" not in harness.list_kinds()


async def test_a_lost_run_is_repeated_on_its_engine_after_the_suspicion():
    """Guards against waiting for ever for a path without the only engine.

    The engine loses the run, is suspected for 2 s, and serves again.  The
    stream has 20 s and can run there once more.
    """
    async with stubs.open_harness() as harness:
        runs = []

        async def lose_first_run(received, stream):
            if received.method != "GET":
                runs.append(received)
            lost = stubs.begin_then(stubs.pause_for_ever)
            script = lost if len(runs) == 1 else stubs.serve_whole
            await script(received, stream)

        await harness.add("i-1", lose_first_run, layers=_LAYERS)
        harness.nursery.start_soon(stubs.suspect_when_begun, harness, "i-1")

        harness.nursery.start_soon(_beat, harness)
        answer = b""
        with trio.move_on_after(6.0):
            answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]


async def test_a_stream_does_not_go_back_to_an_engine_that_it_left():
    """Guards against runs that alternate between two engines that pause.

    The stream left the first engine, and then leaves the second one.  A third
    one, slower but not tried yet, is free.
    """
    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2"):
            await harness.add(name, stubs.stay_silent, layers=_LAYERS)
        await harness.add(
            "i-3", stubs.stay_silent, layers=_LAYERS, accelerator="a100s"
        )
        reservation = stubs.make_reservation(harness.state)
        first = reservation.reserve().targets[0]
        second = reservation.reserve_next([first]).targets[0]
        assert {first, second} == {"i-1", "i-2"}
        reservation.release_path()
        assert reservation.take_next()
        assert reservation.reserve_next([second]).targets == ("i-3",)


async def test_a_request_that_runs_at_its_deadline_is_not_called_not_run():
    """Guards against 'did not run' for a request that an engine was sent.

    The engine hangs before its first event until the deadline.  A caller that
    is told that the request did not run repeats it, also one that must not be.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _hang, layers=_LAYERS)
        answer = await stubs.ask_stream(
            harness, "/once/1", x_deadline_ms="600"
        )
        assert answer.split(b" ")[1] == b"504"
        assert b"did not run" not in answer


async def test_a_refused_request_at_its_deadline_is_called_not_run():
    """Guards against 'may have run' for a request that was refused."""
    async with stubs.open_harness() as harness:
        refuse = stubs.answer_with(stubs.NOT_RUN)
        await harness.add("i-1", refuse, layers=_LAYERS)
        answer = await stubs.ask_stream(
            harness, "/once/1", x_deadline_ms="600"
        )
        assert answer.split(b" ")[1] == b"503"


async def test_a_fault_inside_is_logged_as_the_reason_of_a_cut(monkeypatch):
    """Guards against a fault of the gateway that is told as its stop."""
    async with stubs.open_harness() as harness:
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=_LAYERS)
        original = Exchange.write

        async def fail(self, data):
            await original(self, data)
            raise RuntimeError("a fault")

        monkeypatch.setattr(Exchange, "write", fail)
        await stubs.ask_stream(harness, "/stream/1")
        assert stubs.list_cuts(harness) == [
            ("gateway", "RuntimeError('a fault')")
        ]


async def test_a_retry_paid_by_a_departure_is_not_paid_twice(monkeypatch):
    """Guards against a second retry, and a cut, for one further run.

    The engine's connection breaks in the moment in which the stream leaves
    it.  The budget allows one retry, which the departure has spent.
    """
    original = PathRun._forward_events

    async def break_while_leaving(self, channel, answer):
        if self.run_number == 1:
            self._delivery.begin_run(answer)
            await self._delivery.deliver(await channel.read_body())
            await harness.add("i-2", stubs.serve_whole, layers=_LAYERS)
            [stream] = harness.stalls.streams
            stream.departure.leave_silent("the test says so", ["i-1"])
            raise TargetError("reset", errors.Outcome.MAY_HAVE_RUN)
        await original(self, channel, answer)

    runs = itertools.count(1)
    monkeypatch.setattr(
        PathRun,
        "run_number",
        property(lambda self: self.__dict__.setdefault("number", next(runs))),
        raising=False,
    )
    monkeypatch.setattr(PathRun, "_forward_events", break_while_leaving)
    async with stubs.open_harness() as harness:
        harness.state.retry_budget = SharedRetryBudget(0.0, 1.2, 10.0)
        script = stubs.begin_then(stubs.pause_for_ever)
        await harness.add("i-1", script, layers=_LAYERS)
        answer = await stubs.ask_stream(harness, "/stream/1")
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]


async def test_a_caller_that_leaves_as_a_path_is_granted_leaks_no_capacity(
    monkeypatch,
):
    """Guards against capacity that stays reserved for ever.

    The queue reserves a path for a waiting stream in the same moment in which
    its caller leaves, so the stream never uses the path.
    """
    monkeypatch.setattr(PathReservation, "read_delay", lambda self: 0.0)
    original = RequestReader.wait_disconnect
    async with stubs.open_harness() as harness:
        health = harness.state.health
        await harness.add("i-1", stubs.go_on_after(9.0), layers=_LAYERS)

        async def free_a_path(self):
            await original(self)
            health._suspicions.clear()
            harness.state.capacity_queue.fill()

        monkeypatch.setattr(RequestReader, "wait_disconnect", free_a_path)
        for _ in range(12):
            health._durations.clear()
            health.suspect("i-1", "the test says so")
            await _wait_and_leave(harness)
        assert not harness.state.loads.list_own()


async def _wait_and_leave(harness):
    """Ask for a stream and close the connection while it waits for a path."""
    stream, _ = await harness.connect()
    request = stubs.make_request("/stream/1", "POST", **stubs.STREAM_HEADERS)
    await stream.send_all(request)
    with trio.fail_after(3.0):
        while not harness.state.capacity_queue.waiting:
            await trio.sleep(0.005)
    await trio.sleep(0.05)
    await stream.aclose()
    with trio.fail_after(3.0):
        while harness.state.open_requests:
            await trio.sleep(0.01)


async def test_the_engines_of_a_kept_path_are_checked_for_as_long():
    """Guards against a path that is checked only until its stream is kept.

    The stream falls silent and cannot run elsewhere.  An engine that is lost
    later must still be found.
    """
    asked = []

    async def script(received, stream):
        if received.method == "GET":
            asked.append(trio.current_time())
        await stubs.begin_then(stubs.pause_for_ever)(received, stream)

    async with stubs.open_harness() as harness:
        await harness.add("i-1", script, layers=_LAYERS)
        began = trio.current_time()
        await stubs.ask_stream(harness, "/once/1", x_deadline_ms="3000")
        assert max(asked) - began > 2.5
