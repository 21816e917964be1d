"""Rerouting of streams around unusable engines of their paths.

The first engine of a path can be ordered to continue a request along another
path.  The remaining engines keep their state of the request, and only the new
ones read its tokens again.  So a failed engine costs a pause instead of a new
run of the whole request on other engines, which would need memory for all of
it.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol

import trio

from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.departures import PathDeparture
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.load import Reservation
from magnoliacove.platform.engines import OrderResult
from magnoliacove.routing.paths import Path
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import StageOption
from magnoliacove.routing.paths import find_path
from magnoliacove.routing.paths import find_reroute

__all__ = ["Rerouter", "ReroutableStream"]

# Seconds to wait for the answer to an order.  Answers normally take
# milliseconds; a stream that waits for one is already late, and its caller
# disconnects after two seconds.
_ORDER_TIMEOUT = 0.4
# Seconds without data after which a stream that cannot be rerouted asks to
# leave its path.  A stream that still receives events does not pass through
# the suspected engine, or the suspicion is wrong; it is not run again.
_MIN_SILENCE = 0.15


class ReroutableStream(Protocol):
    """The operations on a stream that rerouting needs."""

    request: str
    service: str
    fingerprint: str
    parts: tuple[str, ...]
    departure: PathDeparture

    @property
    def shape(self) -> ModelShape:
        """The shape of the model that the stream runs on."""

    @property
    def path(self) -> Path | None:
        """The current path, or None while there is none."""

    @property
    def first_target(self) -> ListedTarget | None:
        """The first engine of the current path."""

    def read_tokens(self) -> tuple[float, float]:
        """Return the numbers of prompt tokens and of tokens to generate."""

    def read_silence(self, now: float) -> float:
        """Return the seconds since the path last sent data.

        :returns: 0 while no data is due.
        """

    def take_path(self, path: Path, reservation: Reservation) -> None:
        """Continue on another path with the same first stage."""

    def note_unusable_engines(self, targets: Iterable[str]) -> None:
        """Record that engines of the current path are unusable."""


def _has_local_path(options: Sequence[StageOption], costs: PathCosts) -> bool:
    """Return whether the best path lies inside one data centre."""
    path = find_path(options, costs)
    return path is not None and not path.crossings


class Rerouter:
    """Changes the paths of the streams of one gateway."""

    def __init__(self, state: GatewayState, calls: EngineCalls) -> None:
        self._state = state
        self._calls = calls
        self._in_progress: set[str] = set()

    def start(
        self,
        nursery: trio.Nursery,
        stream: ReroutableStream,
        unusable: frozenset[str],
        reason: str,
    ) -> None:
        """Reroute a stream around engines, unless that is in progress.

        :param unusable: engines of its path that it can no longer use.
        """
        if stream.request in self._in_progress:
            return
        if not stream.departure.may_be_rerouted(trio.current_time()):
            return
        self._in_progress.add(stream.request)
        stream.note_unusable_engines(unusable)
        nursery.start_soon(self._reroute, stream, unusable, reason)

    async def _reroute(
        self, stream: ReroutableStream, unusable: frozenset[str], reason: str
    ) -> None:
        try:
            changed = await self._try_change_path(stream, unusable, reason)
        finally:
            self._in_progress.discard(stream.request)
        silent = stream.read_silence(trio.current_time())
        if not changed and silent >= _MIN_SILENCE:
            stream.departure.leave_lost(reason, unusable)

    async def _try_change_path(
        self, stream: ReroutableStream, unusable: frozenset[str], reason: str
    ) -> bool:
        """Return False when the stream has to leave its path."""
        path, first = stream.path, stream.first_target
        if path is None or first is None:
            return True
        if path.stages[0].target in unusable:
            return False
        if not self._state.may_repeat(stream):
            # The request may crash the engine that it is rerouted to, too.
            return False
        prompt, answer = stream.read_tokens()
        state = self._state
        options = state.candidates.list_options(
            stream.service, stream.shape, unusable, beyond_limits=True
        )
        costs = state.candidates.make_costs(stream.shape, prompt, answer)
        ahead = state.candidates.sample_displaced(unusable)
        new_path = find_reroute(path, unusable, options, costs, ahead)
        if new_path is None:
            return False
        if new_path.crossings > path.crossings and _has_local_path(
            options, costs
        ):
            # The state of each stream on its other engines would pass through
            # the link between data centres, one stream after the other, and
            # callers would disconnect.  Reading the prompts again in another
            # data centre is faster.
            return False
        if not state.permits.try_call(first.name):
            return False
        # Reserved before the order is sent, so that other streams that are
        # rerouted around the same engine see the remaining capacity.
        reservation = state.loads.reserve_path(new_path, costs.tokens)
        result = await self._order(stream, first, new_path)
        accepted = result in (OrderResult.BEGUN, OrderResult.DONE)
        stays = stream.path == path and not stream.departure.reason
        if accepted and stays:
            stream.take_path(new_path, reservation)
        else:
            state.loads.release(reservation)
        state.recorder.record(
            "path-changed" if accepted else "path-not-changed",
            request=stream.request,
            why=reason,
            result=str(result),
            path=new_path.describe(),
            crossings=new_path.crossings,
        )
        return accepted

    async def _order(
        self, stream: ReroutableStream, first: ListedTarget, new_path: Path
    ) -> str:
        with trio.move_on_after(_ORDER_TIMEOUT):
            try:
                return await self._calls.change_path(
                    first, stream.request, new_path
                )
            except TargetError as exc:
                return f"lost: {exc}"
        return "lost: no answer in time"
