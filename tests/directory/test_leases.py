"""A lease through lost answers, restarts and a store that sees no change."""

import contextlib
import random

import pytest
import trio

from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove.standins import object_api


def _make(store, owner):
    recorder = timeline.Recorder(owner)
    return directory.Lease(store, recorder, "placement", owner, duration=2.5)


async def test_a_renewal_changes_the_object(autojump_clock):
    """The platform takes a write that changes nothing for no write.  An
    observer that sees no new version would take the lease from a holder
    that renews it all the time.
    """
    store = object_api.ObjectStore()
    holder = _make(store, "a/1")
    await holder.try_take()
    values = set()
    for _ in range(3):
        await holder.try_take()
        values.add((await store.get("leases/placement")).value)
    assert len(values) == 3


async def test_a_lost_answer_does_not_lose_the_lease(autojump_clock):
    """A renewal takes effect but its answer is lost.  The next one meets
    a version that the holder does not know; it is its own.
    """
    store = object_api.ObjectStore()
    holder, other = _make(store, "a/1"), _make(store, "b/1")
    await holder.try_take()
    store.faults.lost_answers = 1
    with pytest.raises(errors.PlatformError):
        await holder.try_take()
    for _ in range(8):
        await trio.sleep(0.8)
        assert await holder.try_take()
        assert holder.held
        assert not await other.try_take()
    assert holder.fence == 1


async def test_a_restarted_instance_takes_its_own_lease_at_once(
    autojump_clock,
):
    """The holder is killed and starts again.  Its earlier process is dead
    for sure, so nobody need wait until the lease lapses.
    """
    store = object_api.ObjectStore()
    await _make(store, "a/1").try_take()
    again, other = _make(store, "a/2"), _make(store, "b/1")
    assert not await other.try_take()
    assert await again.try_take()
    assert again.fence == 2


async def test_one_holder_at_a_time_through_pauses(autojump_clock):
    """The holder is paused past its lease; another takes it.  The first
    one wakes, believes nothing, and gets the lease back only afterwards.
    """
    store = object_api.ObjectStore()
    first, second = _make(store, "a/1"), _make(store, "b/1")
    await first.try_take()
    await second.try_take()
    await trio.sleep(2.6)
    assert await second.try_take()
    assert not first.held
    assert not await first.try_take()
    await second.release()
    assert await first.try_take()
    assert first.fence == 3


async def _restore(store, copy, away=0.3):
    """Let the store be away and come back from a copy."""
    store.faults.outage = True
    await trio.sleep(away)
    store.restore(copy)
    store.faults.outage = False


async def test_a_copy_that_names_a_former_holder(autojump_clock):
    """One process held the lease when the copy was taken; it gave it up and
    another took it.  The store comes back from the copy: by it the lease is
    the first one's still.  If that one took it at once, two would give
    orders, and both under the same number.
    """
    store = object_api.ObjectStore()
    first, second = _make(store, "a/1"), _make(store, "b/1")
    await first.try_take()
    copy = store.take_snapshot()
    await first.release()
    assert await second.try_take()
    assert second.fence == 2
    await _restore(store, copy)
    assert not await first.try_take()
    assert second.held
    assert await second.try_take()
    assert second.fence > 2
    assert not await first.try_take()


@pytest.mark.parametrize("held_before", [False, True])
async def test_a_copy_without_the_lease(autojump_clock, held_before):
    """The copy is older than the lease, or it was given up just then.  The
    holder goes on, and who finds no lease waits until one would have lapsed.
    """
    store = object_api.ObjectStore()
    holder, other = _make(store, "a/1"), _make(store, "b/1")
    if held_before:
        await holder.try_take()
        await holder.release()
    copy = store.take_snapshot()
    await holder.try_take()
    await _restore(store, copy)
    assert not await other.try_take()
    assert holder.held
    await trio.sleep(2.4)
    assert not holder.held
    assert not await other.try_take()
    await trio.sleep(0.2)
    assert await other.try_take()
    assert other.fence > 2


async def test_a_process_that_started_since_does_not_trust_a_copy(
    autojump_clock,
):
    """By the copy the lease is that of an instance which started again since.
    It knows nothing of the holder whom the lost time had.
    """
    store = object_api.ObjectStore()
    await _make(store, "a/1").try_take()
    copy = store.take_snapshot()
    await trio.sleep(3.0)
    holder = _make(store, "b/1")
    await holder.try_take()
    await trio.sleep(2.6)
    assert await holder.try_take()
    await _restore(store, copy)
    again = _make(store, "a/2")
    assert not await again.try_take()
    assert holder.held
    assert await holder.try_take()
    await trio.sleep(1.0)
    assert not await again.try_take()


@pytest.mark.parametrize("seed", range(12))
async def test_one_holder_at_a_time_through_copies(autojump_clock, seed):
    """Processes take, renew, forget to renew and give up a lease, while the
    store is away and comes back from copies, old ones twice.  Never do two
    hold it, and each taking has a higher number than all before it.
    """
    rng = random.Random(seed)
    store = object_api.ObjectStore()
    leases = [_make(store, f"{name}/1") for name in "abc"]
    copies = [store.take_snapshot()]
    fences = [0]

    async def take_part(lease):
        while True:
            with contextlib.suppress(errors.PlatformError):
                await lease.try_take()
            await trio.sleep(rng.choice([0.4, 0.8, 0.8, 3.5]))
            if rng.random() < 0.05:
                await lease.release()

    async def spoil():
        while True:
            await trio.sleep(rng.uniform(0.1, 6.0))
            copies.append(store.take_snapshot())
            await trio.sleep(rng.uniform(0.1, 6.0))
            copy = rng.choice(copies[-3:])
            await _restore(store, copy, rng.uniform(0.1, 3.0))

    async with trio.open_nursery() as nursery:
        for lease in leases:
            nursery.start_soon(take_part, lease)
        nursery.start_soon(spoil)
        for _ in range(4000):
            await trio.sleep(0.05)
            held = [lease for lease in leases if lease.held]
            assert len(held) <= 1
            for lease in held:
                assert lease.fence >= fences[-1]
                if lease.fence > fences[-1]:
                    fences.append(lease.fence)
        nursery.cancel_scope.cancel()
    assert len(fences) > 3
