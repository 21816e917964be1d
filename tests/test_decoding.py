"""Odd values of other writers end no process that reads them.

An entry of another writer is nested very deeply, has a number that is too
large or a port out of range.  Processes that read the list end again and
again, or stop following it, and the requests that they serve end with them.
"""

import contextlib
import json
import zlib

import httpcore
import orjson
import pytest
import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.configuration.document import Change
from magnoliacove.configuration.document import Document
from magnoliacove.directory import instances
from magnoliacove.gateway import quarantine_records
from magnoliacove.peers.snapshots import PeerSnapshot
from magnoliacove.platform import engines
from magnoliacove.platform import routes
from magnoliacove.platform import servers
from magnoliacove.platform.client import HttpObjectApi
from magnoliacove.standins import fleet as fleets
from magnoliacove.targets import EngineError
from magnoliacove.targets import HttpEngine
from tests import fakes
from tests import odd_values
from tests.gateway import stubs
from tests.platform import samples

_REPORT = json.loads(
    '{"layers": {"from": 0, "to": 8}, "busy": false, "sequence": 1, "born": 5,'
    ' "in_flight": 1, "queued": 1, "kv_used": 1, "kv_total": 2, "pace": 1,'
    ' "stalled": [{"id": "a", "address": "10.0.0.5:7000"}]}'
)
_QUARANTINE = {"round": 1, "crashes": 1, "seconds": 5.0, "until_ms": 1e12}
_SNAPSHOT = json.loads(
    '{"configuration": "{}", "revision": 5, "targets": [{"name": "i-1",'
    ' "service": "llm", "address": {"host": "10.0.0.5", "port": 7000},'
    ' "data_centre": "a", "layers": {"first": 0, "end": 8}}]}'
)
_CHANGE = json.loads(
    '{"version": 1, "previous_digest": "", "change_id": "c", "author": "ann",'
    ' "at": 1, "operations": [{"kind": "service", "put": {"name": "desk",'
    ' "form": "plain"}}]}'
)
_DOCUMENT = json.loads(
    '{"version": 1, "digest": "", "change_ids": [["c", 1]], "items":'
    ' [["service", {"name": "desk", "form": "plain"}, 1, 1]]}'
)
# Answers of an engine, to each kind of call.
_ANSWERS = (
    {"outputs": [["s", 1, "", "token", False, ""]]},
    {"next_step": 1, "data": ""},
    {"running": 1, "queued": 0, "cache_used": 1, "cache_limit": 2},
    {"error": "stale"},
)


def _make_record(value):
    return platform.Record("servers/a1b2c3d4e5f60718", 5, value)


_DECODERS = {
    "a report": (engines.read_report, _REPORT),
    "a server": (
        lambda data: servers.read_server(_make_record(data)),
        samples.ENTRY,
    ),
    "routes": (
        lambda data: routes.read_routes(orjson.loads(data)),
        samples.CONFIGURATION,
    ),
    "a quarantine": (
        lambda data: quarantine_records.read_record(_make_record(data)),
        _QUARANTINE,
    ),
    "a peer's snapshot": (PeerSnapshot.decode, _SNAPSHOT),
    "a change": (Change.from_bytes, _CHANGE),
    "a document": (
        lambda data: Document.from_bytes(zlib.compress(data)),
        _DOCUMENT,
    ),
}
_each_odd_value = pytest.mark.parametrize("odd", odd_values.VALUES)


@_each_odd_value
@pytest.mark.parametrize("kind", _DECODERS)
async def test_an_odd_value_is_refused_or_read(kind, odd, autojump_clock):
    """Guards against decoders that raise an undocumented error."""
    decode, values = _DECODERS[kind]
    for data in odd_values.list_variants(values, odd_values.VALUES[odd]):
        with contextlib.suppress(errors.ProtocolError, orjson.JSONDecodeError):
            decode(data)


@_each_odd_value
async def test_an_odd_entry_ends_no_process(odd, autojump_clock):
    """Guards against entries and agents that end for another's entry."""
    async with fakes.open_memory_fleet(replicas=1) as fleet:
        listing = await fleet.store.list_records(instances.PREFIX)
        entry = json.loads(listing.records[0].value)
        variants = odd_values.list_variants(entry, odd_values.VALUES[odd])
        for number, data in enumerate(variants):
            await fleet.store.put(f"{instances.PREFIX}odd-{number}", data)
            await trio.sleep(0.1)
        await trio.sleep(5.0)
        path = f"/services/{fleets.PLAIN}/lots"
        answer = await fakes.ask(fleet, "POST", path, b"lot")
        assert answer.status == 200


async def _call_engine(url):
    engine = HttpEngine(url)
    calls = (
        lambda: engine.run_steps([]),
        lambda: engine.export_cache("s"),
        engine.read_load,
        lambda: engine.give_order(1, "load", "0-8"),
    )
    for call in calls:
        with contextlib.suppress(EngineError, errors.StaleOrderError):
            await call()


@_each_odd_value
@pytest.mark.parametrize("status", [b"200", b"409"])
async def test_an_odd_answer_of_an_engine_ends_no_agent(status, odd):
    """Guards against an agent that ends for an answer that it cannot read."""
    answers = [
        data
        for values in _ANSWERS
        for data in odd_values.list_variants(values, odd_values.VALUES[odd])
    ]
    current = [b""]

    async def script(_, stream):
        head = stubs.OK.replace(b"200", status)
        await stream.send_all(stubs.make_answer(current[0], head))

    async with stubs.open_target(script) as url:
        for answer in answers:
            current[0] = answer
            await _call_engine(url)


async def test_a_long_keep_alive_time_ends_no_request():
    """Guards against a header with a number that Python does not convert."""
    head = stubs.OK + b"keep-alive: timeout=" + b"9" * 5000 + b"\r\n"
    async with stubs.open_harness() as harness:
        script = stubs.answer_with(stubs.make_answer(b"whole", head))
        await harness.add("d-1", script)
        answer = await harness.ask("/post/1", method="POST")
        assert answer.endswith(b"\r\n\r\nwhole")


async def test_a_long_era_of_the_store_ends_no_process(monkeypatch):
    """Guards against the same in the store's answers."""

    async def answer(*_, **options):
        return httpcore.Response(
            200,
            headers=[(b"store-era", b"9" * 5000)],
            content=b'{"metadata": {"name": "n", "revision": 5}, "spec": 1}',
        )

    api = HttpObjectApi("http://store:1")
    monkeypatch.setattr(api._pool, "handle_async_request", answer)
    record = await api.get("kind/n")
    assert record.value == b"1"
