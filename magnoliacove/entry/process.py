"""The entry process: accepts callers' requests and runs them."""

from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
import socket
from typing import Any

import trio

from magnoliacove import defaults
from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import limits
from magnoliacove import platform
from magnoliacove import routing
from magnoliacove import web
from magnoliacove import wire
from magnoliacove.entry.callers import CallersApp
from magnoliacove.entry.distribution import Distribution
from magnoliacove.entry.pool import TargetPool
from magnoliacove.entry.service_runner import ServiceRunner
from magnoliacove.metrics import Meters
from magnoliacove.metrics import serve_meters
from magnoliacove.operators.service import OperatorsApp
from magnoliacove.process import Identity
from magnoliacove.process import Process
from magnoliacove.timeline import Clock
from magnoliacove.wire import messages

__all__ = ["Entry", "EntryParts"]


@dataclass(frozen=True)
class EntryParts:
    """The dependencies and settings of an entry.

    :param callers: a listening socket for callers.
    :param operators: a listening socket for operators' calls, or None.
    :param operator_keys: operators' names by the SHA-256 of their keys.
    :param seeds: peers to ask when the platform's store is down.
    :param meters: a listening socket for metrics, or None.
    :param max_running: the number of requests that may run at the same time.
    :param memory_mb: memory that the process may use.
    """

    identity: Identity
    api: platform.ObjectApi
    network: wire.Network
    callers: socket.socket
    operators: socket.socket | None = None
    operator_keys: dict[str, str] | None = None
    seeds: Sequence[wire.Address] = ()
    meters: socket.socket | None = None
    chooser: routing.ChainChooser | None = None
    clock: Clock | None = None
    tls: web.ServerTls | None = None
    max_running: int = defaults.RUNNING_PER_ENTRY
    memory_mb: int = defaults.PROCESS_MEMORY_MB


class Entry:
    """Serves callers and operators."""

    def __init__(self, parts: EntryParts) -> None:
        self.process = Process(
            parts.identity, parts.api, parts.network, parts.clock
        )
        self.pool = TargetPool(self.process)
        self.distribution = Distribution(self.process, parts.seeds)
        self.callers_url = ""
        self.operators_url = ""
        self._parts = parts
        self._meters = Meters(self._read_gauges, self._is_ready)
        self.admission = limits.Admission(lambda: parts.max_running)
        self.runner = ServiceRunner(
            self.process.view,
            self.pool,
            parts.chooser or routing.ExpectedDelay(),
            self.process.recorder,
            self._meters,
            self.admission,
            limits.RateLimit(self._count_entries),
        )
        self.app = CallersApp(
            self.process.view,
            self.pool,
            self.runner,
            self.process.recorder,
            self._meters,
            lambda: self.process.leaving,
            parts.memory_mb,
        )

    async def run(self, *, task_status: trio.TaskStatus[wire.Address]) -> None:
        """Serve until cancelled."""
        process, parts = self.process, self._parts
        async with trio.open_nursery() as nursery:
            await nursery.start(self.pool.run)
            address = await nursery.start(self._listen)
            if parts.meters is not None:
                nursery.start_soon(serve_meters, self._meters, parts.meters)
            nursery.start_soon(
                directory.announce,
                process.api,
                process.view,
                process.describe(),
            )
            nursery.start_soon(self.distribution.run)
            self.app.start_soon = nursery.start_soon
            self.callers_url = await nursery.start(
                self._serve_http, self.app, parts.callers
            )
            if parts.operators is not None:
                operators = OperatorsApp(
                    process, self.pool, parts.operator_keys or {}
                )
                self.operators_url = await nursery.start(
                    self._serve_http, operators.app, parts.operators
                )
            process.recorder.record("started", why=str(address))
            task_status.started(address)

    async def drain(self) -> None:
        """Stop accepting requests and return when all have completed."""
        process = self.process
        process.leaving = True
        process.recorder.record("draining", why="the instance is stopping")
        await self.distribution.release()
        with trio.move_on_after(defaults.DRAIN_TIMEOUT) as scope:
            self.runner.stops_at = scope.deadline
            # The load balancer needs a moment to detect that this entry is
            # no longer ready; requests that it still sends are served.
            await trio.sleep(0.5)
            while self.app.in_progress:
                await trio.sleep(0.05)
        process.recorder.record(
            "drained",
            why="timed out" if scope.cancelled_caught else "",
            left=self.app.in_progress,
        )
        removed = process.describe("gone")
        process.view.adopt_entries([removed])
        with trio.move_on_after(defaults.STORE_TIMEOUT):
            with contextlib.suppress(
                errors.PlatformError, platform.VersionConflictError
            ):
                await process.api.delete(removed.object_name)

    async def _serve_http(
        self,
        app: Any,
        listener: socket.socket,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        await web.run_server(
            app, listener, tls=self._parts.tls, task_status=task_status
        )

    async def _listen(
        self, *, task_status: trio.TaskStatus[wire.Address]
    ) -> None:
        await self.process.listen(
            _ignore,
            self._make_pong,
            lambda connection, reason: None,
            lambda connection: None,
            task_status=task_status,
        )

    def _make_pong(self, sequence: int) -> messages.Pong:
        return messages.Pong(sequence, self.process.view.version)

    def _count_entries(self) -> int:
        return len(self.process.view.list_instances("entry"))

    # Metrics.

    def _is_ready(self) -> bool:
        return self.process.view.version > 0 and not self.process.leaving

    def _read_gauges(self) -> dict[str, float]:
        return {
            "configuration_version": self.process.view.version,
            "targets_connected": self.pool.connected,
            "feed_subscribers": self.process.feed.subscribers,
            "distributor": float(self.distribution.lease.held),
            "store_reachable": float(self.process.store.reachable),
            "retries_spent": self.runner.budget.spent,
            "retries_denied": self.runner.budget.denied,
            "requests_in_progress": self.app.in_progress,
            "caller_memory_used_bytes": self.app.memory.used,
            "callers_refused_for_memory": self.app.memory.refused,
            **limits.describe_admission(self.admission),
        }


async def _ignore(_: wire.Connection, message: messages.Message) -> None:
    return None
