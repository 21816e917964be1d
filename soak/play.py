"""A soak: a fleet, its callers, and random faults that may overlap."""

from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import random
import signal

import trio

from magnoliacove import errors
from magnoliacove import web
from magnoliacove.sockets import bind_socket
from magnoliacove.standins import object_api
from soak.callers import KINDS
from soak.callers import Callers
from soak.gateways import GatewayProcess
from soak.gateways import choose_port
from soak.proxy import Proxy
from soak.targets import Ledger
from soak.targets import Target

__all__ = ["Soak", "make_engine", "serve_app"]

_CALLERS = 12
# Range of the seconds between two faults; a fault lasts up to 4 s, so that
# several overlap.
_FAULT_INTERVALS = (0.2, 1.5)
# Seconds before a failed write to the store is repeated.
_WRITE_RETRY_DELAY = 0.05
# Seconds after the last fault within which everything must serve again.
_RECOVERY_SECONDS = 8.0
_MEMORY_MB = 1e6
_ENGINE = {
    "slots": 96,
    "kv_token_bytes": 1_180_000,
    "models": [{"name": "m", "load_time_s": 2.0}],
    "step_ms": 0.85,
    "per_seq_ms": 0.007,
    "context_per_k": 0.01,
    "read_per_s": 196_000.0,
    "loads_at_once": 6,
    "usual": {"prompt": 100, "answer": 60},
    "layers": 80,
    "layer_mb": 1750.0,
    "activation_bytes": 59_000,
    "pipe_mbps": 11_000.0,
}


