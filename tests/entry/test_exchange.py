"""Bodies of callers of an entry, of which many may come at once."""

import contextlib

import pytest
import trio

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove.entry.exchange import Exchange
from magnoliacove.limits.caller_memory import CallerMemory
from magnoliacove.limits.caller_memory import Content
from magnoliacove.limits.memory_limits import MemoryLimits

_MB = 1024 * 1024


async def test_many_bodies_together_stay_within_the_memory(autojump_clock):
    """Guards against a limit for each body and none for all of them."""
    memory, held = CallerMemory(MemoryLimits(16 * _MB, 100)), []
    refused = []

    async def visit():
        with contextlib.ExitStack() as stack:
            allocation = stack.enter_context(memory.allocate(Content.REQUESTS))
            exchange = Exchange({}, _receive_whole, None, b"", allocation)
            try:
                held.append(await exchange.read_body())
            except errors.RequestError as error:
                refused.append(error)
                return
            await trio.sleep(20.0)

    async with trio.open_nursery() as nursery:
        for _ in range(60):
            nursery.start_soon(visit)
    assert 0 < sum(map(len, held)) <= 16 * _MB
    assert {error.code for error in refused} == {"no_memory"}
    assert {error.outcome for error in refused} == {errors.Outcome.NOT_RUN}
    assert memory.used == 0


async def test_a_body_without_end_is_refused():
    with CallerMemory().allocate(Content.REQUESTS) as allocation:
        exchange = Exchange({}, _receive_part, None, b"", allocation)
        with pytest.raises(errors.RequestError) as caught:
            await exchange.read_body()
    assert caught.value.status == 413


async def _receive_whole():
    body = b"x" * defaults.MAX_REQUEST_BODY
    return {"type": "http.request", "body": body, "more_body": False}


async def _receive_part():
    return {"type": "http.request", "body": b"x" * 65536, "more_body": True}
