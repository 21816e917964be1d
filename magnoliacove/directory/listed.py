"""One target as it announced itself, and the names of its incarnations."""

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

    :param incarnation: 0 for a target that does not tell it.
    """
    return f"{entry}{_SEPARATOR}{incarnation}" if incarnation else entry


def split_incarnation(name: str) -> tuple[str, int]:
    """Return the entry's name and the incarnation, 0 for none."""
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
        """How many layers the range has."""
        return self.end - self.first

    def intersect(self, other: "LayerRange") -> "LayerRange | None":
        """Return the layers that both ranges have, or None."""
        first = max(self.first, other.first)
        end = min(self.end, other.end)
        return LayerRange(first, end) if first < end else None

    def covers(self, first: int, end: int) -> bool:
        """Return whether another range lies within this one."""
        return self.first <= first and end <= self.end


@dataclass(frozen=True)
class ListedTarget:
    """A target as it announced itself.

    :param name: differs from that of each other incarnation.
    :param draining: it is leaving and is to get no new work.
    :param slots: how many requests it runs at a time.
    :param accelerator: the kind of accelerator of a model engine, or "".
    :param layers: what a model engine holds, or None.
    :param revision: the store's revision of the entry.
    :param incarnation: milliseconds of its start since 1970, 0 when the
        target does not tell.
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
        """The name of its entry, to which the target answers."""
        return split_incarnation(self.name)[0]
