"""Values of other writers that a decoder refuses take nothing else along."""

import json

import pytest
import trio

from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import platform
from magnoliacove import timeline
from magnoliacove.directory.listed import LayerRange
from magnoliacove.gateway.store import StoreFollower
from magnoliacove.platform import engines
from magnoliacove.platform import headers
from magnoliacove.platform import servers
from magnoliacove.standins import object_api
from tests.gateway import stubs
from tests.platform import memory_network
from tests.platform import samples

_ENTRY = samples.ENTRY
# Values as they stand in the store's answers.
_UNDECODABLE = {
    "half a character": rb'"moved \ud83d"',
    "no number": b"NaN",
    "infinite": b"-Infinity",
    "beyond a double": b"1e999",
    "nested too deeply to decode": b"[" * 2000 + b"]" * 2000,
    "nested too deeply to encode": b"[" * 600 + b"]" * 600,
    "bytes that are no text": b'"\xff\xfe"',
    "a control character": b'"a\x00b"',
    "brackets in half a text": rb'"}]{[\ud83d\"}]"',
    "a word": b"undefined",
    "a huge number": b"9" * 5000,
}
_MARK = "@undecodable@"


def _corrupt(app, value):
    """Return an application whose answers contain an undecodable value."""

    async def serve(scope, receive, send):
        async def replace(message):
            if "body" in message:
                body = message["body"].replace(f'"{_MARK}"'.encode(), value)
                message = {**message, "body": body}
            await send(message)

        await app(scope, receive, replace)

    return serve


async def _start(nursery, value):
    store = object_api.ObjectStore()
    network = memory_network.MemoryNetwork(
        nursery, _corrupt(object_api.make_app(store), value)
    )
    api = platform.HttpObjectApi("http://store:1", timeout=1.0)
    memory_network.connect(api, network)
    harness = stubs.GatewayHarness(nursery)
    harness.state.routes = None
    harness.state.seen_traffic = True
    follower = StoreFollower(harness.state, api)
    return store, api, harness.state, follower


async def _write(store, name, value):
    await store.put(name, json.dumps(value).encode())


def _list_names(state):
    return sorted(t.name for t in state.targets.list_service("llm"))


@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("value", _UNDECODABLE.values(), ids=_UNDECODABLE)
async def test_an_undecodable_entry_hides_no_other(
    autojump_clock, nursery, value, listed
):
    """Another writer's entry has a value that no decoder takes.  If the whole
    answer is lost for it, servers that leave get requests, new ones get none,
    and in the end nothing is served.
    """
    store, _, state, follower = await _start(nursery, value)
    await _write(store, "config/main", samples.CONFIGURATION)
    for name in ("i-1", "i-3"):
        await _write(store, f"servers/{name}", _ENTRY)
    if not listed:
        nursery.start_soon(follower.run)
        await trio.sleep(1.0)
    await _write(store, "servers/a-note", {"address": 7, "note": _MARK})
    await _write(store, "servers/i-2", {**_ENTRY, "note": _MARK})
    if listed:
        nursery.start_soon(follower.run)
    await trio.sleep(2.0)
    assert _list_names(state) == ["i-1", "i-3"]
    await _write(store, "servers/i-1", {**_ENTRY, "state": "draining"})
    await _write(store, "servers/i-4", _ENTRY)
    await trio.sleep(1.0)
    assert _list_names(state) == ["i-3", "i-4"]
    assert follower.contact.reachable
    reported = [
        event.target
        for event in state.recorder.list_events()
        if event.kind == "target-unreadable"
    ]
    assert sorted(reported) == ["a-note", "i-2"]
    await _write(store, "servers/i-2", _ENTRY)
    await trio.sleep(1.0)
    assert _list_names(state) == ["i-2", "i-3", "i-4"]


@pytest.mark.parametrize("value", _UNDECODABLE.values(), ids=_UNDECODABLE)
async def test_an_entry_that_becomes_undecodable_names_no_engine(
    autojump_clock, nursery, value
):
    store, _, state, follower = await _start(nursery, value)
    nursery.start_soon(follower.run)
    for name in ("i-1", "i-2"):
        await _write(store, f"servers/{name}", _ENTRY)
    await trio.sleep(1.0)
    await _write(store, "servers/i-1", {**_ENTRY, "note": _MARK})
    await trio.sleep(1.0)
    assert _list_names(state) == ["i-2"]


