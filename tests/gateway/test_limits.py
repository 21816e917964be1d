"""Engines and plain targets that name a limit for all gateways together."""

import json

import trio

from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.limits.grants import Grant
from tests.gateway import stubs

_HEADERS = {"x_token_usage": "100,20", "x_deadline_ms": "20000"}
_WHOLE = stubs.chunk(stubs.make_events(1, 3)) + stubs.END
_STREAM = stubs.STREAM + _WHOLE


def _limit(answer, rate=1.2):
    """Return an answer whose target names a limit."""
    head, _, rest = answer.partition(b"\r\n")
    return head + b"\r\nserver-limit: %g\r\n" % rate + rest


def _answer(stream):
    """Return a script of an engine that answers streams and reports."""

    async def script(received, connection):
        report = received.target == "/v1/report"
        body = stubs.make_answer(json.dumps({}).encode())
        await connection.send_all(body if report else stream)

    return script


async def _ask_stream(harness):
    return await harness.ask("/stream/1", method="POST", **_HEADERS)


def _read_retry_after(answer):
    return float(answer.lower().partition(b"retry-after: ")[2].split()[0])


async def test_a_plain_target_gets_what_this_gateway_has_a_part_of():
    limited = _limit(stubs.make_answer(b"ok"))
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", stubs.answer_with(limited))
        await harness.add(
            "i-2", stubs.answer_with(stubs.make_answer(b"ok"), after=0.01)
        )
        while not stub.requests:
            assert (await harness.ask("/get/1")).endswith(b"ok")
        for _ in range(10):
            assert (await harness.ask("/get/1")).endswith(b"ok")
        assert len(stub.requests) == 1
        harness.state.targets.remove("i-2", 2)
        harness.state.grants.take("g-2", [Grant("i-1", "gateway", 4.0)])
        harness.state.grants.renew({"i-1": "g-2"})
        await trio.sleep(0.3)
        for part in (b"200 OK", b"503"):
            assert part in await harness.ask("/get/1")
        assert len(stub.requests) == 2


async def test_a_caller_is_refused_at_once_where_all_targets_are_in_need():
    """Each target of the service has a limit and this gateway no part of
    one.  Held until its deadline a caller could not try elsewhere.
    """
    limited = _limit(stubs.make_answer(b"ok"))
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", stubs.answer_with(limited))
        await harness.ask("/get/1")
        began = trio.current_time()
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert trio.current_time() - began < 0.3
        assert answer.split(b" ")[1] == b"503"
        assert 4.0 <= _read_retry_after(answer) <= 6.0
        assert len(stub.requests) == 1


async def test_a_stream_goes_past_an_engine_that_takes_no_more():
    async with stubs.open_harness() as harness:
        first = await harness.add(
            "i-1", _answer(_limit(_STREAM)), layers=(0, 80)
        )
        await _ask_stream(harness)
        other = await harness.add("i-2", _answer(_STREAM), layers=(0, 80))
        for _ in range(5):
            assert b"piece 3" in await _ask_stream(harness)
        assert len(first.callers_requests) == 1
        assert len(other.callers_requests) == 5


async def test_a_stream_is_refused_at_once_where_no_first_engine_takes_more():
    """All engines that hold the first layers have a limit.  A stream used to
    wait for room until its caller left.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _answer(_limit(_STREAM)), layers=(0, 80))
        await _ask_stream(harness)
        began = trio.current_time()
        answer = await _ask_stream(harness)
        assert trio.current_time() - began < 0.3
        assert answer.split(b" ")[1] == b"503"
        assert b"retry-after" in answer.lower()


async def test_streams_wait_for_a_limit_only_as_long_as_their_callers():
    """The only first engine takes two requests a second.  Of twelve streams
    that come at once most would wait in vain until their callers leave: they
    are refused at once, and those before them are answered.
    """
    answers = []

    async with stubs.open_harness() as harness:
        stub = await harness.add(
            "i-1", _answer(_limit(_STREAM)), layers=(0, 80)
        )
        await _ask_stream(harness)
        harness.state.grants.take("g-2", [Grant("i-1", "gateway", 2.0)])
        harness.state.grants.renew({"i-1": "g-2"})
        began = trio.current_time()

        async def ask():
            answer = await _ask_stream(harness)
            answers.append((answer, trio.current_time() - began))

        async def fill():
            while True:
                await trio.sleep(0.05)
                harness.state.room.fill()

        harness.nursery.start_soon(fill)
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(ask)
        served = [took for answer, took in answers if b"piece 3" in answer]
        refused = [took for answer, took in answers if b"503" in answer]
        assert len(served) + len(refused) == 12
        assert 2 <= len(served) == len(stub.callers_requests) - 1
        assert sorted(refused)[len(refused) // 2] < 0.3


async def test_an_engine_with_a_limit_still_runs_what_only_it_holds():
    """It holds the last layers, which no other engine does.  What the engine
    before it hands on is no request of a gateway; without it no caller would
    get an answer.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _answer(_STREAM), layers=(0, 40))
        inner = await harness.add("i-2", _answer(_STREAM), layers=(40, 80))
        harness.state.backpressure.take(
            "i-2", TargetNotice(rate_limit=1.2), "a test"
        )
        assert b"piece 3" in await _ask_stream(harness)
        assert not inner.callers_requests


