"""Candidate engines for a request, and the path that it takes."""

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.directory.listed import LayerRange
from magnoliacove.wire.network import Address

__all__ = [
    "NO_REQUESTS_AHEAD",
    "RequestsAhead",
    "Path",
    "PathStage",
    "StageOption",
    "list_permitted",
    "make_path",
]


@dataclass(frozen=True)
class RequestsAhead:
    """Requests of other gateways that are assumed to precede a request.

    The other gateways have sent them since their last heartbeats, so no load
    report includes them yet.

    :param requests: how many they are.
    :param seconds: seconds since the first of them was sent.
    """

    requests: int = 0
    seconds: float = 0.0


NO_REQUESTS_AHEAD = RequestsAhead()


@dataclass(frozen=True)
class StageOption:
    """An engine, its layers and its free capacity.

    :param target: the engine's name.
    :param layers: the layers that it has loaded.
    :param capacity: its free capacity for a new request, in token-layers.
    :param requests: requests that pass through it now.
    :param slowness: factor on its usual times; above 1 when it is slow.
    :param ahead: requests that are assumed to be on their way to it.
    """

    target: str
    address: Address
    data_centre: str
    accelerator: str
    layers: LayerRange
    capacity: float
    requests: int = 0
    slowness: float = 1.0
    ahead: RequestsAhead = NO_REQUESTS_AHEAD


@dataclass(frozen=True)
class PathStage:
    """An engine and the layers that it runs for one request.

    :param end: one past the last layer.
    """

    target: str
    address: Address
    data_centre: str
    first: int
    end: int


@dataclass(frozen=True)
class Path:
    """The engines of one request, in order.

    :param seconds: the expected time of the whole request, in seconds.
    :param crossings: hops from one data centre to another.
    """

    stages: tuple[PathStage, ...]
    seconds: float
    crossings: int

    @property
    def targets(self) -> tuple[str, ...]:
        """The names of the engines."""
        return tuple(stage.target for stage in self.stages)

    def describe(self) -> str:
        """Return the path as one line for logs."""
        return " ".join(f"{s.target}:{s.first}-{s.end}" for s in self.stages)


def make_path(stages: Sequence[PathStage], seconds: float) -> Path:
    """Return the path over the stages; count its crossings."""
    crossings = sum(
        a.data_centre != b.data_centre
        for a, b in zip(stages, stages[1:], strict=False)
    )
    return Path(tuple(stages), seconds, crossings)


def list_permitted(
    options: Sequence[StageOption], first_engines: Collection[str] | None
) -> list[StageOption]:
    """Return the engines without those that must not be first but would be.

    :param first_engines: the engines that may be first, None for all.
    """
    return [
        option
        for option in options
        if option.layers.first > 0
        or first_engines is None
        or option.target in first_engines
    ]
