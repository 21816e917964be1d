"""Faulty targets send answers with heads that are not valid.

A caller would receive them as answers, with a line that its own parser rejects
or with a body that is not the target's.
"""

import pytest

from magnoliacove import answer_heads
from magnoliacove import errors
from magnoliacove.targets import HttpPlainTarget
from tests import broken_heads
from tests.gateway import stubs

_each_head = pytest.mark.parametrize("head", broken_heads.HEADS)


@_each_head
async def test_a_gateway_forwards_no_broken_head(head):
    """Guards against an invalid answer that is forwarded to a caller."""
    script = stubs.answer_with(broken_heads.HEADS[head])
    async with stubs.open_harness() as harness:
        await harness.add("d-1", script)
        answer = await harness.ask("/post/1", method="POST")
        assert answer.split(b" ")[1] == b"502"


@_each_head
async def test_a_broken_head_is_replaced_by_another_targets_answer(head):
    """Guards against giving up a request that another target answers."""
    script = stubs.answer_with(broken_heads.HEADS[head])
    sound = stubs.answer_with(stubs.make_answer(b"whole"))
    async with stubs.open_harness() as harness:
        await harness.add("d-1", script)
        await harness.add("d-2", sound)
        for _ in range(2):
            answer = await harness.ask("/get/1")
            assert answer.endswith(b"\r\n\r\nwhole")


@_each_head
async def test_an_agent_forwards_no_broken_head(head):
    """Guards against the same at our own interface."""
    script = stubs.answer_with(broken_heads.HEADS[head])
    async with stubs.open_target(script) as url:
        target = HttpPlainTarget(url)
        with pytest.raises(errors.RequestError) as caught:
            async with target.call("POST", "/", [], b"", 1.0) as answer:
                pytest.fail(f"the head was accepted: {answer}")
        assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("status", [200, 418, 599])
def test_heads_with_text_in_other_languages_are_valid(status):
    """Guards against refusing values that any caller reads."""
    headers = [(b"x", "é\tü".encode()), (b"y", b"")]
    assert answer_heads.check_head(status, b"1.0", headers) is None
