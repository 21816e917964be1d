"""Reservations of paths, and of capacity on their engines, for streams."""

from collections.abc import Collection
from dataclasses import dataclass

from magnoliacove import errors
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.load import Reservation
from magnoliacove.routing.bottlenecks import describe_bottlenecks
from magnoliacove.routing.bottlenecks import find_obstacles
from magnoliacove.routing.paths import NO_REQUESTS_AHEAD
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import RequestsAhead
from magnoliacove.routing.paths import StageOption
from magnoliacove.routing.paths import find_path

__all__ = ["PathReservation", "ReservedPath"]

# The fraction of the answer's likely length that is reserved; streams in
# progress have written half of their answers on average.
_RESERVED_ANSWER_FRACTION = 0.8


@dataclass(frozen=True)
class _Search:
    """What one search for a path may use.

    :param avoided: engines that the path must not contain.
    :param beyond_limits: whether it may exceed the engines' request limits.
    :param shared: whether it may use only this gateway's share of what is
        free.
    """

    avoided: Collection[str]
    beyond_limits: bool = False
    shared: bool = False


@dataclass(frozen=True)
class ReservedPath:
    """A path with the capacity that is reserved on it.

    :param first: the first engine of the path.
    """

    path: Path
    first: ListedTarget
    reservation: Reservation

    def read_reserved(self, target: str) -> float:
        """Return what is reserved on an engine, in token-layers."""
        return dict(self.reservation.parts).get(target, 0.0)


