"""A gateway's relay with scripted engines and callers, all in this process.

Engines, gateway and callers speak HTTP over loopback.
"""

from collections import defaultdict
from dataclasses import dataclass
import random

import h11
import trio

from magnoliacove import timeline
from magnoliacove.configuration.routes import CallerLimits
from magnoliacove.configuration.routes import RouteTable
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.gateway.assembly import StateInputs
from magnoliacove.gateway.assembly import make_state
from magnoliacove.gateway.attribution import CrashAttribution
from magnoliacove.gateway.callers import CallerConnection
from magnoliacove.gateway.crashes import CrashWatch
from magnoliacove.gateway.engines import EngineCalls
from magnoliacove.gateway.relay import Relay
from magnoliacove.gateway.stalls import StallWatch
from magnoliacove.limits import SharedRetryBudget
from magnoliacove.metrics import Meters
from magnoliacove.wire import Address
from measure.scripted_engines import EngineScript
from measure.scripted_engines import Runs
from measure.scripted_engines import ScriptedEngine
from measure.scripted_engines import listen
from measure.scripted_engines import read_event

__all__ = ["Reading", "ScriptedGateway", "read_stream"]

_DATA_CENTRE = "a"
# Events that the gateway's log retains, more than a case records.
_MAX_EVENTS = 1_000_000
# Requests that one engine runs at once.
_SLOTS = 400
# Seconds for which an entry stays listed without the store.
_GRACE = 1.8


class ScriptedGateway:
    """A gateway's state and relay, with scripted engines.

    :param runs: the runs of each request, in the order they began.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        table: RouteTable,
        budget: SharedRetryBudget,
        seed: int,
    ) -> None:
        self.recorder = timeline.Recorder("gateway", max_events=_MAX_EVENTS)
        self.runs: Runs = defaultdict(list)
        self._nursery = nursery
        self._seed = seed
        self.state = make_state(
            StateInputs(
                recorder=self.recorder,
                data_centre=_DATA_CENTRE,
                meters=Meters(dict, lambda: True),
                retry_budget=budget,
                rng=random.Random(seed),
                grace=_GRACE,
                start_soon=nursery.start_soon,
            )
        )
        self.state.apply_routes(table, "the case")
        calls = EngineCalls(self.state.pool)
        self._stalls = StallWatch(self.state, calls)
        self._attribution = CrashAttribution(self.state)
        self._crash_watch = CrashWatch(self.state, calls, self._attribution)
        self._relay = Relay(self.state, self._stalls, self._crash_watch)
        self.state.targets.listen(self.state.capacity_queue.fill)
        nursery.start_soon(self.state.capacity_queue.run)
        nursery.start_soon(self._stalls.run)
        nursery.start_soon(self._crash_watch.run)
        nursery.start_soon(self._attribution.run)

    async def add(
        self,
        name: str,
        service: str,
        script: EngineScript,
        layers: LayerRange | None,
    ) -> None:
        """Start a scripted engine, or a plain target, and list it."""
        engine = ScriptedEngine(name, script, self.runs, self._seed)
        address = await self._nursery.start(engine.listen)
        self.state.targets.apply(
            ListedTarget(
                name,
                service,
                address,
                _DATA_CENTRE,
                slots=_SLOTS,
                accelerator="h100" if layers else "",
                layers=layers,
                revision=1,
            )
        )

    async def listen(self) -> Address:
        """Serve callers on a free loopback port and return its address."""
        return await self._nursery.start(listen, self._serve)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream, CallerLimits, self._relay.serve, lambda: False
        )
        await connection.run()


@dataclass
class Reading:
    """What a caller read of one answer; times in seconds.

    :param status: 0 without an answer.
    :param body: all that was read.
    :param ended: whether the answer's end was read.
    :param left: whether the caller left because nothing came.
    :param longest_gap: the longest time between two reads of the body.
    """

    status: int = 0
    body: bytes = b""
    ended: bool = False
    left: bool = False
    longest_gap: float = 0.0


async def read_stream(
    address: Address,
    target: str,
    headers: list[tuple[str, str]],
    patience: float,
) -> Reading:
    """Send one request and read its answer to the end.

    :param patience: seconds without data after which the caller leaves.
    """
    stream = await trio.open_tcp_stream(address.host, address.port)
    reading = Reading()
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method="POST", target=target, headers=headers)
    sent = parser.send(request) + parser.send(h11.EndOfMessage())
    try:
        await stream.send_all(sent)
        await _read_answer(parser, stream, reading, patience)
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        # The answer was cut off, which the reading shows.
        return reading
    finally:
        await trio.aclose_forcefully(stream)
    return reading


async def _read_answer(
    parser: h11.Connection,
    stream: trio.SocketStream,
    reading: Reading,
    patience: float,
) -> None:
    read_at = trio.current_time()
    while not reading.ended:
        with trio.move_on_after(patience) as scope:
            event = await read_event(parser, stream)
        if scope.cancelled_caught:
            reading.left = True
            return
        match event:
            case h11.Response():
                reading.status = event.status_code
            case h11.Data():
                now = trio.current_time()
                if reading.body:
                    gap = now - read_at
                    reading.longest_gap = max(reading.longest_gap, gap)
                reading.body += bytes(event.data)
                read_at = now
            case h11.EndOfMessage():
                reading.ended = True
            case _:
                return
