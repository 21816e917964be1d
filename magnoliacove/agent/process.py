"""The agent process, which runs beside each target and serves it."""

from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
import random
import socket

import trio

from magnoliacove import configuration
from magnoliacove import defaults
from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import platform
from magnoliacove import targets
from magnoliacove import wire
from magnoliacove.agent.calls import CallRunner
from magnoliacove.agent.key_registry import KeyRegistry
from magnoliacove.agent.neighbours import NeighbourLinks
from magnoliacove.agent.orders import OrderExecutor
from magnoliacove.agent.runner import StageRunner
from magnoliacove.metrics import Meters
from magnoliacove.metrics import serve_meters
from magnoliacove.process import Identity
from magnoliacove.process import Process
from magnoliacove.timeline import Clock
from magnoliacove.wire import messages

__all__ = ["Agent", "AgentParts"]


@dataclass(frozen=True)
class AgentParts:
    """The parts from which an agent is built.

    :param engine: the model engine beside the agent, or None.
    :param plain: the plain service's instance beside the agent, or None.
    :param seeds: addresses of entries to subscribe to when the platform's
        store is unreachable.
    :param meters: a listening socket for metrics, or None.
    :param key_window: seconds for which an idempotency key is remembered.
    """

    identity: Identity
    api: platform.ObjectApi
    network: wire.Network
    engine: targets.Engine | None = None
    plain: targets.PlainTarget | None = None
    seeds: Sequence[wire.Address] = ()
    meters: socket.socket | None = None
    clock: Clock | None = None
    key_window: float = defaults.KEY_WINDOW


