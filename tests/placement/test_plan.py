"""Which engine holds which layers, before and after losses."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.directory.listed import LayerRange
from magnoliacove.placement import balance
from magnoliacove.placement import plan
from magnoliacove.placement import rooms
from magnoliacove.placement.balance import find_better
from tests.shapes import KINDS
from tests.shapes import make_shape

_SHAPE = make_shape()
# A data centre with one quick engine and many small ones, and two without.
_PLACES = {
    "a": {"h100": 1, "a100s": 1, "l4": 5, "t4": 7},
    "b": {"a100s": 1, "l4": 8, "t4": 3},
    "c": {"a100s": 2, "l4": 4, "t4": 7},
}


def _make_engines(places=_PLACES):
    return {
        f"{place}-{kind}-{n}": plan.EngineState(
            f"{place}-{kind}-{n}", place, kind, None
        )
        for place, kinds in places.items()
        for kind, count in kinds.items()
        for n in range(count)
    }


def _carry_out(engines, shape=_SHAPE):
    placed = plan.make_plan(list(engines.values()), shape)
    for item in placed:
        engines[item.target] = replace(
            engines[item.target], layers=item.layers
        )
    return placed


def _count(engines, place):
    counts = [0] * 80
    for engine in engines.values():
        if engine.data_centre == place and engine.layers:
            for n in range(engine.layers.first, engine.layers.end):
                counts[n] += 1
    return counts


def _fits(engine):
    used = engine.layers.count * _SHAPE.layer_mb
    return used <= KINDS[engine.accelerator].memory_mb


def test_each_data_centre_gets_a_whole_path():
    engines = _make_engines()
    _carry_out(engines)
    for place in _PLACES:
        assert min(_count(engines, place)) >= 1
    assert all(map(_fits, engines.values()))
    assert plan.make_plan(list(engines.values()), _SHAPE) == []


def test_the_quick_engine_is_doubled():
    """Without the quickest engine a third of the layers would be missing,
    and making that good takes longest: others hold its layers too.
    """
    engines = _make_engines()
    _carry_out(engines)
    held = engines["a-h100-0"].layers
    counts = _count(engines, "a")
    assert all(counts[n] >= 2 for n in range(held.first, held.end))


@pytest.mark.parametrize("name", sorted(_make_engines()))
def test_the_loss_of_any_engine_is_made_good(name):
    """An engine is lost for good; its data centre has a whole path again
    with at most four loads, and nothing elsewhere is touched.
    """
    engines = _make_engines()
    _carry_out(engines)
    place = engines.pop(name).data_centre
    placed = _carry_out(engines)
    assert min(_count(engines, place)) >= 1
    assert len(placed) <= 4
    assert all(engines[item.target].data_centre == place for item in placed)
    assert all(map(_fits, engines.values()))


def _measure_room(engines, place, shape=_SHAPE):
    """Return the requests of usual length that the weakest layer holds."""
    rooms = [0.0] * 80
    for engine in engines.values():
        layers = engine.layers
        if engine.data_centre != place or layers is None:
            continue
        room = shape.compute_capacity(engine.accelerator, layers.count)
        for n in range(layers.first, layers.end):
            rooms[n] += room / layers.count / shape.usual_tokens
    return min(rooms)


def _list_kinds(counts):
    return [kind for kind, count in counts.items() for _ in range(count)]


def _compare_pace(counts):
    """Return a token's time with the room chosen, against the most room."""
    kinds = _list_kinds(counts)
    chosen = rooms.choose_room(kinds, _SHAPE)
    most = rooms.fit_room(kinds, _SHAPE)
    seconds = [
        n / rooms.estimate_rate(kinds, _SHAPE, n) for n in (chosen, most)
    ]
    return seconds[0] / seconds[1]


