"""Calls of the gateway itself to model engines: reports and orders."""

from http import HTTPStatus

import trio

from magnoliacove import errors
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.channels import TargetError
from magnoliacove.gateway.pool import ChannelPool
from magnoliacove.limits.answer_memory import AnswerMemory
from magnoliacove.platform import engines
from magnoliacove.routing.paths import Path

__all__ = ["EngineCalls", "was_process_delayed"]

Headers = tuple[tuple[bytes, bytes], ...]

# Bytes and short parts of an answer to the gateway itself.  A report takes a
# few kilobytes; one without end would come again twice a second.
_MAX_BODY = 256 * 1024
_MAX_SHORT_PARTS = 256
# Seconds by which a wait may end late.  Beyond that this process itself was
# delayed, and silence does not indicate a failure of the engine.
_MAX_WAKE_DELAY = 0.1


def was_process_delayed(began: float, timeout: float) -> bool:
    """Return whether this process was delayed during a wait.

    Data that arrived in time may then still be unread.

    :param began: the start of the wait, by trio's clock.
    :param timeout: the maximum duration of the wait in seconds.
    """
    return trio.current_time() - began - timeout >= _MAX_WAKE_DELAY


class EngineCalls:
    """Requests reports from engines and sends them orders."""

    def __init__(self, pool: ChannelPool) -> None:
        self.reports = 0
        self.orders = 0
        self._pool = pool
        # Apart from that of callers, whose crowds must not make engines that
        # answer look as if they did not.
        self._memory = AnswerMemory()

    async def is_reachable(self, target: ListedTarget) -> bool:
        """Return whether an engine accepts a connection.

        Unlike a report, this does not count as a request at an engine that
        limits its requests.
        """
        try:
            async with self._pool.use(target, fresh=True):
                return True
        except TargetError:
            # The calling code records the suspicion that follows.
            return False

    async def read_report(
        self, target: ListedTarget, *, fresh: bool = False
    ) -> engines.EngineReport:
        """Return an engine's report.

        :param fresh: use a new connection.
        :raises TargetError: when there is no valid report.
        """
        self.reports += 1
        status, _, body = await self._call(
            target, b"GET", engines.REPORT_PATH, b"", fresh
        )
        if status != HTTPStatus.OK:
            raise TargetError(
                f"a report was answered with {status}", errors.Outcome.NOT_RUN
            )
        try:
            return engines.read_report(body)
        except errors.ProtocolError as exc:
            raise TargetError(str(exc), errors.Outcome.RAN) from exc

    async def place(
        self,
        target: ListedTarget,
        layers: LayerRange,
        *,
        interrupt: bool,
        orders: int | None,
    ) -> engines.OrderResult:
        """Order an engine to load a range of layers.

        :raises TargetError: when there is no answer; the order may have been
            applied.
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
        """Order a request's first engine to continue along another path.

        :raises TargetError: when there is no answer; the order may have been
            applied.
        """
        self.orders += 1
        body = engines.write_reroute_order(request, path)
        status, _, _ = await self._call(
            first, b"POST", engines.ORDER_PATH, body
        )
        return engines.read_order_result(status)

    async def is_leaving(self, target: ListedTarget, path: str) -> bool:
        """Return whether an engine's health check reports that it shuts down.

        :param path: the path of the health check.
        :raises TargetError: when there is no answer.
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
        except TargetError as exc:
            if exc.outcome is errors.Outcome.NOT_RUN:
                raise
        # The engine may have dropped an idle connection without notice, which
        # does not mean that it failed.  A report can be requested again; an
        # order contains the number of orders before it, so repeating it has no
        # further effect.
        return await self._call_once(target, method, path, body, True)

    async def _call_once(
        self,
        target: ListedTarget,
        method: bytes,
        path: str,
        body: bytes,
        fresh: bool,
    ) -> tuple[int, Headers, bytes]:
        request_headers = [(b"host", str(target.address).encode())]
        if body:
            request_headers += [
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % len(body)),
            ]
        async with self._pool.use(target, fresh=fresh) as channel:
            await channel.send(method, path.encode(), request_headers, body)
            answer = await channel.read_head("", lambda _: "")
            with self._memory.open(_MAX_BODY, _MAX_SHORT_PARTS) as buffer:
                content = (await channel.read_whole_body(buffer)).join()
        return answer.status, answer.headers, content
