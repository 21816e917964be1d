"""Throughput relative to its bound, and latency, for each chain chooser.

``python -m measure.routing`` runs the real choosers and estimates with
simulated engines under a virtual clock.  The bound is the maximum flow
through the engines, computed by linear programming.
"""

from collections.abc import Callable
from dataclasses import dataclass
import itertools
import random
import statistics
from typing import Any

import click
from scipy.optimize import linprog
import trio
import trio.testing

from magnoliacove import routing
from magnoliacove.wire import messages
from measure import common

_LAYERS = 32
_BATCH = 16
_TOKENS = 20
# Seconds between load reports.
_REPORT_INTERVAL = 1.0
# Latency of links in seconds.
_FAST_LINK = 0.0005
_SLOW_LINK = 0.05
# Weight of a new step time in the moving average.
_SMOOTHING = 0.05


@dataclass(eq=False)
class _Engine:
    """A simulated engine that runs batches of at most 16 steps."""

    name: str
    first_layer: int
    end_layer: int
    fixed: float
    slope: float
    streams: int = 0
    step_seconds: float = 0.0

    def __post_init__(self) -> None:
        self.queue: list[tuple[float, trio.Event]] = []
        self.arrived = trio.Event()

    @property
    def load(self) -> messages.Load:
        return messages.Load(self.streams, 0, int(self.step_seconds * 1e6))

    def rate(self) -> float:
        """Return the maximum number of steps of the full range per second."""
        return _BATCH / (self.fixed + self.slope * _BATCH)

    async def step(self, share: float) -> None:
        """Run a step of a share of the range and update the step time."""
        started_at = trio.current_time()
        done = trio.Event()
        self.queue.append((share, done))
        self.arrived.set()
        await done.wait()
        # As in an agent, the time from the arrival of a step to its output.
        seconds = (trio.current_time() - started_at) / share
        if not self.step_seconds:
            self.step_seconds = seconds
        self.step_seconds += _SMOOTHING * (seconds - self.step_seconds)

    async def run(self) -> None:
        while True:
            while not self.queue:
                self.arrived = trio.Event()
                await self.arrived.wait()
            batch, self.queue = self.queue[:_BATCH], self.queue[_BATCH:]
            work = sum(share for share, _ in batch)
            # A batch with shares of the range takes the mean share of the
            # fixed time.
            share = work / len(batch)
            seconds = self.fixed * share + self.slope * work
            await trio.sleep(seconds)
            for _, done in batch:
                done.set()


def _make_engines() -> list[_Engine]:
    """Return engines of seven speeds with unequal, overlapping ranges."""
    ranges = [(0, 10), (10, 20), (20, 32), (0, 16), (16, 32)]
    kinds = [1.0, 1.0, 1.3, 1.6, 2.0, 3.0, 4.0]
    counts = [4, 4, 4, 3, 3]
    speeds = itertools.cycle(kinds)
    engines = []
    for (first, end), count in zip(ranges, counts, strict=True):
        for number in range(count):
            factor = next(speeds) * (end - first) / 10
            engines.append(
                _Engine(
                    f"e{first}-{end}-{number}",
                    first,
                    end,
                    0.010 * factor,
                    0.0010 * factor,
                )
            )
    return engines


def compute_bound(engines: list[_Engine]) -> float:
    """Return the maximum flow in tokens per second through the engines."""
    cuts = sorted({e.first_layer for e in engines} | {_LAYERS})
    flows = [
        (index, p, q)
        for index, e in enumerate(engines)
        for p, q in itertools.combinations(
            [c for c in cuts if e.first_layer <= c <= e.end_layer]
            + ([e.end_layer] if e.end_layer not in cuts else []),
            2,
        )
    ]
    rows, limits = [], []
    for index, engine in enumerate(engines):
        length = engine.end_layer - engine.first_layer
        rows.append(
            [(q - p) / length if i == index else 0 for i, p, q in flows]
        )
        limits.append(engine.rate())
    balance = [
        [(q == cut) - (p == cut) for _, p, q in flows]
        for cut in cuts
        if 0 < cut < _LAYERS
    ]
    result = linprog(
        [-float(p == 0) for _, p, _ in flows],
        A_ub=rows,
        b_ub=limits,
        A_eq=balance,
        b_eq=[0] * len(balance),
    )
    return -result.fun


def _get_latency(one: str, other: str) -> float:
    slow = {one, other} == {"e0-10-0", "e10-20-0"}
    return _SLOW_LINK if slow else _FAST_LINK


@dataclass
class _Measured:
    tokens: int = 0
    late_tokens: int = 0
    first: list[float] | None = None
    between: list[float] | None = None


