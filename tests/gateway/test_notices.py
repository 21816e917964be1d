"""Limits that targets report reach the gateway's state and log."""

import json

import trio

from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.limits.grants import Grant
from tests.gateway import stubs

_HEADERS = {"x_token_usage": "100,20", "x_deadline_ms": "20000"}
_LIMITED = b"server-limit: 50\r\n"


def _list_notices(harness):
    return [
        event
        for event in harness.recorder.list_events()
        if event.kind == "target-notice"
    ]


async def test_a_limit_and_its_end_are_each_logged_once():
    """Without the log lines operators cannot see whether a gateway received
    a limit.
    """
    heads = [stubs.OK + _LIMITED, stubs.OK + _LIMITED, stubs.OK]

    async def script(_, stream):
        await stream.send_all(stubs.make_answer(b"ok", heads.pop(0)))

    async with stubs.open_harness() as harness:
        await harness.add("i-1", script)
        harness.state.grants.take("gateway", [Grant("i-1", "gateway", 50.0)])
        for _ in range(3):
            harness.state.grants.renew({"i-1": "gateway"})
            await trio.sleep(0.05)
            await harness.ask("/get/1")
        notices = _list_notices(harness)
        assert [event.detail["rate_limit"] for event in notices] == [
            50.0,
            None,
        ]
        assert {event.target for event in notices} == {"i-1"}


async def test_limits_in_reports_are_recorded_like_those_in_answers():
    async def script(received, stream):
        head = stubs.OK + (
            _LIMITED if received.target == "/v1/report" else b""
        )
        await stream.send_all(stubs.make_answer(json.dumps({}).encode(), head))

    async with stubs.open_harness() as harness:
        await harness.add("i-1", script, layers=(0, 80))
        target = harness.state.targets.find("i-1")
        await harness.calls.read_report(target)
        [notice] = _list_notices(harness)
        assert notice.detail["source"] == "/v1/report"


async def test_only_an_answer_of_the_target_itself_ends_its_limit():
    """The answer to a health check may lack the limit that answers to
    requests report, and a 421 may come from another target that has the
    address by now.  Neither may end the limit.
    """
    not_here = (
        b"HTTP/1.1 421 Misdirected Request\r\nx-not-executed: 1\r\n"
        b"content-length: 0\r\n\r\n"
    )
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.answer_with(not_here), layers=(0, 80))
        book = harness.state.backpressure
        book.take("i-1", TargetNotice(rate_limit=50.0), "a request")
        target = harness.state.targets.find("i-1")
        await harness.calls.is_leaving(target, "/health")
        harness.state.grants.take("gateway", [Grant("i-1", "gateway", 50.0)])
        harness.state.grants.renew({"i-1": "gateway"})
        await trio.sleep(0.05)
        await harness.ask("/stream/1", method="POST", **_HEADERS)
        assert book.read_limit("i-1") == 50.0


def _say(value, *, status=b"200 OK"):
    """Return an answer that says whether its target leaves."""
    return (
        b"HTTP/1.1 " + status + b"\r\nserver-leaving: " + value + b"\r\n"
        b"content-length: 0\r\n\r\n"
    )


async def test_only_the_target_itself_takes_back_that_it_leaves():
    """A target that announced that it leaves was never used again, whatever
    it said.  An answer without the header says nothing, and a 421 may come
    from another target that has the address by now.
    """
    answers = [
        _say(b"1"),
        stubs.make_answer(b"ok"),
        _say(b"0", status=b"421 Misdirected Request"),
        _say(b"0"),
    ]

    async def script(_, stream):
        await stream.send_all(answers.pop(0))

    async with stubs.open_harness() as harness:
        await harness.add("i-1", script, layers=(0, 80))
        target = harness.state.targets.find("i-1")
        beliefs = []
        for _ in range(4):
            await harness.calls.is_leaving(target, "/health")
            beliefs.append(
                (
                    harness.state.permits.is_leaving("i-1"),
                    not harness.state.health.is_usable("i-1"),
                )
            )
        assert beliefs == [(True, True)] * 3 + [(False, False)]


async def test_a_misdirected_answer_marks_no_target_as_leaving_for_ever():
    """Guards against a sound target that is never used again.

    Another target has got the address and answers 421 for the one that was
    asked; that the other one leaves says little of this one.
    """
    head = b"HTTP/1.1 421 Misdirected\r\nserver-leaving: 1\r\n"
    async with stubs.open_harness() as harness:
        await harness.add(
            "i-1", stubs.answer_with(stubs.make_answer(b"", head))
        )
        await harness.ask("/get/1")
        suspicion = harness.state.health.find("i-1")
        assert suspicion is None or suspicion.until < float("inf")
