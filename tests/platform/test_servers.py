"""Engine entries written by engines and by other clients."""

import orjson
import pytest

from magnoliacove import errors
from magnoliacove.directory.listed import LayerRange
from magnoliacove.platform import Record
from magnoliacove.platform.servers import read_server

_ENTRY = {
    "service": "llm",
    "address": "10.0.0.5:8080",
    "zone": "gent-a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "sequence": 4,
    "kind": "l4",
    "layers": {"from": 14, "to": 21, "version": 1},
}


def _read(name="i-1", **changes):
    values = {**_ENTRY, **changes}
    entry = {key: value for key, value in values.items() if value != "none"}
    return read_server(Record(f"servers/{name}", 9, orjson.dumps(entry)))


def test_an_engine_is_named_by_its_entry_and_its_start():
    target = _read(born=1733184000123)
    assert target.name == "i-1@1733184000123"
    assert (target.entry, target.incarnation) == ("i-1", 1733184000123)
    assert target.layers == LayerRange(14, 21)
    assert _read().name == "i-1"
    assert _read(state="draining").draining


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", "none"),
        ("service", 7),
        ("address", "none"),
        ("address", "10.0.0.5"),
        ("address", "elsewhere:80"),
        ("address", "10.0.0.5:\u00b2"),
        ("address", ["10.0.0.5:80"]),
        ("zone", "none"),
        ("zone", {}),
        ("state", "none"),
        ("state", "resting"),
        ("state", True),
        ("slots", "none"),
        ("slots", "many"),
        ("slots", True),
        ("slots", 1.5),
        ("born", "now"),
        ("born", 12.5),
        ("born", False),
        ("layers", [14, 21]),
        ("layers", {"from": -3, "to": 21}),
        ("layers", {"from": "a", "to": 21}),
        ("kind", 4),
    ],
)
def test_an_entry_in_another_format_is_rejected(field, value):
    """Another client writes an entry among those of the engines.  Requests
    sent to its address might be answered by any process, or by none.
    """
    with pytest.raises(errors.ProtocolError, match=field):
        _read(**{field: value})


@pytest.mark.parametrize(
    "value", [b"", b"null", b"[]", b'"i-1"', b"7", b"\xff\xfe{", b"{"]
)
def test_malformed_bytes_are_rejected(value):
    with pytest.raises(errors.ProtocolError):
        read_server(Record("servers/i-1", 9, value))


@pytest.mark.parametrize("name", ["", "i 1", "i-1\r\nx: y", "\u00ef"])
def test_a_name_not_allowed_in_a_header_is_rejected(name):
    with pytest.raises(errors.ProtocolError, match="name"):
        _read(name=name)