@pytest.mark.parametrize("value", _UNDECODABLE.values(), ids=_UNDECODABLE)
async def test_an_undecodable_object_hides_no_configuration(
    autojump_clock, nursery, value
):
    """Another object of the configuration's kind cannot be decoded."""
    store, _, state, follower = await _start(nursery, value)
    await _write(store, "config/draft", {"note": _MARK})
    await _write(store, "config/main", {**samples.CONFIGURATION, "version": 7})
    nursery.start_soon(follower.run)
    await trio.sleep(1.0)
    assert state.routes.version == 7
    await _write(store, "config/draft", {"note": [_MARK]})
    await _write(store, "config/main", {**samples.CONFIGURATION, "version": 9})
    await trio.sleep(1.0)
    assert state.routes.version == 9


async def test_an_undecodable_entry_ends_no_page(autojump_clock, nursery):
    """The store returns 500 objects at a time and continues after the last
    one's name.  If that one cannot be decoded, the next page must follow.
    """
    store, api, _, _ = await _start(nursery, _UNDECODABLE["no number"])
    for number in range(1203):
        last = number % 500 == 499
        await _write(store, f"servers/i-{number:04}", _MARK if last else {})
    listing = await api.list_records("servers/")
    assert len(listing.records) == 1203


@pytest.mark.parametrize(
    "value",
    [b"", b"{", b"7", b"[]", b'{"holder": 7}', b'{"holder":"","fence":"x"}'],
)
async def test_an_unreadable_lease_is_taken_after_its_duration(
    autojump_clock, value
):
    """Another writer overwrites a lease.  If reading it fails each time, no
    gateway ever places layers again.
    """
    store = object_api.ObjectStore()
    lease = directory.Lease(
        store, timeline.Recorder("g-1"), "placement", "g-1/1", duration=2.5
    )
    assert await lease.try_acquire()
    fence = lease.fence
    await store.put("leases/placement", value)
    for _ in range(60):
        await trio.sleep(0.1)
        await lease.try_acquire()
    assert lease.held
    assert lease.fence > fence


_REPORT = {"sequence": 1, "pace": 1.0, "layers": {"from": 0, "to": 10}}
_ABSURD = [
    {"layers": {"from": 0, "to": 10**11}},
    {"layers": {"from": -1, "to": 10}},
    {"kv_used": 1e300},
    {"kv_used": -1},
    {"kv_total": -1e300},
    {"pace": 1e300},
    {"pace": -1},
    {"born": 10**19},
    {"sequence": -1},
    {"in_flight": 10**18},
]


@pytest.mark.parametrize("values", _ABSURD, ids=str)
def test_an_absurd_report_is_refused(values):
    """A report has a number that does not fit into a heartbeat.  The leader
    could send none, and all others would take it for unreachable.
    """
    with pytest.raises(errors.ProtocolError):
        engines.read_report(json.dumps({**_REPORT, **values}).encode())


@pytest.mark.parametrize(
    "values",
    [
        {"slots": -1},
        {"slots": 10**12},
        {"born": 10**19},
        {"layers": {"from": 0, "to": 10**11}},
    ],
    ids=str,
)
def test_an_absurd_entry_is_refused(values):
    value = json.dumps({**_ENTRY, **values}).encode()
    with pytest.raises(errors.ProtocolError):
        servers.read_server(platform.Record("servers/i-1", 3, value))


@pytest.mark.parametrize("digits", [10, 30, 5000])
def test_an_absurd_number_in_a_header_is_limited(digits):
    """A caller sends a number of thousands of digits, which Python refuses to
    convert, or one whose sums do not fit into a heartbeat.
    """
    number = b"9" * digits
    read = headers.read_caller(
        [
            (b"x-token-usage", number + b"," + number),
            (b"x-deadline-ms", number),
            (b"x-length-hint", number),
        ]
    )
    assert read.prompt_tokens == read.max_answer_tokens == 999_999_999
    assert read.timeout <= 1_000_000
    answer = headers.read_answer(
        200, [(b"x-server-load", b",".join([number] * 3))]
    )
    assert answer.running <= 999_999_999


def test_layers_of_a_heartbeat_hold_what_reports_may_say():
    assert engines.read_report(
        json.dumps({**_REPORT, "layers": {"from": 0, "to": 65535}}).encode()
    ).layers == LayerRange(0, 65535)


async def test_a_name_with_an_escape_ends_no_page(autojump_clock, nursery):
    """The next page continues after the last name as the store spells it.  If
    the escape in it is decoded, names between the two spellings are skipped.
    """
    store, api, _, _ = await _start(nursery, b"null")
    names = [f"i-{number:03}" for number in range(499)]
    names += ["i-z%7E", "i-zz", "j-1"]
    for name in names:
        await _write(store, f"servers/{name}", {})
    listing = await api.list_records("servers/")
    assert len(listing.records) == len(names)
