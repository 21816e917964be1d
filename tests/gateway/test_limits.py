"""Engines and plain targets that report a limit for all gateways together."""

import json

import trio

from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.limits.grants import Grant
from tests.gateway import stubs

_HEADERS = {"x_token_usage": "100,20", "x_deadline_ms": "20000"}
_WHOLE = stubs.chunk(stubs.make_events(1, 3)) + stubs.END
_STREAM = stubs.STREAM + _WHOLE


def _report_limit(answer, rate=1.2):
    """Return an answer in which the target reports a rate limit."""
    head, _, rest = answer.partition(b"\r\n")
    return head + b"\r\nserver-limit: %g\r\n" % rate + rest


def _answer_streams(stream):
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


async def test_a_plain_target_gets_only_requests_within_this_gateway_s_grant():
    limited = _report_limit(stubs.make_answer(b"ok"))
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


async def test_a_caller_is_refused_at_once_when_no_target_admits_requests():
    """Each target of the service has a limit, and this gateway has no grant.
    A caller that waits until its deadline could not try elsewhere.
    """
    limited = _report_limit(stubs.make_answer(b"ok"))
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", stubs.answer_with(limited))
        await harness.ask("/get/1")
        began = trio.current_time()
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert trio.current_time() - began < 0.3
        assert answer.split(b" ")[1] == b"503"
        assert 4.0 <= _read_retry_after(answer) <= 6.0
        assert len(stub.requests) == 1


async def test_a_stream_avoids_an_engine_that_admits_no_more():
    async with stubs.open_harness() as harness:
        first = await harness.add(
            "i-1", _answer_streams(_report_limit(_STREAM)), layers=(0, 80)
        )
        await _ask_stream(harness)
        other = await harness.add(
            "i-2", _answer_streams(_STREAM), layers=(0, 80)
        )
        for _ in range(5):
            assert b"piece 3" in await _ask_stream(harness)
        assert len(first.callers_requests) == 1
        assert len(other.callers_requests) == 5


async def test_a_stream_is_refused_at_once_if_no_first_engine_admits_more():
    """All engines with the first layers have a limit.  A stream must not
    wait for capacity until its caller leaves.
    """
    async with stubs.open_harness() as harness:
        await harness.add(
            "i-1", _answer_streams(_report_limit(_STREAM)), layers=(0, 80)
        )
        await _ask_stream(harness)
        began = trio.current_time()
        answer = await _ask_stream(harness)
        assert trio.current_time() - began < 0.3
        assert answer.split(b" ")[1] == b"503"
        assert b"retry-after" in answer.lower()


