"""The capacity of a path: time per token against concurrent requests."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.configuration.routes import Accelerator
from magnoliacove.placement import capacity
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import make_plan
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
_GROWN = make_shape(
    token_mb=0.786,
    step=0.00102,
    step_per_request=6.12e-6,
    step_per_kilotoken=8.2e-6,
    usual_prompt=775.0,
    usual_answer=214.0,
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


def test_engines_that_form_several_paths_have_more_than_the_usual_maximum():
    """The same load with 52 engines and four times the requests.  The slow
    engines form complete paths too.  With less capacity on the fast engines,
    the requests beyond it go to the slow paths, and first events take 0.6 s
    instead of 0.1 s.
    """
    kinds = _list_kinds({"a100": 2, "l40s": 5, "l4": 13})
    chosen = capacity.choose_capacity(kinds, _GROWN)
    assert capacity.find_max_capacity(kinds, _GROWN) < chosen <= _GROWN.slots
    assert capacity.estimate_rate(kinds, _GROWN, chosen) >= (
        capacity.estimate_rate(
            kinds, _GROWN, capacity.find_max_capacity(kinds, _GROWN)
        )
    )


def test_a_third_replica_leaves_its_memory_to_requests():
    """A burst of one and a half times the usual load fills the memory for
    requests, and half of the callers wait while layers have three replicas.
    Each layer keeps two, so an engine can still fail without a load.
    """
    engines = [
        EngineState(f"{kind}-{n}", "a", kind, None)
        for kind, count in {"a100": 2, "l40s": 3, "l4": 8}.items()
        for n in range(count)
    ]
    placed = {p.target: p.layers for p in make_plan(engines, _GROWN)}
    counts = [0] * _GROWN.layers
    tokens = [0.0] * _GROWN.layers
    for engine in engines:
        layers = placed[engine.target]
        free = _GROWN.compute_capacity(engine.accelerator, layers.count)
        for n in range(layers.first, layers.end):
            counts[n] += 1
            tokens[n] += free / layers.count
    chosen = capacity.choose_capacity(
        (engine.accelerator for engine in engines), _GROWN
    )
    assert set(counts) == {2, 3} and sum(counts) < 2.2 * _GROWN.layers
    assert min(tokens) >= 2 * chosen * _GROWN.usual_tokens


@given(
    counts=st.fixed_dictionaries(
        {kind: st.integers(0, 9) for kind in sorted(KINDS)}
    )
)
def test_the_chosen_capacity_fits_in_memory(counts):
    kinds, shape = _list_kinds(counts), make_shape()
    chosen = capacity.choose_capacity(kinds, shape)
    maximum = capacity.find_max_capacity(kinds, shape)
    sizes = [capacity.count_layers(shape, kind, chosen) for kind in kinds]
    replicas = sum(sizes) / shape.layers
    assert 4 <= chosen <= max(maximum, 4) or (
        chosen <= shape.slots and replicas >= 2
    )
    if maximum >= 4:
        assert replicas >= 1
