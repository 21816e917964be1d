"""The engines and targets that could serve a request now."""

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
import math
import random

import trio

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.health import Health
from magnoliacove.directory.holdings import Holdings
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.permits import Permits
from magnoliacove.limits.unheard import UnheardRequests
from magnoliacove.routing.paths import Ahead
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import StageOption

__all__ = ["Candidates", "TargetRecord"]

# The part of the pipe between data centres that requests may use.  The
# rest lets a prompt's transfer pass before it delays others' tokens.
_PIPE_SHARE = 0.75
# A usual stream lasts about so long, in seconds.
_STREAM_SECONDS = 3.0
_SMOOTHING = 0.2
_START_SECONDS = 0.05
# How long an engine that refused is left alone, at first and at most, and
# after how long without a refusal it begins anew; seconds.
_FIRST_PAUSE = 0.3
_MOST_PAUSE = 2.4
_REFUSAL_FORGIVEN = 5.0
_NEVER_REFUSED = (0.0, -math.inf)
# What an engine with a limit is taken to need of its time while it takes a
# request from this gateway: what it takes is not left unused while others, as
# quick as it is, fill up.
_TAKING_PART = 0.8
# What one failure adds to a target's expected time, in seconds, and how
# fast that fades.
_FAILURE_SECONDS = 1.0
_FAILURE_FADES = 5.0


@dataclass
class TargetRecord:
    """What this process learned of one target of a plain service.

    :param seconds: how long answers take, as a moving mean.
    :param failures: recent failures, fading.
    """

    seconds: float = _START_SECONDS
    failures: float = 0.0
    changed_at: float = 0.0

    def read_failures(self, now: float) -> float:
        """Return the failures that still count."""
        fade = (now - self.changed_at) / _FAILURE_FADES
        return max(0.0, self.failures - fade)

    def note(self, now: float, *, failed: bool, seconds: float) -> None:
        """Learn from one exchange."""
        self.failures = self.read_failures(now) + (1.0 if failed else 0.0)
        self.changed_at = now
        if not failed:
            self.failures = max(0.0, self.failures - 0.25)
            self.seconds += _SMOOTHING * (seconds - self.seconds)


