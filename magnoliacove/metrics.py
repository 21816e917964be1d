"""Metrics, liveness and readiness of a process, served over HTTP."""

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

# Upper bounds of the histogram buckets, in seconds.
_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
# Updates that are buffered until the metrics library is loaded.  At this
# number the library is loaded even if no metrics were requested.
_MAX_PENDING_UPDATES = 2_000


class Meters:
    """The metrics of one process.

    The metrics library is loaded on the first request for metrics, not at
    start-up, because callers wait while a process loads its modules.

    :param read_gauges: returns the current gauge values by name.
    :param is_ready: returns whether the process is ready.
    """

    def __init__(
        self,
        read_gauges: Callable[[], Mapping[str, float]],
        is_ready: Callable[[], bool],
    ) -> None:
        self.is_ready = is_ready
        self._registry: aioprometheus.Registry | None = None
        self._pending: list[Callable[[], None]] = []
        self._read_gauges = read_gauges
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: the counter's name, ending in ``_total``.
        :param by: the increment.
        """
        if self._registry is None:
            self._defer(functools.partial(self.count, name, by, **labels))
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
        """Add an observation to a histogram.

        :param name: the histogram's name, ending in ``_seconds``.
        """
        if self._registry is None:
            self._defer(
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
        """Return all metrics in the Prometheus text format."""
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

    def _defer(self, update: Callable[[], None]) -> None:
        """Buffer an update until the metrics library is loaded."""
        self._pending.append(update)
        if len(self._pending) >= _MAX_PENDING_UPDATES:
            self._load()

    def _load(self) -> "aioprometheus.Registry":
        if self._registry is None:
            import aioprometheus

            self._registry = aioprometheus.Registry()
            pending, self._pending = self._pending, []
            for update in pending:
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
