"""Requests to plain services: forwarding, retries and hedging."""

import pytest
import trio

from tests.gateway import stubs


async def test_an_answer_is_forwarded_unchanged():
    async with stubs.open_harness() as harness:
        stub = await harness.add(
            "i-1",
            stubs.answer_with(
                stubs.make_answer(b"{}", stubs.OK + b"x-own: 1\r\n")
            ),
        )
        answer = await harness.ask("/get/1?q=%2F")
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert b"x-own: 1" in answer
        assert answer.endswith(b"\r\n\r\n{}")
        assert stub.requests[0].target == "/get/1?q=%2F"
        assert stub.requests[0].headers["x-tenant"] == "lannoy"
        assert stub.requests[0].headers["x-target-instance"] == "i-1"
        assert int(stub.requests[0].headers["x-deadline-ms"]) <= 1500


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/1", {}, b"404"),
        ("/get/1", {"authorization": "Token k9"}, b"401"),
        ("/get/1", {"authorization": "Bearer k1"}, b"401"),
        ("/get/1", {"host": "y"}, b"404"),
    ],
)
async def test_a_rejected_request_reaches_no_target(path, headers, status):
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", stubs.answer_with(stubs.NOT_RUN))
        answer = await harness.ask(path, **headers)
        assert answer.split(b" ")[1] == status
        assert not stub.requests


async def test_a_missing_configuration_gets_a_retryable_answer():
    """A gateway without a configuration must not answer 404 or 401, which
    callers treat as final.  It answers that the request did not run and when
    to retry.
    """
    async with stubs.open_harness() as harness:
        harness.state.routes = None
        answer = await harness.ask("/get/1")
        assert answer.split(b" ")[1] == b"503"
        assert b"retry-after" in answer.lower()


async def test_a_caller_waits_for_the_first_configuration():
    """A process has just started and receives its configuration a moment
    after the first request.  A caller that is refused would retry after a
    second, and only once.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.answer_with(stubs.make_answer(b"ok")))
        table, harness.state.routes = harness.state.routes, None

        async def configure():
            await trio.sleep(0.2)
            harness.state.apply_routes(table, "a test")

        harness.nursery.start_soon(configure)
        assert (await harness.ask("/get/1")).endswith(b"ok")


async def test_a_caller_waits_for_the_first_list_of_targets():
    """A process has just started and has the routes; the list of targets
    follows a moment later.  For many callers a refusal for lack of a target
    would be the second one, which is final.
    """
    async with stubs.open_harness() as harness:

        async def list_target():
            await trio.sleep(0.2)
            answer = stubs.make_answer(b"ok")
            await harness.add("i-1", stubs.answer_with(answer))

        harness.nursery.start_soon(list_target)
        assert (await harness.ask("/get/1")).endswith(b"ok")


async def test_an_idempotent_request_is_retried_after_a_reset():
    """The first target runs the request, but its answer is lost.  The
    request is sent to another target, and the caller gets one whole answer.
    """
    async with stubs.open_harness() as harness:
        first = await harness.add("i-1", stubs.reset)
        answer = await harness.ask("/get/1")
        assert answer.split(b" ")[1] == b"502"
        await harness.add("i-2", stubs.answer_with(stubs.make_answer(b"ok")))
        answer = await harness.ask("/get/1")
        assert answer.endswith(b"ok")
        assert first.requests


async def test_a_retry_may_return_to_a_target_that_ran_the_request():
    """Each target fails a part of all requests, and both targets that the
    route allows fail this one.  A third target may not run it, but a target
    that ran it may run it again; otherwise the caller would get the failure.
    """
    failed = b"HTTP/1.1 500 Oops\r\nx-response-stamp: s\r\n"
    runs = []

    async def fail_twice(received, stream):
        runs.append(received)
        head = failed if len(runs) <= 2 else stubs.OK
        await stream.send_all(stubs.make_answer(b"ok", head))

    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2", "i-3"):
            await harness.add(name, fail_twice)
        answer = await harness.ask("/get/1")
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert len(runs) == 3
        assert len({run.headers["x-target-instance"] for run in runs}) == 2
        runs.clear()
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.startswith(b"HTTP/1.1 500")
        assert len(runs) == 1


async def test_a_request_that_may_not_be_repeated_runs_once():
    """The target resets the connection after it received a bid.  The bid may
    have run, so it is sent to no other target, and the answer does not state
    that it did not run.
    """
    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2", "i-3"):
            await harness.add(name, stubs.reset)
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"502"
        kinds = harness.list_kinds()
        assert kinds.count("call-sent") == 1


async def test_a_request_that_did_not_run_is_sent_to_another_target():
    async with stubs.open_harness() as harness:
        full = await harness.add("i-1", stubs.answer_with(stubs.NOT_RUN))
        free = await harness.add(
            "i-2", stubs.answer_with(stubs.make_answer(b"done"))
        )
        for _ in range(4):
            answer = await harness.ask("/post/1", method="POST", body=b"bid")
            assert answer.endswith(b"done")
        assert len(free.requests) == 4
        assert len(full.requests) <= 4


async def test_a_refusal_by_all_targets_is_retryable():
    """Every target reports that it did not run the request.  So does the
    answer, with a retry delay.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.answer_with(stubs.NOT_RUN))
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"503"
        assert b"retry-after" in answer.lower()


