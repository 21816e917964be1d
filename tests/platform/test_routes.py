"""Decoding of the operator's configuration into the route table."""

import random

import pytest

from magnoliacove import errors
from magnoliacove.platform.routes import read_routes
from tests.platform import samples


def test_routes_and_accounts():
    table = read_routes(samples.CONFIGURATION)
    route = table.find_route("LOTS.example", "/lots/a/b")
    assert route.name == "r-1"
    assert route.repeatable
    assert route.timeout == 20.0
    assert route.gap_objective == 0.2
    assert table.find_account("k2").name == "lannoy"
    assert table.find_account("k3") is None
    assert table.needs_keys


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/lots/open/1", "r-2"),
        ("/lots/open/", "r-2"),
        ("/lots/open", "r-1"),
        ("/lots/", "r-1"),
        ("/lots", None),
        ("/", None),
        ("", None),
        ("/other/lots/", None),
    ],
)
def test_longest_prefix(path, name):
    """A request uses the route with the longest matching prefix."""
    table = read_routes(samples.CONFIGURATION)
    route = table.find_route("lots.example", path)
    assert (route.name if route else None) == name


def test_shares_follow_weights():
    route = read_routes(samples.CONFIGURATION).routes[0]
    rng = random.Random(1)
    chosen = [route.choose_service(rng) for _ in range(2000)]
    assert 0.87 < chosen.count("llm") / len(chosen) < 0.93


def test_model_shape_is_decoded():
    shape = read_routes(samples.CONFIGURATION).services["llm"].model
    assert shape.layers == 80
    # 72,000 MB minus 40 layers of 1,750 MB, divided by 1.18 MB / 80 for
    # each token-layer.
    assert shape.compute_capacity("h100", 40) == pytest.approx(
        135_593, rel=1e-3
    )
    assert shape.compute_capacity("l4", 13) == 0.0


def test_prefill_settings_are_optional():
    """Without the fields a pass is one step and reads 512 tokens."""
    engine = {**samples.ENGINE, "chunk": 1024, "stride": 4}
    services = [{"name": "llm", "engine": engine}]
    spec = {**samples.CONFIGURATION, "services": services}
    shape = read_routes(spec).services["llm"].model
    assert (shape.prefill_chunk, shape.steps_per_pass) == (1024.0, 4)
    default = read_routes(samples.CONFIGURATION).services["llm"].model
    assert (default.prefill_chunk, default.steps_per_pass) == (512.0, 1)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"version": None}, "version"),
        ({"routes": [{**samples.ROUTE, "kind": "new"}]}, "upgraded"),
        ({"routes": [{**samples.ROUTE, "timeout_ms": "1"}]}, "timeout_ms"),
        ({"routes": ["r"]}, r"routes\[0\]"),
        ({"tenants": [{"api_keys": []}]}, "name"),
    ],
)
def test_errors_name_the_field(changes, named):
    with pytest.raises(errors.ProtocolError, match=named):
        read_routes({**samples.CONFIGURATION, **changes})
