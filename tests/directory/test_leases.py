"""Leases with lost answers, restarts, pauses and a restored store."""

import contextlib
import random

import pytest
import trio

from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove.standins import object_api


def _make_lease(store, owner):
    recorder = timeline.Recorder(owner)
    return directory.Lease(store, recorder, "placement", owner, duration=2.5)


async def test_a_renewal_changes_the_object(autojump_clock):
    """The platform ignores a write that changes nothing.  An observer that
    sees no new version would acquire the lease although its holder renews
    it.
    """
    store = object_api.ObjectStore()
    holder = _make_lease(store, "a/1")
    await holder.try_acquire()
    values = set()
    for _ in range(3):
        await holder.try_acquire()
        values.add((await store.get("leases/placement")).value)
    assert len(values) == 3


async def test_a_lost_answer_does_not_lose_the_lease(autojump_clock):
    """A renewal takes effect but its answer is lost.  The next renewal
    conflicts with a version that the holder itself has written.
    """
    store = object_api.ObjectStore()
    holder, other = _make_lease(store, "a/1"), _make_lease(store, "b/1")
    await holder.try_acquire()
    store.faults.lost_answers = 1
    with pytest.raises(errors.PlatformError):
        await holder.try_acquire()
    for _ in range(8):
        await trio.sleep(0.8)
        assert await holder.try_acquire()
        assert holder.held
        assert not await other.try_acquire()
    assert holder.fence == 1


async def test_restarted_instance_acquires_its_own_lease_at_once(
    autojump_clock,
):
    """The holder is killed and restarts.  Its former process is certainly
    dead, so the new one need not wait until the lease expires.
    """
    store = object_api.ObjectStore()
    await _make_lease(store, "a/1").try_acquire()
    restarted, other = _make_lease(store, "a/2"), _make_lease(store, "b/1")
    assert not await other.try_acquire()
    assert await restarted.try_acquire()
    assert restarted.fence == 2


async def test_one_holder_at_a_time_despite_pauses(autojump_clock):
    """The holder is paused beyond the end of its lease, and another process
    acquires it.  After the pause the first one must not assume that it
    still holds the lease, and gets it back only after the release.
    """
    store = object_api.ObjectStore()
    first, second = _make_lease(store, "a/1"), _make_lease(store, "b/1")
    await first.try_acquire()
    await second.try_acquire()
    await trio.sleep(2.6)
    assert await second.try_acquire()
    assert not first.held
    assert not await first.try_acquire()
    await second.release()
    assert await first.try_acquire()
    assert first.fence == 3


async def _restore(store, snapshot, outage_seconds=0.3):
    """Make the store unreachable and restore it from a snapshot."""
    store.faults.outage = True
    await trio.sleep(outage_seconds)
    store.restore(snapshot)
    store.faults.outage = False


async def test_snapshot_that_names_a_former_holder(autojump_clock):
    """One process holds the lease at the snapshot, then releases it, and
    another acquires it.  In the restored store the first one is the holder
    again.  If it acquired the lease at once, two processes would give
    orders, and both with the same fencing token.
    """
    store = object_api.ObjectStore()
    first, second = _make_lease(store, "a/1"), _make_lease(store, "b/1")
    await first.try_acquire()
    snapshot = store.take_snapshot()
    await first.release()
    assert await second.try_acquire()
    assert second.fence == 2
    await _restore(store, snapshot)
    assert not await first.try_acquire()
    assert second.held
    assert await second.try_acquire()
    assert second.fence > 2
    assert not await first.try_acquire()


@pytest.mark.parametrize("released_before", [False, True])
async def test_snapshot_without_the_lease(autojump_clock, released_before):
    """The snapshot is older than the lease, or the lease was released then.
    The holder continues, and a process that finds no lease waits until one
    would have expired.
    """
    store = object_api.ObjectStore()
    holder, other = _make_lease(store, "a/1"), _make_lease(store, "b/1")
    if released_before:
        await holder.try_acquire()
        await holder.release()
    snapshot = store.take_snapshot()
    await holder.try_acquire()
    await _restore(store, snapshot)
    assert not await other.try_acquire()
    assert holder.held
    await trio.sleep(2.4)
    assert not holder.held
    assert not await other.try_acquire()
    await trio.sleep(0.2)
    assert await other.try_acquire()
    assert other.fence > 2


async def test_restarted_process_does_not_trust_a_snapshot(
    autojump_clock,
):
    """The snapshot names an instance that has restarted since.  The restarted
    process has no information about the holder after the snapshot, so it
    must wait like any other process.
    """
    store = object_api.ObjectStore()
    await _make_lease(store, "a/1").try_acquire()
    snapshot = store.take_snapshot()
    await trio.sleep(3.0)
    holder = _make_lease(store, "b/1")
    await holder.try_acquire()
    await trio.sleep(2.6)
    assert await holder.try_acquire()
    await _restore(store, snapshot)
    restarted = _make_lease(store, "a/2")
    assert not await restarted.try_acquire()
    assert holder.held
    assert await holder.try_acquire()
    await trio.sleep(1.0)
    assert not await restarted.try_acquire()


@pytest.mark.parametrize("seed", range(12))
async def test_one_holder_at_a_time_despite_restores(autojump_clock, seed):
    """Processes acquire, renew, fail to renew and release a lease while the
    store is repeatedly restored from snapshots, old ones more than once.
    Two never hold it at once, and each acquisition has a higher fencing
    token than all before it.
    """
    rng = random.Random(seed)
    store = object_api.ObjectStore()
    leases = [_make_lease(store, f"{name}/1") for name in "abc"]
    snapshots = [store.take_snapshot()]
    fences = [0]

    async def use_lease(lease):
        while True:
            with contextlib.suppress(errors.PlatformError):
                await lease.try_acquire()
            await trio.sleep(rng.choice([0.4, 0.8, 0.8, 3.5]))
            if rng.random() < 0.05:
                await lease.release()

    async def disturb():
        while True:
            await trio.sleep(rng.uniform(0.1, 6.0))
            snapshots.append(store.take_snapshot())
            await trio.sleep(rng.uniform(0.1, 6.0))
            snapshot = rng.choice(snapshots[-3:])
            await _restore(store, snapshot, rng.uniform(0.1, 3.0))

    async with trio.open_nursery() as nursery:
        for lease in leases:
            nursery.start_soon(use_lease, lease)
        nursery.start_soon(disturb)
        for _ in range(4000):
            await trio.sleep(0.05)
            holding_leases = [lease for lease in leases if lease.held]
            assert len(holding_leases) <= 1
            for lease in holding_leases:
                assert lease.fence >= fences[-1]
                if lease.fence > fences[-1]:
                    fences.append(lease.fence)
        nursery.cancel_scope.cancel()
    assert len(fences) > 3


async def test_a_lease_tells_a_starting_process_how_many_there_are(
    autojump_clock,
):
    """Guards against a limit that each side of a partition has whole.

    A process that starts inside a partition hears only its side, but reads
    the number of all from the lease, also after its holder released it.
    """
    store, read = object_api.ObjectStore(), []
    holder = directory.Lease(
        store,
        timeline.Recorder("a/1"),
        "placement",
        "a/1",
        membership=directory.Membership(lambda: 24),
    )
    starting = directory.Lease(
        store,
        timeline.Recorder("b/1"),
        "placement",
        "b/1",
        membership=directory.Membership(expect=read.append),
    )
    await starting.try_acquire()
    await starting.release()
    await holder.try_acquire()
    await starting.try_acquire()
    await holder.release()
    await starting.try_acquire()
    assert read == [0, 24, 24]