async def test_streams_wait_for_a_limit_only_as_long_as_their_callers():
    """The only first engine admits two requests a second.  Of twelve streams
    that arrive together most would wait in vain until their callers leave.
    These must be refused at once, and those before them are answered.
    """
    answers = []

    async with stubs.open_harness() as harness:
        stub = await harness.add(
            "i-1", _answer_streams(_report_limit(_STREAM)), layers=(0, 80)
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
                harness.state.capacity_queue.fill()

        harness.nursery.start_soon(fill)
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(ask)
        served = [took for answer, took in answers if b"piece 3" in answer]
        refused = [took for answer, took in answers if b"503" in answer]
        assert len(served) + len(refused) == 12
        assert 2 <= len(served) == len(stub.callers_requests) - 1
        assert sorted(refused)[len(refused) // 2] < 0.3


async def test_an_engine_with_a_limit_still_runs_layers_only_it_has_loaded():
    """An engine with a limit is the only one with the last layers.  What the
    previous engine forwards to it is no request of a gateway and does not
    count.  If it did, no caller would get an answer.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _answer_streams(_STREAM), layers=(0, 40))
        inner = await harness.add(
            "i-2", _answer_streams(_STREAM), layers=(40, 80)
        )
        harness.state.backpressure.take(
            "i-2", TargetNotice(rate_limit=1.2), "a test"
        )
        assert b"piece 3" in await _ask_stream(harness)
        assert not inner.callers_requests


async def test_an_engine_that_may_not_be_called_is_not_suspected():
    """After a refusal the gateway requests a report.  At an engine with a
    limit that counts as a request, so the gateway only opens a connection.
    """
    async with stubs.open_harness() as harness:
        stub = await harness.add(
            "i-1",
            stubs.answer_with(_report_limit(stubs.NOT_RUN)),
            layers=(0, 80),
        )
        await _ask_stream(harness)
        await trio.sleep(0.5)
        assert len(stub.requests) == len(stub.callers_requests) == 1
        assert harness.state.health.is_usable("i-1")
        assert harness.state.permits.withheld


_ASKS_FOR_BACK_OFF = (
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n"
    b"retry-after: 3\r\ncontent-length: 0\r\n\r\n"
)


async def test_a_target_that_asks_for_back_off_differs_from_a_full_one():
    """A target that asks for a longer back-off must get it, and not the
    0.3 s, doubled each time, of a full target that asks for none.
    """
    asks_for_long_back_off = _ASKS_FOR_BACK_OFF.replace(b": 3", b": 30")
    async with stubs.open_harness() as harness:
        backing_off = await harness.add(
            "i-1", _answer_streams(asks_for_long_back_off), layers=(0, 80)
        )
        full = await harness.add(
            "i-2", _answer_streams(stubs.NOT_RUN), layers=(0, 80)
        )
        sound = await harness.add(
            "i-3", _answer_streams(_STREAM), layers=(0, 80)
        )
        while not (backing_off.callers_requests and full.callers_requests):
            await _ask_stream(harness)
        await trio.sleep(1.0)
        for _ in range(12):
            assert b"piece 3" in await _ask_stream(harness)
            await trio.sleep(0.1)
        assert len(backing_off.requests) == 1
        assert len(full.callers_requests) > 1
        assert len(sound.callers_requests) >= 12


async def test_callers_retry_after_the_shortest_back_off():
    """All targets of a plain service ask for back-off.  A caller must be
    refused at once, with the time until the first of them admits requests
    again.
    """
    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2"):
            await harness.add(name, stubs.answer_with(_ASKS_FOR_BACK_OFF))
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"503"
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"503"
        assert 2.5 <= _read_retry_after(answer) <= 4.5


async def test_a_stream_does_not_pass_through_an_engine_in_back_off():
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _answer_streams(_STREAM), layers=(0, 40))
        await harness.add("i-2", _answer_streams(_STREAM), layers=(40, 80))
        notice = TargetNotice(backoff=3.0)
        harness.state.backpressure.take("i-2", notice, "a test")
        assert (await _ask_stream(harness)).split(b" ")[1] == b"503"


def _report_leaving(answer):
    """Return an answer in which the target reports that it is leaving."""
    head, _, rest = answer.partition(b"\r\n")
    return head + b"\r\nserver-leaving: 1\r\n" + rest


async def test_a_target_that_reports_leaving_gets_no_more_requests():
    """A target reports that it is leaving, but its entry does not show that
    and a suspicion expires.  It must not get requests again after that.
    """
    async with stubs.open_harness() as harness:
        leaving = await harness.add(
            "i-1", stubs.answer_with(_report_leaving(stubs.make_answer(b"ok")))
        )
        await harness.ask("/get/1")
        assert harness.state.health.find("i-1").leaving
        harness.state.health.discard_unlisted(set())
        assert harness.state.health.is_usable("i-1")
        answer = await harness.ask("/get/1")
        assert answer.split(b" ")[1] == b"503"
        assert len(leaving.requests) == 1


async def test_a_leaving_engine_runs_nothing_that_other_engines_forward():
    async with stubs.open_harness() as harness:
        await harness.add("i-1", _answer_streams(_STREAM), layers=(0, 40))
        inner = await harness.add(
            "i-2", _answer_streams(_report_leaving(_STREAM)), layers=(40, 80)
        )
        notice = TargetNotice(rate_limit=1.0, leaving=True)
        harness.state.backpressure.take("i-2", notice, "a test")
        assert (await _ask_stream(harness)).split(b" ")[1] == b"503"
        assert not inner.callers_requests