async def _run_stream(
    entry: routing.Estimates,
    chooser: routing.ChainChooser,
    engines: dict[str, _Engine],
    options: list[routing.StageOption],
    measured: _Measured,
    counting: Callable[[], bool],
) -> None:
    started_at = trio.current_time()
    chain = chooser.choose(options, 0, _LAYERS, entry)
    assert chain is not None
    names = tuple(stage.target for stage in chain)
    for name in names:
        entry.target(name).own += 1
        engines[name].streams += 1
        # An agent's answer to the opening of a stage contains its load.
        entry.target(name).note_report(engines[name].load)
    last = started_at
    for number in range(_TOKENS):
        fed = trio.current_time()
        for before, stage in zip((entry.entry, *names), chain, strict=False):
            await trio.sleep(_get_latency(before, stage.target))
            engine = engines[stage.target]
            length = engine.end_layer - engine.first_layer
            share = (stage.end_layer - stage.first_layer) / length
            await engine.step(share)
        now = trio.current_time()
        if number % 8 == 0:
            entry.note_token(names, now - fed)
        if counting():
            measured.tokens += 1
            if measured.first is not None and number == 0:
                measured.first.append(now - started_at)
            if measured.between is not None and number:
                measured.between.append(now - last)
        last = now
    for name in names:
        entry.target(name).own -= 1
        engines[name].streams -= 1


async def _measure(
    make: Callable[[], routing.ChainChooser],
    *,
    streams: int,
    rate: float,
    seconds: float,
    entries: int = 4,
) -> _Measured:
    """Run the choosers under load.

    :param make: creates a chooser for each entry.
    :param streams: number of streams that are always open.
    :param rate: rate of arrivals of further streams per second, 0 for none.
    :param seconds: duration; the first third is not measured.
    """
    engines = {engine.name: engine for engine in _make_engines()}
    options = [
        routing.StageOption(e.name, e.first_layer, e.end_layer)
        for e in engines.values()
    ]
    views = [(routing.Estimates(f"entry-{n}"), make()) for n in range(entries)]
    rng = random.Random(7)
    measured = _Measured(first=[], between=[])
    warm_up = seconds / 3

    def counting() -> bool:
        return trio.current_time() >= start + warm_up

    async def report() -> None:
        while True:
            await trio.sleep(_REPORT_INTERVAL)
            for view, _ in views:
                for engine in engines.values():
                    view.target(engine.name).note_report(engine.load)

    async def keep_open() -> None:
        while True:
            view, chooser = rng.choice(views)
            await _run_stream(
                view, chooser, engines, options, measured, counting
            )

    start = trio.current_time()
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for engine in engines.values():
                nursery.start_soon(engine.run)
            nursery.start_soon(report)
            for _ in range(streams):
                nursery.start_soon(keep_open)
                await trio.sleep(rng.random() * 0.02)
            while rate:
                await trio.sleep(rng.expovariate(rate))
                view, chooser = rng.choice(views)
                nursery.start_soon(
                    _run_stream,
                    view,
                    chooser,
                    engines,
                    options,
                    measured,
                    counting,
                )
            await trio.sleep_forever()
    return measured


def _run(
    make: Callable[[], routing.ChainChooser], **settings: Any
) -> _Measured:
    async def main() -> _Measured:
        return await _measure(make, **settings)

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def _p95(values: list[float] | None) -> float:
    return statistics.quantiles(values or [0.0, 0.0], n=20)[18] * 1000


@click.command()
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--streams", default=480, show_default=True)
@click.option("--only", default="", help="Measure one chooser only.")
def main(seconds: float, streams: int, only: str) -> None:
    """Measure every chooser and print the table."""

    async def compute() -> float:
        return compute_bound(_make_engines())

    bound = trio.run(compute)
    click.echo(f"bound: {bound:.1f} tokens/s")
    choosers: dict[str, Callable[[], routing.ChainChooser]] = {
        "expected delay": lambda: routing.ExpectedDelay(rng=random.Random(1)),
        "two choices": lambda: routing.TwoChoices(random.Random(1)),
        "least load": lambda: routing.LeastLoad(random.Random(1)),
        "round robin": lambda: routing.RoundRobin(random.Random(1)),
        "random": lambda: routing.RandomChoice(random.Random(1)),
    }
    rows = []
    for name, make in choosers.items():
        if only not in ("", name):
            continue
        full = _run(make, streams=streams, rate=0.0, seconds=seconds)
        part = _run(
            make, streams=0, rate=0.8 * bound / _TOKENS, seconds=seconds
        )
        rows.append(
            {
                "chooser": name,
                "part_of_bound": full.tokens / (seconds * 2 / 3) / bound,
                "first_p95_ms_at_80": _p95(part.first),
                "between_p95_ms_at_80": _p95(part.between),
                "tokens_at_80": part.tokens / (seconds * 2 / 3) / bound,
            }
        )
    common.show_table(rows)
    common.write_result("routing", {"bound": bound, "rows": rows})


if __name__ == "__main__":
    main()