class Candidates:
    """Answers who could serve a request, best first."""

    def __init__(
        self,
        data_centre: str,
        targets: TargetList,
        health: Health,
        holdings: Holdings,
        loads: LoadBook,
        unheard: UnheardRequests,
        permits: Permits,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._health = health
        self._holdings = holdings
        self._loads = loads
        self._unheard = unheard
        self._permits = permits
        self._rng = rng
        self._records: dict[str, TargetRecord] = {}
        self._refused: dict[str, tuple[float, float]] = {}

    # Model engines.

    def list_options(
        self,
        service: str,
        shape: ModelShape,
        avoided: Collection[str] = (),
        *,
        beyond_limits: bool = False,
    ) -> list[StageOption]:
        """Return the engines of a model with their layers and room.

        :param avoided: engines that are not to be used.
        :param beyond_limits: also engines that may be sent no request now,
            where another engine would hand it on to them.
        """
        now = trio.current_time()
        options = []
        for target in self._targets.list_service(service):
            if target.name in avoided or not self._health.is_usable(
                target.name
            ):
                continue
            holding = self._holdings.read(target)
            if holding.layers is None:
                continue
            if target.accelerator not in shape.accelerators:
                continue
            if self._permits.is_closed(target.name):
                continue
            taking = self._permits.may_send(target.name)
            inner = holding.layers.first > 0
            if not taking and not (beyond_limits and inner):
                continue
            load = self._loads.read(target.name)
            room = shape.compute_capacity(
                target.accelerator, holding.layers.count
            )
            if self._refused.get(target.name, _NEVER_REFUSED)[1] > now:
                continue
            options.append(
                StageOption(
                    target.name,
                    target.address,
                    target.data_centre,
                    target.accelerator,
                    holding.layers,
                    # What is reserved grows to its end, and what is used
                    # may belong to requests of an entry that died; the
                    # larger of both is taken.
                    room - max(load.token_layers, holding.used),
                    load.requests,
                    holding.slowness * self._read_favour(target.name),
                )
            )
        return options

    def draw_ahead(self, service: str) -> Ahead:
        """Return requests of others to place before one of a model.

        Among them are those that pass through lost engines by the last news:
        whoever sent them leads them elsewhere now, as this process does.
        """
        displaced = sum(
            self._loads.read_others(target.name).requests
            for target in self._targets.list_service(service)
            if self._is_lost(target.name)
        )
        return self._unheard.draw(service, self._rng, displaced)

    def draw_displaced(self, lost: Collection[str]) -> Ahead:
        """Return requests of others to lead around lost engines before one.

        All gateways learn of a loss within milliseconds, and each leads its
        own requests around it before it hears where the others lead theirs.
        """
        passing = sum(
            self._loads.read_others(target).requests for target in lost
        )
        return Ahead(int(self._rng.uniform(0.0, passing + 1.0)))

    def _is_lost(self, target: str) -> bool:
        suspicion = self._health.find(target)
        return suspicion is not None and not suspicion.leaving

    def is_whole(self, service: str, shape: ModelShape) -> bool:
        """Return whether usable engines hold every layer of a model.

        Whether they have room, or are left alone for a moment, does not
        matter: both may change at once.
        """
        held: set[int] = set()
        for target in self._targets.list_service(service):
            layers = self._holdings.read(target).layers
            if layers is not None and self._health.is_usable(target.name):
                held.update(range(layers.first, layers.end))
        return held >= set(range(shape.layers))

    def make_costs(
        self, shape: ModelShape, prompt: float, answer: float
    ) -> PathCosts:
        """Return what a request of a model costs on its engines."""
        crossing = 0.0
        if shape.link_mbps > 0:
            bits = (prompt + answer) * shape.hop_bytes * 8
            busy = self._loads.all_crossings / max(
                1.0, self.count_crossings(shape)
            )
            crossing = bits / (shape.link_mbps * 1e6) * (1 + 4 * busy)
        return PathCosts(shape, prompt, answer, crossing)

    def count_crossings(self, shape: ModelShape) -> float:
        """Return how many hops between data centres may run at a time."""
        bytes_a_second = shape.link_mbps * 1e6 / 8
        needed = shape.hop_bytes * shape.usual_tokens / _STREAM_SECONDS
        return _PIPE_SHARE * bytes_a_second / needed if needed else 1e9

    def may_cross(self, shape: ModelShape) -> bool:
        """Return whether the pipe between data centres has room."""
        return self._loads.all_crossings < self.count_crossings(shape)

    def note_trouble(self, target: str) -> None:
        """Keep new requests off an engine that refused or broke off one.

        It had no room after all, or gives layers up, or leaves, and the
        news of that is still on its way; or it resets requests while its
        reports are good.  Nearly all paths begin at the quickest engine: a
        thousand streams were sent to one that reset each of them, and used
        up the budget of repeats.  One that does so again is left alone for
        twice as long, so each gateway loses a few requests to it at most.
        """
        now = trio.current_time()
        pause, until = self._refused.get(target, _NEVER_REFUSED)
        if until > now:
            return
        again = now - until < _REFUSAL_FORGIVEN
        pause = min(pause * 2, _MOST_PAUSE) if again else _FIRST_PAUSE
        self._refused[target] = (pause, now + pause)

    def read_first_wait(self, service: str, waiting: int) -> float:
        """Return seconds until a model's first engines take a request.

        :param waiting: requests that go before it.
        :returns: 0 when one takes any or none is known, infinity when this
            gateway has no part of their limits.
        """
        firsts = [
            target.name
            for target in self._targets.list_service(service)
            if self._health.is_usable(target.name) and self._is_first(target)
        ]
        wait = min(map(self._permits.read_wait, firsts), default=0.0)
        rate = sum(map(self._permits.read_rate, firsts))
        return wait + waiting / rate if rate else wait

    def _is_first(self, target: ListedTarget) -> bool:
        layers = self._holdings.read(target).layers
        return layers is not None and layers.first == 0

    # Plain services.

    def read_wait(self, service: str) -> float:
        """Return seconds until a plain service takes a request.

        :returns: infinity when no target may be sent one for now.
        """
        waits = [
            self._permits.read_wait(target.name)
            for target in self._targets.list_service(service)
        ]
        return min(waits, default=0.0)

    def choose_target(
        self,
        service: str,
        tried: Collection[str],
        among: Collection[str] | None = None,
    ) -> ListedTarget | None:
        """Return the target that is expected to answer first, or None.

        :param tried: targets that are left out.
        :param among: the only targets to choose from, None for all.
        """
        found = [
            target
            for target in self._targets.list_service(service)
            if target.name not in tried
            and self._permits.may_send(target.name)
            and (among is None or target.name in among)
        ]
        usable = [t for t in found if self._health.is_usable(t.name)]
        choice: Sequence[ListedTarget] = usable or found
        if not choice:
            return None
        now = trio.current_time()
        return min(choice, key=lambda target: self._expect(target, now))

    def read_record(self, target: str) -> TargetRecord:
        """Return what was learned of a target."""
        return self._records.setdefault(target, TargetRecord())

    def forget(self, known: set[str]) -> None:
        """Drop what was learned of targets that no longer exist."""
        for name in set(self._records) - known:
            del self._records[name]
        for name in set(self._refused) - known:
            del self._refused[name]

    def _expect(self, target: ListedTarget, now: float) -> tuple[float, float]:
        record = self.read_record(target.name)
        running = self._loads.read(target.name).requests
        turns = 1 + running / max(1, target.slots)
        failures = record.read_failures(now) * _FAILURE_SECONDS
        seconds = record.seconds * turns * self._read_favour(target.name)
        # Equals are drawn, so that entries do not all choose the first.
        return failures + seconds, self._rng.random()

    def _read_favour(self, target: str) -> float:
        """Return the part of its time that a target is taken to need."""
        if not self._permits.is_limited(target):
            return 1.0
        return _TAKING_PART if self._permits.may_send(target) else 1.0