async def test_an_engine_that_takes_no_question_is_not_suspected():
    """A refusal makes the gateway ask why.  Of an engine with a limit that
    counts as a request, so only a connection is tried.
    """
    async with stubs.open_harness() as harness:
        stub = await harness.add(
            "i-1", stubs.answer_with(_limit(stubs.NOT_RUN)), layers=(0, 80)
        )
        await _ask_stream(harness)
        await trio.sleep(0.5)
        assert len(stub.requests) == len(stub.callers_requests) == 1
        assert harness.state.health.is_usable("i-1")
        assert harness.state.permits.withheld


_WANTS_REST = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n"
    b"retry-after: 3\r\ncontent-length: 0\r\n\r\n"
)


async def test_a_target_that_asks_for_rest_is_told_apart_from_a_full_one():
    """It was left alone for 0.3 s, and twice as long each time, though it had
    asked for more.  One that is full asks for nothing.
    """
    wants_long_rest = _WANTS_REST.replace(b": 3", b": 30")
    async with stubs.open_harness() as harness:
        resting = await harness.add(
            "i-1", _answer(wants_long_rest), layers=(0, 80)
        )
        full = await harness.add("i-2", _answer(stubs.NOT_RUN), layers=(0, 80))
        sound = await harness.add("i-3", _answer(_STREAM), layers=(0, 80))
        while not (resting.callers_requests and full.callers_requests):
            await _ask_stream(harness)
        await trio.sleep(1.0)
        for _ in range(12):
            assert b"piece 3" in await _ask_stream(harness)
            await trio.sleep(0.1)
        assert len(resting.requests) == 1
        assert len(full.callers_requests) > 1
        assert len(sound.callers_requests) >= 12


async def test_callers_come_back_after_the_shortest_rest():
    """All targets of a plain service want rest: a caller is refused at once,
    and told when the first of them takes requests again.
    """
    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2"):
            await harness.add(name, stubs.answer_with(_WANTS_REST))
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"503"
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"503"
        assert 2.5 <= _read_retry_after(answer) <= 4.5


async def test_a_stream_does_not_pass_through_an_engine_that_rests():
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _answer(_STREAM), layers=(0, 40))
        await harness.add("i-2", _answer(_STREAM), layers=(40, 80))
        notice = TargetNotice(rest=3.0)
        harness.state.backpressure.take("i-2", notice, "a test")
        assert (await _ask_stream(harness)).split(b" ")[1] == b"503"


def _leave(answer):
    """Return an answer whose target says that it leaves."""
    head, _, rest = answer.partition(b"\r\n")
    return head + b"\r\nserver-leaving: 1\r\n" + rest


async def test_a_target_that_says_that_it_leaves_gets_no_more_for_good():
    """Its entry says nothing, and a suspicion ends by itself: after that it
    got requests again until it was gone.
    """
    async with stubs.open_harness() as harness:
        left = await harness.add(
            "i-1", stubs.answer_with(_leave(stubs.make_answer(b"ok")))
        )
        await harness.ask("/get/1")
        assert harness.state.health.find("i-1").leaving
        harness.state.health.forget(set())
        assert harness.state.health.is_usable("i-1")
        answer = await harness.ask("/get/1")
        assert answer.split(b" ")[1] == b"503"
        assert len(left.requests) == 1


async def test_an_engine_that_leaves_runs_nothing_that_others_hand_on():
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _answer(_STREAM), layers=(0, 40))
        inner = await harness.add(
            "i-2", _answer(_leave(_STREAM)), layers=(40, 80)
        )
        notice = TargetNotice(rate_limit=1.0, leaving=True)
        harness.state.backpressure.take("i-2", notice, "a test")
        assert (await _ask_stream(harness)).split(b" ")[1] == b"503"
        assert not inner.callers_requests
