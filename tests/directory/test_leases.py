"""A lease through lost answers, restarts and a store that sees no change."""

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
