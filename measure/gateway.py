"""Cost of a gateway's control work: heartbeats, paths, plans, routes.

Run as ``python -m measure.gateway``; results go to ``measure/results``.
"""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import random
import time
import tracemalloc

from magnoliacove import peers
from magnoliacove.configuration.routes import Accelerator
from magnoliacove.configuration.routes import ModelShape
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.listed import LayerRange
from magnoliacove.limits import TargetLoad
from magnoliacove.placement.balance import find_improvement
from magnoliacove.placement.plan import EngineState
from magnoliacove.placement.plan import make_plan
from magnoliacove.platform.routes import read_routes
from magnoliacove.routing.paths import PathCosts
from magnoliacove.routing.paths import StageOption
from magnoliacove.routing.paths import find_path
from magnoliacove.wire import Address
from measure import common

_KINDS = {
    "h100": Accelerator("h100", 72_000, 1.4, 1.0),
    "a100s": Accelerator("a100s", 36_000, 3.1, 3.2),
    "l4": Accelerator("l4", 21_600, 16.0, 8.2),
    "t4": Accelerator("t4", 14_400, 15.0, 15.0),
}
SHAPE = ModelShape(
    layers=80,
    layer_mb=1750.0,
    token_mb=1.18,
    step=0.00085,
    step_per_request=7.64e-6,
    step_per_kilotoken=1.024e-5,
    prefill_per_second=196_000.0,
    hop_bytes=59_000.0,
    link_mbps=11_000.0,
    load=14.0,
    parallel_loads=6,
    usual_prompt=772.0,
    usual_answer=174.0,
    slots=96,
    accelerators=_KINDS,
)
# Accelerators of one data centre, as many of each kind as at a small site.
GROUP = ["h100", "a100s", *["l4"] * 5, *["t4"] * 7]


def _time(run: Callable[[], object], count: int) -> float:
    """Return the mean milliseconds of one call."""
    run()
    started_at = time.perf_counter()
    for _ in range(count):
        run()
    return (time.perf_counter() - started_at) / count * 1000


def _make_engines(count: int) -> list[EngineState]:
    return [
        EngineState(
            f"i-{n:08x}",
            f"place-{n // len(GROUP)}",
            GROUP[n % len(GROUP)],
            None,
        )
        for n in range(count)
    ]


def _make_heartbeat(engines: int) -> peers.Heartbeat:
    # Random values, since heartbeats are compressed and equal values would
    # take no space.
    rng = random.Random(engines)
    names = [f"i-{rng.getrandbits(40):010x}" for _ in range(engines)]
    return peers.Heartbeat(
        name="front-gent-a-1",
        address="10.1.0.40:7340",
        incarnation=1,
        sequence=1,
        data_centre="gent-a",
        configuration_version=7,
        leaving=False,
        store_reachable=True,
        crossings=0,
        loads={
            name: TargetLoad(rng.randrange(9), rng.uniform(0, 4e5))
            for name in names
        },
        suspicions=(),
        holdings=tuple(
            peers.ReportedEngineStatus(
                name,
                rng.random(),
                EngineStatus(
                    LayerRange(n % 72, n % 72 + 8), used=rng.uniform(0, 9e5)
                ),
            )
            for n, name in enumerate(names)
        ),
        services={"llm": (300, 4)},
        peers=("10.1.0.40:7340",) * 5,
        acting=True,
    )


def _measure_heartbeats() -> list[dict[str, float]]:
    rows = []
    for engines in (14, 42, 126):
        heartbeat = _make_heartbeat(engines)
        data = heartbeat.encode()
        rows.append(
            {
                "engines": engines,
                "bytes": len(data),
                "encode_ms": _time(heartbeat.encode, 50),
                "decode_ms": _time(
                    functools.partial(peers.Heartbeat.decode, data), 50
                ),
            }
        )
    return rows


def place_options(
    states: Sequence[EngineState], shape: ModelShape
) -> list[StageOption]:
    """Return engines with the layers of the initial placement loaded."""
    states_by_target = {state.target: state for state in states}
    return [
        StageOption(
            item.target,
            Address("10.0.0.1", 80),
            states_by_target[item.target].data_centre,
            states_by_target[item.target].accelerator,
            item.layers,
            shape.compute_capacity(
                states_by_target[item.target].accelerator, item.layers.count
            ),
        )
        for item in make_plan(states, shape)
    ]


def _measure_paths() -> list[dict[str, float]]:
    rows = []
    for engines in (14, 42, 126):
        states = _make_engines(engines)
        options = place_options(states, SHAPE)
        costs = PathCosts(SHAPE, 772, 140, 0.05)
        loaded = {option.target: option.layers for option in options}
        first_group = [
            EngineState(
                s.target, s.data_centre, s.accelerator, loaded[s.target]
            )
            for s in states[: len(GROUP)]
        ]
        rows.append(
            {
                "engines": engines,
                "path_ms": _time(
                    functools.partial(find_path, options, costs), 50
                ),
                "plan_ms": _time(
                    functools.partial(make_plan, states, SHAPE), 3
                ),
                "balance_ms": _time(
                    functools.partial(find_improvement, first_group, SHAPE), 5
                ),
            }
        )
    return rows


def _measure_routes() -> list[dict[str, float]]:
    rows = []
    for count in (100, 500, 2000):
        spec = {
            "version": 1,
            "routes": [
                {
                    "name": f"r-{n}",
                    "host": "lots.example",
                    "path_prefix": f"/lots{n}/",
                    "kind": "idempotent",
                    "timeout_ms": 2000,
                    "service": "desk",
                }
                for n in range(count)
            ],
            "services": [{"name": "desk"}],
        }
        tracemalloc.start()
        table = read_routes(spec)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append(
            {
                "routes": count,
                "read_ms": _time(lambda s=spec: read_routes(s), 3),
                "bytes_a_route": size / count,
                "find_us": 1000
                * _time(
                    lambda t=table: t.find_route("lots.example", "/lots7/a/b"),
                    2000,
                ),
            }
        )
    return rows


def main() -> None:
    """Measure everything and write the results."""
    results = {
        "heartbeats": _measure_heartbeats(),
        "paths": _measure_paths(),
        "routes": _measure_routes(),
    }
    common.write_result("gateway", results)


if __name__ == "__main__":
    main()
