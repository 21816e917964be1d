"""Answers cut off per thousand that began, by who ended them.

Plays many streams at once through a real gateway relay with scripted engines,
in this process and in real time.  Sound engines pause now and then, and each
case adds one kind of trouble.  An answer that the gateway ended while its
engine still served it is a fault of the gateway.

Run as ``python -m measure.cuts``; ``--seed N`` plays other pauses, ``--case
NAME`` one case only, and ``--traces FILE`` writes the gateway's lines on each
answer that it or the caller ended.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
import functools
import itertools
import pathlib
import random

import click
import trio

from magnoliacove.configuration import routes
from magnoliacove.directory.listed import LayerRange
from magnoliacove.errors import EndedBy
from magnoliacove.limits import SharedRetryBudget
from measure import common
from measure import gateway
from measure.cut_counts import Counts
from measure.cut_counts import Played
from measure.scripted_engines import EngineScript
from measure.scripted_gateway import Reading
from measure.scripted_gateway import ScriptedGateway
from measure.scripted_gateway import read_stream

__all__ = ["CASES", "Case", "Engine", "play"]

# Callers of each case, and the seconds over which they arrive.
_CALLERS = 100
_ARRIVALS = 1.5
# Seconds without data after which a caller leaves.
_PATIENCE = 5.0
# Seconds that a route allows for a whole answer.
_TIMEOUT = 20.0
# Seconds between two measurements of this process's delay.
_DELAY_INTERVAL = 0.05
# Seconds after which a case is ended as stuck.
_MAX_CASE = 60.0
# Seconds of the retry budget's window.
_BUDGET_WINDOW = 10.0
# Seconds between two wrong suspicions; the first one lasts as long.
_SUSPICION_INTERVAL = 2.1
# Seconds between two versions of the configuration.
_VERSION_INTERVAL = 0.1
# Small layers, so that one engine has memory for all streams.
_SHAPE = replace(gateway.SHAPE, layer_mb=100.0, slots=400)
_ALL, _FIRST, _INNER = LayerRange(0, 80), LayerRange(0, 40), LayerRange(40, 80)
_SOUND = EngineScript()
# Answers are usually quick, so that a pause is hedged.
_PLAIN = EngineScript(events=4, interval=0.02, pause_share=0.02)

Trouble = Callable[[ScriptedGateway], Awaitable[None]]


@dataclass(frozen=True)
class Engine:
    """One engine of a case; a plain target without layers."""

    name: str
    script: EngineScript = _SOUND
    layers: LayerRange | None = _ALL


_PAIR = (Engine("i-1"), Engine("i-2"))


@dataclass(frozen=True)
class Case:
    """One kind of trouble.

    :param path: the prefix of the route that the callers use.
    :param budget: retries for each request, and those beyond them in a window.
    :param trouble: runs beside the streams.
    :param repeats: how often a caller repeats a request that was cut off.
    :param answers: answers that each caller asks for in turn.
    :param deadline: seconds that a caller allows for its whole answer.
    """

    name: str
    path: str = "/stream/"
    engines: tuple[Engine, ...] = _PAIR
    budget: tuple[float, float] = (0.2, 100.0)
    trouble: Trouble | None = None
    repeats: int = 0
    answers: int = 1
    deadline: float = _TIMEOUT


async def play(case: Case, seed: int, callers: int = _CALLERS) -> Counts:
    """Play one case and count its answers."""
    played = await _play_streams(case, seed, callers)
    counts = Counts(delay=played.delay)
    events = case.engines[0].script.events
    for request, reading in played.readings.items():
        counts.note(reading, request, events, played)
    return counts


async def _play_streams(case: Case, seed: int, callers: int) -> Played:
    rng = random.Random(seed)
    readings: dict[str, Reading] = {}
    delays = [0.0]
    budget = SharedRetryBudget(*case.budget, _BUDGET_WINDOW)
    with trio.fail_after(_MAX_CASE):
        async with trio.open_nursery() as nursery:
            table = _make_table(1)
            relay = ScriptedGateway(nursery, table, budget, seed)
            service = "desk" if case.path == "/plain/" else "llm"
            for engine in case.engines:
                await relay.add(
                    engine.name, service, engine.script, engine.layers
                )
            address = await relay.listen()
            nursery.start_soon(_measure_delay, delays)
            if case.trouble is not None:
                nursery.start_soon(case.trouble, relay)
            async with trio.open_nursery() as asking:
                for number in range(callers):
                    ask = functools.partial(read_stream, address)
                    delay = rng.uniform(0.0, _ARRIVALS)
                    asking.start_soon(
                        _call, case, number, delay, ask, readings
                    )
            while relay.state.open_requests:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    ended_by = {
        event.request: EndedBy(event.detail["by"])
        for event in relay.recorder.list_events()
        if event.kind == "answer-cut"
    }
    return Played(relay, readings, ended_by, max(delays))


async def _measure_delay(delays: list[float]) -> None:
    """Record by how much this process wakes up late."""
    while True:
        due = trio.current_time() + _DELAY_INTERVAL
        await trio.sleep_until(due)
        delays.append(trio.current_time() - due)


async def _call(
    case: Case,
    number: int,
    delay: float,
    ask: Callable[..., Awaitable[Reading]],
    readings: dict[str, Reading],
) -> None:
    await trio.sleep(delay)
    for answer in range(case.answers):
        for repeat in range(case.repeats + 1):
            request = f"c{number}-{answer}-{repeat}."
            target = f"{case.path}{number}-{answer}"
            reading = await ask(
                target, _make_headers(request, case.deadline), _PATIENCE
            )
            readings[request] = reading
            if reading.ended and reading.status == 200:
                break


def _make_headers(request: str, deadline: float) -> list[tuple[str, str]]:
    return [
        ("host", "x"),
        ("x-request-id", request),
        ("x-deadline-ms", str(int(deadline * 1000))),
        ("x-token-usage", "100,20"),
        ("connection", "close"),
        ("content-length", "0"),
    ]


def _make_table(version: int) -> routes.RouteTable:
    """Return a configuration with one route of each kind."""
    stream = routes.Route(
        "stream",
        "x",
        "/stream/",
        idempotent=False,
        streaming=True,
        resumable=True,
        timeout=_TIMEOUT,
        latency_objective=0.5,
        gap_objective=0.2,
        priority=1,
        max_attempts=2,
        public=True,
        shares=(routes.ServiceShare("llm", 1.0),),
    )
    once = replace(stream, name="once", path_prefix="/once/", resumable=False)
    plain = replace(
        stream,
        name="plain",
        path_prefix="/plain/",
        idempotent=True,
        streaming=False,
        resumable=False,
        shares=(routes.ServiceShare("desk", 1.0),),
    )
    services = {
        "llm": routes.ServiceSpec("llm", "/health", 900, _SHAPE),
        "desk": routes.ServiceSpec("desk", "/health", 900, None),
    }
    return routes.RouteTable(
        version, (stream, once, plain), services, routes.CallerLimits(), None
    )


async def _suspect_in_turn(*names: str, relay: ScriptedGateway) -> None:
    """Suspect sound engines, one after the other."""
    for name in itertools.cycle(names):
        await trio.sleep(_SUSPICION_INTERVAL / 2)
        relay.state.health.suspect(name, "the case suspects it")
        await trio.sleep(_SUSPICION_INTERVAL / 2)


async def _suspect_engines(relay: ScriptedGateway) -> None:
    await _suspect_in_turn("i-1", "i-2", relay=relay)


async def _suspect_inner(relay: ScriptedGateway) -> None:
    await _suspect_in_turn("i-3", "i-4", relay=relay)


async def _change_configuration(relay: ScriptedGateway) -> None:
    for version in itertools.count(2):
        await trio.sleep(_VERSION_INTERVAL)
        relay.state.apply_routes(_make_table(version), "the case")


_NO_RETRIES = (0.0, 0.0)
_SILENT = replace(_SOUND, silent_after=5)
_BREAKING = replace(_SOUND, broken_share=1 / 3)
_CHANGING = replace(_SOUND, refused_orders=0.5)
CASES = (
    Case("one run", path="/once/"),
    Case("no budget", budget=_NO_RETRIES),
    Case("budget"),
    Case("suspicions", trouble=_suspect_engines),
    Case("suspicions, one run", path="/once/", trouble=_suspect_engines),
    Case(
        "suspicions, no budget", budget=_NO_RETRIES, trouble=_suspect_engines
    ),
    Case("silent engine", engines=(Engine("i-1", _SILENT), Engine("i-2"))),
    Case(
        "hedges",
        path="/plain/",
        engines=(Engine("i-1", _PLAIN, None), Engine("i-2", _PLAIN, None)),
        answers=10,
    ),
    Case(
        "chains",
        engines=(
            Engine("i-1", _CHANGING, _FIRST),
            Engine("i-2", _CHANGING, _FIRST),
            Engine("i-3", _SOUND, _INNER),
            Engine("i-4", _SOUND, _INNER),
        ),
        trouble=_suspect_inner,
    ),
    Case("configuration", trouble=_change_configuration),
    Case(
        "retry storm",
        engines=(Engine("i-1", _BREAKING), Engine("i-2", _BREAKING)),
        budget=(0.2, 10.0),
        repeats=2,
    ),
)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--case", "name", default="", help="Play this case only.")
@click.option("--callers", default=_CALLERS, show_default=True)
@click.option("--traces", type=click.Path(path_type=pathlib.Path))
def main(
    seed: int, name: str, callers: int, traces: pathlib.Path | None
) -> None:
    """Play the cases in turn and print a table."""
    rows, lines = [], []
    for case in CASES:
        if name and case.name != name:
            continue
        counts = trio.run(play, case, seed, callers)
        rows.append(counts.describe(case.name))
        lines += counts.traces
    if not rows:
        raise click.BadParameter(f"there is no case {name}")
    common.show_table(rows)
    environment = common.read_environment()
    click.echo(f"seed {seed}, {callers} callers a case, {environment}")
    if traces is not None:
        traces.write_text("".join(f"{line}\n" for line in lines))


if __name__ == "__main__":
    main()
