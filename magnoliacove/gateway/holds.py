"""The path that one stream holds, and its room on the engines."""

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

__all__ = ["PathHold"]

# The part of the answer's likely length that is reserved: streams in
# progress have written half of theirs on the mean.
_ANSWER_PART = 0.8


class PathHold:
    """Finds, reserves and gives back the paths of one stream.

    :param path: the present path, or None between two.
    :param first_target: the first engine of the path.
    """

    def __init__(self, state: GatewayState, routed: RoutedRequest) -> None:
        self.path: Path | None = None
        self.first_target: ListedTarget | None = None
        self.shape = _require_shape(routed)
        self._state = state
        self._routed = routed
        self._answer_tokens = _guess_answer(routed, self.shape)
        self._reservation: Reservation | None = None
        self._avoided: set[str] = set()
        self._firsts: set[str] = set()
        self._told = False

    def read_tokens(self) -> tuple[float, float]:
        """Return the tokens of the prompt and those to be written."""
        prompt = self._routed.marks.prompt_tokens or self.shape.usual_prompt
        return prompt, self._answer_tokens * _ANSWER_PART

    def avoid(self, target: str) -> None:
        """Use an engine only where there is no path without it."""
        self._avoided.add(target)

    def reserve(self) -> Path | None:
        """Find a path with room and reserve it; None when there is none.

        Engines on which this stream broke off or was refused are used only
        where there is no path without them.
        """
        state = self._state
        costs = state.candidates.make_costs(self.shape, *self.read_tokens())
        ahead = state.candidates.sample_ahead(self._routed.service.name)
        for avoided, beyond_limits in self._list_tries():
            path = self._search(costs, avoided, ahead, beyond_limits)
            first = state.targets.find(path.targets[0]) if path else None
            if path is None or first is None:
                continue
            self.path, self.first_target = path, first
            self._reservation = state.loads.reserve_path(path, costs.tokens)
            state.permits.note_sent(path.targets)
            state.get_gap_clock(self._routed.service.name).note(True)
            return path
        self._note_waiting(costs.tokens)
        return None

    def _list_tries(self) -> list[tuple[Collection[str], bool]]:
        """Return what each search leaves out, and whether it obeys no limit.

        An engine with a limit is used within it where there is a path.  What
        another engine hands on to it is no request of a gateway; without it
        some layers may have no engine, and no caller an answer.
        """
        any_limit = self._state.backpressure.any_limit
        ways = (False, True) if any_limit else (False,)
        sets = (self._avoided, ()) if self._avoided else ((),)
        return [(avoided, way) for avoided in sets for way in ways]

    def read_delay(self) -> float:
        """Return the seconds until there can be a path at all, probably.

        :returns: 0 while some engine holds each layer, with room or without,
            and one of the first ones takes requests.
        """
        service = self._routed.service.name
        wait = self._state.candidates.read_first_engine_wait(
            service, self._state.room.waiting
        )
        if wait > 0.0:
            return wait
        gaps = self._state.get_gap_clock(service)
        gaps.note(
            self._state.candidates.covers_all_layers(service, self.shape)
        )
        return gaps.estimate_remaining()

    def has_other_path(self) -> bool:
        """Return whether there is a path without the present first engine."""
        first = self.first_target
        avoided = {first.name} if first is not None else set()
        candidates = self._state.candidates
        costs = candidates.make_costs(self.shape, *self.read_tokens())
        # Requests ahead change which path is chosen, not whether there is one.
        return self._search(costs, avoided, NO_REQUESTS_AHEAD) is not None

    def use(self) -> None:
        """Count the first engine as one that the request runs on."""
        if self.first_target is not None:
            self._firsts.add(self.first_target.name)

    def take(self, path: Path, reservation: Reservation) -> None:
        """Hold another path after the same first stage."""
        if self._reservation is not None:
            self._state.loads.release(self._reservation)
        self.path, self._reservation = path, reservation
        self._state.room.fill()

    def leave(self) -> None:
        """Give the path and its room back."""
        if self._reservation is not None:
            self._state.loads.release(self._reservation)
            self._reservation = None
        self.path = self.first_target = None
        self._told = False
        self._state.room.fill()

    def measure_slowness(self) -> float:
        """Return how many times longer the path's slowest engine takes."""
        if self.path is None:
            return 1.0
        targets = map(self._state.targets.find, self.path.targets)
        read = self._state.holdings.read
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
        """Return the best path that has room and may be taken, or None."""
        options = self._list_options(avoided, beyond_limits)
        path = find_path(options, costs, self._list_firsts(), ahead)
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

    def _list_firsts(self) -> frozenset[str] | None:
        """Return the engines that may be first, None when all may.

        A request runs on as many engines as its route allows, counted by
        the first of each path; one that it ran on may run it once more.
        """
        used = frozenset(
            name
            for name in self._firsts
            if self._state.targets.find(name) is not None
        )
        return used if len(used) >= self._routed.route.max_attempts else None

    def _note_waiting(self, tokens: float) -> None:
        if self._told:
            return
        self._told = True
        self._state.recorder.record(
            "request-waiting",
            request=self._routed.marks.request,
            why="no path has room"
            if self._may_cross()
            else "no path has room, and the pipe between data centres is full",
            tokens=round(tokens),
            room=describe_bottlenecks(
                self._list_options(()), self.shape.layers
            ),
            waiting=self._state.room.waiting,
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


def _guess_answer(routed: RoutedRequest, shape: ModelShape) -> float:
    """Return the likely number of tokens of the answer."""
    marks = routed.marks
    likely = marks.expected_tokens or shape.usual_answer
    return (
        min(likely, marks.max_answer_tokens)
        if marks.max_answer_tokens
        else likely
    )
