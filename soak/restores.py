"""A soak whose store is restored from older snapshots.

After each restore the soak repeats the writes of the targets and the
operator; the gateways have to repeat their own.  During a restore all
gateways may be killed, or a gateway may be frozen, possibly the one that was
the placement leader.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import pathlib

import trio

from magnoliacove.standins.object_api import StoreSnapshot
from soak.play import Soak

__all__ = ["ConcurrentFault", "RestoreSoak"]

# Range of the age of a snapshot at the start of the outage, in seconds.
_SNAPSHOT_AGES = (0.3, 4.0)
# Range of the length of the outage, in seconds.
_OUTAGES = (0.3, 2.0)
# Range of the seconds until the targets repeat their entries.
_REWRITE_DELAYS = (0.0, 1.5)
# Seconds after the announcement of a drain from which a target must not
# receive requests.
_DRAIN_SECONDS = 3.0
# Streams that are then requested from each gateway.
_STREAMS_PER_GATEWAY = 4


class ConcurrentFault(enum.StrEnum):
    """A fault that coincides with the restore of the store."""

    NOTHING = "nothing"
    KILLED = "all gateways are killed"
    FROZEN = "a gateway is frozen over it"
    TWICE = "it comes back twice"


class RestoreSoak(Soak):
    """A soak in which the store repeatedly loses its latest writes.

    :param concurrent: the fault that coincides with each restore, None for a
        random one.
    """

    def __init__(
        self,
        seed: int,
        gateways: int,
        folder: pathlib.Path,
        concurrent: ConcurrentFault | None = None,
    ) -> None:
        super().__init__(seed, gateways, folder)
        self._concurrent = concurrent

    def _list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        # Makes restores a third of all faults.
        return [*super()._list_faults(), *([self._restore_store] * 5)]

    async def _restore_store(self) -> None:
        concurrent = self._concurrent or self._rng.choice(
            list(ConcurrentFault)
        )
        snapshot = self._store.take_snapshot()
        await trio.sleep(self._rng.uniform(*_SNAPSHOT_AGES))
        async with trio.open_nursery() as nursery:
            if concurrent is ConcurrentFault.FROZEN:
                nursery.start_soon(self._freeze)
            if concurrent is ConcurrentFault.KILLED:
                for _ in self._gateways:
                    nursery.start_soon(self._kill)
            await self._restore(snapshot)
            if concurrent is ConcurrentFault.TWICE:
                await trio.sleep(self._rng.uniform(0.0, 2.0))
                await self._restore(snapshot)

    async def _restore(self, snapshot: StoreSnapshot) -> None:
        """Stop the store, restore it from a snapshot and repeat writes."""
        self._store.faults.outage = True
        self._store.wake_watches()
        await trio.sleep(self._rng.uniform(*_OUTAGES))
        self._store.restore(snapshot)
        self._store.faults.outage = False
        await trio.sleep(self._rng.uniform(*_REWRITE_DELAYS))
        for name, state in sorted(self._states.items()):
            await self._write_entry(name, state)
        await self._write_version()

    async def _check_recovery(self) -> None:
        """Check that everything serves, and that a later drain takes effect.

        The entry with the drain has a lower revision than the lost entry had.
        """
        await super()._check_recovery()
        name = next(n for n in sorted(self._states) if n.startswith("llm"))
        snapshot = self._store.take_snapshot()
        for state in ("draining", "ready") * 3:
            await self._write_entry(name, state)
        await self._restore(snapshot)
        await self._write_entry(name, "draining")
        await trio.sleep(_DRAIN_SECONDS)
        before = self._count_runs(name)
        for gateway in self._gateways:
            for _ in range(_STREAMS_PER_GATEWAY):
                await self._callers.send_request(gateway, "stream")
        if self._count_runs(name) > before:
            self._callers.violations.append(
                f"{name} ran requests {_DRAIN_SECONDS:.0f} s "
                "after it began to drain"
            )

    def _count_runs(self, name: str) -> int:
        return sum(
            targets.count(name) for targets in self._ledger.runs.values()
        )
