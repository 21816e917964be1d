"""The engines and targets that could serve a request now."""

from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
import math
import random

import trio

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.engine_status import EngineStatuses
from magnoliacove.directory.health import Health
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.limits.links import BegunHops
from magnoliacove.limits.links import Link
from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.permits import Permits
from magnoliacove.limits.unreported import UnreportedRequests
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import RequestsAhead
from magnoliacove.routing.paths import StageOption

__all__ = ["Candidates", "TargetStatistics"]

# Weight of a new sample in the moving mean of response times.
_SMOOTHING = 0.2
# Response time assumed for a target without samples, in seconds.
_INITIAL_SECONDS = 0.05
# Seconds for which an engine gets no new requests after a refusal: the
# initial and the longest pause, and the time without a refusal after which
# the next pause is the initial one again.
_INITIAL_PAUSE = 0.3
_MAX_PAUSE = 2.4
_PAUSE_RESET_AFTER = 5.0
_NEVER_PAUSED = (0.0, -math.inf)
# Seconds after the end of a suspicion in which a full service waits for a
# report of the engine.
_MAX_UNHEARD = 6.0
# Factor on the expected time of an engine that has a rate limit and accepts
# a request from this gateway now.  It makes the engine preferred, so that
# the allowed rate does not stay unused while equally fast engines fill up.
_LIMITED_TIME_FACTOR = 0.8
# Seconds that one failure adds to the expected time of a target, and
# seconds after which one failure no longer counts.
_FAILURE_PENALTY = 1.0
_FAILURE_DECAY = 5.0


@dataclass
class TargetStatistics:
    """Response times and failures of one target of a plain service.

    :param seconds: moving mean of the response time.
    :param failures: recent failures, decaying over time.
    :param changed_at: when ``failures`` was last updated.
    """

    seconds: float = _INITIAL_SECONDS
    failures: float = 0.0
    changed_at: float = 0.0

    def read_failures(self, now: float) -> float:
        """Return the recent failures, decayed until now."""
        decay = (now - self.changed_at) / _FAILURE_DECAY
        return max(0.0, self.failures - decay)

    def note(self, now: float, *, failed: bool, seconds: float) -> None:
        """Update the statistics with one exchange."""
        self.failures = self.read_failures(now) + (1.0 if failed else 0.0)
        self.changed_at = now
        if not failed:
            # Each success cancels a quarter of a failure.
            self.failures = max(0.0, self.failures - 0.25)
            self.seconds += _SMOOTHING * (seconds - self.seconds)


