"""Orders to an engine, let through only under the newest fencing number.

Some engines check the number themselves and others ignore it, so the agent
checks it for all.
"""

import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove import targets
from magnoliacove.directory import read_lease
from magnoliacove.timeline import Recorder
from magnoliacove.wire import messages

__all__ = ["ORDERS_LEASE", "OrderGate"]

ORDERS_LEASE = "orders"


class OrderGate:
    """Passes orders to the engine beside this agent."""

    def __init__(
        self,
        name: str,
        engine: targets.Engine,
        api: platform.ObjectApi,
        recorder: Recorder,
    ) -> None:
        self.highest = 0
        self._name = name
        self._engine = engine
        self._api = api
        self._recorder = recorder
        self._learned = False
        self._turn = trio.Lock()

    async def give(self, order: messages.Order) -> messages.OrderResult:
        """Give one order, or say why not."""
        # One order at a time: an older one that is still under way ends
        # before a newer one begins, so the newest has the last word.
        async with self._turn:
            try:
                await self._check(order)
                await self._engine.give_order(
                    order.fence, order.action, order.argument
                )
            except errors.Error as why:
                self._recorder.record(
                    "order-refused",
                    target=self._name,
                    why=str(why),
                    fence=order.fence,
                    holder=order.holder,
                )
                return messages.OrderResult(order.order, False, str(why))
        self._recorder.record(
            "order-applied",
            target=self._name,
            why=f"{order.action} {order.argument}",
            fence=order.fence,
            holder=order.holder,
        )
        return messages.OrderResult(order.order, True)

    async def _check(self, order: messages.Order) -> None:
        if not self._learned:
            # An agent that has just started knows no number yet.  Without
            # asking the store it would obey a holder that woke up after
            # its lease lapsed.
            record = await self._api.get(f"leases/{ORDERS_LEASE}")
            self.highest = max(self.highest, read_lease(record)[1])
            self._learned = True
        if order.fence < self.highest:
            raise errors.StaleOrderError(
                f"fencing number {order.fence} is older than {self.highest}; "
                f"{order.holder} no longer holds the lease"
            )
        self.highest = order.fence
