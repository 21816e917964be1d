"""A target as it announced itself, and the names of its incarnations."""

from dataclasses import dataclass

from magnoliacove.wire.network import Address

__all__ = [
    "LayerRange",
    "ListedTarget",
    "name_incarnation",
    "split_incarnation",
]

_SEPARATOR = "@"


def name_incarnation(entry: str, incarnation: int) -> str:
    """Return the name of one incarnation of a target.

    :param incarnation: 0 for a target that does not announce one.
    """
    return f"{entry}{_SEPARATOR}{incarnation}" if incarnation else entry


def split_incarnation(name: str) -> tuple[str, int]:
    """Return the name of the entry and the incarnation, 0 for none."""
    entry, _, number = name.rpartition(_SEPARATOR)
    if not entry or not number.isdecimal():
        return name, 0
    return entry, int(number)


@dataclass(frozen=True)
class LayerRange:
    """A range of a model's layers.

    :param end: one past the last layer.
    """

    first: int
    end: int

    @property
    def count(self) -> int:
        """The number of layers in the range."""
        return self.end - self.first

    def intersect(self, other: "LayerRange") -> "LayerRange | None":
        """Return the intersection of both ranges, or None if it is empty."""
        first = max(self.first, other.first)
        end = min(self.end, other.end)
        return LayerRange(first, end) if first < end else None

    def covers(self, first: int, end: int) -> bool:
        """Return whether the range contains all layers of another range."""
        return self.first <= first and end <= self.end


@dataclass(frozen=True)
class ListedTarget:
    """A target as it announced itself.

    :param name: unique for each incarnation of the target.
    :param draining: whether it is leaving and must not get new work.
    :param slots: number of requests that it runs concurrently.
    :param accelerator: the kind of accelerator of a model engine, or "".
    :param layers: the layers that a model engine has loaded, or None.
    :param revision: the store's revision of the entry.
    :param incarnation: start time in milliseconds since the epoch, 0 when
        the target does not announce one.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    draining: bool = False
    slots: int = 1
    accelerator: str = ""
    layers: LayerRange | None = None
    revision: int = 0
    incarnation: int = 0

    @property
    def entry(self) -> str:
        """The name of its entry, by which the target is addressed."""
        return split_incarnation(self.name)[0]
