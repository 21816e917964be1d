"""Open channels to the store go silent, and a server leaves soon after."""

import asyncio

from standins.cases import Fleet
from standins.cases import run_case
from standins.cases import write_config
from standins.clients import send
from standins.servers import Server

_DRAIN_SECONDS = 2.0
# Seconds for which a machine doesn't count as in touch after a reset of its
# channels, which is what a silent channel counts as.
_CONTACT_SECONDS = 3.0
# Seconds that a request takes from its client to the server, and more.
_MARGIN = 0.1
_ROUNDS = 5
_PAUSE = 0.1
# Seconds from the silence to the ack, and for which the server serves on.
_ACK_AFTER = 0.5
_SERVES_ON = 9.0


class _Traffic:
    """Clients that send to each gateway, each request on a new channel.

    :ivar sent: by the id of a request, when it was sent.
    :ivar served: how many got a whole answer.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.sent: dict[str, float] = {}
        self.served = 0
        self.stopped = False
        self._fleet = fleet

    async def run(self) -> None:
        """Send until stopped."""
        async with asyncio.TaskGroup() as group:
            while not self.stopped:
                for gateway in self._fleet.gateways:
                    address = (gateway.host, gateway.port)
                    group.create_task(self._send(address))
                await asyncio.sleep(_PAUSE)

    async def _send(self, address: tuple[str, int]) -> None:
        record = self._fleet.record
        reply = await send(
            address, "POST", "/write/1", record, headers={}, limit=4.0
        )
        self.sent[reply.number] = reply.sent_at
        self.served += reply.genuine


async def _play(fleet: Fleet) -> str:
    record, store = fleet.record, fleet.store
    await fleet.start_store()
    host = fleet.hosts.name(50)
    servers = [Server("desk", "colombo-a", store, record) for _ in range(3)]
    for server in servers:
        await server.start(host)
    write_config(
        fleet,
        7,
        [
            {
                "name": "w",
                "path_prefix": "/write/",
                "kind": "non_idempotent",
                "service": "desk",
            }
        ],
        [{"name": "desk", "health_path": "/health", "max_connections": 110}],
    )
    await fleet.start_gateways(2)
    traffic = _Traffic(fleet)
    clients = asyncio.create_task(traffic.run())
    await asyncio.sleep(5.0)
    late = 0
    for number in range(_ROUNDS):
        # Nothing else has the rhythm of these rounds.
        await asyncio.sleep(4.0 + 0.43 * number)
        late += await _play_round(fleet, servers, traffic)
    traffic.stopped = True
    await clients
    record.note(f"{traffic.served} of {len(traffic.sent)} requests served")
    if traffic.served < len(traffic.sent) // 2:
        raise RuntimeError("the fleet doesn't serve; the case says nothing")
    if not late:
        return ""
    return f"DRAIN, {late} requests reached servers that were gone"


async def _play_round(
    fleet: Fleet, servers: list[Server], traffic: _Traffic
) -> int:
    """Let channels go silent and a server leave; return the late requests."""
    record = fleet.record
    new = Server("desk", "colombo-a", fleet.store, record)
    await new.start(fleet.hosts.name(50))
    servers.append(new)
    await asyncio.sleep(1.0)
    silent = record.now()
    if fleet.trouble:
        fleet.store.silence_channels()
        record.note("the open channels to the store go silent")
    await asyncio.sleep(_ACK_AFTER)
    old = servers.pop(0)
    old.leave()
    ack = record.now()
    await asyncio.sleep(_SERVES_ON)
    old.stop(entry=True)
    excused = max(ack + _DRAIN_SECONDS, silent + _CONTACT_SECONDS)
    late = [
        at
        for at, number, name in record.arrivals
        if name == old.name
        and traffic.sent.get(number, 0.0) > excused + _MARGIN
    ]
    last = max(late, default=ack)
    record.note(
        f"{old.name} got {len(late)} requests too late, the last "
        f"{last - ack:.2f} s after the ack and {last - silent:.2f} s after "
        "the silence"
    )
    return len(late)


if __name__ == "__main__":
    run_case(_play, __file__)
