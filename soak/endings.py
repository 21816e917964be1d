"""What befalls the gateways of a play: killed or frozen, from outside."""

from collections.abc import Callable
from collections.abc import Sequence
import enum
import signal

import trio

from soak.gateways import GatewayProcess

__all__ = ["GatewayEnds", "end_gateways"]

# When gateways are killed, and how long until each is started again; how long
# each is frozen, one after the other.
_KILL_AT = 6.0
_KILL_EVERY = 2.0
_START_AFTER = 0.5
_FROZEN_FOR = 1.5


class GatewayEnds(enum.StrEnum):
    """What befalls the gateways meanwhile."""

    NONE = "none"
    IN_TURN = "each killed in turn"
    ALL = "all killed at once"
    FROZEN = "each frozen in turn"


async def end_gateways(
    gateways: Sequence[GatewayProcess],
    ends: GatewayEnds,
    note: Callable[[str], None] = lambda name: None,
) -> None:
    """Kill or freeze gateways.

    :param note: called with the name of each as it is killed, or goes on.
    """
    if ends is GatewayEnds.NONE:
        return
    if ends is GatewayEnds.FROZEN:
        # From the start, so that some miss what the others find out.
        for gateway in gateways:
            await _freeze(gateway, note)
        return
    await trio.sleep(_KILL_AT)
    pause = 0.0 if ends is GatewayEnds.ALL else _KILL_EVERY
    async with trio.open_nursery() as nursery:
        for gateway in gateways:
            nursery.start_soon(_replace, gateway, note)
            await trio.sleep(pause)


async def _freeze(
    gateway: GatewayProcess, note: Callable[[str], None]
) -> None:
    gateway.send(signal.SIGSTOP)
    await trio.sleep(_FROZEN_FOR)
    note(gateway.name)
    gateway.send(signal.SIGCONT)


async def _replace(
    gateway: GatewayProcess, note: Callable[[str], None]
) -> None:
    note(gateway.name)
    await gateway.end(signal.SIGKILL)
    await trio.sleep(_START_AFTER)
    gateway.start()
