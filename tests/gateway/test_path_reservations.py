"""Path reservations of streams, and the search for another path."""

import trio

from magnoliacove.limits import SharedRetryBudget
from magnoliacove.limits import TargetLoad
from tests.gateway import stubs


def _refuse_first(count):
    """Return a script that refuses some requests and serves the others."""
    refused = []

    async def script(received, stream):
        if received.method == "POST" and len(refused) < count:
            refused.append(received)
            await stream.send_all(stubs.NOT_RUN)
            return
        await stubs.serve_whole(received, stream)

    return script


async def test_search_for_another_path_ignores_requests_ahead():
    """Delivery of events stalls while a gateway checks silent streams.

    For each silent stream it searches for another path 20 times a second.
    Placing unreported requests of other gateways first costs up to eight more
    searches and cannot change the result.
    """
    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2"):
            await harness.add(name, stubs.stay_silent, layers=(0, 80))
        reservation = stubs.make_reservation(harness.state)
        sampled = []
        original = harness.state.candidates.sample_ahead
        harness.state.candidates.sample_ahead = lambda service: (
            sampled.append(service) or original(service)
        )
        assert reservation.reserve() is not None
        assert sampled == ["llm"]
        assert reservation.has_other_path()
        assert sampled == ["llm"]
        reservation.release_path()
        assert not harness.state.loads.list_own()


async def test_waiting_request_tells_what_stands_against_a_path():
    """Requests wait for an engine that refused one a moment ago.

    Operators would add engines for want of memory, of which there is enough.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent, layers=(0, 80))
        reservation = stubs.make_reservation(harness.state)
        harness.state.candidates.pause_engine("i-1")
        assert reservation.reserve() is None
        assert reservation.reserve() is None
        await harness.add("i-2", stubs.stay_silent, layers=(0, 40))
        other = stubs.make_reservation(harness.state)
        assert other.reserve() is None
    first, second = (
        event
        for event in harness.recorder.list_events()
        if event.kind == "request-waiting"
    )
    assert first.why == "no path has room: engines paused after a refusal"
    assert second.why == first.why
    assert list(second.detail["room"].values()) == ["40: 0"]


async def test_a_stream_refused_by_a_full_service_waits_for_a_retry():
    """Engines refused hundreds of streams a second, each of which spent a
    retry.  Two seconds later the budget was empty, and each refused stream
    failed at once.  It waits for capacity and for a retry instead.
    """
    async with stubs.open_harness() as harness:
        state = harness.state
        state.retry_budget = SharedRetryBudget(0.0, 0.0, 10.0)
        await harness.add("i-1", _refuse_first(1), layers=(0, 80))
        await stubs.fill_service(state)

        async def allow():
            await trio.sleep(0.5)
            state.retry_budget = SharedRetryBudget(0.0, 10.0, 10.0)
            state.capacity_queue.fill()

        harness.nursery.start_soon(allow)
        answer = await stubs.ask_stream(harness)
        assert stubs.read_ids(answer) == [1, 2, 3, 4, 5, 6]
        assert state.retry_budget.list_counts()["llm"][1] == 1
        assert harness.list_kinds().count("request-waiting") == 1


async def test_a_refused_stream_fails_as_before_while_no_service_is_full():
    async with stubs.open_harness() as harness:
        harness.state.retry_budget = SharedRetryBudget(0.0, 0.0, 10.0)
        await harness.add("i-1", _refuse_first(1), layers=(0, 80))
        answer = await stubs.ask_stream(harness)
        assert answer.startswith(b"HTTP/1.1 503")
        refused = harness.state.engine_statuses.list_corrected()
        assert not refused


async def test_a_refusal_by_a_full_service_leaves_the_engine_less_room():
    """An engine is full, which no report shows yet.  Each gateway sent it one
    stream after the other until its pause was long enough.
    """
    async with stubs.open_harness() as harness:
        state = harness.state
        await harness.add("i-1", _refuse_first(1), layers=(0, 80))
        target = state.targets.find("i-1")
        await stubs.fill_service(state)
        state.engine_statuses.note("i-1", state.engine_statuses.read(target))
        capacity = stubs.make_reservation(state).read_capacity(target)
        load = TargetLoad(1, 0.9 * capacity)
        state.loads.take_others("e-2", {"i-1": load}, 0)
        harness.nursery.start_soon(stubs.ask_stream, harness)
        with trio.fail_after(2.0):
            while "engine-refused" not in harness.list_kinds():
                await trio.sleep(0.01)
        [refusal] = [
            event
            for event in harness.recorder.list_events()
            if event.kind == "engine-refused"
        ]
        memory = refusal.detail["memory"]
        assert memory["used"] == memory["capacity"] - memory["needed"]
        assert memory["needed"] > 0


async def test_share_of_room_binds_only_while_a_service_is_full():
    """Many gateways with requests that wait see some capacity freed.  While
    nothing waits, each request may use all of it.
    """
    async with stubs.open_harness() as harness:
        state = harness.state
        await harness.add("i-1", stubs.stay_silent, layers=(0, 80))
        for number in range(200):
            state.unreported.take_others(f"e-{number}", {"llm": 8}, 2.0)
        target = state.targets.find("i-1")
        reservation = stubs.make_reservation(state)
        status = state.engine_statuses.read(target)
        state.engine_statuses.note("i-1", status)
        free = 2 * 80 * sum(reservation.read_tokens())
        used = reservation.read_capacity(target) - free
        state.engine_statuses.note_refusal("i-1", used)
        assert _count_reserved(state) > 0
        await stubs.fill_service(state)
        state.room_shares._draw, state.room_shares._ends = 0.5, 1e9
        assert _count_reserved(state) == 0
        assert reservation.reserve(begun=True) is not None


def _count_reserved(state):
    """Return how many of ten requests get a path, and release them."""
    reservations = [stubs.make_reservation(state) for _ in range(10)]
    paths = [reservation.reserve() for reservation in reservations]
    for reservation in reservations:
        reservation.release_path()
    return sum(path is not None for path in paths)
