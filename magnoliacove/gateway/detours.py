"""Leading streams around engines of their paths that are lost.

The first engine of a path can be told to go on along another one.  What
the other engines hold of a request is kept, and only the new ones read its
tokens again: a lost engine costs a pause instead of a new run of the whole
request, on other engines that would need memory for all of it.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

import trio

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.load import Reservation
from magnoliacove.platform.engines import OrderResult
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import StageOption
from magnoliacove.routing.paths import find_path
from magnoliacove.routing.paths import find_reroute

__all__ = ["Detours", "PathUser"]

# An order is answered in milliseconds; a stream that waits for it is late
# already, and its caller leaves after two seconds.
_ORDER_TIMEOUT = 0.4
# A stream that still gets events does not pass through what was suspected
# to be lost, or the suspicion is wrong; it is not begun anew.
_SILENT_WITH_IT = 0.15


class PathUser(Protocol):
    """A stream as a detour sees it."""

    request: str
    service: str
    fingerprint: str

    @property
    def shape(self) -> ModelShape:
        """The shape of the model that the stream runs on."""

    @property
    def path(self) -> Path | None:
        """The present path, or None between two."""

    @property
    def first_target(self) -> ListedTarget | None:
        """The first engine of the present path."""

    def read_tokens(self) -> tuple[float, float]:
        """Return the tokens of the prompt and those still to be written."""

    def read_silence(self, now: float) -> float:
        """Return seconds since the path was heard last, 0 if not due."""

    def take_path(self, path: Path, reservation: Reservation) -> None:
        """Go on with another path after the same first stage."""

    def move(self, why: str) -> None:
        """Leave the present path and go on elsewhere."""

    def note_lost(self, targets: Iterable[str]) -> None:
        """Take it that engines of the present path are lost."""


def _has_inner(options: Sequence[StageOption], costs: PathCosts) -> bool:
    """Return whether a whole path lies inside one data centre."""
    path = find_path(options, costs)
    return path is not None and not path.crossings


class Detours:
    """Changes the paths of the streams of one gateway."""

    def __init__(self, state: GatewayState, calls: EngineCalls) -> None:
        self._state = state
        self._calls = calls
        self._busy: set[str] = set()

    def start(
        self,
        nursery: trio.Nursery,
        stream: PathUser,
        left: frozenset[str],
        why: str,
    ) -> None:
        """Lead a stream around engines, unless that is going on already.

        :param left: engines of its path that do not work any more.
        """
        if stream.request in self._busy:
            return
        self._busy.add(stream.request)
        stream.note_lost(left)
        nursery.start_soon(self._lead, stream, left, why)

    async def _lead(
        self, stream: PathUser, left: frozenset[str], why: str
    ) -> None:
        try:
            changed = await self._try_change(stream, left, why)
        finally:
            self._busy.discard(stream.request)
        silent = stream.read_silence(trio.current_time())
        if not changed and silent >= _SILENT_WITH_IT:
            stream.move(why)

    async def _try_change(
        self, stream: PathUser, left: frozenset[str], why: str
    ) -> bool:
        path, first = stream.path, stream.first_target
        if path is None or first is None:
            return True
        if path.stages[0].target in left:
            return False
        if not self._state.may_repeat(stream.fingerprint):
            # It would end the engine that it is led to as well.
            return False
        prompt, answer = stream.read_tokens()
        state = self._state
        options = state.candidates.list_options(
            stream.service, stream.shape, left, beyond_limits=True
        )
        costs = state.candidates.make_costs(stream.shape, prompt, answer)
        ahead = state.candidates.sample_displaced(left)
        detour = find_reroute(path, left, options, costs, ahead)
        if detour is None:
            return False
        if detour.crossings > path.crossings and _has_inner(options, costs):
            # All that the other engines hold would go through the pipe
            # between data centres, one stream after the other, and their
            # callers would leave.  Another data centre reads the prompts
            # anew sooner.
            return False
        if not state.permits.try_call(first.name):
            return False
        # Reserved before the order is out, so that the other streams that
        # are led around the same engine see what is left.
        reservation = state.loads.reserve_path(detour, costs.tokens)
        result = await self._order(stream, first, detour)
        took = result in (OrderResult.BEGUN, OrderResult.DONE)
        if took and stream.path == path:
            stream.take_path(detour, reservation)
        else:
            state.loads.release(reservation)
        state.recorder.record(
            "path-changed" if took else "path-not-changed",
            request=stream.request,
            why=why,
            result=str(result),
            path=detour.describe(),
            crossings=detour.crossings,
        )
        return took

    async def _order(
        self, stream: PathUser, first: ListedTarget, detour: Path
    ) -> str:
        with trio.move_on_after(_ORDER_TIMEOUT):
            try:
                return await self._calls.change_path(
                    first, stream.request, detour
                )
            except TargetError as why:
                return f"lost: {why}"
        return "lost: no answer in time"
