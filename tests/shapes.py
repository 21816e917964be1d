"""A model and engines of typical size, for routing and placement tests."""

from magnoliacove.configuration.routes import Accelerator
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import LayerRange
from magnoliacove.routing.paths import StageOption
from magnoliacove.wire import Address

KINDS = {
    "h100": Accelerator("h100", 72_000, 1.4, 1.0),
    "a100s": Accelerator("a100s", 36_000, 3.1, 3.2),
    "l4": Accelerator("l4", 21_600, 16.0, 8.2),
    "t4": Accelerator("t4", 14_400, 15.0, 15.0),
}


def make_shape(**changes):
    """Return the shape of a model with 80 layers."""
    values = {
        "layers": 80,
        "layer_mb": 1750.0,
        "token_mb": 1.18,
        "step": 0.00085,
        "step_per_request": 7.64e-6,
        "step_per_kilotoken": 1.024e-5,
        "prefill_per_second": 196_000.0,
        "hop_bytes": 59_000.0,
        "link_mbps": 11_000.0,
        "load": 14.0,
        "parallel_loads": 6,
        "usual_prompt": 772.0,
        "usual_answer": 174.0,
        "slots": 96,
        "accelerators": KINDS,
    }
    return ModelShape(**{**values, **changes})


def make_option(name, first, end, *, place="a", kind="l4", **changes):
    """Return a stage option: an engine with a range of layers loaded."""
    values = {"capacity": 1e9, **changes}
    return StageOption(
        name,
        Address("10.0.0.1", sum(name.encode()) + 1000),
        place,
        kind,
        LayerRange(first, end),
        **values,
    )
