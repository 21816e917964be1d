"""For how many requests each path of a data centre is to have room.

Memory is shared out so that every engine has room for as many requests: a
path is as wide as its narrowest engine.  More room means fewer layers on
each engine, so slower engines come into the path, and more requests that
share each step: every token takes longer.  What a path carries, requests in
progress by the time of a token, grows with the room at first, then hardly
at all, and falls where one more slow engine is needed.  Requests beyond the
room go to other data centres, where they are quicker.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.routing.costs import HOP_SECONDS

__all__ = [
    "choose_room",
    "count_layers",
    "estimate_rate",
    "fit_room",
    "measure_layer",
]

# The part of an engine's batch for which a path has room at most.
_BATCH_PART = 0.6
# A path with room for fewer requests than these is not worth its engines.
_LEAST_STREAMS = 4
# The least room is taken with which a path carries this part of the most
# tokens a second that it could.
_RATE_PART = 0.8
# Where the engines hold the model so many times with the most room, slower
# ones make whole paths as well.  Requests beyond a smaller room then go there
# instead of to another data centre, and their first events come late.
_ABUNDANT = 2.5
# A token that arrives at an engine waits for half a pass on the mean.
_PASS_WAIT = 0.5


def choose_room(accelerators: Iterable[str], shape: ModelShape) -> int:
    """Return for how many requests each path of a data centre has room.

    :param accelerators: the kind of each engine of the data centre.
    """
    return _choose_room(tuple(sorted(accelerators)), shape)


@functools.lru_cache(maxsize=256)
def _choose_room(kinds: tuple[str, ...], shape: ModelShape) -> int:
    """Return the room for engines of these kinds; planned ten times a second.

    It is the least that carries nearly the most, or the most where they hold
    the model several times; less where the engines would not hold the whole
    model without the largest of them, but at least half of what they could
    have room for if that did not matter.
    """
    most = fit_room(kinds, shape)
    rates = {
        streams: estimate_rate(kinds, shape, streams)
        for streams in range(most, _LEAST_STREAMS, -1)
    }
    if not rates:
        return max(most, _LEAST_STREAMS)
    enough = _RATE_PART * max(rates.values())
    wanted = min(n for n, rate in rates.items() if rate >= enough)
    held = sum(count_layers(shape, kind, most) for kind in kinds)
    if held >= _ABUNDANT * shape.layers:
        wanted = most
    for streams in range(wanted, most // 2, -1):
        sizes = [count_layers(shape, kind, streams) for kind in kinds]
        if sum(sizes) - max(sizes) >= shape.layers:
            return streams
    return max(min(wanted, most // 2), _LEAST_STREAMS)


def fit_room(kinds: Sequence[str], shape: ModelShape) -> int:
    """Return for how many requests one path has room, 0 if there is none."""
    for streams in range(int(shape.slots * _BATCH_PART), 0, -1):
        sizes = (count_layers(shape, kind, streams) for kind in kinds)
        if sum(sizes) >= shape.layers:
            return streams
    return 0


def estimate_rate(
    kinds: Iterable[str], shape: ModelShape, streams: int
) -> float:
    """Return the tokens a second of the quickest path, with room filled."""
    step = _measure_step(shape, streams)
    seconds, held = 0.0, 0
    order = sorted(kinds, key=lambda kind: measure_layer(shape, kind, streams))
    for kind in order:
        size = count_layers(shape, kind, streams)
        if not size:
            continue
        part = min(size, shape.layers - held) / shape.layers
        factor = shape.accelerators[kind].step_factor
        full = size / shape.layers * shape.step * factor
        seconds += part * factor * step
        seconds += HOP_SECONDS + _PASS_WAIT * full
        held += size
        if held >= shape.layers:
            return streams / seconds
    return 0.0


def measure_layer(
    shape: ModelShape, accelerator: str, streams: float
) -> float:
    """Return what a token takes in one layer of an engine, in seconds.

    An engine with few layers adds a hop for few of them, so a larger one
    goes before a slightly quicker one.
    """
    kind = shape.accelerators[accelerator]
    size = max(1, count_layers(shape, accelerator, streams))
    return shape.step * kind.step_factor / shape.layers + HOP_SECONDS / size


def count_layers(shape: ModelShape, accelerator: str, streams: float) -> int:
    """Return how many layers an engine is to hold.

    :param streams: requests of usual length that it has room for.
    """
    kind = shape.accelerators[accelerator]
    tokens = streams * shape.usual_tokens
    per_layer = shape.layer_mb + tokens * shape.token_mb / shape.layers
    fitting = int(kind.memory_mb / per_layer)
    return max(0, min(fitting, shape.layers))


def _measure_step(shape: ModelShape, streams: int) -> float:
    """Return the seconds of a step of the whole model with some requests."""
    context = streams * shape.usual_tokens / 1000
    return (
        shape.step
        + streams * shape.step_per_request
        + context * shape.step_per_kilotoken
    )
