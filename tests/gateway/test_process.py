"""A whole gateway over loopback: readiness, serving and draining."""

import json

import pytest
import trio

from magnoliacove.gateway import Gateway
from magnoliacove.gateway import caller_listeners
from magnoliacove.gateway import draining
from magnoliacove.platform import settings
from magnoliacove.sockets import bind_socket
from magnoliacove.standins import object_api
from tests.gateway import stubs
from tests.platform import samples

_MB = 1024 * 1024


async def _free_port():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    return port


async def _start(nursery, tmp_path, script, listener=None, store=None):
    """Start a gateway and one target of a plain service."""
    ports = [await _free_port() for _ in range(3)]
    path = samples.write_loopback_settings(tmp_path / "s.json", ports)
    stub = stubs.StubTarget(script)
    await nursery.start(stub.listen)
    store = store or object_api.ObjectStore()
    route = {
        **samples.ROUTE,
        "kind": "idempotent",
        "traffic_split": [],
        "service": "desk",
    }
    table = {**samples.CONFIGURATION, "routes": [route]}
    await store.put("config/main", json.dumps(table).encode())
    entry = {
        "service": "desk",
        "address": str(stub.address),
        "zone": "a",
        "state": "ready",
        "slots": 6,
    }
    await store.put("servers/d-1", json.dumps(entry).encode())
    gateway = Gateway(settings.read_settings(path), store, 0, listener)
    nursery.start_soon(gateway.run)
    with trio.fail_after(5.0):
        while not gateway.state.targets.list_all():
            await trio.sleep(0.02)
    return gateway, ports


async def _ask(port, path="/lots/1"):
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    request = stubs.make_request(path, host="lots.example")
    await stream.send_all(request)
    return await stubs.read_all(stream)


async def test_a_gateway_serves_and_reports_that_it_is_ready(
    nursery, tmp_path
):
    answer = stubs.answer_with(stubs.make_answer(b"ok"))
    _, ports = await _start(nursery, tmp_path, answer)
    assert (await _ask(ports[0])).endswith(b"ok")
    assert (await _ask(ports[1], "/v1/readiness")).split(b" ")[1] == b"200"
    nursery.cancel_scope.cancel()


async def test_a_gateway_that_starts_reads_how_many_share_the_budget(
    nursery, tmp_path
):
    """Guards against a whole retry budget for each side of a partition."""
    store = object_api.ObjectStore()
    lease = {"holder": "g-9/1", "fence": 3, "renewals": 8, "members": 24}
    await store.put("leases/placement", json.dumps(lease).encode())
    answer = stubs.answer_with(stubs.make_answer(b"ok"))
    gateway, _ = await _start(nursery, tmp_path, answer, store=store)
    with trio.fail_after(5.0):
        while gateway.state.retry_budget.count_gateways() != 24:
            await trio.sleep(0.02)
    nursery.cancel_scope.cancel()


async def test_a_draining_gateway_accepts_nothing_it_cannot_finish(
    nursery, tmp_path, monkeypatch
):
    """The only gateway of a data centre is drained.  The balancer has no other
    one there and continues to send callers.  Early requests must be answered
    in full and later connections refused, so that their callers try elsewhere
    instead of being cut off at the end of the grace time.
    """
    monkeypatch.setattr(draining, "_BALANCER_DELAY", 0.4)
    slow = stubs.answer_with(stubs.make_answer(b"ok"), after=1.0)
    gateway, ports = await _start(nursery, tmp_path, slow)
    answers = []

    async def ask():
        answers.append(await _ask(ports[0]))

    async with trio.open_nursery() as inner:
        inner.start_soon(ask)
        await trio.sleep(0.1)
        inner.start_soon(gateway.drain)
        await trio.sleep(0.1)
        ready = await _ask(ports[1], "/v1/readiness")
        assert ready.split(b" ")[1] == b"503"
        inner.start_soon(ask)
        await trio.sleep(0.5)
        with pytest.raises(OSError):
            await trio.open_tcp_stream("127.0.0.1", ports[0])
    assert [answer.endswith(b"ok") for answer in answers] == [True, True]
    assert gateway.state.open_requests == 0
    nursery.cancel_scope.cancel()


async def test_a_listener_for_another_address_is_closed(nursery, tmp_path):
    """The settings name another address than the one that the program was
    started with.  Callers are served at the address in the settings.  A
    connection to the other address must be refused at once.
    """
    early = bind_socket("127.0.0.1", 0)
    address = early.getsockname()
    answer = stubs.answer_with(stubs.make_answer(b"ok"))
    _, ports = await _start(nursery, tmp_path, answer, early)
    assert (await _ask(ports[0])).endswith(b"ok")
    with pytest.raises(OSError):
        await trio.open_tcp_stream(*address)
    nursery.cancel_scope.cancel()


def _shorten_drain(monkeypatch):
    """End the drain one second after the signal, of eight."""
    monkeypatch.setattr(draining, "_BALANCER_DELAY", 0.2)
    monkeypatch.setattr(draining, "_STOP_RESERVE", 7.0)


async def test_a_stopping_gateway_names_each_open_request(
    nursery, tmp_path, monkeypatch
):
    """A request that ended with its gateway had no line in any log.  It is
    named as the gateway begins to stop and once the grace time is over.
    """
    _shorten_drain(monkeypatch)
    gateway, ports = await _start(nursery, tmp_path, stubs.stay_silent)
    nursery.start_soon(_ask, ports[0])
    with trio.fail_after(5.0):
        while not gateway.state.open_requests:
            await trio.sleep(0.02)
    await trio.sleep(0.1)
    await gateway.drain()
    lines = [
        event
        for event in gateway.recorder.list_events()
        if event.kind == "request-open"
    ]
    assert [line.request for line in lines] == ["r1", "r1"]
    assert lines[-1].why == "the grace time is over"
    for line in lines:
        assert not line.detail["started"]
        assert line.detail["sent"]
        assert line.detail["targets"] == ("d-1",)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("allowed", "connections"), [(10_000, 380), (400, 87)]
)
async def test_limits_for_callers_follow_from_settings_and_process(
    tmp_path, monkeypatch, allowed, connections
):
    """Guards against callers that use up all descriptors: a process whose own
    limit was below that of its settings answered no caller.
    """
    monkeypatch.setattr(
        caller_listeners.resource, "getrlimit", lambda _: (allowed, allowed)
    )
    async with trio.open_nursery() as nursery:
        script = stubs.answer_with(stubs.make_answer(b"ok"))
        gateway, _ = await _start(nursery, tmp_path, script)
        limits = gateway.state.answer_memory.memory.limits
        assert connections * 0.9 <= limits.connections <= connections * 1.1
        assert 100 * _MB <= limits.memory <= 200 * _MB
        path = tmp_path / "s.json"
        changed = {**json.loads(path.read_text())}
        changed["limits"] = {"memory_mb": 100, "max_fds": 400}
        path.write_text(json.dumps(changed))
        gateway.reload(settings.read_settings(str(path)))
        limits = gateway.state.answer_memory.memory.limits
        assert limits.memory <= 30 * _MB
        nursery.cancel_scope.cancel()
