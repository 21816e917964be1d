"""A soak whose store comes back from older copies of itself.

What the targets and the operator wrote since is written again, as they do;
what the gateways wrote is theirs to write again.  Beside each such fault all
gateways may be killed, or some be frozen over it, its former holder of the
duty among them.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import pathlib

import trio

from magnoliacove.standins.object_api import StoreSnapshot
from soak.play import Soak

__all__ = ["Beside", "RestoreSoak"]

# How old a copy is, and how long the store is away, in seconds.
_AGES = (0.3, 4.0)
_AWAY = (0.3, 2.0)
# The targets write their entries again within so many seconds.
_WRITTEN_AGAIN = (0.0, 1.5)
# A target that leaves gets nothing later than so long after it told, seconds.
_DRAINED = 3.0
# Streams that each gateway is asked for then.
_ASKED = 4


class Beside(enum.StrEnum):
    """What else befalls the fleet while the store is away."""

    NOTHING = "nothing"
    KILLED = "all gateways are killed"
    FROZEN = "a gateway is frozen over it"
    TWICE = "it comes back twice"


class RestoreSoak(Soak):
    """A soak in which the store loses its last seconds again and again.

    :param beside: what always befalls the fleet beside it, None for any.
    """

    def __init__(
        self,
        seed: int,
        gateways: int,
        folder: pathlib.Path,
        beside: Beside | None = None,
    ) -> None:
        super().__init__(seed, gateways, folder)
        self._beside = beside

    def _list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        # A third of the faults.
        return [*super()._list_faults(), *([self._restore_store] * 5)]

    async def _restore_store(self) -> None:
        beside = self._beside or self._rng.choice(list(Beside))
        copy = self._store.take_snapshot()
        await trio.sleep(self._rng.uniform(*_AGES))
        async with trio.open_nursery() as nursery:
            if beside is Beside.FROZEN:
                nursery.start_soon(self._freeze)
            if beside is Beside.KILLED:
                for _ in self._gateways:
                    nursery.start_soon(self._kill)
            await self._come_back(copy)
            if beside is Beside.TWICE:
                await trio.sleep(self._rng.uniform(0.0, 2.0))
                await self._come_back(copy)

    async def _come_back(self, copy: StoreSnapshot) -> None:
        """Let the store be away, come back and be written to again."""
        self._store.faults.outage = True
        self._store.wake_watches()
        await trio.sleep(self._rng.uniform(*_AWAY))
        self._store.restore(copy)
        self._store.faults.outage = False
        await trio.sleep(self._rng.uniform(*_WRITTEN_AGAIN))
        for name, state in sorted(self._states.items()):
            await self._write_entry(name, state)
        await self._write_version()

    async def _check_recovery(self) -> None:
        """Check that everything serves, and that a later drain is believed.

        The drain is told under a lower revision than the lost entry had.
        """
        await super()._check_recovery()
        name = next(n for n in sorted(self._states) if n.startswith("llm"))
        copy = self._store.take_snapshot()
        for state in ("draining", "ready") * 3:
            await self._write_entry(name, state)
        await self._come_back(copy)
        await self._write_entry(name, "draining")
        await trio.sleep(_DRAINED)
        before = self._count_runs(name)
        for gateway in self._gateways:
            for _ in range(_ASKED):
                await self._callers.ask(gateway, "stream")
        if self._count_runs(name) > before:
            self._callers.broken.append(
                f"{name} ran requests {_DRAINED:.0f} s after it began to leave"
            )

    def _count_runs(self, name: str) -> int:
        return sum(ran.count(name) for ran in self._ledger.runs.values())
