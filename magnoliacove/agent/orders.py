"""Orders to an engine, admitted only with the newest fencing token.

Some engines check the token themselves and others ignore it, so the agent
checks it for all engines.
"""

import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove import targets
from magnoliacove.directory import read_lease
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["ORDERS_LEASE", "OrderExecutor"]

ORDERS_LEASE = "orders"


class OrderExecutor:
    """Checks orders and passes them to the engine beside this agent."""

    def __init__(
        self,
        name: str,
        engine: targets.Engine,
        api: platform.ObjectApi,
        recorder: Recorder,
    ) -> None:
        self.highest_fence = 0
        self._name = name
        self._engine = engine
        self._api = api
        self._recorder = recorder
        self._is_fence_loaded = False
        self._lock = trio.Lock()

    async def execute(self, order: messages.Order) -> messages.OrderResult:
        """Execute one order and return its result, or why it was refused."""
        # Orders run one at a time.  An older order that still runs ends
        # before a newer one begins, so the newest takes effect last.
        async with self._lock:
            try:
                await self._check(order)
                await self._engine.give_order(
                    order.fence, order.action, order.argument
                )
            except errors.Error as exc:
                self._recorder.record(
                    "order-refused",
                    target=self._name,
                    why=str(exc),
                    fence=order.fence,
                    holder=order.holder,
                )
                return messages.OrderResult(order.order, False, str(exc))
        self._recorder.record(
            "order-applied",
            target=self._name,
            why=f"{order.action} {order.argument}",
            fence=order.fence,
            holder=order.holder,
        )
        return messages.OrderResult(order.order, True)

    async def _check(self, order: messages.Order) -> None:
        if not self._is_fence_loaded:
            # An agent that has just started has no token to compare with.
            # If it did not read the store, it would accept orders from a
            # paused holder that resumes after its lease expired.
            record = await self._api.get(f"leases/{ORDERS_LEASE}")
            self.highest_fence = max(
                self.highest_fence, read_lease(record).fence
            )
            self._is_fence_loaded = True
        if order.fence < self.highest_fence:
            raise errors.StaleOrderError(
                f"fencing number {order.fence} is older than "
                f"{self.highest_fence}; {order.holder} "
                "no longer holds the lease"
            )
        self.highest_fence = order.fence
