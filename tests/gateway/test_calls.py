"""Requests to plain services: repeated only where that is right."""

import pytest
import trio

from tests.gateway import stubs


async def test_an_answer_passes_unchanged():
    async with stubs.open_stage() as stage:
        stub = await stage.add(
            "i-1",
            stubs.answer_with(
                stubs.make_answer(b"{}", stubs.OK + b"x-own: 1\r\n")
            ),
        )
        answer = await stage.ask("/get/1?q=%2F")
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
async def test_what_is_not_allowed_reaches_no_target(path, headers, status):
    async with stubs.open_stage() as stage:
        stub = await stage.add("i-1", stubs.answer_with(stubs.NOT_RUN))
        answer = await stage.ask(path, **headers)
        assert answer.split(b" ")[1] == status
        assert not stub.requests


async def test_no_configuration_yet_is_no_denial():
    """An entry that knows no configuration yet must not answer 404 or 401,
    which callers take for final; it says that nothing ran and when to
    return.
    """
    async with stubs.open_stage() as stage:
        stage.state.routes = None
        answer = await stage.ask("/get/1")
        assert answer.split(b" ")[1] == b"503"
        assert b"retry-after" in answer.lower()


async def test_a_caller_waits_for_the_first_configuration():
    """A process has just started and callers are there already.  Its
    configuration comes a moment later; a caller that was sent away would
    come back after a second, and only once.
    """
    async with stubs.open_stage() as stage:
        await stage.add("i-1", stubs.answer_with(stubs.make_answer(b"ok")))
        table, stage.state.routes = stage.state.routes, None

        async def configure():
            await trio.sleep(0.2)
            stage.state.apply_routes(table, "a test")

        stage.nursery.start_soon(configure)
        assert (await stage.ask("/get/1")).endswith(b"ok")


async def test_a_caller_waits_for_the_first_list_of_targets():
    """A process has just started and knows the routes, but no targets yet;
    the list follows a moment later.  Refusing the caller for want of a
    target would be the second refusal of many, which is final for them.
    """
    async with stubs.open_stage() as stage:

        async def list_target():
            await trio.sleep(0.2)
            answer = stubs.make_answer(b"ok")
            await stage.add("i-1", stubs.answer_with(answer))

        stage.nursery.start_soon(list_target)
        assert (await stage.ask("/get/1")).endswith(b"ok")


async def test_an_idempotent_request_runs_elsewhere_after_a_reset():
    """The first target runs the request and its answer is lost.  Another
    one is asked, and the caller sees one whole answer.
    """
    async with stubs.open_stage() as stage:
        first = await stage.add("i-1", stubs.reset)
        answer = await stage.ask("/get/1")
        assert answer.split(b" ")[1] == b"502"
        await stage.add("i-2", stubs.answer_with(stubs.make_answer(b"ok")))
        answer = await stage.ask("/get/1")
        assert answer.endswith(b"ok")
        assert first.requests


async def test_failed_runs_go_back_to_targets_that_ran_the_request():
    """Both targets that the route allows fail the request, as each does
    with a part of all requests.  A third one may not run it, so the caller
    used to get the failure; a target that ran it before may run it again.
    """
    failed = b"HTTP/1.1 500 Oops\r\nx-response-stamp: s\r\n"
    runs = []

    async def fail_twice(received, stream):
        runs.append(received)
        head = failed if len(runs) <= 2 else stubs.OK
        await stream.send_all(stubs.make_answer(b"ok", head))

    async with stubs.open_stage() as stage:
        for name in ("i-1", "i-2", "i-3"):
            await stage.add(name, fail_twice)
        answer = await stage.ask("/get/1")
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert len(runs) == 3
        assert len({run.headers["x-target-instance"] for run in runs}) == 2
        runs.clear()
        answer = await stage.ask("/post/1", method="POST", body=b"bid")
        assert answer.startswith(b"HTTP/1.1 500")
        assert len(runs) == 1


async def test_a_request_that_may_not_be_repeated_runs_once():
    """The target resets after it got a bid.  It may have run, so no other
    target gets it, and the answer does not say that it did not run.
    """
    async with stubs.open_stage() as stage:
        for name in ("i-1", "i-2", "i-3"):
            await stage.add(name, stubs.reset)
        answer = await stage.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"502"
        kinds = stage.list_kinds()
        assert kinds.count("call-sent") == 1


