"""A soak of planned work, in which no request may be lost.

Gateways are stopped in turn and overlapping, reload their settings and take
new configurations, while engines are released, added and taken away.  The
unplanned variant has no such engines: two of four pause and two refuse new
streams.
"""

import enum
import pathlib
import random
import signal

import trio

from magnoliacove.directory.listed import LayerRange
from soak.callers import Callers
from soak.callers import Reply
from soak.gateways import GatewayProcess
from soak.losses import Bounds
from soak.losses import Losses
from soak.losses import Span
from soak.losses import Work
from soak.losses import WorkKind
from soak.play import Soak
from soak.play import make_engine
from soak.roll_engines import Fleet
from soak.roll_engines import RollEngine

__all__ = ["RollSoak", "Variant"]

_CALLERS = 24
# Seconds that callers allow for a request, and routes.
_TIME_LIMIT = 14.0
_ROUTE_TIMEOUT_MS = 15_000
_GRACE = 8
_DRAIN_TIME = 2.0
_SUCCESS = 200
# Share of the requests that surely are streams.
_STREAM_SHARE = 0.7
# Seconds for which a caller rests after it was refused.
_REFUSED_REST = 0.5
# Retries in ten seconds beyond a share of the requests, one of them for each
# seed: as many as usual, and so few that they run out.
_RETRY_SLACKS = (200, 50)
# Streams that an engine serves as their first one, also by the seed.
_SLOTS = (12, 8)
# Shares of the requests whose body is sent slowly, and of the callers' reads
# that come late, with the longest delay of each in seconds.
_SLOW_BODY_SHARE = 0.2
_BODY_DELAY = 0.8
_SLOW_READ_SHARE = 0.1
_READ_DELAY = 0.3
# Ranges of the seconds between two works of a kind.
_STOP_INTERVALS = (0.5, 5.0)
_CONFIGURATION_INTERVALS = (1.5, 6.0)
_RELEASE_INTERVALS = (0.5, 3.5)
# Range of the seconds from the end of a gateway to its start.
_RESTART_DELAYS = (0.1, 1.0)
# Share of the new engines that refuse streams until the old one leaves.
_SLOW_START_SHARE = 0.3
# Ranges of the seconds from a new engine's coming to the old one's leaving,
# and for which the old one serves beyond the drain time.
_OVERLAPS = (0.3, 1.5)
_EXTRA_SERVICE = (0.2, 4.0)
# Ranges of the seconds for which engines pause, refuse and accept.
_PAUSES = (1.5, 4.0)
_REFUSALS = (2.0, 8.0)
_ACCEPTANCES = (0.1, 1.5)
# Layers of the model, the engines that hold each part by the number of parts,
# and memory in MB that holds no more than one part.
_LAYERS = 80
_REPLICAS = {1: 4, 2: 3, 3: 2}
_MEMORY = {1: 1e6, 2: 100_000.0, 3: 70_000.0}


class Variant(enum.StrEnum):
    """What happens beside the stops of gateways."""

    PLANNED = "planned"
    PAUSES = "pauses"


class _RollCallers(Callers):
    """Callers of which some send bodies slowly or read late."""

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        if not data.endswith(b"bid") or self._rng.random() > _SLOW_BODY_SHARE:
            await stream.send_all(data)
            return
        await stream.send_all(data[:-2])
        await trio.sleep(self._rng.uniform(0.0, _BODY_DELAY))
        await stream.send_all(data[-2:])

    async def _receive(self, stream: trio.SocketStream) -> bytes:
        data = await super()._receive(stream)
        # A delay before the read would also delay the sight of a close that
        # crosses a request, which would then seem to be lost.
        if data and self._rng.random() < _SLOW_READ_SHARE:
            await trio.sleep(self._rng.uniform(0.0, _READ_DELAY))
        return data

    def _choose_kind(self) -> str:
        if self._rng.random() < _STREAM_SHARE:
            return "stream"
        return super()._choose_kind()

    async def _rest(self, reply: Reply) -> None:
        # Without a rest the many refused requests would raise the number of
        # retries that the gateways are allowed.
        if reply.complete and reply.status != _SUCCESS:
            await trio.sleep(_REFUSED_REST)


