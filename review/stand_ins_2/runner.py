"""How a case is run: its folder, its record, its end and its exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from stand_ins_2.gateways import Gateway
from stand_ins_2.gateways import choose_hosts
from stand_ins_2.record import Record
from stand_ins_2.store import Store

__all__ = ["Deployment", "UnfitError", "run_case"]

# Seconds after which a run counts as one that could not be done.
_LONGEST_RUN = 110.0
_HELD, _BROKEN, _NOT_RUN = 0, 1, 2


class UnfitError(Exception):
    """The case could not be run as it is meant."""


@dataclass
class Deployment:
    """What a case plays with.

    :param trouble: whether the disruption takes place.
    """

    trouble: bool
    record: Record
    store: Store
    gateways: list[Gateway]

    async def start_gateways(self) -> None:
        """Start all gateways and wait until they are ready."""
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()


Play = Callable[[Deployment], Awaitable[list[str]]]


def run_case(file: str, gateways: int, play: Play) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held.

    :param file: the path of the case's program.
    :param play: returns a line for each breach of the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(file).resolve().parent / "record.txt")
    record.write(f"the disruption takes place: {trouble}")
    try:
        breaches = asyncio.run(_run(record, trouble, gateways, play))
    except (Exception, asyncio.CancelledError):
        record.write(f"the case could not be run: {traceback.format_exc()}")
        status = _NOT_RUN
    else:
        for breach in breaches:
            record.write(f"BROKEN {breach}")
        status = _BROKEN if breaches else _HELD
    record.write(f"exit status {status}")
    record.close()
    sys.exit(status)


async def _run(
    record: Record, trouble: bool, count: int, play: Play
) -> list[str]:
    task = asyncio.current_task()
    if task is not None:
        # Whoever ends the script early must not leave gateways behind.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    store = Store()
    await store.start()
    hosts = choose_hosts(count)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        gateways = [
            Gateway(number, hosts, store, path, record)
            for number in range(count)
        ]
        try:
            async with asyncio.timeout(_LONGEST_RUN):
                return await play(Deployment(trouble, record, store, gateways))
        finally:
            for gateway in gateways:
                await gateway.end()
