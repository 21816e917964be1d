"""Entries, reports and orders of engines."""

import json

import pytest

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.directory.listed import LayerRange
from magnoliacove.platform import engines
from magnoliacove.platform.servers import read_server

_ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "gent-a",
    "slots": 96,
    "state": "draining",
    "kind": "l4",
    "layers": {"from": 20, "to": 30, "version": 1},
    "sequence": 4,
}


def _read(**changes):
    value = json.dumps({**_ENTRY, **changes}).encode()
    return read_server(platform.Record("servers/i-1", 9, value))


def test_entry_is_decoded():
    target = _read()
    assert target.name == "i-1"
    assert target.draining
    assert target.layers == LayerRange(20, 30)
    assert target.revision == 9
    assert _read(layers=None).layers is None
    assert _read(layers={"from": 0, "to": 0}).layers is None


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"address": "here"}, "here"),
        ({"service": None}, "service"),
        ({"slots": "many"}, "slots"),
    ],
)
def test_invalid_entry_is_rejected(changes, named):
    with pytest.raises(errors.ProtocolError, match=named):
        _read(**changes)


def test_report_is_decoded():
    body = json.dumps(
        {
            "layers": {"from": 0, "to": 34},
            "busy": True,
            "sequence": 2,
            "kv_used": 41000,
            "kv_total": 90000,
            "pace": 3.0,
            "stalled": [{"id": "abc", "address": "10.0.0.2:80"}],
        }
    ).encode()
    report = engines.read_report(body)
    assert report.layers == LayerRange(0, 34)
    assert report.loading
    assert report.orders == 2
    assert report.slowness == 3.0
    assert report.stalled[0].request == "abc"
    for malformed in (b"", b"[]", b'{"busy": "no"}'):
        with pytest.raises(errors.ProtocolError):
            engines.read_report(malformed)


def test_order_states_the_number_of_earlier_orders():
    """A delayed order must not undo a newer one, so the engine compares the
    number in the order with the number of orders that it has begun.
    """
    body = engines.write_place_order(
        LayerRange(20, 31), interrupt=True, orders=4
    )
    assert json.loads(body) == {
        "operation": "place",
        "from": 20,
        "to": 31,
        "mode": "preempt",
        "precondition": 4,
    }
    assert engines.read_order_result(202) is engines.OrderResult.BEGUN
    assert engines.read_order_result(409) is engines.OrderResult.CONFLICT
    assert engines.read_order_result(404) is engines.OrderResult.REFUSED


def test_only_the_engine_itself_reports_that_it_leaves():
    """An answer of another engine that has taken over the address is not
    about this engine.
    """
    own = [(b"x-instance-id", b"i-1")]
    assert engines.reports_leaving(503, own, "i-1")
    assert not engines.reports_leaving(503, own, "i-2")
    assert not engines.reports_leaving(200, own, "i-1")