class RollSoak(Soak):
    """Gateways that are stopped in turn while engines come and go.

    :param parts: number of engines in a stream's path, 0 for a random one.
    :param cut_answers: a line for each begun answer that a gateway cut,
        whatever happened around it.
    """

    def __init__(
        self,
        seed: int,
        gateways: int,
        folder: pathlib.Path,
        variant: Variant,
        parts: int = 0,
    ) -> None:
        super().__init__(seed, gateways, folder)
        self.cut_answers: list[str] = []
        self._variant = variant
        self._engines_rng = random.Random(seed)
        self._parts = parts or self._engines_rng.choice(sorted(_REPLICAS))
        self._fleet = Fleet()
        self._engine_count = 0
        self._slots = self._engines_rng.choice(_SLOTS)
        self._work: list[Work] = []
        self._trouble: list[Span] = []
        self._nursery: trio.Nursery | None = None
        self._route_timeout_ms = _ROUTE_TIMEOUT_MS
        self._engine = make_engine(_MEMORY[self._parts])
        self._callers = _RollCallers(
            self._gateways, self._ledger, seed, _TIME_LIMIT, 1.0
        )
        slack = self._engines_rng.choice(_RETRY_SLACKS)
        for gateway in self._gateways:
            gateway.grace, gateway.retry_slack = _GRACE, slack

    def describe(self) -> str:
        """Return the counts of answers, work and cut answers in one line."""
        return (
            f"{super().describe()}; parts {self._parts}; "
            f"answers cut by gateways {len(self.cut_answers)}"
        )

    async def run(self, seconds: float) -> list[str]:
        """Run the soak; return a line for each broken promise."""
        violations = await super().run(seconds)
        losses = Losses(
            Bounds(grace=_GRACE),
            self._callers.exchanges,
            self._ledger.runs.keys(),
            self._fleet.runs,
            self._work,
            self._trouble,
        )
        self.cut_answers = losses.list_cut_answers()
        return [*violations, *losses.list_lost()]

    async def _start_dependencies(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        for name in [n for n in self._targets if n.startswith("llm")]:
            del self._targets[name]
        await super()._start_dependencies(nursery)
        for part in range(self._parts):
            layers = LayerRange(
                part * _LAYERS // self._parts,
                (part + 1) * _LAYERS // self._parts,
            )
            for _ in range(_REPLICAS[self._parts]):
                await self._add_engine(layers)

    async def _inject_faults(self, seconds: float) -> None:
        """Run the callers and the works for a number of seconds."""
        works = [self._stop_gateways, self._change_settings]
        if self._variant is Variant.PLANNED:
            works += [self._release_engines]
        else:
            works += [self._pause_engines, self._refuse_streams]
        async with trio.open_nursery() as nursery:
            for _ in range(_CALLERS):
                nursery.start_soon(self._callers.run)
            for work in works:
                nursery.start_soon(work)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    async def _check_recovery(self) -> None:
        """Skip the check: every request of the run has been checked."""

    # Gateways and configuration.

    async def _stop_gateways(self) -> None:
        """Stop gateways in turn; at least one is left running."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._pause(_STOP_INTERVALS)
                if len(self._busy) >= len(self._gateways) - 1:
                    continue
                gateway = self._reserve_gateway()
                if gateway is not None:
                    nursery.start_soon(self._roll_gateway, gateway)

    async def _roll_gateway(self, gateway: GatewayProcess) -> None:
        """Stop a gateway, kill it after the grace time, and restart it."""
        self._note(WorkKind.STOP, gateway.name)
        with trio.move_on_after(_GRACE) as scope:
            await gateway.end(signal.SIGTERM)
        if scope.cancelled_caught:
            self._faults["killed after the grace time"] += 1
            await gateway.end(signal.SIGKILL)
        await self._pause(_RESTART_DELAYS)
        gateway.start()
        await gateway.wait_ready()
        self._busy.discard(gateway.name)

    async def _change_settings(self) -> None:
        """Write configurations, or let gateways read their settings again."""
        while True:
            await self._pause(_CONFIGURATION_INTERVALS)
            for gateway in self._gateways:
                if gateway.name not in self._busy:
                    gateway.restart_if_exited()
            if self._rng.random() < 0.5:
                gateway = self._rng.choice(self._gateways)
                self._note(WorkKind.RELOAD, gateway.name)
                gateway.reload()
                continue
            sent_at = trio.current_time()
            await self._write_configuration()
            self._note(WorkKind.CONFIGURATION, "", sent_at)

    def _note(
        self, kind: WorkKind, gateway: str, at: float | None = None
    ) -> None:
        now = trio.current_time()
        self._faults[kind.name.lower()] += 1
        self._work.append(Work(kind, gateway, now if at is None else at, now))

    async def _pause(self, interval: tuple[float, float]) -> None:
        await trio.sleep(self._rng.uniform(*interval))

    # Engines.

    async def _add_engine(self, layers: LayerRange) -> RollEngine:
        name = f"llm-{self._engine_count}"
        self._engine_count += 1
        engine = RollEngine(
            name, self._ledger, self._fleet, layers, self._slots
        )
        assert self._nursery is not None
        await self._nursery.start(engine.run)
        engine.join()
        await self._announce(engine, "ready")
        return engine

    async def _announce(self, engine: RollEngine, state: str) -> None:
        entry = {
            "service": "llm",
            "address": engine.address,
            "zone": "a",
            "state": state,
            "slots": engine.slots,
            "kind": "big",
            "layers": engine.describe()["layers"],
        }
        await self._write(f"servers/{engine.name}", entry)

    async def _release_engines(self) -> None:
        """Replace engines, each by a new one with the same layers."""
        async with trio.open_nursery() as nursery:
            leaving: set[str] = set()
            while True:
                await self._pause(_RELEASE_INTERVALS)
                staying = [
                    engine
                    for engine in self._fleet.engines.values()
                    if engine.name not in leaving
                ]
                engine = self._rng.choice(staying)
                leaving.add(engine.name)
                nursery.start_soon(self._release, engine)

    async def _release(self, engine: RollEngine) -> None:
        """Let an engine leave after its successor has come."""
        successor = await self._add_engine(engine.layers)
        successor.refuses = self._rng.random() < _SLOW_START_SHARE
        await self._pause(_OVERLAPS)
        successor.refuses = False
        if self._rng.random() < 0.6:
            self._faults["drained"] += 1
            engine.refuses = True
            engine.extra_headers["connection"] = "close"
            await self._announce(engine, "draining")
        else:
            # It never reports that it drains: only its entry goes.
            self._faults["withdrawn"] += 1
            await self._store.delete(f"servers/{engine.name}")
        await trio.sleep(_DRAIN_TIME)
        await self._pause(_EXTRA_SERVICE)
        engine.leave()
        if self._store.holds(f"servers/{engine.name}"):
            await self._store.delete(f"servers/{engine.name}")

    async def _pause_engines(self) -> None:
        """Let one half of the engines pause, again and again."""
        async with trio.open_nursery() as nursery:
            for engine in list(self._fleet.engines.values())[::2]:
                nursery.start_soon(self._pause_engine, engine)

    async def _pause_engine(self, engine: RollEngine) -> None:
        while True:
            await self._pause(_ACCEPTANCES)
            begun_at = trio.current_time()
            engine.paused = True
            self._faults["paused"] += 1
            try:
                await self._pause(_PAUSES)
            finally:
                engine.paused = False
                self._trouble.append(Span(begun_at, trio.current_time()))

    async def _refuse_streams(self) -> None:
        """Let the other half refuse new streams most of the time."""
        async with trio.open_nursery() as nursery:
            for engine in list(self._fleet.engines.values())[1::2]:
                nursery.start_soon(self._refuse_new, engine)

    async def _refuse_new(self, engine: RollEngine) -> None:
        while True:
            await self._pause(_ACCEPTANCES)
            begun_at = trio.current_time()
            engine.refuses = True
            try:
                await self._pause(_REFUSALS)
            finally:
                engine.refuses = False
                self._trouble.append(Span(begun_at, trio.current_time()))
