"""Calls to model engines beside requests: reports and orders."""

import trio

from magnoliacove import errors
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.pool import ChannelPool
from magnoliacove.platform import engines
from magnoliacove.routing.paths import Path

__all__ = ["EngineCalls", "was_held_up"]

Headers = tuple[tuple[bytes, bytes], ...]

_OK = 200
# When a wait ends this much later than it should, in seconds, this process
# itself was held up, and the silence says nothing of the engine.
_OWN_DELAY = 0.1


def was_held_up(began: float, timeout: float) -> bool:
    """Return whether this process was held up while it waited.

    What came in time lies there unread then.

    :param began: when it began to wait, by trio's clock.
    :param timeout: seconds that it was to wait at most.
    """
    return trio.current_time() - began - timeout >= _OWN_DELAY


class EngineCalls:
    """Asks engines for reports and gives them orders."""

    def __init__(self, pool: ChannelPool) -> None:
        self.reports = 0
        self.orders = 0
        self._pool = pool

    async def is_reachable(self, target: ListedTarget) -> bool:
        """Return whether an engine takes a connection.

        What is asked of one in need counts as a request; this does not.
        """
        try:
            async with self._pool.use(target, fresh=True):
                return True
        except TargetError:
            # Whoever asked writes down what follows from it.
            return False

    async def read_report(
        self, target: ListedTarget, *, fresh: bool = False
    ) -> engines.EngineReport:
        """Return an engine's report.

        :param fresh: on a connection of its own.
        :raises TargetError: when none comes.
        """
        self.reports += 1
        status, _, body = await self._call(
            target, b"GET", engines.REPORT_PATH, b"", fresh
        )
        if status != _OK:
            raise TargetError(
                f"a report was answered with {status}", errors.Outcome.NOT_RUN
            )
        try:
            return engines.read_report(body)
        except errors.ProtocolError as why:
            raise TargetError(str(why), errors.Outcome.RAN) from why

    async def place(
        self,
        target: ListedTarget,
        layers: LayerRange,
        *,
        interrupt: bool,
        orders: int | None,
    ) -> engines.OrderResult:
        """Order an engine to hold a range of layers.

        :raises TargetError: when no answer comes; the order may have been
            taken.
        """
        self.orders += 1
        body = engines.write_place_order(
            layers, interrupt=interrupt, orders=orders
        )
        status, _, _ = await self._call(
            target, b"POST", engines.ORDER_PATH, body
        )
        return engines.read_order_result(status)

    async def change_path(
        self, first: ListedTarget, request: str, path: Path
    ) -> engines.OrderResult:
        """Order a request's first engine to go on along another path.

        :raises TargetError: when no answer comes; the order may have been
            taken.
        """
        self.orders += 1
        body = engines.write_reroute_order(request, path)
        status, _, _ = await self._call(
            first, b"POST", engines.ORDER_PATH, body
        )
        return engines.read_order_result(status)

    async def is_leaving(self, target: ListedTarget, path: str) -> bool:
        """Return whether an engine's health check says that it leaves.

        :param path: the path of the health check.
        :raises TargetError: when no answer comes.
        """
        self.reports += 1
        status, answered, _ = await self._call(target, b"GET", path, b"")
        return engines.reports_leaving(status, answered, target.entry)

    async def _call(
        self,
        target: ListedTarget,
        method: bytes,
        path: str,
        body: bytes,
        fresh: bool = False,
    ) -> tuple[int, Headers, bytes]:
        try:
            return await self._call_once(target, method, path, body, fresh)
        except TargetError as why:
            if why.outcome is errors.Outcome.NOT_RUN:
                raise
        # A kept connection may have been dropped without notice, which
        # says nothing of the engine.  A report may be asked for again; an
        # order names the orders before it, so a second one cannot add to
        # the first.
        return await self._call_once(target, method, path, body, True)

    async def _call_once(
        self,
        target: ListedTarget,
        method: bytes,
        path: str,
        body: bytes,
        fresh: bool,
    ) -> tuple[int, Headers, bytes]:
        sent = [(b"host", str(target.address).encode())]
        if body:
            sent += [
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % len(body)),
            ]
        async with self._pool.use(target, fresh=fresh) as channel:
            await channel.send(method, path.encode(), sent, body)
            answer = await channel.read_head("", lambda _: "")
            rest = await channel.read_rest()
        return answer.status, answer.headers, rest
