"""The capacity of a path: time per token against concurrent requests."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.configuration.routes import Accelerator
from magnoliacove.placement import capacity
from tests.shapes import KINDS
from tests.shapes import make_shape

_LARGE = {
    "a100": Accelerator("a100", 72_000, 2.4, 3.2),
    "l40s": Accelerator("l40s", 43_200, 5.6, 2.7),
    "l4": Accelerator("l4", 21_600, 16.0, 8.2),
}
_SHAPE = make_shape(
    token_mb=1.836,
    step=0.00102,
    step_per_request=1.428e-5,
    step_per_kilotoken=1.912e-5,
    usual_prompt=774.0,
    usual_answer=200.0,
    accelerators=_LARGE,
)
# For each data centre: its engines, the minimum and maximum capacity, and the
# maximum number of engines on its path.
_DATA_CENTRES = [
    ({"a100": 1, "l40s": 3, "l4": 8}, 20, 28, 4),
    ({"a100": 1, "l40s": 6, "l4": 5}, 32, 40, 5),
    ({"a100": 2, "l40s": 2, "l4": 5}, 28, 36, 4),
]


def _list_kinds(counts):
    return [kind for kind, count in counts.items() for _ in range(count)]


@pytest.mark.parametrize(
    ("counts", "min_streams", "max_streams", "max_engines"), _DATA_CENTRES
)
def test_a_path_includes_slow_engines_only_if_throughput_grows(
    counts, min_streams, max_streams, max_engines
):
    """The load is 40 streams a second of 200 tokens while engines fail all
    day.  With capacity for 57 requests the fast engines load too few layers,
    so each path includes up to four slow ones.  Its throughput is hardly
    higher than with 30, but a stream takes up to twice as long, so twice as
    many of the long streams are late because of an engine failure.
    """
    kinds = _list_kinds(counts)
    chosen = capacity.choose_capacity(kinds, _SHAPE)
    assert min_streams <= chosen <= max_streams
    assert _count_path(kinds, chosen) <= max_engines
    best = max(capacity.estimate_rate(kinds, _SHAPE, n) for n in range(4, 58))
    assert capacity.estimate_rate(kinds, _SHAPE, chosen) >= 0.79 * best


def _count_path(kinds, streams):
    covered, used = 0, 0
    order = sorted(
        kinds,
        key=lambda kind: capacity.estimate_layer_seconds(
            _SHAPE, kind, streams
        ),
    )
    for kind in order:
        if covered < 80:
            covered += capacity.count_layers(_SHAPE, kind, streams)
            used += 1
    return used


def test_engines_that_form_several_paths_have_maximum_capacity():
    """The same load with 52 engines and four times the requests.  The slow
    engines form complete paths too.  With less capacity on the fast engines,
    the requests beyond it go to the slow paths, and first events take 0.6 s
    instead of 0.1 s.
    """
    grown = make_shape(
        token_mb=0.786,
        step=0.00102,
        step_per_request=6.12e-6,
        step_per_kilotoken=8.2e-6,
        usual_prompt=775.0,
        usual_answer=214.0,
        accelerators=_LARGE,
    )
    kinds = _list_kinds({"a100": 2, "l40s": 5, "l4": 13})
    assert capacity.choose_capacity(
        kinds, grown
    ) == capacity.find_max_capacity(kinds, grown)


@given(
    counts=st.fixed_dictionaries(
        {kind: st.integers(0, 9) for kind in sorted(KINDS)}
    )
)
def test_the_chosen_capacity_fits_in_memory(counts):
    kinds, shape = _list_kinds(counts), make_shape()
    chosen = capacity.choose_capacity(kinds, shape)
    maximum = capacity.find_max_capacity(kinds, shape)
    assert 4 <= chosen <= max(maximum, 4)
    if maximum >= 4:
        sizes = [capacity.count_layers(shape, kind, chosen) for kind in kinds]
        assert sum(sizes) >= shape.layers
