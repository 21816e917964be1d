"""How long a data centre has been without room, and how often it is helped."""

import math

import pytest

from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.pressure import LayerRoom
from magnoliacove.placement.pressure import PressureWatch
from magnoliacove.placement.pressure import measure_room
from tests.shapes import make_shape

_SHAPE = make_shape()
_NEEDED = 1000.0


def _find_moves(read_demand, seconds):
    """Return when moves are allowed while demand follows a course.

    :param read_demand: returns the demand at a time, 1.0 for the capacity.
    """
    watch, moves = PressureWatch(), []
    for now in range(seconds):
        room = LayerRoom(7, 0.0 if read_demand(now) >= 1.0 else 9 * _NEEDED)
        watch.note_room("a", room, _NEEDED, now)
        if watch.may_move("a", now):
            watch.note_move("a", now)
            moves.append(now)
    return moves


def _swing(now, mean, swing):
    return mean * (1 + swing * math.sin(2 * math.pi * now / 13))


@pytest.mark.parametrize(
    "read_demand",
    [
        pytest.param(lambda now: 0.7, id="steady"),
        pytest.param(lambda now: _swing(now, 0.6, 0.55), id="swings"),
        pytest.param(lambda now: _swing(now, 0.75, 0.5), id="short tops"),
        pytest.param(lambda now: 0.8 + 0.15 * (now // 50 % 2), id="wanders"),
    ],
)
def test_no_engine_moves_in_calm(read_demand):
    """An hour without a shortage, or with one for a few seconds in each
    period.  A load would end after the top that it is for.
    """
    assert _find_moves(read_demand, 3600) == []


def test_a_jump_of_demand_is_answered_within_seconds():
    """A burst of twice the capacity begins and lasts; callers wait."""
    moves = _find_moves(lambda now: 0.6 if now < 100 else 2.0, 3600)
    assert 100 < moves[0] <= 106
    # However long it lasts, the number of loads is limited.
    assert len([at for at in moves if at < 400]) == 3
    assert len(moves) <= 3 * 12


def test_room_is_what_a_single_engine_has():
    """Two engines with half a request of room each have room for none."""
    engines = [
        EngineState("i-1", "a", "h100", LayerRange(0, 30), used=0.0),
        EngineState("i-2", "a", "h100", LayerRange(30, 60)),
        EngineState("i-3", "a", "h100", LayerRange(50, 80)),
    ]
    free = _SHAPE.compute_capacity("h100", 30)
    full = [
        engines[0],
        *(
            EngineState(e.target, "a", "h100", e.layers, used=free - 500 * 30)
            for e in engines[1:]
        ),
    ]
    assert measure_room(engines, _SHAPE).tokens == pytest.approx(free / 30)
    room = measure_room(full, _SHAPE)
    assert (room.layer, room.tokens) == (30, pytest.approx(500))
    # A layer that no engine has loaded has no room.
    assert measure_room(engines[1:], _SHAPE) == LayerRoom(0, 0.0)


def test_a_peak_after_a_long_load_moves_no_engine():
    """Nothing is observed while layers load.  The first observation after it
    stood for all of that time, and a moment without room moved an engine.
    """
    watch = PressureWatch()
    watch.note_room("a", LayerRoom(7, 9 * _NEEDED), _NEEDED, 0.0)
    watch.note_room("a", LayerRoom(7, 0.0), _NEEDED, 60.0)
    assert not watch.may_move("a", 60.0)