async def test_a_refusal_that_proves_nothing_ran_goes_elsewhere():
    async with stubs.open_stage() as stage:
        full = await stage.add("i-1", stubs.answer_with(stubs.NOT_RUN))
        free = await stage.add(
            "i-2", stubs.answer_with(stubs.make_answer(b"done"))
        )
        for _ in range(4):
            answer = await stage.ask("/post/1", method="POST", body=b"bid")
            assert answer.endswith(b"done")
        assert len(free.requests) == 4
        assert len(full.requests) <= 4


async def test_all_refuse():
    """Every target says that it did not run the request: so does the
    answer, with a time to come back.
    """
    async with stubs.open_stage() as stage:
        await stage.add("i-1", stubs.answer_with(stubs.NOT_RUN))
        answer = await stage.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"503"
        assert b"retry-after" in answer.lower()


@pytest.mark.parametrize("status", [b"503 Busy", b"429 Many", b"408 Late"])
async def test_a_promise_without_proof_is_not_passed_on(status):
    """A target answers 503 but does not say that the request did not run.
    Callers would take it for that and send the bid again.
    """
    bare = b"HTTP/1.1 " + status + b"\r\nx-response-stamp: s\r\n"
    async with stubs.open_stage() as stage:
        await stage.add("i-1", stubs.answer_with(stubs.make_answer(b"", bare)))
        answer = await stage.ask("/post/1", method="POST", body=b"bid")
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
async def test_what_is_no_whole_answer_is_never_a_success(data):
    """Garbage, half of an answer, one that no target signed, a body that
    is not the target's: none of it reaches the caller as a success.
    """

    async def script(_, stream):
        await stream.send_all(data)
        await stream.aclose()

    async with stubs.open_stage() as stage:
        await stage.add("i-1", script)
        answer = await stage.ask("/post/1", method="POST", body=b"bid")
        assert answer.split(b" ")[1] == b"502"


async def test_an_answer_to_another_request_is_skipped():
    """A target sends an answer to an earlier request where the present
    one's is due.  The id tells, and the right one follows.
    """
    stray = stubs.make_answer(b"wrong", stubs.OK + b"x-request-id: r0\r\n")
    right = stubs.make_answer(b"right", stubs.OK + b"x-request-id: r1\r\n")
    async with stubs.open_stage() as stage:
        await stage.add("i-1", stubs.answer_with(stray + right))
        answer = await stage.ask("/post/1", method="POST", body=b"bid")
        assert answer.endswith(b"right")


async def test_bytes_after_an_answer_reach_nobody():
    """A target adds a second answer behind the first.  The connection is
    not used again, so the next request gets its own answer.
    """
    double = stubs.make_answer(b"one") + stubs.make_answer(b"two")
    async with stubs.open_stage() as stage:
        await stage.add("i-1", stubs.answer_with(double))
        for _ in range(3):
            assert (await stage.ask("/get/1")).endswith(b"one")


async def test_the_route_s_time_ends_at_once():
    """A target stays silent.  When the route's time is over the caller is
    told at once, and not that its bid did not run.
    """
    async with stubs.open_stage() as stage:
        await stage.add("i-1", stubs.stay_silent)
        began = trio.current_time()
        answer = await stage.ask(
            "/post/1", method="POST", body=b"bid", x_deadline_ms="400"
        )
        assert answer.split(b" ")[1] == b"504"
        assert trio.current_time() - began < 0.7


async def test_a_caller_that_leaves_ends_the_work():
    """The caller closes its connection while the target works.  The
    target's connection is closed at once, so the work ends.
    """
    async with stubs.open_stage() as stage:
        stub = await stage.add("i-1", stubs.stay_silent)
        stream, _ = await stage.connect()
        await stream.send_all(stubs.make_request("/post/1", "POST", b"bid"))
        while not stub.requests:
            await trio.sleep(0.01)
        await stream.aclose()
        with trio.fail_after(0.5):
            while stage.state.open_requests:
                await trio.sleep(0.01)
        assert "caller-left" in stage.list_kinds()


async def test_a_slow_target_is_hedged_within_the_budget():
    """The first of two targets hangs.  After a part of the objective the
    other one is asked; its answer comes in time.
    """
    async with stubs.open_stage() as stage:
        slow = await stage.add("i-1", stubs.stay_silent)
        await stage.add(
            "i-2", stubs.answer_with(stubs.make_answer(b"ok"), after=0.03)
        )
        for _ in range(4):
            assert (await stage.ask("/get/1")).endswith(b"ok")
        assert slow.requests