class PathReservation:
    """Finds, reserves and releases the paths of one stream.

    A stream has one current path, and a second one just before it changes to
    it.
    """

    def __init__(self, state: GatewayState, routed: RoutedRequest) -> None:
        self.shape = _require_shape(routed)
        self._state = state
        self._routed = routed
        self._answer_tokens = _estimate_answer_tokens(routed, self.shape)
        self._current: ReservedPath | None = None
        self._next: ReservedPath | None = None
        self._avoided: set[str] = set()
        self._first_engines: set[str] = set()
        self._waiting_recorded = False

    @property
    def path(self) -> Path | None:
        """The current path, or None while there is none."""
        return self._current.path if self._current else None

    @property
    def first_target(self) -> ListedTarget | None:
        """The first engine of the current path."""
        return self._current.first if self._current else None

    @property
    def current(self) -> ReservedPath | None:
        """The current path and what is reserved on it."""
        return self._current

    @property
    def next(self) -> ReservedPath | None:
        """The path to change to, while the current one is still used."""
        return self._next

    def read_tokens(self) -> tuple[float, float]:
        """Return the numbers of prompt tokens and of tokens to generate."""
        prompt = (
            self._routed.caller_headers.prompt_tokens
            or self.shape.usual_prompt
        )
        return prompt, self._answer_tokens * _RESERVED_ANSWER_FRACTION

    def read_capacity(self, target: ListedTarget) -> float:
        """Return an engine's memory for requests, in token-layers."""
        layers = self._state.engine_statuses.read(target).layers
        if layers is None or target.accelerator not in self.shape.accelerators:
            return 0.0
        return self.shape.compute_capacity(target.accelerator, layers.count)

    def avoid(self, *targets: str) -> None:
        """Use engines only if there is no path without them."""
        self._avoided.update(targets)

    def reserve(self, *, begun: bool = False) -> Path | None:
        """Reserve a path with capacity; return None when there is none.

        Engines on which this stream failed or was refused are used only if
        there is no path without them.

        :param begun: whether the answer has begun, so that it may use what is
            free before the requests of other gateways that have not.
        """
        shared = not begun and self._is_full()
        reserved = self._reserve_share() if shared else None
        if not shared:
            reserved = self._try_reserve(self._avoided, ())
        if reserved is None:
            self._note_waiting()
            return None
        self._use(reserved)
        gaps = self._state.get_gap_estimator(self._routed.service.name)
        gaps.note(True)
        return reserved.path

    def reserve_next(
        self,
        avoided: Collection[str],
        excluded: Collection[str] = (),
        *,
        separate: bool = False,
    ) -> Path | None:
        """Reserve a path to change to while the current one is still used.

        The capacity of the current path counts as free, since the change
        releases it.

        :param avoided: engines that the new path and all later ones contain
            only if there is no path without them.
        :param excluded: those among them that the new path must not contain.
        :param separate: whether a path without any engine of the current one
            comes first, even if it is slower.
        """
        if separate and self._reserve_separate(avoided):
            self.avoid(*avoided)
            return self._next.path if self._next else None
        loads, current = self._state.loads, self._current
        if current is not None:
            loads.release(current.reservation)
        try:
            self._next = self._try_reserve(
                self._avoided.union(avoided), excluded
            )
        finally:
            if current is not None:
                loads.reserve(current.reservation)
        if self._next is None:
            return None
        self.avoid(*avoided)
        return self._next.path

    def _reserve_separate(self, avoided: Collection[str]) -> bool:
        """Reserve a path that shares no engine with the current one."""
        used = self.path.targets if self.path else ()
        excluded = self._avoided.union(avoided, used)
        self._next = self._try_reserve(excluded, excluded)
        return self._next is not None

    @property
    def has_separate_next(self) -> bool:
        """Whether the two paths have no engine in common.

        An engine names a request by its id and has no room for it twice, so
        the two runs of a stream must not meet.
        """
        if self._current is None or self._next is None:
            return False
        used = self._current.path.targets
        return set(used).isdisjoint(self._next.path.targets)

    def take_next(self, *, accepted: bool = False) -> bool:
        """Make the path that was reserved beforehand the current one.

        :param accepted: whether its first engine has begun the run.
        :returns: False when there is none, or one of its engines was lost
            since then and it has not begun the run.
        """
        reserved = self._next
        if reserved is None:
            return False
        if not accepted and not self.is_next_usable():
            self.release_next()
            return False
        self._next = None
        self._use(reserved)
        return True

    def is_next_usable(self) -> bool:
        """Return whether all engines of the path to change to are usable."""
        targets = self._next.path.targets if self._next else ()
        return all(map(self._is_usable, targets))

    def _reserve_share(self) -> ReservedPath | None:
        """Reserve a path in this gateway's share of what is free."""
        shares, service = self._state.room_shares, self._routed.service.name
        tokens = sum(self.read_tokens())
        if not shares.may_fit(service, tokens):
            return None
        reserved = self._try_reserve(self._avoided, (), shared=True)
        if reserved is None:
            shares.note_failed(service, tokens)
        return reserved

    def _is_full(self) -> bool:
        return self._state.saturation.is_full(self._routed.service.name)

    def _use(self, reserved: ReservedPath) -> None:
        """Make a reserved path the current one."""
        self._current = reserved
        self._state.permits.note_sent(reserved.path.targets)

    def _is_usable(self, name: str) -> bool:
        state = self._state
        listed = state.targets.find(name) is not None
        return listed and state.health.is_usable(name)

    def release_next(self) -> None:
        """Release a path that was reserved beforehand and is not needed."""
        if self._next is not None:
            self._state.loads.release(self._next.reservation)
            self._next = None
            self._state.capacity_queue.fill()

    def _try_reserve(
        self,
        avoided: Collection[str],
        excluded: Collection[str],
        shared: bool = False,
    ) -> ReservedPath | None:
        """Reserve the best path with capacity, or return None.

        :param avoided: engines to avoid if there is a path without them.
        :param excluded: those among them to avoid in any case.
        :param shared: use only this gateway's share of what is free.
        """
        state = self._state
        costs = state.candidates.make_costs(self.shape, *self.read_tokens())
        # What others may use is not in this gateway's share.
        ahead = (
            NO_REQUESTS_AHEAD
            if shared
            else state.candidates.sample_ahead(self._routed.service.name)
        )
        for search in self._list_searches(avoided, excluded, shared):
            path = self._search(costs, search, ahead)
            first = state.targets.find(path.targets[0]) if path else None
            if path is None or first is None:
                continue
            reservation = state.loads.reserve_path(path, costs.tokens)
            if shared:
                state.room_shares.note_used(reservation)
            return ReservedPath(path, first, reservation)
        return None

    def _list_searches(
        self,
        avoided: Collection[str],
        excluded: Collection[str],
        shared: bool,
    ) -> list[_Search]:
        """Return the searches to make until one finds a path.

        Paths within the engines' request limits come first.  Beyond them, an
        engine may still be used: a request that another engine passes on to
        it does not count as a request of a gateway, and without the engine
        some layers may have none, so that no caller gets an answer.
        """
        any_limit = self._state.backpressure.any_limit
        limit_modes = (False, True) if any_limit else (False,)
        differ = len(avoided) > len(excluded)
        avoided_sets = (avoided, excluded) if differ else (excluded,)
        return [
            _Search(without, beyond_limits, shared)
            for without in avoided_sets
            for beyond_limits in limit_modes
        ]

    def read_delay(self) -> float:
        """Return the estimated seconds until any path can exist.

        :returns: 0 while each layer is loaded on some engine, whether or not
            it has capacity, and one of the first engines accepts requests.
        """
        service = self._routed.service.name
        wait = self._state.candidates.read_first_engine_wait(
            service, self._state.capacity_queue.waiting
        )
        if wait > 0.0:
            return wait
        gaps = self._state.get_gap_estimator(service)
        gaps.note(
            self._state.candidates.covers_all_layers(service, self.shape)
        )
        return gaps.estimate_remaining()

    def has_other_path(self) -> bool:
        """Return whether there is a path without engines that failed it."""
        candidates = self._state.candidates
        costs = candidates.make_costs(self.shape, *self.read_tokens())
        # Requests ahead affect which path is chosen, not whether one exists.
        search = _Search(self._avoided)
        return self._search(costs, search, NO_REQUESTS_AHEAD) is not None

    def count_first_engine(self, name: str) -> None:
        """Count the first engine of a path as one that the request runs on."""
        self._first_engines.add(name)

    def replace_path(self, path: Path, reservation: Reservation) -> None:
        """Replace the reserved path by one with the same first stage."""
        if self._current is None:
            self._state.loads.release(reservation)
            return
        self._state.loads.release(self._current.reservation)
        first = self._current.first
        self._current = ReservedPath(path, first, reservation)
        self._state.capacity_queue.fill()

    def release_path(self) -> None:
        """Release the path and its capacity."""
        if self._current is not None:
            self._state.loads.release(self._current.reservation)
            self._current = None
            self._state.room_shares.note_freed()
        self._waiting_recorded = False
        self._state.capacity_queue.fill()

    def measure_slowness(self) -> float:
        """Return the slowness of the path's slowest engine.

        :returns: how many times longer than usual it takes; 1 without a path.
        """
        if self._current is None:
            return 1.0
        targets = map(self._state.targets.find, self._current.path.targets)
        read = self._state.engine_statuses.read
        return max(
            (read(target).slowness for target in targets if target),
            default=1.0,
        )

    def _search(
        self,
        costs: PathCosts,
        search: _Search,
        ahead: RequestsAhead,
    ) -> Path | None:
        """Return the best path with capacity that may be used, or None."""
        options = self._list_options(search.avoided, search.beyond_limits)
        if search.shared:
            state, service = self._state, self._routed.service.name
            queue = state.capacity_queue
            waiting = queue.count_waiting(service) if state.leaving else 0
            share = state.unreported.read_share(service, waiting)
            options = state.room_shares.limit(options, costs.tokens, share)
        return find_path(
            options,
            costs,
            self._list_first_engines(),
            ahead,
            may_cross=self._state.candidates.may_cross(self.shape),
        )

    def _list_options(
        self,
        avoided: Collection[str],
        beyond_limits: bool = False,
        paused: bool = False,
    ) -> list[StageOption]:
        return self._state.candidates.list_options(
            self._routed.service.name,
            self.shape,
            avoided,
            beyond_limits=beyond_limits,
            paused=paused,
            heard_only=self._is_full(),
        )

    def _list_first_engines(self) -> frozenset[str] | None:
        """Return the engines that may be first in a path, None for all.

        The route limits the number of engines that a request runs on.  Only
        the first engine of each path counts, and an engine that ran the
        request may run it again.
        """
        used = frozenset(
            name
            for name in self._first_engines
            if self._state.targets.find(name) is not None
        )
        return used if len(used) >= self._routed.route.max_attempts else None

    def _note_waiting(self) -> None:
        state, service = self._state, self._routed.service.name
        if not state.get_gap_estimator(service).in_gap:
            waiting = state.capacity_queue.count_waiting(service)
            state.saturation.note_waiting(service, waiting)
        if self._waiting_recorded:
            return
        self._waiting_recorded = True
        tokens, layers = sum(self.read_tokens()), self.shape.layers
        options = self._list_options(())
        obstacles = find_obstacles(
            options,
            self._list_options((), paused=True),
            self._list_first_engines(),
            tokens,
            layers,
            may_cross=state.candidates.may_cross(self.shape),
        )
        self._state.recorder.record(
            "request-waiting",
            request=self._routed.caller_headers.request,
            why=f"no path has room: {', '.join(obstacles)}",
            tokens=round(tokens),
            room=describe_bottlenecks(options, layers),
            waiting=self._state.capacity_queue.waiting,
            avoided=sorted(self._avoided),
        )


def _require_shape(routed: RoutedRequest) -> ModelShape:
    shape = routed.service.model
    if shape is None:
        raise errors.RequestError(
            "no_model",
            f"service {routed.service.name} has no model; route streams to "
            "a service with engines",
        )
    return shape


def _estimate_answer_tokens(routed: RoutedRequest, shape: ModelShape) -> float:
    """Return the estimated number of tokens of the answer."""
    decoded = routed.caller_headers
    likely = decoded.expected_tokens or shape.usual_answer
    return (
        min(likely, decoded.max_answer_tokens)
        if decoded.max_answer_tokens
        else likely
    )
