"""Distribution of configuration and directory updates in a data centre.

One entry of each data centre holds the lease ``distributor-<data centre>``
and watches the platform's store; the other entries subscribe to it, and
agents subscribe to any entry.  The number of watches on the platform is
therefore small and does not grow with the number of instances.  When no
entry holds the lease, or the store is down, entries continue with their
current view and with the updates of any peer that they can reach.
"""

from collections.abc import Iterable
import random

import trio

from magnoliacove import defaults
from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import wire
from magnoliacove.process import Process

__all__ = ["Distribution"]


class Distribution:
    """Keeps one entry's view up to date.

    :param seeds: peers to ask when the platform's store is down.
    """

    def __init__(
        self, process: Process, seeds: Iterable[wire.Address] = ()
    ) -> None:
        self._process = process
        self._seeds = tuple(seeds)
        identity = process.identity
        self._owner = f"{identity.name}/{process.incarnation}"
        self.lease = directory.Lease(
            process.api,
            process.recorder,
            f"distributor-{identity.data_centre}",
            self._owner,
        )

    async def run(self) -> None:
        """Distribute updates or follow the distributor until cancelled."""
        while True:
            if await self._try_take():
                await self._distribute()
                continue
            if not await self._follow_holder():
                await self._follow_any_peer()
            await trio.sleep(random.uniform(0.1, 0.5))

    async def release(self) -> None:
        """Release the lease before a planned stop."""
        await self.lease.release()

    async def _try_take(self) -> bool:
        store = self._process.store
        try:
            taken = await self.lease.try_acquire()
        except errors.PlatformError as exc:
            store.note_reachable(False, str(exc))
            return False
        store.note_reachable(True)
        return taken

    async def _distribute(self) -> None:
        """Watch the store while this entry holds the lease."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._process.store.follow)
            while await self._renew():
                await trio.sleep(defaults.LEASE_DURATION / 4)
            nursery.cancel_scope.cancel()

    async def _renew(self) -> bool:
        try:
            return await self.lease.try_acquire()
        except errors.PlatformError:
            # Renewal may succeed again before the lease expires.  After
            # that this entry is a follower; its view remains in force.
            return self.lease.held

    async def _follow_holder(self) -> bool:
        """Subscribe to the lease holder.

        Return after the subscription ends, with whether it was established.
        """
        name = self.lease.holder.partition("/")[0]
        if not name or name == self._process.identity.name:
            return False
        instance = self._process.view.find_instance(name)
        if instance is None:
            await self._refresh()
            instance = self._process.view.find_instance(name)
        if instance is None or instance.state != "live":
            return False
        return await self._subscribe(instance.parsed_address)

    async def _follow_any_peer(self) -> None:
        """Read the store once, or subscribe to any reachable peer."""
        if await self._refresh():
            return
        own = self._process.identity.name
        peers = [
            instance.parsed_address
            for instance in self._process.view.list_instances("entry")
            if instance.name != own
        ]
        random.shuffle(peers)
        for address in (*peers, *self._seeds):
            if str(address) == str(self._process.address):
                continue
            if await self._subscribe(address):
                return

    async def _refresh(self) -> bool:
        store = self._process.store
        try:
            await store.refresh()
        except errors.PlatformError as exc:
            store.note_reachable(False, str(exc))
            return False
        store.note_reachable(True)
        return True

    async def _subscribe(self, address: wire.Address) -> bool:
        return await self._process.subscribe(
            address, mutual=True, watch=self._check_holder
        )

    async def _check_holder(self, connection: wire.Connection) -> None:
        """Unsubscribe from a peer that no longer holds the lease.

        A former holder that still answers would distribute stale updates
        indefinitely.  One read of the lease every few seconds detects this;
        within that time an update of the current holder is missed at most
        once.
        """
        while True:
            await trio.sleep(
                defaults.LEASE_DURATION * random.uniform(0.75, 1.25)
            )
            if await self._try_take():
                break
            holder = self.lease.holder.partition("/")[0]
            reachable = self._process.store.reachable
            if reachable and holder != connection.name:
                break
        connection.close()
