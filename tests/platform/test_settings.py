"""Decoding of the settings file and its error messages."""

import pytest

from magnoliacove import errors
from magnoliacove.platform import settings
from magnoliacove.wire import Address
from tests.platform import samples


def test_fields_are_decoded(tmp_path):
    path = samples.write_settings(tmp_path / "s.json")
    decoded = settings.read_settings(path)
    assert decoded.name == "front-gent-a-1"
    assert decoded.callers == Address("10.1.0.40", 8227)
    # Seeds are contacted on the port of the peer protocol.
    assert decoded.seeds[1] == Address("10.2.0.29", 7340)
    assert decoded.bounds.drain == 2.0
    assert decoded.bounds.stall == 2.5


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"node_name": None}, "node_name"),
        ({"node_name": 7}, "node_name"),
        ({"listen": {}}, "front"),
        ({"listen": {"front": "nonsense", "ready_addr": "x:1"}}, "nonsense"),
        ({"platform": None}, "platform"),
        ({"internal_ports": []}, "internal_ports"),
        ({"bounds": {}}, "drain_ms"),
    ],
)
def test_errors_name_the_field(tmp_path, changes, named):
    path = samples.write_settings(tmp_path / "s.json", **changes)
    with pytest.raises(errors.UserError, match=named):
        settings.read_settings(path)


@pytest.mark.parametrize("text", ["", "{", "[]"])
def test_malformed_settings_file(tmp_path, text):
    path = tmp_path / "s.json"
    path.write_text(text)
    with pytest.raises(errors.UserError, match="settings file"):
        settings.read_settings(str(path))


def test_missing_file(tmp_path):
    with pytest.raises(errors.UserError, match="--settings"):
        settings.read_settings(str(tmp_path / "none"))
