"""Reservations of paths, and of capacity on their engines, for streams."""

from collections.abc import Collection

from magnoliacove import errors
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.load import Reservation
from magnoliacove.routing.paths import NO_REQUESTS_AHEAD
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import RequestsAhead
from magnoliacove.routing.paths import StageOption
from magnoliacove.routing.paths import describe_bottlenecks
from magnoliacove.routing.paths import find_path

__all__ = ["PathReservation"]

# The fraction of the answer's likely length that is reserved; streams in
# progress have written half of their answers on average.
_RESERVED_ANSWER_FRACTION = 0.8


class PathReservation:
    """Finds, reserves and releases the paths of one stream.

    :param path: the current path, or None while there is none.
    :param first_target: the first engine of the path.
    """

    def __init__(self, state: GatewayState, routed: RoutedRequest) -> None:
        self.path: Path | None = None
        self.first_target: ListedTarget | None = None
        self.shape = _require_shape(routed)
        self._state = state
        self._routed = routed
        self._answer_tokens = _estimate_answer_tokens(routed, self.shape)
        self._reservation: Reservation | None = None
        self._avoided: set[str] = set()
        self._first_engines: set[str] = set()
        self._waiting_recorded = False

    def read_tokens(self) -> tuple[float, float]:
        """Return the numbers of prompt tokens and of tokens to generate."""
        prompt = (
            self._routed.caller_headers.prompt_tokens
            or self.shape.usual_prompt
        )
        return prompt, self._answer_tokens * _RESERVED_ANSWER_FRACTION

    def avoid(self, target: str) -> None:
        """Use an engine only if there is no path without it."""
        self._avoided.add(target)

    def reserve(self) -> Path | None:
        """Reserve a path with capacity; return None when there is none.

        Engines on which this stream failed or was refused are used only if
        there is no path without them.
        """
        state = self._state
        costs = state.candidates.make_costs(self.shape, *self.read_tokens())
        ahead = state.candidates.sample_ahead(self._routed.service.name)
        for avoided, beyond_limits in self._list_searches():
            path = self._search(costs, avoided, ahead, beyond_limits)
            first = state.targets.find(path.targets[0]) if path else None
            if path is None or first is None:
                continue
            self.path, self.first_target = path, first
            self._reservation = state.loads.reserve_path(path, costs.tokens)
            state.permits.note_sent(path.targets)
            state.get_gap_estimator(self._routed.service.name).note(True)
            return path
        self._note_waiting(costs.tokens)
        return None

    def _list_searches(self) -> list[tuple[Collection[str], bool]]:
        """Return the searches: engines to avoid, and whether to exceed limits.

        Paths within the engines' request limits come first.  Beyond them, an
        engine may still be used: a request that another engine passes on to
        it does not count as a request of a gateway, and without the engine
        some layers may have none, so that no caller gets an answer.
        """
        any_limit = self._state.backpressure.any_limit
        limit_modes = (False, True) if any_limit else (False,)
        avoided_sets = (self._avoided, ()) if self._avoided else ((),)
        return [
            (avoided, beyond_limits)
            for avoided in avoided_sets
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
        """Return whether a path exists without the current first engine."""
        first = self.first_target
        avoided = {first.name} if first is not None else set()
        candidates = self._state.candidates
        costs = candidates.make_costs(self.shape, *self.read_tokens())
        # Requests ahead affect which path is chosen, not whether one exists.
        return self._search(costs, avoided, NO_REQUESTS_AHEAD) is not None

    def count_first_engine(self) -> None:
        """Count the first engine as one that the request runs on."""
        if self.first_target is not None:
            self._first_engines.add(self.first_target.name)

    def replace_path(self, path: Path, reservation: Reservation) -> None:
        """Replace the reserved path by one with the same first stage."""
        if self._reservation is not None:
            self._state.loads.release(self._reservation)
        self.path, self._reservation = path, reservation
        self._state.capacity_queue.fill()

    def release_path(self) -> None:
        """Release the path and its capacity."""
        if self._reservation is not None:
            self._state.loads.release(self._reservation)
            self._reservation = None
        self.path = self.first_target = None
        self._waiting_recorded = False
        self._state.capacity_queue.fill()

    def measure_slowness(self) -> float:
        """Return the slowness of the path's slowest engine.

        :returns: how many times longer than usual it takes; 1 without a path.
        """
        if self.path is None:
            return 1.0
        targets = map(self._state.targets.find, self.path.targets)
        read = self._state.engine_statuses.read
        return max(
            (read(target).slowness for target in targets if target),
            default=1.0,
        )

    def _search(
        self,
        costs: PathCosts,
        avoided: Collection[str],
        ahead: RequestsAhead,
        beyond_limits: bool = False,
    ) -> Path | None:
        """Return the best path with capacity that may be used, or None."""
        options = self._list_options(avoided, beyond_limits)
        path = find_path(options, costs, self._list_first_engines(), ahead)
        if path is None or not path.crossings:
            return path
        return path if self._may_cross() else None

    def _list_options(
        self, avoided: Collection[str], beyond_limits: bool = False
    ) -> list[StageOption]:
        return self._state.candidates.list_options(
            self._routed.service.name,
            self.shape,
            avoided,
            beyond_limits=beyond_limits,
        )

    def _may_cross(self) -> bool:
        return self._state.candidates.may_cross(self.shape)

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

    def _note_waiting(self, tokens: float) -> None:
        if self._waiting_recorded:
            return
        self._waiting_recorded = True
        self._state.recorder.record(
            "request-waiting",
            request=self._routed.caller_headers.request,
            why="no path has room"
            if self._may_cross()
            else "no path has room, and the pipe between data centres is full",
            tokens=round(tokens),
            room=describe_bottlenecks(
                self._list_options(()), self.shape.layers
            ),
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
