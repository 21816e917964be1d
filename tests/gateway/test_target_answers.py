"""Targets run requests and fail them with statuses that mean "not run".

Callers take 408, 421, 429 and 503 as a promise that the request has not run,
and send it again, also one that may run only once.  Targets promise it by a
header, or by 421; without these, the request may have run.
"""

import pytest

from tests.gateway import stubs

_PATHS = ["/once/1", "/stream/1", "/post/1", "/get/1"]
_STATUS = slice(9, 12)
_FAILURES = [b"408", b"429", b"503"]
_MISDIRECTED = b"HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n"

_each_kind = pytest.mark.parametrize("path", _PATHS)
_each_status = pytest.mark.parametrize("status", _FAILURES)
_each_refusal = pytest.mark.parametrize(
    "refusal", [stubs.NOT_RUN, _MISDIRECTED]
)


def _make_failure(status, more=b""):
    """Return the answer of a target that has run the request."""
    head = b"HTTP/1.1 " + status + b" X\r\nx-response-stamp: s\r\n" + more
    return stubs.make_answer(b"error", head)


async def _add_targets(harness, *answers):
    """Add targets of each service that give the answers in this order.

    There are as many of each as answers; the last answer is repeated.
    """
    left = list(answers)

    async def script(received, stream):
        if received.target == "/v1/report":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        answer = left.pop(0) if len(left) > 1 else left[0]
        await stream.send_all(answer)

    for service, layers in (("llm", (0, 80)), ("desk", None)):
        for number in range(len(answers)):
            name = f"{service}-{number}"
            await harness.add(name, script, service=service, layers=layers)


async def _ask(harness, path):
    return await harness.ask(
        path, method="POST", body=b"bid", **stubs.STREAM_HEADERS
    )


@_each_status
@_each_kind
async def test_a_failed_run_is_not_answered_as_not_run(path, status):
    """Guards against callers that repeat what has run once."""
    async with stubs.open_harness() as harness:
        await _add_targets(harness, _make_failure(status))
        answer = await _ask(harness, path)
        assert answer[_STATUS] == b"502"
        assert b"x-response-stamp" not in answer.lower()
        assert b"retry-after" not in answer.lower()


@_each_status
@_each_kind
async def test_a_failed_run_after_a_refusal_is_not_answered_as_not_run(
    path, status
):
    """Guards against a refusal that stands for the run that came after it."""
    async with stubs.open_harness() as harness:
        await _add_targets(harness, stubs.NOT_RUN, _make_failure(status))
        answer = await _ask(harness, path)
        assert answer[_STATUS] == b"502"


@_each_refusal
@_each_status
@_each_kind
async def test_a_refusal_after_a_failed_run_is_not_answered_as_not_run(
    path, status, refusal
):
    """Guards against a refusal that stands for the run that came before."""
    async with stubs.open_harness() as harness:
        await _add_targets(harness, _make_failure(status), refusal)
        answer = await _ask(harness, path)
        assert answer[_STATUS] == b"502"


@_each_refusal
@_each_kind
async def test_what_no_target_ran_is_answered_as_not_run(path, refusal):
    """Guards against callers that give up what they may send again."""
    async with stubs.open_harness() as harness:
        await _add_targets(harness, refusal)
        answer = await _ask(harness, path)
        assert answer[_STATUS] == b"503"
        assert b"retry-after" in answer.lower()


@pytest.mark.parametrize("status", [b"400", b"409", b"500", b"504"])
@pytest.mark.parametrize("path", ["/once/1", "/post/1", "/get/1"])
async def test_a_failure_that_promises_nothing_is_forwarded(path, status):
    """Guards against callers that don't learn what their target says."""
    async with stubs.open_harness() as harness:
        more = b"retry-after: 2\r\n"
        await _add_targets(harness, _make_failure(status, more))
        answer = await _ask(harness, path)
        assert answer[_STATUS] == status
        assert b"x-response-stamp: s" in answer.lower()
        assert b"retry-after: 2" in answer.lower()
        assert answer.endswith(b"error")


async def test_the_status_of_a_failed_stream_is_logged():
    """Guards against lines without the status that a stream's caller got."""
    async with stubs.open_harness() as harness:
        await _add_targets(harness, _make_failure(b"500"))
        await _ask(harness, "/once/1")
        [answered] = [
            event
            for event in harness.recorder.list_events()
            if event.kind == "request-answered"
        ]
        assert answered.detail["status"] == 500
