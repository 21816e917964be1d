"""What the operators' client tells of a call that gets no answer."""

import socket

import pytest
import trio

from magnoliacove import errors
from magnoliacove.operators import client as clients
from tests.cut_heads import CUT_HEADS
from tests.cut_heads import LINE_ENDS
from tests.gateway import stubs

_CALLS = {
    "plan": lambda client: client.plan([]),
    "read": lambda client: client.read("target"),
    "status": lambda client: client.get_status(),
    "order": lambda client: client.give_order("llm-0-0", "load", "4"),
}

_each_call = pytest.mark.parametrize("call", _CALLS)


async def _read_outcome(url, call):
    """Return the outcome of a call that gets no answer."""
    client = clients.OperatorsClient(url, "key")
    with pytest.raises(errors.PlatformError) as caught:
        await trio.to_thread.run_sync(_CALLS[call], client)
    return caught.value.outcome


@pytest.mark.parametrize("cut", LINE_ENDS)
@_each_call
async def test_a_call_whose_answers_head_is_cut_may_have_run(call, cut):
    """Guards against orders that an operator repeats as not executed."""
    script = stubs.stop_inside(CUT_HEADS[cut])
    async with stubs.open_target(script) as url:
        outcome = await _read_outcome(url, call)
    assert outcome is errors.Outcome.MAY_HAVE_RUN


@_each_call
async def test_a_call_whose_connection_is_reset_may_have_run(call):
    """Guards against the same where nothing of the answer arrives."""
    async with stubs.open_target(stubs.reset) as url:
        outcome = await _read_outcome(url, call)
    assert outcome is errors.Outcome.MAY_HAVE_RUN


@_each_call
async def test_a_call_that_is_not_connected_has_not_run(call):
    """Guards against operators that look for what was never sent."""
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{closed.getsockname()[1]}"
        outcome = await _read_outcome(url, call)
    assert outcome is errors.Outcome.NOT_RUN
