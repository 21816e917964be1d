"""The operators' API, called by external clients."""

import json

import grpc
import pytest
import trio

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove.operators import client as clients
from magnoliacove.operators import conversion
from magnoliacove.operators.generated import operators_pb as pb
from magnoliacove.standins import fleet as fleets

_SERVICE = "/magnoliacove.operators.v1.Operators/"
_IN_THREAD = trio.to_thread.run_sync


def _url(fleet):
    return fleet.entries["entry-0"].server.operators_url


def _call_grpc(url, method, request, reply, key=fleets.OPERATOR_KEY):
    """Make a call with the standard gRPC client."""
    with grpc.insecure_channel(url.removeprefix("http://")) as channel:
        call = channel.unary_unary(
            _SERVICE + method,
            request_serializer=lambda message: message.to_binary(),
            response_deserializer=reply.from_binary,
        )
        metadata = [("authorization", f"Bearer {key}")]
        return call(request, metadata=metadata, timeout=10)


async def test_standard_grpc_client():
    async with fleets.open_fleet() as fleet:
        request = pb.ReadRequest(kind="target")
        targets = await _IN_THREAD(
            _call_grpc, _url(fleet), "Read", request, pb.ReadResponse
        )
        with pytest.raises(grpc.RpcError) as denied:
            await _IN_THREAD(
                _call_grpc,
                _url(fleet),
                "Read",
                request,
                pb.ReadResponse,
                fleets.API_KEY,
            )
        with pytest.raises(grpc.RpcError) as missing:
            await _IN_THREAD(
                _call_grpc,
                _url(fleet),
                "Read",
                pb.ReadRequest(kind="target", name="no"),
                pb.ReadResponse,
            )
    names = [item.item.value.name for item in targets.items]
    assert names == sorted(fleet.agents)
    assert denied.value.code() is grpc.StatusCode.UNAUTHENTICATED
    assert missing.value.code() is grpc.StatusCode.NOT_FOUND
    assert "list the names" in missing.value.details()


async def test_plain_json_and_malformed_calls():
    async with fleets.open_fleet() as fleet:

        async def send(method, body, headers=None):
            # Each call uses a connection of its own, because a server may
            # close a connection whose request body it did not read.
            caller = fleets.Caller(_url(fleet), fleets.OPERATOR_KEY)
            path = _SERVICE + method
            return await caller.request("POST", path, body, headers)

        async def post(method, body):
            answer = await send(method, body)
            return answer.status, json.loads(answer.content or b"{}")

        status = await post("GetStatus", b"{}")
        malformed = await post("Read", b"{")
        empty = await post("Apply", b'{"operations": []}')
        unknown = await send("No", b"{}")
        text = await send("Read", b"{}" * 10**6)
        proto = {"content-type": "application/proto"}
        binary = await send("Read", b"\xff\xff", proto)
    assert status[0] == 200
    assert all(s["served"] for s in status[1]["services"])
    assert {i["state"] for i in status[1]["instances"]} == {"live"}
    assert malformed[1]["code"] == "invalid_argument"
    assert "change_id" in empty[1]["message"]
    assert unknown.status == 404
    assert text.status >= 400
    assert binary.status >= 400


async def test_conflicts_and_repeats():
    """Racing operators get a typed conflict; a repeated call returns the
    result of the first one.
    """
    account = configuration.ClientAccount("new")
    put = conversion.write_put(account, 0)
    async with fleets.open_fleet() as fleet:
        client = clients.OperatorsClient(_url(fleet), fleets.OPERATOR_KEY)
        before = fleet.entries["entry-0"].server.process.view.version
        request = pb.ApplyRequest(change_id="c1", operations=[put])
        call = client._call
        first = await _IN_THREAD(call, client._client.apply, request)
        again = await _IN_THREAD(call, client._client.apply, request)
        with pytest.raises(errors.ConflictError, match="exists already"):
            await _IN_THREAD(client.apply, [put])
        stale = conversion.write_put(account, before)
        with pytest.raises(errors.ConflictError, match="read it again"):
            await _IN_THREAD(client.apply, [stale])
        with pytest.raises(errors.UserError, match="create it first"):
            bad = configuration.Pipeline("p", ("no",))
            await _IN_THREAD(client.apply, [conversion.write_put(bad, 0)])
        wider = configuration.ClientAccount("new", weight=2.0)
        plan = await _IN_THREAD(
            client.plan, [conversion.write_put(wider, before + 1)]
        )
    change = plan.changes[0]
    assert (change.action, change.fields[0].after) == ("update", "2.0")
    assert (first.version, first.already_applied) == (before + 1, False)
    assert (again.version, again.already_applied) == (before + 1, True)


async def test_lost_answer_from_the_store():
    async with fleets.open_fleet() as fleet:
        client = clients.OperatorsClient(_url(fleet), fleets.OPERATOR_KEY)
        fleet.store.faults.lost_answers = 1
        put = conversion.write_put(configuration.ClientAccount("new"), 0)
        result = await _IN_THREAD(client.apply, [put])
        stored = await _IN_THREAD(client.read, "client_account", "new")
    assert result.version == stored.items[0].version


async def test_orders_reach_engines():
    async with fleets.open_fleet() as fleet:
        client = clients.OperatorsClient(_url(fleet), fleets.OPERATOR_KEY)
        result = await _IN_THREAD(
            client.give_order, "llm-0-0", "load-adapter", "fr"
        )
        orders = fleet.engines["llm-0-0"].orders
        with pytest.raises(errors.NotFoundError, match="status"):
            await _IN_THREAD(client.give_order, "no", "load", "")
    assert result.applied
    assert orders == [(result.fence, "load-adapter", "fr")]