def test_every_layer_has_room_for_as_many_requests():
    """Calm traffic keeps 80 requests in progress in these three data
    centres, at the pace of paths with the most room; a burst half as many
    more.  A quick engine that holds too many layers has room for few
    requests, and all others wait in front of it: any two of the data centres
    are to carry what all three do, and a quarter more.
    """
    engines = _make_engines()
    _carry_out(engines)
    measured = sorted(_measure_room(engines, place) for place in _PLACES)
    in_progress = 80 * max(map(_compare_pace, _PLACES.values()))
    assert measured[0] + measured[1] >= 1.25 * in_progress
    for place in _PLACES:
        chosen = rooms.choose_room(_list_kinds(_PLACES[place]), _SHAPE)
        assert _measure_room(engines, place) >= chosen


@pytest.mark.parametrize("name", sorted(_make_engines()))
def test_a_path_made_good_has_room_too(name):
    """After a loss the data centre carries at least a third of before, so
    new requests find room while the lost engine starts again.
    """
    engines = _make_engines()
    _carry_out(engines)
    place = engines[name].data_centre
    before = _measure_room(engines, place)
    del engines[name]
    _carry_out(engines)
    assert _measure_room(engines, place) >= before / 3


def test_what_is_still_being_loaded_makes_no_engine_spare():
    """A quick engine loads layers that four small ones hold.  A gap opens
    elsewhere.  Small ones that were taken for it at once left their layers
    to an engine that was not ready, and the path was lost for seconds.
    """
    held = {
        "quick": ("h100", (0, 32), False),
        "next": ("l4", (32, 42), True),
        "last": ("h100", (48, 80), True),
        "s-1": ("l4", (0, 10), True),
        "s-2": ("l4", (10, 20), True),
        "s-3": ("l4", (20, 30), True),
    }
    engines = [
        plan.EngineState(
            name, "a", kind, LayerRange(*layers), True, settled, 0, settled
        )
        for name, (kind, layers, settled) in held.items()
    ]
    placed = plan.make_plan(engines, _SHAPE)
    assert not {"s-1", "s-2", "s-3"} & {item.target for item in placed}
    ready = [replace(engine, settled=True) for engine in engines]
    assert plan.make_plan(ready, _SHAPE)[0].target.startswith("s-")


def test_a_gap_waits_for_what_another_gateway_is_loading():
    """Two gateways act at once for a moment.  An engine loads what the other
    ordered, and no report tells which layers: it may be the gap.  Moving
    engines for it left gaps elsewhere, which both went on to close.
    """
    held = {
        "first": ("h100", (0, 32), False),
        "loading": ("a100s", None, True),
        "s-1": ("l4", (0, 10), False),
        "s-2": ("l4", (10, 20), False),
        "last": ("h100", (48, 80), False),
    }
    engines = [
        plan.EngineState(
            name,
            "a",
            kind,
            LayerRange(*layers) if layers else None,
            movable=not foreign,
            foreign=foreign,
        )
        for name, (kind, layers, foreign) in held.items()
    ]
    assert plan.make_plan(engines, _SHAPE) == []
    settled = [replace(engine, foreign=False) for engine in engines]
    assert plan.make_plan(settled, _SHAPE) != []


def test_without_a_spare_engine_all_move_a_little():
    """No engine holds layers that another holds too, and one is lost.
    Each of the others takes over a few layers of its neighbours instead of
    waiting for the lost one to start and to load all of its own.
    """
    engines = _make_engines({"a": {"h100": 2, "l4": 2}})
    _carry_out(engines)
    counts = _count(engines, "a")
    assert min(counts) >= 1
    del engines["a-l4-1"]
    before = {name: engine.layers for name, engine in engines.items()}
    placed = _carry_out(engines)
    assert min(_count(engines, "a")) >= 1
    assert all(map(_fits, engines.values()))
    for item in placed:
        held = before[item.target]
        kept = min(held.end, item.layers.end) - max(
            held.first, item.layers.first
        )
        assert kept >= held.count / 2


def test_a_new_engine_takes_a_gap_before_others_move():
    engines = _make_engines({"b": _PLACES["b"]})
    _carry_out(engines)
    lost = engines.pop("b-l4-3")
    engines["b-l4-9"] = replace(lost, target="b-l4-9", layers=None)
    placed = _carry_out(engines)
    assert [item.target for item in placed] == ["b-l4-9"]
    assert placed[0].closes_gap