class Candidates:
    """Finds the engines and targets that could serve a request."""

    def __init__(
        self,
        data_centre: str,
        targets: TargetList,
        health: Health,
        statuses: EngineStatuses,
        loads: LoadBook,
        unreported: UnreportedRequests,
        permits: Permits,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._targets = targets
        self._health = health
        self._statuses = statuses
        self._loads = loads
        self._unreported = unreported
        self._permits = permits
        self._rng = rng
        self._begun_hops = BegunHops()
        self._statistics: dict[str, TargetStatistics] = {}
        self._paused: dict[str, tuple[float, float]] = {}
        # When each engine last accepted a request of this gateway.
        self._accepted_at: dict[str, float] = {}

    # Model engines.

    def list_options(
        self,
        service: str,
        shape: ModelShape,
        avoided: Collection[str] = (),
        *,
        beyond_limits: bool = False,
        paused: bool = False,
        heard_only: bool = False,
    ) -> list[StageOption]:
        """Return the usable engines of a model with layers and capacity.

        :param avoided: engines to leave out.
        :param beyond_limits: include engines to which this gateway may not
            send a request now, if a preceding engine of the path would
            forward the request to them.
        :param paused: return those that are paused after a refusal, and no
            others.
        :param heard_only: leave out engines that were suspected and have not
            reported since.  No request is known there, so that all that wait
            would be sent to a failed engine when its suspicion ends.
        """
        now = trio.current_time()
        options = []
        for target in self._targets.list_service(service):
            if target.name in avoided or not self._health.is_usable(
                target.name
            ):
                continue
            status = self._statuses.read(target)
            if status.layers is None:
                continue
            if target.accelerator not in shape.accelerators:
                continue
            if self._permits.is_closed(target.name):
                continue
            if heard_only and self._is_unheard(target.name, now):
                continue
            permitted = self._permits.may_send(target.name)
            inner = status.layers.first > 0
            if not permitted and not (beyond_limits and inner):
                continue
            load = self._loads.read(target.name)
            capacity = shape.compute_capacity(
                target.accelerator, status.layers.count
            )
            is_paused = self._paused.get(target.name, _NEVER_PAUSED)[1] > now
            if is_paused is not paused:
                continue
            options.append(
                StageOption(
                    target.name,
                    target.address,
                    target.data_centre,
                    target.accelerator,
                    status.layers,
                    # Reservations include tokens that are not generated
                    # yet.  Used memory includes requests of gateways
                    # that crashed, which have no reservation.  The
                    # larger of the two is subtracted.
                    capacity - max(load.token_layers, status.used),
                    load.requests,
                    status.slowness * self._choose_time_factor(target.name),
                )
            )
        return options

    def _is_unheard(self, target: str, now: float) -> bool:
        """Return whether a target has not reported since it was suspected.

        Reports come through the placement leader.  When none is recent, or
        after some time, the engine is tried all the same.
        """
        suspicion = self._health.read_last_suspicion(target)
        if suspicion is None or now - suspicion[1] > _MAX_UNHEARD:
            return False
        if self._statuses.was_heard_since(target, suspicion[0]):
            return False
        return bool(self._statuses.list_fresh())

    def sample_ahead(self, service: str) -> RequestsAhead:
        """Sample how many requests of others are assumed to go first.

        They include the requests that pass through failed engines according
        to the last heartbeats: their gateways reroute them now, as this
        process reroutes its own.
        """
        engines = self._targets.list_service(service)
        displaced = sum(
            self._loads.read_others(engine.name).requests
            for engine in engines
            if self._health.is_failed(engine.name)
        )
        return self._unreported.sample_ahead(
            service, self._rng, displaced, len(engines)
        )

    def sample_displaced(
        self, failed_engines: Collection[str]
    ) -> RequestsAhead:
        """Sample how many requests of others are rerouted before this one.

        All gateways detect a failure within milliseconds of each other, and
        each reroutes its own requests before it receives the new paths of
        the others.

        :param failed_engines: the engines that failed at the same time.
        """
        affected = sum(
            self._loads.read_others(target).requests
            for target in failed_engines
        )
        return RequestsAhead(int(self._rng.uniform(0.0, affected + 1.0)))

    def covers_all_layers(self, service: str, shape: ModelShape) -> bool:
        """Return whether usable engines have loaded every layer of a model.

        Capacity and pauses after refusals are ignored, since both may change
        at any moment.
        """
        loaded: set[int] = set()
        for target in self._targets.list_service(service):
            layers = self._statuses.read(target).layers
            if layers is not None and self._health.is_usable(target.name):
                loaded.update(range(layers.first, layers.end))
        return loaded >= set(range(shape.layers))

    def make_costs(
        self, shape: ModelShape, prompt: float, answer: float
    ) -> PathCosts:
        """Return the cost model of a request for the engines of a model.

        :param prompt: tokens of the prompt.
        :param answer: expected tokens of the answer.
        """
        now = trio.current_time()
        self._begun_hops.update(self._loads.begun_crossings, now)
        crossing = Link.of_shape(shape).estimate_hop_seconds(
            prompt, answer, self._begun_hops, now
        )
        return PathCosts(shape, prompt, answer, crossing)

    def may_cross(self, shape: ModelShape) -> bool:
        """Return whether a request may begin to cross the link."""
        now = trio.current_time()
        self._begun_hops.update(self._loads.begun_crossings, now)
        return Link.of_shape(shape).may_begin(
            self._begun_hops, self._loads.all_crossings, now
        )

    def note_accepted(self, targets: Collection[str]) -> None:
        """Record that the engines of a path accepted a request."""
        now = trio.current_time()
        for target in targets:
            self._accepted_at[target] = now

    def pause_full_engine(self, target: str) -> None:
        """Block new requests to an engine that had no capacity for one.

        The engine works, so the pause doubles only if it accepted nothing
        since the last one.  Pauses differ between gateways: if all ended at
        once, all requests that wait would be sent there together.
        """
        now = trio.current_time()
        pause, until = self._paused.get(target, _NEVER_PAUSED)
        if until > now:
            return
        accepted = self._accepted_at.get(target, -math.inf) > until - pause
        repeated = now - until < _PAUSE_RESET_AFTER and not accepted
        pause = min(pause * 2, _MAX_PAUSE) if repeated else _INITIAL_PAUSE
        seconds = pause * self._rng.uniform(0.5, 1.5)
        self._paused[target] = (pause, now + seconds)

    def pause_engine(self, target: str) -> None:
        """Block new requests to an engine that refused or reset one.

        The engine has no capacity, or gives up layers, or leaves, and the
        status update has not arrived yet; or it resets requests although
        its reports are good.  Nearly all paths begin at the fastest engine:
        without a pause, a thousand streams were sent to an engine that reset
        each of them, which exhausted the retry budget.  The pause doubles
        with each repetition, so each gateway loses only a few requests to
        such an engine.
        """
        now = trio.current_time()
        pause, until = self._paused.get(target, _NEVER_PAUSED)
        if until > now:
            return
        repeated = now - until < _PAUSE_RESET_AFTER
        pause = min(pause * 2, _MAX_PAUSE) if repeated else _INITIAL_PAUSE
        self._paused[target] = (pause, now + pause)

    def read_first_engine_wait(self, service: str, waiting: int) -> float:
        """Return seconds until a first engine of a model accepts a request.

        :param waiting: requests that are sent before it.
        :returns: 0 when an engine accepts requests now or no first engine
            is known, infinity when this gateway has no share of their
            limits.
        """
        first_engines = [
            target.name
            for target in self._targets.list_service(service)
            if self._health.is_usable(target.name)
            and self._runs_first_layer(target)
        ]
        wait = min(map(self._permits.read_wait, first_engines), default=0.0)
        rate = sum(map(self._permits.read_rate, first_engines))
        return wait + waiting / rate if rate else wait

    def _runs_first_layer(self, target: ListedTarget) -> bool:
        layers = self._statuses.read(target).layers
        return layers is not None and layers.first == 0

    # Plain services.

    def read_wait(self, service: str) -> float:
        """Return seconds until a target of a plain service accepts a request.

        :returns: infinity when no target accepts requests for now.
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
        """Return the target with the shortest expected time, or None.

        Suspected targets are chosen only when no other target is left.

        :param tried: targets to leave out.
        :param among: the only targets to choose from, None for all.
        """
        permitted = [
            target
            for target in self._targets.list_service(service)
            if target.name not in tried
            and self._permits.may_send(target.name)
            and (among is None or target.name in among)
        ]
        usable = [t for t in permitted if self._health.is_usable(t.name)]
        choice: Sequence[ListedTarget] = usable or permitted
        if not choice:
            return None
        now = trio.current_time()
        return min(choice, key=lambda target: self._rank(target, now))

    def read_statistics(self, target: str) -> TargetStatistics:
        """Return the statistics of a target."""
        return self._statistics.setdefault(target, TargetStatistics())

    def discard_unlisted(self, listed: set[str]) -> None:
        """Discard the state of targets that no longer exist.

        :param listed: the names of the targets that exist.
        """
        for name in set(self._statistics) - listed:
            del self._statistics[name]
        for name in set(self._paused) - listed:
            del self._paused[name]
        for name in set(self._accepted_at) - listed:
            del self._accepted_at[name]

    def _rank(self, target: ListedTarget, now: float) -> tuple[float, float]:
        statistics = self.read_statistics(target.name)
        running = self._loads.read(target.name).requests
        turns = 1 + running / max(1, target.slots)
        failures = statistics.read_failures(now) * _FAILURE_PENALTY
        seconds = (
            statistics.seconds * turns * self._choose_time_factor(target.name)
        )
        # Ties are broken at random, so that gateways do not all choose the
        # same target.
        return failures + seconds, self._rng.random()

    def _choose_time_factor(self, target: str) -> float:
        """Return the factor on the expected time of a target."""
        if not self._permits.is_limited(target):
            return 1.0
        return _LIMITED_TIME_FACTOR if self._permits.may_send(target) else 1.0
