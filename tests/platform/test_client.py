"""Answers of the store that contain other clients' writes."""

import orjson

from magnoliacove.platform import client
from magnoliacove.platform import partial_json


def _item(name, spec):
    return {"metadata": {"name": name, "revision": 3}, "spec": spec}


def test_invalid_utf8_affects_only_one_value():
    """Another client writes invalid UTF-8 as an engine's entry.  The whole
    list arrives in one answer: if decoding fails, no engine is listed any
    more and every request is refused.
    """
    body = orjson.dumps({"items": [_item("i-1", {"a": 1}), _item("i-2", "@")]})
    data = partial_json.decode_partially(body.replace(b"@", b"\xff\xfe"))
    records = list(
        client.HttpObjectApi("http://x")._read_all("servers", data["items"])
    )
    assert [r.name for r in records] == ["servers/i-1", "servers/i-2"]
    assert records[0].value == b'{"a":1}'


def test_objects_without_a_name_are_skipped():
    items = [None, 7, {"spec": {}}, {"metadata": {"name": 5}}, _item("x", 1)]
    records = list(
        client.HttpObjectApi("http://x")._read_all("servers", items)
    )
    assert [record.name for record in records] == ["servers/x"]