@pytest.mark.parametrize("status", [b"503 Busy", b"429 Many", b"408 Late"])
async def test_an_unproven_refusal_is_not_forwarded(status):
    """A target answers 503 without the header that states that the request
    did not run.  Callers would assume that and send the bid again.
    """
    bare = b"HTTP/1.1 " + status + b"\r\nx-response-stamp: s\r\n"
    async with stubs.open_harness() as harness:
        await harness.add(
            "i-1", stubs.answer_with(stubs.make_answer(b"", bare))
        )
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"502"


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        stubs.OK + b"content-length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        stubs.make_answer(b"zz", stubs.OK + b"content-encoding: gzip\r\n"),
    ],
)
async def test_an_invalid_answer_is_never_a_success(data):
    """Garbage, a partial answer, an answer without a target's stamp, or a
    body that the target did not send: none reaches the caller as a success.
    """

    async def script(_, stream):
        await stream.send_all(data)
        await stream.aclose()

    async with stubs.open_harness() as harness:
        await harness.add("i-1", script)
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"502"


async def test_an_answer_to_another_request_is_skipped():
    """A target sends an answer to an earlier request before the answer to
    the current one.  The request ids distinguish them.
    """
    stray = stubs.make_answer(b"wrong", stubs.OK + b"x-request-id: r0\r\n")
    right = stubs.make_answer(b"right", stubs.OK + b"x-request-id: r1\r\n")
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.answer_with(stray + right))
        answer = await harness.ask("/post/1", method="POST", body=b"bid")
        assert answer.endswith(b"right")


async def test_bytes_after_an_answer_reach_no_caller():
    """A target sends a second answer after the first.  The connection is
    not reused, so the next request gets its own answer.
    """
    double = stubs.make_answer(b"one") + stubs.make_answer(b"two")
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.answer_with(double))
        for _ in range(3):
            assert (await harness.ask("/get/1")).endswith(b"one")


async def test_the_deadline_ends_a_request_at_once():
    """A target does not answer.  The caller gets an error as soon as the
    deadline passes, and the error does not state that the bid did not run.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent)
        began = trio.current_time()
        answer = await harness.ask(
            "/post/1", method="POST", body=b"bid", x_deadline_ms="400"
        )
        assert answer.split(b" ")[1] == b"504"
        assert trio.current_time() - began < 0.7


async def test_a_disconnect_of_the_caller_stops_the_work():
    """The caller closes its connection while the target works.  The
    connection to the target is closed at once, so that the work stops.
    """
    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", stubs.stay_silent)
        stream, _ = await harness.connect()
        await stream.send_all(stubs.make_request("/post/1", "POST", b"bid"))
        while not stub.requests:
            await trio.sleep(0.01)
        await stream.aclose()
        with trio.fail_after(0.5):
            while harness.state.open_requests:
                await trio.sleep(0.01)
        assert "caller-left" in harness.list_kinds()


async def test_a_slow_target_is_hedged_within_the_budget():
    """The first of two targets hangs.  After a part of the latency objective
    the request is also sent to the other one, which answers in time.
    """
    async with stubs.open_harness() as harness:
        slow = await harness.add("i-1", stubs.stay_silent)
        await harness.add(
            "i-2", stubs.answer_with(stubs.make_answer(b"ok"), after=0.03)
        )
        for _ in range(4):
            assert (await harness.ask("/get/1")).endswith(b"ok")
        assert slow.requests