def test_what_is_on_the_move_stays_on_its_way():
    """A second round before the first has ended gives no second order."""
    engines = _make_engines({"c": _PLACES["c"]})
    _carry_out(engines)
    del engines["c-l4-0"]
    placed = _carry_out(engines)
    for item in placed:
        engines[item.target] = replace(engines[item.target], movable=False)
    assert plan.make_plan(list(engines.values()), _SHAPE) == []


_KIND_COUNTS = st.fixed_dictionaries(
    {kind: st.integers(0, 6) for kind in KINDS}
)


@given(
    st.dictionaries(st.sampled_from("abc"), _KIND_COUNTS, max_size=3),
    st.lists(st.integers(0, 60), max_size=8),
)
def test_no_engine_is_ever_ordered_over_its_memory(places, losses):
    """Any engines, any of them lost, in any order.

    No order exceeds an engine's memory, every range lies in the model, and
    one order at a time goes to an engine in each round.
    """
    engines = _make_engines(places)
    for loss in [None, *losses]:
        names = sorted(engines)
        if loss is not None and names:
            del engines[names[loss % len(names)]]
        placed = _carry_out(engines)
        moved = [item.target for item in placed]
        assert len(moved) == len(set(moved))
        for item in placed:
            assert 0 <= item.layers.first < item.layers.end <= 80
            assert _fits(engines[item.target])


def test_a_weak_layer_is_strengthened():
    """After losses one small engine alone holds some layers, with little
    memory left, while an idle one holds layers that others hold as well.
    The path is as wide as its weakest layer, so the idle one moves there.
    """
    engines = [
        plan.EngineState("i-1", "a", "h100", LayerRange(0, 30), requests=9),
        plan.EngineState("i-2", "a", "h100", LayerRange(30, 60), requests=9),
        plan.EngineState("i-5", "a", "a100s", LayerRange(58, 70), requests=9),
        plan.EngineState("i-3", "a", "l4", LayerRange(69, 80), requests=9),
        plan.EngineState("i-4", "a", "l4", LayerRange(0, 9)),
    ]
    found = find_better(engines, _SHAPE)
    assert found.target == "i-4"
    assert found.layers.first <= 79 < found.layers.end
    busy = [replace(engine, requests=9) for engine in engines]
    found = find_better(busy, _SHAPE)
    # Giving up a layer that another holds takes no load.
    assert (found.target, found.layers) == ("i-3", LayerRange(70, 80))


def test_no_better_place_while_something_moves():
    engines = _make_engines({"a": _PLACES["a"]})
    _carry_out(engines)
    states = list(engines.values())
    states[0] = replace(states[0], movable=False)
    assert find_better(states, _SHAPE) is None


@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(KINDS)), st.integers(0, 79)),
        min_size=1,
        max_size=8,
    ),
    st.integers(0, 79),
    st.integers(1, 8),
)
def test_running_sums_rate_a_range_as_adding_up_does(held, first, count):
    engines = [
        plan.EngineState(
            f"i-{n}", "a", kind, LayerRange(start, min(80, start + 8))
        )
        for n, (kind, start) in enumerate(held)
    ]
    layers = LayerRange(first, min(80, first + count))
    changed = [replace(engines[0], layers=layers), *engines[1:]]
    wanted = 50_000.0
    rated = balance._Others(engines[0], engines, _SHAPE).rate_with(
        layers, wanted
    )
    whole = balance._rate(balance._measure(changed, _SHAPE), wanted)
    assert rated.doubled == whole.doubled
    assert rated.tokens == pytest.approx(whole.tokens)
    assert rated.slowness == pytest.approx(whole.slowness)


def test_strengthening_comes_to_an_end():
    """Each move makes the placement better, so moves do not go round."""
    for place, kinds in _PLACES.items():
        engines = _make_engines({place: kinds})
        _carry_out(engines)
        for _ in range(12):
            found = find_better(list(engines.values()), _SHAPE)
            if found is None:
                break
            engines[found.target] = replace(
                engines[found.target], layers=found.layers
            )
            assert min(_count(engines, place)) >= 1
        assert find_better(list(engines.values()), _SHAPE) is None
