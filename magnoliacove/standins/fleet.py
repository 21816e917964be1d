"""A fleet of real entries and agents with stand-in targets, in one process.

The demonstration, the tests and the measurements use it.  Agents can be
killed, frozen and restarted by name.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import trio

from magnoliacove import agent
from magnoliacove import configuration
from magnoliacove import entry
from magnoliacove import platform
from magnoliacove import routing
from magnoliacove import sockets
from magnoliacove import targets
from magnoliacove import timeline
from magnoliacove import web
from magnoliacove import wire
from magnoliacove.process import Identity
from magnoliacove.standins import engine
from magnoliacove.standins import network
from magnoliacove.standins import object_api
from magnoliacove.standins import plain
from magnoliacove.standins.callers import API_KEY
from magnoliacove.standins.callers import MODEL
from magnoliacove.standins.callers import Caller

__all__ = [
    "API_KEY",
    "MODEL",
    "OPERATOR_KEY",
    "PLAIN",
    "Caller",
    "Fleet",
    "FleetProcess",
    "open_fleet",
]

OPERATOR_KEY = "operator-key"
PLAIN = "bid-desk"
# Seconds since the epoch at which the clocks of a fleet in memory start.
_START = 1_800_000_000.0
_LOCAL = wire.Address("127.0.0.1", 0)


@dataclass
class FleetProcess:
    """One process of the fleet, run as a task that can be killed.

    :param server: the agent or entry.
    :param scope: cancelled to kill the process.
    """

    server: Any
    scope: trio.CancelScope
    address: wire.Address


@dataclass
class Fleet:
    """A fleet inside this process.

    With ``links`` its processes communicate through memory instead of
    sockets, so the fleet also runs under trio's mock clock.

    :param layers: number of layers of the model.
    :param cuts: layers at which the ranges of the model's targets start and
        end.
    :param replicas: number of targets for each range and for the plain
        service.
    :param step_time: seconds that an engine takes for one batch.
    :param api: the object API for the processes; the store if None.
    :param clock_offsets: seconds by which clocks are off, by process name.
    """

    nursery: trio.Nursery
    store: object_api.ObjectStore
    layers: int = 8
    cuts: tuple[int, ...] = (0, 4, 8)
    replicas: int = 2
    step_time: float = 0.002
    api: platform.ObjectApi | None = None
    engines: dict[str, engine.StandInEngine] = field(default_factory=dict)
    plains: dict[str, plain.StandInPlain] = field(default_factory=dict)
    agents: dict[str, FleetProcess] = field(default_factory=dict)
    entries: dict[str, FleetProcess] = field(default_factory=dict)
    links: network.Links | None = None
    seeds: tuple[wire.Address, ...] = ()
    clock_offsets: dict[str, float] = field(default_factory=dict)
    chooser: Callable[[], routing.ChainChooser] = routing.ExpectedDelay
    # One for all changes, as their ids are its readings.
    operators_clock: timeline.Clock = field(default_factory=timeline.Clock)

    def read_time(self) -> float:
        """Return the time of a fleet in memory, in seconds since the epoch."""
        return _START + trio.current_time()

    def list_objects(self) -> list[configuration.ConfigurationObject]:
        """Return the configuration objects of the whole fleet."""
        config_objects: list[configuration.ConfigurationObject] = [
            configuration.DataCentre("gent-a", "be-vla"),
            configuration.Service(MODEL, "model", self.layers, deadline=30.0),
            configuration.Service(
                PLAIN,
                "plain",
                priority=10,
                deadline=5.0,
                non_idempotent=("POST /bids",),
            ),
            configuration.ClientAccount(
                "lannoy", (configuration.hash_key(API_KEY),)
            ),
        ]
        config_objects.extend(
            configuration.Target(name, MODEL, "gent-a", "", first, end)
            for name, first, end in self.list_ranges()
        )
        config_objects.extend(
            configuration.Target(name, PLAIN, "gent-a")
            for name in self.list_plain()
        )
        return config_objects

    def list_ranges(self) -> list[tuple[str, int, int]]:
        """Return the model's targets with their first and end layers."""
        return [
            (f"llm-{first}-{number}", first, end)
            for first, end in zip(self.cuts, self.cuts[1:], strict=False)
            for number in range(self.replicas)
        ]

    def list_plain(self) -> list[str]:
        """Return the plain service's targets."""
        return [f"desk-{number}" for number in range(self.replicas)]

    async def configure(
        self, *operations: configuration.Put | configuration.Removal
    ) -> int:
        """Commit a change as an operator does, and return its version."""
        journal = configuration.Journal(self.store)
        document = await journal.load()
        read_clock = self.operators_clock.now
        result = await journal.commit(
            document, f"change-{read_clock()}", "test", read_clock, operations
        )
        return result.unwrap().version

    async def start_agent(self, name: str) -> FleetProcess:
        """Start the agent of a target, and the target's stand-in."""
        server = agent.Agent(
            agent.AgentParts(
                Identity(name, "agent", "gent-a", _LOCAL),
                self.api or self.store,
                self._make_network(name),
                self._get_engine(name),
                await self._start_plain(name),
                seeds=self.seeds,
                clock=self.make_clock(name),
            )
        )
        self.agents[name] = await self._start(server)
        return self.agents[name]

    async def start_entry(self, name: str) -> FleetProcess:
        """Start an entry."""
        server = entry.Entry(
            entry.EntryParts(
                Identity(name, "entry", "gent-a", _LOCAL),
                self.api or self.store,
                self._make_network(name),
                sockets.bind_socket("127.0.0.1", 0),
                sockets.bind_socket("127.0.0.1", 0),
                {configuration.hash_key(OPERATOR_KEY): "ann"},
                chooser=self.chooser(),
                seeds=self.seeds,
                clock=self.make_clock(name),
            )
        )
        self.entries[name] = await self._start(server)
        return self.entries[name]

    def make_clock(self, name: str) -> timeline.Clock | None:
        """Return a process's clock with its offset from ``clock_offsets``.

        :returns: None for a fleet that uses sockets and the real clock.
        """
        offset = self.clock_offsets.get(name, 0.0)
        if self.links is None:
            return None
        return timeline.Clock(lambda: _START + trio.current_time() + offset)

    def kill(self, running: FleetProcess) -> None:
        """End a process abruptly, without a drain."""
        running.scope.cancel()

    async def wait_ready(self, version: int) -> None:
        """Wait until every entry can reach every agent."""
        for running in self.entries.values():
            await running.server.process.view.wait_version(version, 10)
            with trio.fail_after(10):
                while running.server.pool.connected < len(self.agents):
                    await trio.sleep(0.01)
        for running in self.agents.values():
            await running.server.process.view.wait_version(version, 10)

    def list_events(self, kind: str = "") -> list[timeline.Event]:
        """Return the events of all processes in causal order."""
        events = [
            event
            for running in (*self.agents.values(), *self.entries.values())
            for event in running.server.process.recorder.list_events()
            if kind in ("", event.kind)
        ]
        return sorted(events, key=lambda event: event.clock)

    def _make_network(self, name: str) -> Any:
        if self.links is not None:
            return network.MemoryNetwork(name, self.links)
        return wire.Network()

    def _get_engine(self, name: str) -> targets.Engine | None:
        if name in self.list_plain():
            return None
        if name not in self.engines:
            self.engines[name] = engine.StandInEngine(
                self.layers, step_time=self.step_time, item_time=0.0
            )
        return self.engines[name]

    async def _start_plain(self, name: str) -> targets.PlainTarget | None:
        if name not in self.list_plain():
            return None
        if name not in self.plains:
            self.plains[name] = plain.StandInPlain(name)
        if self.links is not None:
            return plain.DirectPlainTarget(self.plains[name])
        url = await self.nursery.start(
            web.run_server,
            plain.make_app(self.plains[name]),
            sockets.bind_socket("127.0.0.1", 0),
        )
        return targets.HttpPlainTarget(url)

    async def _start(self, server: Any) -> FleetProcess:
        async def run(*, task_status: trio.TaskStatus[FleetProcess]) -> None:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(server.run)
                    task_status.started(FleetProcess(server, scope, address))

        return await self.nursery.start(run)


@contextlib.asynccontextmanager
async def open_fleet(
    *, entries: int = 1, **settings: Any
) -> AsyncIterator[Fleet]:
    """Run a whole fleet within the ``async with`` block."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, object_api.ObjectStore(), **settings)
        puts = [configuration.Put(item, 0) for item in fleet.list_objects()]
        for name, *_ in fleet.list_ranges():
            await fleet.start_agent(name)
        for name in fleet.list_plain():
            await fleet.start_agent(name)
        version = await fleet.configure(*puts)
        for number in range(entries):
            await fleet.start_entry(f"entry-{number}")
        await fleet.wait_ready(version)
        yield fleet
        nursery.cancel_scope.cancel()
