"""Servers leave while an entry of another writer can't be read."""

import asyncio
import contextlib

from standins.cases import Fleet
from standins.cases import run_case
from standins.cases import write_config
from standins.clients import Reply
from standins.clients import send
from standins.servers import Server

_DRAIN_SECONDS = 2.0
# Seconds between two requests of all clients.
_PAUSE = 0.05
# Seconds for which a server serves on after the ack of its leaving.
_SERVES_ON = 8.0
# What another writer puts among the servers: fields are missing, one is of
# another type, and a text ends in half of a character.  It is the escape that
# JSON has for such a text.
_FOREIGN = {"address": 7, "note": "moved \ud83d"}


class _Traffic:
    """Clients that send to both gateways in turn, each on a new channel."""

    def __init__(self, fleet: Fleet) -> None:
        self.replies: list[Reply] = []
        self._fleet = fleet

    async def run(self) -> None:
        """Send until cancelled."""
        kinds = (("GET", "/read/1"), ("POST", "/write/1"))
        async with asyncio.TaskGroup() as group:
            for number in range(2000):
                gateways = self._fleet.gateways
                gateway = gateways[number % len(gateways)]
                method, path = kinds[number // 2 % 2]
                address = (gateway.host, gateway.port)
                group.create_task(self._send(address, method, path))
                await asyncio.sleep(_PAUSE)

    async def _send(
        self, address: tuple[str, int], method: str, path: str
    ) -> None:
        record = self._fleet.record
        self.replies.append(
            await send(address, method, path, record, headers={}, limit=4.0)
        )

    def measure_served(self, begin: float, end: float) -> float:
        """Return the share of the requests sent in a span that were served."""
        sent = [r for r in self.replies if begin <= r.sent_at < end]
        return sum(r.genuine for r in sent) / max(1, len(sent))


async def _play(fleet: Fleet) -> str:
    record, store = fleet.record, fleet.store
    await fleet.start_store()
    old = [Server("desk", "colombo-a", store, record) for _ in range(3)]
    for server in old:
        await server.start(fleet.hosts.name(50))
    route = {"service": "desk"}
    write_config(
        fleet,
        7,
        [
            {**route, "name": "r", "path_prefix": "/read/"}
            | {"kind": "idempotent"},
            {**route, "name": "w", "path_prefix": "/write/"}
            | {"kind": "non_idempotent"},
        ],
        [{"name": "desk", "health_path": "/health", "max_connections": 110}],
    )
    await fleet.start_gateways(2)
    traffic = _Traffic(fleet)
    clients = asyncio.create_task(traffic.run())
    await asyncio.sleep(4.0)
    if fleet.trouble:
        store.write("servers", "moved-note", _FOREIGN)
        record.note("another writer's entry lies among the servers")
    await asyncio.sleep(4.0)
    # A release: a new server starts, then an old one drains and leaves.
    left: dict[str, float] = {}
    releases = []
    for server in old:
        new = Server("desk", "colombo-a", store, record)
        await new.start(fleet.hosts.name(50))
        await asyncio.sleep(1.0)
        server.drain()
        left[server.name] = record.now()
        releases.append(asyncio.create_task(_stop_later(server)))
        await asyncio.sleep(1.0)
    await asyncio.gather(*releases)
    begin = record.now() + 1.0
    await asyncio.sleep(6.0)
    clients.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await clients
    late = [
        (at - left[name], number, name)
        for at, number, name in record.arrivals
        if name in left and at - left[name] > _DRAIN_SECONDS
    ]
    for name in left:
        over = [seconds for seconds, _, at in late if at == name]
        record.note(
            f"{name} got {len(over)} requests later than "
            f"{_DRAIN_SECONDS} s after the ack that it drains, the last after "
            f"{max(over, default=0.0):.1f} s"
        )
    before = traffic.measure_served(0.0, begin - 20.0)
    after = traffic.measure_served(begin, begin + 5.0)
    record.note(
        f"served at first: {before:.2f}; served once the old servers are "
        f"gone and {len(old)} new ones are ready: {after:.2f}"
    )
    if not late:
        return ""
    return f"DRAIN, {len(late)} requests reached servers that had left"


async def _stop_later(server: Server) -> None:
    await asyncio.sleep(_SERVES_ON)
    server.stop(entry=True)


if __name__ == "__main__":
    run_case(_play, __file__)