class Soak:
    """A fleet of gateways and targets under random faults.

    :param folder: the folder for the settings and logs of the gateways.
    """

    def __init__(self, seed: int, gateways: int, folder: pathlib.Path) -> None:
        self._rng = random.Random(seed)
        ports = (
            choose_port(self._rng),
            choose_port(self._rng),
            choose_port(self._rng),
        )
        self._gateways = [
            GatewayProcess(n, ports, folder) for n in range(gateways)
        ]
        self._store = object_api.ObjectStore()
        self._ledger = Ledger()
        self._targets = {
            f"{service}-{n}": Target(f"{service}-{n}", self._ledger, seed + n)
            for service in ("desk", "llm")
            for n in range(3)
        }
        self._proxies: dict[str, Proxy] = {}
        self._store_proxy: Proxy | None = None
        # The state that each target announced last.
        self._states: dict[str, str] = {}
        self._version = 7
        self._route_timeout_ms = 6000
        self._engine = make_engine(_MEMORY_MB)
        self._callers = Callers(self._gateways, self._ledger, seed)
        self._busy: set[str] = set()
        self._faults: Counter[str] = Counter()

    def describe(self) -> str:
        """Return the counts of answers and faults in one line."""
        statuses = Counter(
            status for (_, status) in self._callers.outcomes.elements()
        )
        answers = " ".join(
            f"{s or 'cut'}:{n}" for s, n in sorted(statuses.items())
        )
        faults = " ".join(f"{k}:{n}" for k, n in sorted(self._faults.items()))
        return f"answers {answers}; faults {faults}"

    async def run(self, seconds: float) -> list[str]:
        """Run the soak; return a line for each broken promise."""
        async with trio.open_nursery() as nursery:
            await self._start_dependencies(nursery)
            for gateway in self._gateways:
                hosts = [other.host for other in self._gateways]
                gateway.write_settings(self._store_proxy.address, hosts)
                gateway.start()
            try:
                for gateway in self._gateways:
                    await gateway.wait_ready()
                await self._inject_faults(seconds)
                await self._check_recovery()
            finally:
                with trio.CancelScope(shield=True):
                    for gateway in self._gateways:
                        await gateway.end(signal.SIGKILL)
            nursery.cancel_scope.cancel()
        self._callers.check_refused()
        self._callers.check_runs()
        for gateway in self._gateways:
            if gateway.unexpected_exits:
                self._callers.violations.append(
                    f"{gateway.name} exited unexpectedly with "
                    f"{gateway.unexpected_exits}"
                )
        return self._callers.violations

    async def _start_dependencies(self, nursery: trio.Nursery) -> None:
        """Start the store, the targets and the proxies in front of them."""
        await self._start_store(nursery)
        for name, target in self._targets.items():
            await nursery.start(target.run)
            proxy = self._proxies[name] = Proxy("127.0.0.1", target.port)
            await nursery.start(proxy.run)
            await self._write_entry(name, "ready")
        await self._write_configuration()

    async def _start_store(self, nursery: trio.Nursery) -> None:
        """Start the store and the proxy in front of it."""
        listener = bind_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        app = object_api.make_app(self._store)
        await nursery.start(serve_app, app, listener)
        self._store_proxy = Proxy("127.0.0.1", port)
        await nursery.start(self._store_proxy.run)

    async def _write_entry(self, name: str, state: str) -> None:
        self._states[name] = state
        entry = {
            "service": name.partition("-")[0],
            "address": self._proxies[name].address,
            "zone": "a",
            "state": state,
            "slots": 6,
        }
        if name.startswith("llm"):
            entry["kind"] = "big"
            entry["layers"] = {"from": 0, "to": 80, "version": 1}
        await self._write(f"servers/{name}", entry)

    async def _write_configuration(self) -> None:
        self._version += self._rng.randrange(1, 5)
        await self._write_version()

    async def _write_version(self) -> None:
        """Write the current version of the configuration."""
        base = {
            "host": "soak",
            "timeout_ms": self._route_timeout_ms,
            "target_latency_ms": 300,
            "target_gap_ms": 200,
            "priority": 1,
            "max_attempts": 2,
            "public": True,
            "resumable": False,
        }
        kinds = {
            "/get/": ("idempotent", "desk"),
            "/post/": ("non_idempotent", "desk"),
            "/stream/": ("streaming", "llm"),
            f"/v{self._version}/": ("idempotent", "desk"),
        }
        routes = [
            {
                **base,
                "name": f"r{path}",
                "path_prefix": path,
                "kind": kind,
                "service": service,
                "resumable": kind == "streaming",
            }
            for path, (kind, service) in kinds.items()
        ]
        value = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": "llm",
                    "health_path": "/health",
                    "engine": self._engine,
                },
                {"name": "desk", "health_path": "/health"},
            ],
            "limits": {},
        }
        await self._write("config/main", value)

    async def _write(self, name: str, value: dict[str, object]) -> None:
        """Write an object; retry while the store is unavailable."""
        while True:
            try:
                await self._store.put(name, json.dumps(value).encode())
                return
            except errors.PlatformError:
                # The store refused the write, or applied it without an
                # answer.  Repeating the same value is harmless.
                await trio.sleep(_WRITE_RETRY_DELAY)

    # Faults.

    def _list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults from which the seed chooses."""
        return [
            self._kill,
            self._freeze,
            self._stop,
            self._reload,
            self._interrupt_store,
            self._degrade_store,
            self._blackhole_store,
            self._degrade_target,
            self._blackhole_target,
            self._restart_target,
            self._change_configuration,
        ]

    async def _inject_faults(self, seconds: float) -> None:
        """Run the callers and inject random faults for a number of seconds."""
        faults = self._list_faults()
        async with trio.open_nursery() as callers:
            for _ in range(_CALLERS):
                callers.start_soon(self._callers.run)
            async with trio.open_nursery() as nursery:
                end = trio.current_time() + seconds
                while trio.current_time() < end:
                    fault = self._rng.choice(faults)
                    self._faults[fault.__name__.strip("_")] += 1
                    nursery.start_soon(fault)
                    await trio.sleep(self._rng.uniform(*_FAULT_INTERVALS))
                    for gateway in self._gateways:
                        if gateway.name not in self._busy:
                            gateway.restart_if_exited()
            callers.cancel_scope.cancel()

    def _reserve_gateway(self) -> GatewayProcess | None:
        """Reserve a gateway that has no fault, None if there is none."""
        free = [g for g in self._gateways if g.name not in self._busy]
        if not free:
            return None
        gateway = self._rng.choice(free)
        self._busy.add(gateway.name)
        return gateway

    async def _kill(self) -> None:
        await self._restart_gateway(signal.SIGKILL)

    async def _stop(self) -> None:
        await self._restart_gateway(signal.SIGTERM)

    async def _restart_gateway(self, number: signal.Signals) -> None:
        gateway = self._reserve_gateway()
        if gateway is None:
            return
        await gateway.end(number)
        await trio.sleep(self._rng.uniform(0.1, 1.0))
        gateway.start()
        self._busy.discard(gateway.name)

    async def _freeze(self) -> None:
        gateway = self._reserve_gateway()
        if gateway is None:
            return
        gateway.send(signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(0.3, 4.0))
        gateway.send(signal.SIGCONT)
        self._busy.discard(gateway.name)

    async def _reload(self) -> None:
        self._rng.choice(self._gateways).reload()

    async def _interrupt_store(self) -> None:
        self._store.faults.outage = True
        self._store.wake_watches()
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        self._store.faults.outage = False

    async def _degrade_store(self) -> None:
        self._store.faults.lost_answers = 2
        self._store.faults.delay = self._rng.choice([0.0, 0.05, 0.3])
        self._store.compact()
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        self._store.faults.delay = 0.0

    async def _blackhole_store(self) -> None:
        await self._disrupt_connections(self._store_proxy)

    async def _blackhole_target(self) -> None:
        name = self._rng.choice(sorted(self._proxies))
        await self._disrupt_connections(self._proxies[name])

    async def _disrupt_connections(self, proxy: Proxy) -> None:
        """Reset open connections, or drop their data one way or both."""
        if self._rng.random() < 0.3:
            proxy.reset_all()
            return
        up = self._rng.random() < 0.6
        proxy.blackhole_all(up=up, down=not up or self._rng.random() < 0.5)

    async def _degrade_target(self) -> None:
        proxy = self._proxies[self._rng.choice(sorted(self._proxies))]
        proxy.delay = self._rng.choice([0.05, 0.3, 1.0])
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.delay = 0.0

    async def _restart_target(self) -> None:
        """Crash a target, or drain and stop it, and restart it."""
        name = self._rng.choice(sorted(self._proxies))
        proxy = self._proxies[name]
        if self._rng.random() < 0.5:
            await self._write_entry(name, "draining")
            await trio.sleep(self._rng.uniform(0.5, 2.0))
        proxy.refuse = True
        proxy.reset_all()
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.refuse = False
        await self._write_entry(name, "ready")

    async def _change_configuration(self) -> None:
        await self._write_configuration()

    # Checks after the faults.

    async def _check_recovery(self) -> None:
        """Check that every gateway serves every kind of request again."""
        self._store.faults = object_api.Faults()
        for name in self._proxies:
            await self._write_entry(name, "ready")
        await self._write_configuration()
        for gateway in self._gateways:
            gateway.send(signal.SIGCONT)
            gateway.restart_if_exited()
        await trio.sleep(_RECOVERY_SECONDS)
        newest = f"/v{self._version}/"
        for gateway in self._gateways:
            for kind in (*KINDS, newest):
                if not await self._is_served(gateway, kind):
                    self._callers.violations.append(
                        f"{gateway.name} does not serve {kind} "
                        f"{_RECOVERY_SECONDS:.0f} s after the last fault"
                    )

    async def _is_served(self, gateway: GatewayProcess, kind: str) -> bool:
        """Return whether one of several requests succeeds."""
        for _ in range(4):
            try:
                reply = await self._callers.send_request(gateway, kind)
            except OSError:
                # The gateway does not listen yet; retry.
                await trio.sleep(0.3)
                continue
            if reply.status == 200 and reply.complete:
                return True
        return False


def make_engine(memory_mb: float) -> dict[str, object]:
    """Return the model and the engines in the form of the configuration."""
    kind = {"name": "big", "mb": memory_mb, "pace": 1.0, "read_x": 1.0}
    return {**_ENGINE, "kinds": [kind]}


async def serve_app(
    app: web.App, listener, task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Serve the stand-in of an external system."""
    await web.run_server(app, listener, task_status=task_status)
