"""What is told of the room on engines, and why a request waits."""

import pytest

from magnoliacove.routing import bottlenecks
from magnoliacove.routing.bottlenecks import Obstacle
from tests.shapes import make_option


def test_bottlenecks_are_described():
    options = [
        make_option("i-1", 0, 70, capacity=500.0),
        make_option("i-2", 0, 80, place="b", capacity=80 * 90.0),
    ]
    described = bottlenecks.describe_bottlenecks(options, 80)
    assert described == {"a": "70: 0", "b": "0: 90"}


def test_bottleneck_counts_all_layers_of_a_stage():
    """Hundreds of requests waited although each layer by itself had room."""
    options = [
        make_option("i-1", 0, 40, capacity=40 * 500.0),
        make_option("i-2", 40, 80, capacity=40 * 900.0),
        make_option("i-3", 30, 80, capacity=50 * 100.0),
    ]
    assert bottlenecks.measure_path_capacity(options, 80) == (0, 500.0)
    assert bottlenecks.measure_path_capacity(options[1:], 80) == (0, 0.0)


_FIRST = make_option("i-1", 0, 40, capacity=40 * 1000.0)
_FULL = make_option("i-2", 40, 80, capacity=40 * 100.0)
_PIECE = make_option("i-3", 40, 80, capacity=1000.0)
_SPARE = make_option("i-4", 40, 80, capacity=40 * 1000.0)
_REMOTE = make_option("i-5", 40, 80, place="b", capacity=40 * 1000.0)


@pytest.mark.parametrize(
    ("options", "paused", "expected"),
    [
        ([_SPARE], [], [Obstacle.FIRST_ENGINE]),
        ([_FIRST, _FULL, _REMOTE], [], [Obstacle.LINK]),
        ([_FIRST, _FULL], [_SPARE], [Obstacle.PAUSED]),
        ([_FIRST, _REMOTE], [_SPARE], [Obstacle.LINK, Obstacle.PAUSED]),
        ([_FIRST, _PIECE], [], [Obstacle.PIECES]),
        ([_FIRST], [_PIECE], [Obstacle.MEMORY]),
    ],
)
def test_obstacle_of_a_waiting_request_is_named(options, paused, expected):
    """Operators add engines, or mend the link, by what binds."""
    found = bottlenecks.find_obstacles(
        options, paused, None, 900.0, 80, may_cross=False
    )
    assert found == expected


@pytest.mark.parametrize(
    ("options", "may_cross"),
    [([_FIRST, _SPARE], False), ([_FIRST, _REMOTE], True)],
)
def test_a_share_that_is_used_up_is_no_full_link(options, may_cross):
    """A full service leaves paths to other gateways; the link was blamed."""
    found = bottlenecks.find_obstacles(
        options, [], None, 900.0, 80, may_cross=may_cross
    )
    assert found == [Obstacle.SHARE]


def test_first_engines_of_the_route_are_an_obstacle():
    """A request may run on no further engine than those that it ran on."""
    found = bottlenecks.find_obstacles(
        [_FIRST, _SPARE],
        [],
        frozenset(["i-9"]),
        900.0,
        80,
        may_cross=False,
    )
    assert found == [Obstacle.FIRST_ENGINE]