class Agent:
    """Makes one target available to entries and to other agents."""

    def __init__(self, parts: AgentParts) -> None:
        self.process = Process(
            parts.identity, parts.api, parts.network, parts.clock
        )
        self.drained = trio.Event()
        self._parts = parts
        recorder = self.process.recorder
        self.links = NeighbourLinks(
            parts.network,
            recorder,
            self.process.view,
            self.process.make_hello,
            self._handle_link_lost,
        )
        name = parts.identity.name
        self.stages = self.calls = self.orders = None
        if parts.engine is not None:
            self.stages = StageRunner(
                name,
                parts.engine,
                self.links,
                recorder,
                self.is_leaving,
                count_layers=self._count_layers,
            )
            self.orders = OrderExecutor(
                name, parts.engine, parts.api, recorder
            )
        self.keys = KeyRegistry(
            name,
            self.links,
            self.process.view,
            recorder,
            window=parts.key_window,
        )
        if parts.plain is not None:
            self.calls = CallRunner(
                name, parts.plain, self.keys, recorder, self.is_leaving
            )
        self._nursery: trio.Nursery | None = None

    @property
    def load(self) -> messages.Load:
        """The load that this agent reports."""
        runner = self.stages or self.calls
        return runner.load if runner else messages.Load()

    def _count_layers(self) -> int:
        target = self.process.view.document.find(
            configuration.Target, self.process.identity.name
        )
        return target.end_layer - target.first_layer if target else 0

    def is_leaving(self) -> bool:
        """Return whether this instance refuses new work."""
        return self.process.leaving or self.process.view.is_leaving(
            self.process.identity.name
        )

    async def run(self, *, task_status: trio.TaskStatus[wire.Address]) -> None:
        """Serve until cancelled."""
        process = self.process
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.links.run)
            address = await nursery.start(self._listen)
            if self.stages is not None:
                nursery.start_soon(self.stages.run)
            if self._parts.meters is not None:
                meters = Meters(self._read_gauges, self._is_ready)
                nursery.start_soon(serve_meters, meters, self._parts.meters)
            nursery.start_soon(
                directory.announce,
                process.api,
                process.view,
                process.describe(),
            )
            nursery.start_soon(self._subscribe_to_entries)
            nursery.start_soon(self._announce_leaving)
            process.recorder.record("started", why=str(address))
            task_status.started(address)

    async def drain(self) -> None:
        """Refuse new work and return once no work is in progress.

        Entries move streams that take longer to other targets.  The drain
        ends after a timeout in any case.
        """
        process = self.process
        process.leaving = True
        process.recorder.record("draining", why="the instance is stopping")
        leaving = process.describe("leaving")
        process.view.adopt_entries([leaving])
        process.broadcast(
            messages.Instances((directory.write_entry(leaving),))
        )
        with trio.move_on_after(defaults.DRAIN_TIMEOUT) as scope:
            while self.load.running:
                await trio.sleep(0.05)
        process.recorder.record(
            "drained",
            why="timed out" if scope.cancelled_caught else "",
            left=self.load.running,
        )
        process.view.adopt_entries([removed := process.describe("gone")])
        process.broadcast(
            messages.Instances((directory.write_entry(removed),))
        )
        with trio.move_on_after(defaults.STORE_TIMEOUT):
            with contextlib.suppress(
                errors.PlatformError, platform.VersionConflictError
            ):
                await process.api.delete(removed.object_name)
        await trio.sleep(0.05)
        self.drained.set()

    # Serving.

    async def _listen(
        self, *, task_status: trio.TaskStatus[wire.Address]
    ) -> None:
        await self.process.listen(
            self._handle,
            self._make_pong,
            self._handle_connection_lost,
            self._handle_ready,
            task_status=task_status,
        )

    def _make_pong(self, sequence: int) -> messages.Pong:
        return messages.Pong(sequence, self.process.view.version, self.load)

    def _handle_ready(self, connection: wire.Connection) -> None:
        remote = connection.remote
        if remote is not None and remote.role == "entry":
            self.keys.record_first_contact()

    def _handle_connection_lost(
        self, connection: wire.Connection, reason: str
    ) -> None:
        self.process.recorder.record(
            "entry-connection-lost", target=connection.name, why=reason
        )
        self.keys.drop_entry(connection)
        if self.stages is not None:
            self.stages.orphan_stages(connection)

    async def _handle(
        self, connection: wire.Connection, message: messages.Message
    ) -> None:
        assert self._nursery is not None
        start = self._nursery.start_soon
        match message:
            case messages.Steps():
                if self.stages is not None:
                    self.stages.take_steps(message.items)
            case messages.OpenStage():
                start(self._open, connection, message)
            case messages.Replay():
                if self.stages is not None:
                    self.stages.replay(message)
            case messages.CloseStage():
                if self.stages is not None:
                    self.stages.close(message)
            case messages.Call():
                start(self._call, connection, message)
            case messages.CancelCall():
                if self.calls is not None:
                    self.calls.cancel(message.request)
            case messages.FetchCache():
                start(self._export, connection, message)
            case messages.Vouch():
                start(self.keys.report_use, connection, message)
            case messages.Claim():
                start(self.keys.claim, connection, message)
            case messages.ClaimDone():
                self.keys.finish_claim(message)
            case messages.Order():
                start(self._order, connection, message)
            case _:
                return

    async def _open(
        self, connection: wire.Connection, request: messages.OpenStage
    ) -> None:
        if self.stages is None:
            self._refuse(connection, request, "no_engine", "no model engine")
            return
        if request.next_address and not await self.links.connect(
            request.next_name, request.next_address, verify=request.resume
        ):
            self._refuse(
                connection,
                request,
                "next_unreachable",
                f"{request.next_name} cannot be reached from here",
            )
            return
        await self.stages.open(connection, request)

    def _refuse(
        self,
        connection: wire.Connection,
        request: messages.OpenStage | messages.Call,
        code: str,
        reason: str,
    ) -> None:
        name, attempt = (
            (request.request, 0)
            if isinstance(request, messages.Call)
            else (request.stream, request.attempt)
        )
        refused = messages.Refused(
            name,
            attempt,
            errors.Outcome.NOT_RUN,
            code,
            reason,
        )
        try:
            connection.post(refused)
        except errors.PeerError:
            return

    async def _call(
        self, connection: wire.Connection, call: messages.Call
    ) -> None:
        if self.calls is None:
            self._refuse(connection, call, "no_service", "no plain service")
            return
        await self.calls.run(connection, call)

    async def _export(
        self, connection: wire.Connection, request: messages.FetchCache
    ) -> None:
        if self.stages is None:
            return
        cache = await self.stages.export(request)
        try:
            await connection.send(cache)
        except errors.PeerError:
            return

    async def _order(
        self, connection: wire.Connection, order: messages.Order
    ) -> None:
        if self.orders is None:
            return
        result = await self.orders.execute(order)
        try:
            connection.post(result)
        except errors.PeerError:
            return

    def _handle_link_lost(self, name: str, reason: str) -> None:
        if self.stages is not None:
            self.stages.handle_neighbour_lost(name, reason)

    # Updates from entries.

    async def _subscribe_to_entries(self) -> None:
        """Stay subscribed to one entry, preferably in this data centre."""
        process = self.process
        backoff = directory.Backoff()
        while True:
            was_subscribed = False
            for address in await self._list_feed_addresses():
                was_subscribed = await process.subscribe(address)
                if was_subscribed:
                    break
            if was_subscribed:
                backoff.reset()
                continue
            process.recorder.record(
                "feed-lost", why="no entry accepted the subscription; retrying"
            )
            # All entries in the view may have been replaced.  The store
            # has their successors and the newest configuration.
            await self._refresh()
            await backoff.pause()

    async def _list_feed_addresses(self) -> list[wire.Address]:
        process = self.process
        entries = process.view.list_instances("entry")
        if not entries:
            await self._refresh()
            entries = process.view.list_instances("entry")
        random.shuffle(entries)
        own_data_centre = process.identity.data_centre
        entries.sort(key=lambda entry: entry.data_centre != own_data_centre)
        addresses = [entry.parsed_address for entry in entries]
        return [*addresses, *self._parts.seeds]

    async def _refresh(self) -> None:
        process = self.process
        try:
            await process.store.refresh(f"{directory.PREFIX}entry/")
            process.store.note_reachable(True)
        except errors.PlatformError as exc:
            process.store.note_reachable(False, str(exc))

    async def _announce_leaving(self) -> None:
        """Announce to entries when this instance starts or stops leaving."""
        announced = False
        while True:
            await self.process.view.wait_changed()
            leaving = self.is_leaving()
            if leaving != announced:
                self.process.broadcast(self._make_pong(0))
            announced = leaving

    # Metrics.

    def _is_ready(self) -> bool:
        process = self.process
        target = process.view.document.find(
            configuration.Target, process.identity.name
        )
        return target is not None and not self.is_leaving()

    def _read_gauges(self) -> dict[str, float]:
        load = self.load
        gauges = {
            "configuration_version": self.process.view.version,
            "running": load.running,
            "queued": load.queued,
            "step_seconds": load.step_micros / 1e6,
            "leaving": float(load.draining),
            "store_reachable": float(self.process.store.reachable),
            "keys_held": self.keys.key_count,
            "keys_refused": self.keys.unknown_refusals,
        }
        if self.stages is not None:
            gauges["steps_run"] = self.stages.steps_run
            gauges["steps_dropped"] = self.stages.steps_dropped
        if self.calls is not None:
            gauges["calls_run"] = self.calls.runs
        return gauges
