"""How many concurrent requests each path of a data centre has capacity for.

Memory is divided so that every engine has capacity for the same number of
requests, because the engine with the least capacity limits its path.  More
capacity means fewer layers on each engine, so the path includes slower
engines, and more requests share each step: every token takes longer.  The
throughput of a path (requests in progress divided by the time for a token)
first grows with the capacity, then hardly grows, and drops where one more
slow engine is needed.  Requests beyond the capacity go to other data centres,
where they complete sooner.

Engines that have loaded the model more than twice have memory for more
requests: a path's capacity is then as large as two replicas of each layer
allow.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.routing.costs import HOP_SECONDS

__all__ = [
    "choose_capacity",
    "count_layers",
    "estimate_layer_seconds",
    "estimate_rate",
    "find_max_capacity",
]

# Maximum capacity of a path, as a fraction of an engine's batch slots.
_MAX_BATCH_FRACTION = 0.6
# A path with capacity for fewer requests is not worth its engines.
_MIN_STREAMS = 4
# The smallest capacity is chosen at which a path reaches this fraction of its
# maximum throughput in tokens per second.
_RATE_FRACTION = 0.8
# Number of copies of the model that the engines can load at maximum capacity
# from which on the maximum is used.  Slower engines then form complete paths
# as well, so requests beyond a smaller capacity would go to those paths
# instead of to another data centre, and their first events would be late.
_MIN_COPIES_FOR_MAX_CAPACITY = 2.5
# Replicas of each layer for which memory is used; with two, an engine can fail
# and each layer is still served.  A third replica takes the memory of its
# layers from requests, which then wait while more than half of the engines'
# memory holds weights.
_REPLICAS = 2
# Mean wait of a token that arrives at an engine, as a fraction of a pass.
_PASS_WAIT = 0.5


def choose_capacity(accelerators: Iterable[str], shape: ModelShape) -> int:
    """Return the capacity, in requests, of each path of a data centre.

    :param accelerators: the accelerator type of each engine of the data
        centre.
    """
    return _choose_capacity(tuple(sorted(accelerators)), shape)


@functools.lru_cache(maxsize=256)
def _choose_capacity(kinds: tuple[str, ...], shape: ModelShape) -> int:
    """Return the capacity for engines of these accelerator types.

    The result is cached because plans are made ten times a second.
    """
    path_capacity = _choose_path_capacity(kinds, shape)
    return max(
        path_capacity, _find_replicated_capacity(kinds, shape, path_capacity)
    )


def _choose_path_capacity(kinds: tuple[str, ...], shape: ModelShape) -> int:
    """Return the capacity that suits a single path.

    It is the smallest capacity that reaches nearly the maximum throughput, or
    the maximum capacity where the engines can load the model several times.
    It is reduced where the engines could not load the whole model without the
    largest of them.  This condition never reduces it below half of the maximum
    capacity.
    """
    maximum = find_max_capacity(kinds, shape)
    rates = {
        streams: estimate_rate(kinds, shape, streams)
        for streams in range(maximum, _MIN_STREAMS, -1)
    }
    if not rates:
        return max(maximum, _MIN_STREAMS)
    enough = _RATE_FRACTION * max(rates.values())
    preferred = min(n for n, rate in rates.items() if rate >= enough)
    loadable = sum(count_layers(shape, kind, maximum) for kind in kinds)
    if loadable >= _MIN_COPIES_FOR_MAX_CAPACITY * shape.layers:
        preferred = maximum
    for streams in range(preferred, maximum // 2, -1):
        sizes = [count_layers(shape, kind, streams) for kind in kinds]
        if sum(sizes) - max(sizes) >= shape.layers:
            return streams
    return max(min(preferred, maximum // 2), _MIN_STREAMS)


def _find_replicated_capacity(
    kinds: tuple[str, ...], shape: ModelShape, minimum: int
) -> int:
    """Return the largest capacity with two replicas of each layer, or 0.

    It is never more than the slots of a path's first engine, and the path has
    at least the throughput that it has with the minimum capacity.
    """
    rate = estimate_rate(kinds, shape, minimum)
    for streams in range(shape.slots, minimum, -1):
        sizes = [count_layers(shape, kind, streams) for kind in kinds]
        # Ranges of whole engines do not tile the model exactly; the overlap
        # is at most one of the smaller ranges.
        held = [size for size in sizes if size]
        if sum(held) < _REPLICAS * shape.layers + min(held, default=0):
            continue
        if estimate_rate(kinds, shape, streams) >= rate:
            return streams
    return 0


def find_max_capacity(kinds: Sequence[str], shape: ModelShape) -> int:
    """Return the maximum capacity of one path in requests, 0 for no path."""
    for streams in range(int(shape.slots * _MAX_BATCH_FRACTION), 0, -1):
        sizes = (count_layers(shape, kind, streams) for kind in kinds)
        if sum(sizes) >= shape.layers:
            return streams
    return 0


def estimate_rate(
    kinds: Iterable[str], shape: ModelShape, streams: int
) -> float:
    """Return the tokens per second of the fastest path at full capacity."""
    step = _estimate_step_seconds(shape, streams)
    seconds, covered = 0.0, 0
    order = sorted(
        kinds, key=lambda kind: estimate_layer_seconds(shape, kind, streams)
    )
    for kind in order:
        size = count_layers(shape, kind, streams)
        if not size:
            continue
        fraction = min(size, shape.layers - covered) / shape.layers
        factor = shape.accelerators[kind].step_factor
        full_pass = size / shape.layers * shape.step * factor
        seconds += fraction * factor * step
        seconds += HOP_SECONDS + _PASS_WAIT * full_pass
        covered += size
        if covered >= shape.layers:
            return streams / seconds
    return 0.0


def estimate_layer_seconds(
    shape: ModelShape, accelerator: str, streams: float
) -> float:
    """Return the seconds that a token takes per layer of an engine.

    The time for the hop to the engine is divided among its layers, so a
    larger engine is preferred to a slightly faster one.
    """
    kind = shape.accelerators[accelerator]
    size = max(1, count_layers(shape, accelerator, streams))
    return shape.step * kind.step_factor / shape.layers + HOP_SECONDS / size


def count_layers(shape: ModelShape, accelerator: str, streams: float) -> int:
    """Return how many layers fit on an engine.

    :param streams: the number of requests of usual length that the engine
        keeps capacity for.
    """
    kind = shape.accelerators[accelerator]
    tokens = streams * shape.usual_tokens
    per_layer = shape.layer_mb + tokens * shape.token_mb / shape.layers
    fitting = int(kind.memory_mb / per_layer)
    return max(0, min(fitting, shape.layers))


def _estimate_step_seconds(shape: ModelShape, streams: int) -> float:
    """Return the seconds of one step of the whole model for a batch."""
    context = streams * shape.usual_tokens / 1000
    return (
        shape.step
        + streams * shape.step_per_request
        + context * shape.step_per_kilotoken
    )
