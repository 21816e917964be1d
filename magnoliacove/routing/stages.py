"""Engines that a request could pass through, and the path that it takes."""

from collections.abc import Sequence
from dataclasses import dataclass

from magnoliacove.directory.listed import LayerRange
from magnoliacove.wire.network import Address

__all__ = [
    "NONE_AHEAD",
    "Ahead",
    "Path",
    "PathStage",
    "StageOption",
    "make_path",
]


@dataclass(frozen=True)
class Ahead:
    """Requests of other gateways that are taken to be placed already.

    They went out since the others were last heard, so no news tells of them
    yet.

    :param seconds: how long ago the first of them went out.
    """

    requests: int = 0
    seconds: float = 0.0


NONE_AHEAD = Ahead()


@dataclass(frozen=True)
class StageOption:
    """An engine and what it could run.

    :param target: the engine's name.
    :param layers: what it holds.
    :param room: token-layers of memory that are free for a new request.
    :param requests: requests that pass through it now.
    :param slowness: 1 for usual speed, more when it is slow.
    :param ahead: requests that are taken to be on their way to it.
    """

    target: str
    address: Address
    data_centre: str
    accelerator: str
    layers: LayerRange
    room: float
    requests: int = 0
    slowness: float = 1.0
    ahead: Ahead = NONE_AHEAD


@dataclass(frozen=True)
class PathStage:
    """An engine and the layers that it runs for one request."""

    target: str
    address: Address
    data_centre: str
    first: int
    end: int


@dataclass(frozen=True)
class Path:
    """The engines of one request, in order.

    :param seconds: the expected time of the whole request.
    :param crossings: how often it goes from one data centre to another.
    """

    stages: tuple[PathStage, ...]
    seconds: float
    crossings: int

    @property
    def targets(self) -> tuple[str, ...]:
        """The names of the engines."""
        return tuple(stage.target for stage in self.stages)

    def describe(self) -> str:
        """Return the path in one line, for logs."""
        return " ".join(f"{s.target}:{s.first}-{s.end}" for s in self.stages)


def make_path(stages: Sequence[PathStage], seconds: float) -> Path:
    """Return the path of some stages, with its crossings counted."""
    crossings = sum(
        a.data_centre != b.data_centre
        for a, b in zip(stages, stages[1:], strict=False)
    )
    return Path(tuple(stages), seconds, crossings)
