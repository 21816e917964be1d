"""The exchange of what waits for capacity between a gateway and its peers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol

import trio

from magnoliacove.gateway.state import GatewayState
from magnoliacove.limits.waiting import WaitingSummary

__all__ = ["PeerWaiting", "WaitingExchange"]

# Maximum number of entries that one heartbeat reports, the most urgent ones.
_MAX_REPORTED = 32
# Seconds between two looks at the own queue while others report waiting
# requests; a request that is held back is tried as often.
_CHECK_INTERVAL = 0.1
# Seconds without a request held back after which capacity is used again.
_HOLD_END = 1.0
# Maximum number of services and urgencies about which lines are written at
# the same time.
_MAX_LOGGED = 16
# Maximum number of gateways that a line names.
_MAX_NAMED = 3


class PeerWaiting(Protocol):
    """The part of another gateway's heartbeat that tells what waits there."""

    @property
    def name(self) -> str:
        """The name of the other gateway."""

    @property
    def waiting(self) -> Sequence[WaitingSummary]:
        """What waits there."""

    @property
    def grant_rates(self) -> Mapping[str, float]:
        """Requests a second that get capacity there, by service."""


class WaitingExchange:
    """Reports what waits here and records what waits elsewhere."""

    def __init__(
        self,
        state: GatewayState,
        read_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._state = state
        self._read_time = read_time
        self._changed = trio.Event()
        # Since when capacity is left, by service and urgency, as logged.
        self._left_since: dict[tuple[str, int], float] = {}

    def summarize(self) -> tuple[WaitingSummary, ...]:
        """Return what this gateway's next heartbeat reports."""
        waiting = self._state.capacity_queue.summarize()
        waiting.sort(key=lambda item: item.priority)
        return tuple(waiting[:_MAX_REPORTED])

    def read_grant_rates(
        self, waiting: Iterable[WaitingSummary]
    ) -> dict[str, float]:
        """Return requests a second that get capacity here, by service."""
        read = self._state.capacity_queue.read_grant_rate
        return {name: read(name) for name in {w.service for w in waiting}}

    def take(self, update: PeerWaiting) -> None:
        """Record what waits at another gateway."""
        self._state.shared_waiting.take_others(
            update.name, update.waiting, update.grant_rates
        )
        if update.waiting:
            self._changed.set()

    async def run(self) -> None:
        """Compare the queues while requests wait elsewhere."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            while self.compare():
                await trio.sleep(_CHECK_INTERVAL)

    def compare(self) -> bool:
        """Compare this gateway's queue with what the others reported.

        :returns: whether requests wait elsewhere or capacity was left to
            them until now.
        """
        shared, queue = self._state.shared_waiting, self._state.capacity_queue
        shared.note_own(queue.summarize(), queue.read_grant_rate)
        # Nothing else may happen that has a request tried that is held back.
        queue.fill()
        self._log_changes()
        counts = shared.reported.count_requests(self._read_time())
        return any(counts.values()) or bool(self._left_since)

    def _log_changes(self) -> None:
        now = self._read_time()
        held_at = self._state.shared_waiting.held_at
        for key, at in list(held_at.items()):
            if now - at >= _HOLD_END:
                del held_at[key]
                self._log_end(key, now)
            elif key not in self._left_since:
                self._log_begin(key, now)

    def _log_begin(self, key: tuple[str, int], now: float) -> None:
        if len(self._left_since) >= _MAX_LOGGED:
            return
        self._left_since[key] = now
        service, priority = key
        found = self._state.shared_waiting.reported.list_waiting(*key, now)
        self._state.recorder.record(
            "room-left",
            why="requests elsewhere are more urgent or wait longer",
            service=service,
            priority=priority,
            gateways=[name for name, _, _ in found[:_MAX_NAMED]],
            waiting_there=sum(count for _, count, _ in found),
            news_age=round(max((age for _, _, age in found), default=0.0), 2),
            waiting=self._state.capacity_queue.waiting,
        )

    def _log_end(self, key: tuple[str, int], now: float) -> None:
        since = self._left_since.pop(key, None)
        if since is None:
            return
        service, priority = key
        self._state.recorder.record(
            "room-used-again",
            why="no request is held back any more",
            service=service,
            priority=priority,
            seconds=round(now - since, 2),
            waiting=self._state.capacity_queue.waiting,
        )
