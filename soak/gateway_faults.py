"""Faults of a soak's gateways: processes killed or frozen by signals."""

from collections.abc import Callable
from collections.abc import Sequence
import enum
import signal

import trio

from soak.gateways import GatewayProcess

__all__ = ["GatewayFault", "inject_gateway_fault"]

# Seconds from the start until the first gateway is killed.
_KILL_AT = 6.0
# Seconds between two kills.
_KILL_INTERVAL = 2.0
# Seconds from the end of a killed gateway until its restart.
_RESTART_DELAY = 0.5
# Seconds for which each gateway is frozen, one after the other.
_FREEZE_SECONDS = 1.5


class GatewayFault(enum.StrEnum):
    """A fault that is injected into the gateways."""

    NONE = "none"
    IN_TURN = "each killed in turn"
    ALL = "all killed at once"
    FROZEN = "each frozen in turn"


async def inject_gateway_fault(
    gateways: Sequence[GatewayProcess],
    fault: GatewayFault,
    notify: Callable[[str], None] = lambda name: None,
) -> None:
    """Kill or freeze gateways.

    :param notify: called with the name of each gateway just before it is
        killed or resumed.
    """
    if fault is GatewayFault.NONE:
        return
    if fault is GatewayFault.FROZEN:
        # From the start, so that some gateways miss what others discover.
        for gateway in gateways:
            await _freeze(gateway, notify)
        return
    await trio.sleep(_KILL_AT)
    pause = 0.0 if fault is GatewayFault.ALL else _KILL_INTERVAL
    async with trio.open_nursery() as nursery:
        for gateway in gateways:
            nursery.start_soon(_kill_and_restart, gateway, notify)
            await trio.sleep(pause)


async def _freeze(
    gateway: GatewayProcess, notify: Callable[[str], None]
) -> None:
    gateway.send(signal.SIGSTOP)
    await trio.sleep(_FREEZE_SECONDS)
    notify(gateway.name)
    gateway.send(signal.SIGCONT)


async def _kill_and_restart(
    gateway: GatewayProcess, notify: Callable[[str], None]
) -> None:
    notify(gateway.name)
    await gateway.end(signal.SIGKILL)
    await trio.sleep(_RESTART_DELAY)
    gateway.start()
