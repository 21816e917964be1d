"""A path runs every layer once and in order, with room on each engine."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.routing import paths
from tests.shapes import make_option
from tests.shapes import make_shape

_SHAPE = make_shape()
_COSTS = paths.PathCosts(_SHAPE, 772, 140, 0.05)


def _list_layers(path):
    return [n for s in path.stages for n in range(s.first, s.end)]


_OPTIONS = st.lists(
    st.tuples(
        st.integers(0, 79),
        st.integers(1, 80),
        st.sampled_from("abc"),
        st.sampled_from(["h100", "a100s", "l4", "t4"]),
        st.sampled_from([0.0, 3e3, 2e4, 1e6]),
    ),
    max_size=30,
)


def _make_options(drawn):
    """Return the engines that hypothesis drew."""
    return [
        make_option(
            f"i-{n}",
            first,
            min(80, first + count),
            place=place,
            kind=kind,
            room=room,
        )
        for n, (first, count, place, kind, room) in enumerate(drawn)
    ]


@given(_OPTIONS)
def test_layers_run_once_in_order_on_engines_with_room(drawn):
    """Engines hold any ranges, in any data centre, with any room left.

    Whatever is found runs each layer once and in order, names no engine
    twice, and takes no more memory of one than it has.
    """
    options = {option.target: option for option in _make_options(drawn)}
    path = paths.find_path(list(options.values()), _COSTS)
    if path is None:
        return
    assert _list_layers(path) == list(range(80))
    assert len(set(path.targets)) == len(path.stages)
    for stage in path.stages:
        option = options[stage.target]
        assert option.layers.covers(stage.first, stage.end)
        assert _COSTS.tokens * (stage.end - stage.first) <= option.room


@given(_OPTIONS, st.integers(0, 60))
def test_requests_ahead_never_cost_a_path(drawn, ahead):
    """Others may have taken all the room there is, or none of it.

    That is a guess, so whoever could have been sent without it is sent.
    """
    options = _make_options(drawn)
    plain = paths.find_path(options, _COSTS)
    found = paths.find_path(
        options, _COSTS, None, paths.RequestsAhead(ahead, 0.1)
    )
    assert (found is None) == (plain is None)
    if found is not None:
        assert _list_layers(found) == list(range(80))


def test_requests_ahead_take_the_quickest_path_first():
    """Two data centres; the quicker one has room for five requests more.

    Who has four before it goes there, who has five goes to the other one.
    """
    quick = make_option(
        "quick", 0, 80, place="a", kind="h100", room=5.5 * 946 * 80
    )
    slow = make_option("slow", 0, 80, place="b", kind="t4")

    def choose(ahead):
        found = paths.find_path(
            [quick, slow], _COSTS, None, paths.RequestsAhead(ahead, 60.0)
        )
        return found.targets

    assert [choose(n) for n in (0, 4, 5, 9)] == [
        ("quick",),
        ("quick",),
        ("slow",),
        ("slow",),
    ]


def test_prompts_ahead_are_waited_for():
    """Both paths have room; forty prompts are on their way to each.

    The slower engine reads them for seconds, so a request goes to the one
    that is through sooner, though it takes longer for an answer.
    """
    shape = make_shape(prefill_chunk=512.0, steps_per_pass=4)
    costs = paths.PathCosts(shape, 772, 4, 0.05)
    ahead = paths.RequestsAhead(40, 0.5)
    waiting = make_option("i-1", 0, 80, kind="t4", ahead=ahead)
    free = make_option(
        "i-2", 0, 80, kind="t4", ahead=paths.RequestsAhead(0, 0.5)
    )
    late = costs.hop_seconds(waiting) - costs.hop_seconds(free)
    # A prompt takes six token steps of 13 ms and 59 ms of reading.
    assert 4.0 < late < 6.0
    assert paths.find_path([waiting, free], costs).targets == ("i-2",)


@given(_OPTIONS)
def test_a_needless_engine_changes_nothing(drawn):
    """An engine is left out of the search that another one stands in for.

    Each engine gets a twin that is as quick and holds a part of its layers;
    the quickest path takes as long as without the twins.
    """
    options = _make_options(drawn)
    twins = [
        make_option(
            f"twin-{o.target}",
            o.layers.first,
            o.layers.first + max(1, o.layers.count // 2),
            place=o.data_centre,
            kind=o.accelerator,
            slowness=3.0,
        )
        for o in options
        if o.room == 1e6 and o.layers.count > 1
    ]
    plain = paths.find_path(options, _COSTS)
    found = paths.find_path(options + twins, _COSTS)
    if plain is not None:
        assert found.seconds <= plain.seconds + 1e-9


def test_others_streams_are_led_around_first():
    """Twenty streams pass a lost engine; two others could take its part.

    The one that is quicker has room for ten.  Each gateway is told of the
    loss at the same moment; who has ten before it takes the other engine.
    """
    path = paths.find_path(
        [
            make_option("first", 0, 40, kind="h100"),
            make_option("lost", 40, 80, kind="h100"),
        ],
        _COSTS,
    )
    options = [
        make_option("first", 0, 40, kind="h100"),
        make_option("near", 40, 80, kind="a100s", room=10.5 * 946 * 40),
        make_option("far", 40, 80, kind="t4"),
    ]

    def choose(ahead):
        found = paths.find_reroute(
            path, {"lost"}, options, _COSTS, paths.RequestsAhead(ahead, 60.0)
        )
        return found.targets

    assert choose(0) == ("first", "near")
    assert choose(20) == ("first", "far")


def test_a_data_centre_of_its_own_goes_before_the_pipe():
    """The pipe between data centres is shared by all, so a slower path
    inside one is taken as long as there is one.
    """
    options = [
        make_option("i-1", 0, 40, place="a", kind="h100"),
        make_option("i-2", 40, 80, place="b", kind="h100"),
        make_option("i-3", 0, 40, place="c"),
        make_option("i-4", 40, 80, place="c"),
    ]
    path = paths.find_path(options, _COSTS)
    assert path.targets == ("i-3", "i-4")
    path = paths.find_path(options[:3], _COSTS)
    assert path.targets == ("i-1", "i-2")
    assert path.crossings == 1


def test_the_quicker_and_emptier_engine_is_taken():
    shared = make_option("i-1", 0, 40, kind="h100")
    busy = make_option("i-2", 40, 80, kind="a100s", requests=900)
    idle = make_option("i-3", 40, 80, kind="a100s")
    slow = make_option("i-4", 40, 80, kind="a100s", slowness=6.0)
    path = paths.find_path([shared, slow, busy, idle], _COSTS)
    assert path.targets == ("i-1", "i-3")


def test_only_engines_that_may_be_first_begin_a_path():
    options = [
        make_option("i-1", 0, 80, kind="h100"),
        make_option("i-2", 0, 80, kind="l4"),
    ]
    found = paths.find_path(options, _COSTS, frozenset(["i-2"]))
    assert found.targets == ("i-2",)
    assert paths.find_path(options, _COSTS, frozenset(["i-9"])) is None


def test_a_detour_keeps_what_still_works():
    """An engine in the middle is lost.  The others keep what they hold of
    the request, so only the lost part goes elsewhere, and to no engine
    that the path has already.
    """
    options = [
        make_option("i-1", 0, 30, kind="h100"),
        make_option("i-2", 30, 50),
        make_option("i-3", 50, 80),
    ]
    path = paths.find_path(options, _COSTS)
    spares = [
        make_option("i-3", 30, 80, kind="h100"),
        make_option("i-4", 25, 42),
        make_option("i-5", 40, 60),
    ]
    detour = paths.find_reroute(path, {"i-2"}, spares, _COSTS)
    assert detour.targets == ("i-1", "i-4", "i-5", "i-3")
    assert _list_layers(detour) == list(range(80))
    assert paths.find_reroute(path, {"i-2"}, spares[:2], _COSTS) is None


def test_why_a_request_waits_is_told():
    options = [
        make_option("i-1", 0, 70, room=500.0),
        make_option("i-2", 0, 80, place="b", room=90.0),
    ]
    told = paths.describe_bottlenecks(options, 80)
    assert told == {"a": "70: 0", "b": "0: 90"}


@pytest.mark.parametrize("count", [0, 1])
def test_no_engines(count):
    options = [make_option("i-1", 5, 80)][:count]
    assert paths.find_path(options, _COSTS) is None
