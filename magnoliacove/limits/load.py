"""The load of each target: own requests and those of the other gateways.

The engines' own reports lag.  The requests that this process sends are
counted at once, and those of the other gateways with their next heartbeat.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from magnoliacove.routing.paths import Path

__all__ = ["LoadBook", "Reservation", "TargetLoad"]


@dataclass(frozen=True)
class TargetLoad:
    """The load of one target.

    :param requests: number of requests.
    :param token_layers: the memory that they will occupy at their end, in
        tokens times layers.
    """

    requests: int = 0
    token_layers: float = 0.0

    def add(self, requests: int, token_layers: float) -> "TargetLoad":
        """Return the sum with a load, which may be negative."""
        return TargetLoad(
            self.requests + requests, self.token_layers + token_layers
        )


@dataclass(frozen=True)
class Reservation:
    """The capacity of targets that one request occupies.

    :param parts: target names and token-layers.
    :param crossings: hops between data centres on the path.
    """

    parts: tuple[tuple[str, float], ...]
    crossings: int = 0


_NO_LOAD = TargetLoad()


@dataclass(slots=True)
class _Total:
    """A running sum, updated in place some thousand times a second."""

    requests: int = 0
    token_layers: float = 0.0


@dataclass(frozen=True)
class _Report:
    """The load that another gateway reported."""

    loads: Mapping[str, TargetLoad]
    crossings: int


class LoadBook:
    """The load of every target, from this gateway and all others.

    The load of other gateways is kept as running sums: a gateway's previous
    report is subtracted and its new one added.  Adding up the reports of all
    gateways at each heartbeat would cost the square of their number, and
    callers of small instances in a large fleet would wait for it.

    :ivar crossings: hops between data centres of this gateway's requests.
    :ivar begun_crossings: such hops that all gateways ever began.  Of other
        gateways it includes what their reports grew by.
    """

    def __init__(self) -> None:
        self.crossings = 0
        self.begun_crossings = 0
        self._own: dict[str, TargetLoad] = {}
        self._others: dict[str, _Report] = {}
        self._sums: dict[str, _Total] = {}
        self._other_crossings = 0

    @property
    def all_crossings(self) -> int:
        """Hops between data centres of all requests of all gateways."""
        return self.crossings + self._other_crossings

    def reserve_path(self, path: Path, tokens: float) -> Reservation:
        """Count a request on every engine of a path."""
        parts = tuple(
            (stage.target, tokens * (stage.end - stage.first))
            for stage in path.stages
        )
        self.begun_crossings += path.crossings
        return self.reserve(Reservation(parts, path.crossings))

    def reserve_target(self, target: str) -> Reservation:
        """Count a request at one target."""
        return self.reserve(Reservation(((target, 0.0),)))

    def reserve(self, reservation: Reservation) -> Reservation:
        """Count a request on the targets of a reservation."""
        self.crossings += reservation.crossings
        for target, token_layers in reservation.parts:
            load = self._own.get(target, _NO_LOAD)
            self._own[target] = load.add(1, token_layers)
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Stop counting a request."""
        self.crossings -= reservation.crossings
        for target, token_layers in reservation.parts:
            remaining = self._own[target].add(-1, -token_layers)
            if remaining.requests > 0:
                self._own[target] = remaining
            else:
                del self._own[target]

    def read(self, target: str) -> TargetLoad:
        """Return the known load of a target, from all gateways."""
        own = self._own.get(target, _NO_LOAD)
        others = self.read_others(target)
        return own.add(others.requests, others.token_layers)

    def read_others(self, target: str) -> TargetLoad:
        """Return the load of a target that other gateways reported."""
        total = self._sums.get(target)
        if total is None:
            return _NO_LOAD
        return TargetLoad(total.requests, total.token_layers)

    def list_own(self) -> Mapping[str, TargetLoad]:
        """Return the load of each target from this process."""
        return self._own

    def take_others(
        self, gateway: str, loads: Mapping[str, TargetLoad], crossings: int
    ) -> None:
        """Replace the load that another gateway reported."""
        known = self._others.get(gateway)
        if known is not None:
            self.begun_crossings += max(0, crossings - known.crossings)
        self._subtract(gateway)
        report = _Report(loads, crossings)
        self._others[gateway] = report
        self._other_crossings += crossings
        for target, load in loads.items():
            self._add(target, load.requests, load.token_layers)

    def forget_peers(self, gateways: Iterable[str]) -> None:
        """Discard the reports of gateways that are unreachable."""
        for gateway in gateways:
            self._subtract(gateway)

    def _subtract(self, gateway: str) -> None:
        """Subtract a gateway's last report from the sums."""
        previous = self._others.pop(gateway, None)
        if previous is None:
            return
        self._other_crossings -= previous.crossings
        for target, load in previous.loads.items():
            self._add(target, -load.requests, -load.token_layers)

    def _add(self, target: str, requests: int, token_layers: float) -> None:
        total = self._sums.get(target)
        if total is None:
            total = self._sums[target] = _Total()
        total.requests += requests
        # Token-layers are whole numbers, so the sums have no rounding error.
        total.token_layers += token_layers
        if not total.requests and not total.token_layers:
            del self._sums[target]
