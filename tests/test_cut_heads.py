"""Targets, engines and the store stop inside their answer's head.

Whoever reads it must neither take it for an answer nor report that the call
did not run.
"""

import httpcore
import pytest

from magnoliacove import errors
from magnoliacove.platform.client import HttpObjectApi
from magnoliacove.standins.callers import Caller
from magnoliacove.targets import EngineError
from magnoliacove.targets import HttpEngine
from magnoliacove.targets import HttpPlainTarget
from magnoliacove.targets import StepInput
from soak.callers import Callers
from soak.targets import Ledger
from tests.cut_heads import CUT_HEADS
from tests.cut_heads import LINE_ENDS
from tests.gateway import stubs

_each_cut = pytest.mark.parametrize("cut", CUT_HEADS)
_each_line_end = pytest.mark.parametrize("cut", LINE_ENDS)
_STEP = StepInput("s", 0, 0, 4, b"prompt")
_ENGINE_CALLS = {
    "steps": lambda engine: engine.run_steps([_STEP]),
    "cancel": lambda engine: engine.cancel(["s"]),
    "export": lambda engine: engine.export_cache("s"),
    "import": lambda engine: engine.import_cache("s", 1, b"cache"),
    "load": lambda engine: engine.read_load(),
    "order": lambda engine: engine.give_order(1, "load", "4"),
}
_STORE_CALLS = {
    "get": lambda api: api.get("kind/n"),
    "list": lambda api: api.list_records("kind/"),
    "create": lambda api: api.put("kind/n", b"1", 0),
    "put": lambda api: api.put("kind/n", b"1"),
    "put at a version": lambda api: api.put("kind/n", b"1", 5),
    "delete": lambda api: api.delete("kind/n"),
    "watch": lambda api: api.watch("kind/", 5, 0.5),
}


@_each_cut
async def test_a_plain_target_gives_no_answer(cut):
    """Guards against an entry's 200 for an answer that never began."""
    script = stubs.stop_inside(CUT_HEADS[cut])
    async with stubs.open_target(script) as url:
        with pytest.raises(errors.RequestError) as caught:
            call = HttpPlainTarget(url).call("POST", "/", [], b"bid", 5.0)
            async with call:
                pass
        assert caught.value.status == 502
        assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


@_each_cut
@pytest.mark.parametrize("call", _ENGINE_CALLS)
async def test_an_engine_has_done_nothing_for_sure(call, cut):
    """Guards against steps, caches and orders that count as done."""
    script = stubs.stop_inside(CUT_HEADS[cut])
    async with stubs.open_target(script) as url:
        with pytest.raises(EngineError) as caught:
            await _ENGINE_CALLS[call](HttpEngine(url))
        assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


@_each_cut
@pytest.mark.parametrize("call", _STORE_CALLS)
async def test_the_store_has_said_nothing(call, cut):
    """Guards against writes that count as stored, and empty lists."""
    script = stubs.stop_inside(CUT_HEADS[cut])
    async with stubs.open_target(script) as url:
        api = HttpObjectApi(url, timeout=1.0)
        with pytest.raises(errors.PlatformError) as caught:
            await _STORE_CALLS[call](api)
        assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


@_each_line_end
async def test_the_demonstrations_caller_gets_no_answer(cut):
    """Guards against a demonstration that shows a part as an answer."""
    script = stubs.stop_inside(CUT_HEADS[cut])
    async with stubs.open_target(script) as url:
        with pytest.raises(httpcore.RemoteProtocolError):
            await Caller(url).request("GET", "/")


class _Gateway:
    """What the soak's callers know of a gateway process."""

    name = "g-0"

    def __init__(self, url):
        self.host, _, port = url.removeprefix("http://").rpartition(":")
        self.callers_port = int(port)


@_each_cut
async def test_the_soaks_callers_get_no_answer(cut):
    """Guards against a soak that passes over cut heads of gateways."""
    script = stubs.stop_inside(CUT_HEADS[cut])
    async with stubs.open_target(script) as url:
        callers = Callers([], Ledger(), 1)
        reply = await callers.send_request(_Gateway(url), "once")
        assert (reply.status, reply.complete) == (0, False)
