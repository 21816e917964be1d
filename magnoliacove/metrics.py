"""Metrics, liveness and readiness of one process, over HTTP."""

from collections.abc import Callable
from collections.abc import Mapping
import functools
import resource
import socket
import time
from typing import TYPE_CHECKING
from typing import Any

import trio

from magnoliacove import web

if TYPE_CHECKING:
    import aioprometheus

__all__ = ["Meters", "serve_meters"]

_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
# Updates that are kept until the library is loaded: it is then, if nobody
# asked for metrics before.
_MAX_PENDING_UPDATES = 2_000


class Meters:
    """The metrics of one process.

    Their library is loaded with the first reading of them, as callers wait
    while a process loads its modules.

    :param read_gauges: returns gauge names and values when asked.
    """

    def __init__(
        self,
        read_gauges: Callable[[], Mapping[str, float]],
        is_ready: Callable[[], bool],
    ) -> None:
        self.is_ready = is_ready
        self._registry: aioprometheus.Registry | None = None
        self._early: list[Callable[[], None]] = []
        self._read_gauges = read_gauges
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter whose name ends in ``_total``."""
        if self._registry is None:
            self._keep(functools.partial(self.count, name, by, **labels))
            return
        counter = self._counters.get(name)
        if counter is None:
            import aioprometheus

            counter = aioprometheus.Counter(
                f"magnoliacove_{name}",
                name.replace("_", " "),
                registry=self._registry,
            )
            self._counters[name] = counter
        counter.add(labels, by)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add to a histogram whose name ends in ``_seconds``."""
        if self._registry is None:
            self._keep(
                functools.partial(self.observe, name, seconds, **labels)
            )
            return
        histogram = self._histograms.get(name)
        if histogram is None:
            import aioprometheus

            histogram = aioprometheus.Histogram(
                f"magnoliacove_{name}",
                name.replace("_", " "),
                buckets=_BUCKETS,
                registry=self._registry,
            )
            self._histograms[name] = histogram
        histogram.observe(labels, seconds)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        import aioprometheus
        from aioprometheus import renderer

        registry = self._load()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        values = {
            **self._read_gauges(),
            "process_resident_memory_peak_bytes": usage.ru_maxrss * 1024,
            "process_cpu_seconds": time.process_time(),
        }
        for name, value in values.items():
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = aioprometheus.Gauge(
                    f"magnoliacove_{name}",
                    name.replace("_", " "),
                    registry=registry,
                )
                self._gauges[name] = gauge
            gauge.set({}, value)
        return renderer.render(registry, [])[0]

    def _keep(self, update: Callable[[], None]) -> None:
        """Keep an update until the library is loaded."""
        self._early.append(update)
        if len(self._early) >= _MAX_PENDING_UPDATES:
            self._load()

    def _load(self) -> "aioprometheus.Registry":
        if self._registry is None:
            import aioprometheus

            self._registry = aioprometheus.Registry()
            early, self._early = self._early, []
            for update in early:
                update()
        return self._registry


async def serve_meters(
    meters: Meters,
    listener: socket.socket,
    *,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``/metrics``, ``/healthz`` and ``/readyz`` until cancelled."""

    async def answer(request: web.Request) -> web.Response:
        if request.path == "/metrics":
            return web.Response(200, meters.render())
        if request.path == "/healthz":
            return web.Response(200, {"alive": True})
        if request.path == "/readyz":
            ready = meters.is_ready()
            return web.Response(200 if ready else 503, {"ready": ready})
        return web.Response(404, {"error": "use /metrics or /readyz"})

    await web.run_server(
        web.make_app(answer), listener, task_status=task_status
    )
