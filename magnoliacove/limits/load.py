"""What runs where: own requests, and what the other entries say.

Engines' reports lag.  What this process sent is known at once, and what
the others sent reaches it with their next heartbeat.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from magnoliacove.routing.paths import Path

__all__ = ["LoadBook", "Reservation", "TargetLoad"]


@dataclass(frozen=True)
class TargetLoad:
    """What passes through one target.

    :param requests: how many requests.
    :param token_layers: the memory that they will hold at their end.
    """

    requests: int = 0
    token_layers: float = 0.0

    def add(self, requests: int, token_layers: float) -> "TargetLoad":
        """Return the load with some more of it, or less."""
        return TargetLoad(
            self.requests + requests, self.token_layers + token_layers
        )


@dataclass(frozen=True)
class Reservation:
    """The parts of targets that one request holds.

    :param parts: target names and token-layers.
    """

    parts: tuple[tuple[str, float], ...]
    crossings: int = 0


_NOTHING = TargetLoad()


@dataclass(slots=True)
class _Total:
    """A running sum; changed in place, some thousand times a second."""

    requests: int = 0
    token_layers: float = 0.0


@dataclass(frozen=True)
class _Report:
    """What another entry said of its own load."""

    loads: Mapping[str, TargetLoad]
    crossings: int


class LoadBook:
    """The load of every target, own and others'.

    The others' loads are kept as running sums: what an entry said before is
    taken off, what it says now is added.  Adding up all entries for each
    heartbeat costs the square of their number, and callers of a large fleet's
    small instances would wait for it.
    """

    def __init__(self) -> None:
        self.crossings = 0
        self._own: dict[str, TargetLoad] = {}
        self._others: dict[str, _Report] = {}
        self._sums: dict[str, _Total] = {}
        self._other_crossings = 0

    @property
    def all_crossings(self) -> int:
        """Hops between data centres of all requests of all entries."""
        return self.crossings + self._other_crossings

    def reserve_path(self, path: Path, tokens: float) -> Reservation:
        """Count a request on every engine of its path."""
        parts = tuple(
            (stage.target, tokens * (stage.end - stage.first))
            for stage in path.stages
        )
        return self._reserve(Reservation(parts, path.crossings))

    def reserve_target(self, target: str) -> Reservation:
        """Count a request at one target."""
        return self._reserve(Reservation(((target, 0.0),)))

    def release(self, reservation: Reservation) -> None:
        """Count a request no longer."""
        self.crossings -= reservation.crossings
        for target, token_layers in reservation.parts:
            left = self._own[target].add(-1, -token_layers)
            if left.requests > 0:
                self._own[target] = left
            else:
                del self._own[target]

    def read(self, target: str) -> TargetLoad:
        """Return what passes through a target, as far as is known."""
        own = self._own.get(target, _NOTHING)
        others = self.read_others(target)
        return own.add(others.requests, others.token_layers)

    def read_others(self, target: str) -> TargetLoad:
        """Return what other entries said that passes through a target."""
        total = self._sums.get(target)
        if total is None:
            return _NOTHING
        return TargetLoad(total.requests, total.token_layers)

    def list_own(self) -> Mapping[str, TargetLoad]:
        """Return the load that this process caused."""
        return self._own

    def take_others(
        self, entry: str, loads: Mapping[str, TargetLoad], crossings: int
    ) -> None:
        """Take what another entry says of its own load."""
        self._take_off(entry)
        report = _Report(loads, crossings)
        self._others[entry] = report
        self._other_crossings += crossings
        for target, load in loads.items():
            self._add(target, load.requests, load.token_layers)

    def forget(self, entries: Iterable[str]) -> None:
        """Drop what entries said that are gone."""
        for entry in entries:
            self._take_off(entry)

    def _reserve(self, reservation: Reservation) -> Reservation:
        self.crossings += reservation.crossings
        for target, token_layers in reservation.parts:
            load = self._own.get(target, _NOTHING)
            self._own[target] = load.add(1, token_layers)
        return reservation

    def _take_off(self, entry: str) -> None:
        """Take what an entry said last off the sums."""
        before = self._others.pop(entry, None)
        if before is None:
            return
        self._other_crossings -= before.crossings
        for target, load in before.loads.items():
            self._add(target, -load.requests, -load.token_layers)

    def _add(self, target: str, requests: int, token_layers: float) -> None:
        total = self._sums.get(target)
        if total is None:
            total = self._sums[target] = _Total()
        total.requests += requests
        # Token-layers come as whole numbers, so nothing is left by rounding.
        total.token_layers += token_layers
        if not total.requests and not total.token_layers:
            del self._sums[target]
