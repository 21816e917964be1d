"""The journal keeps a single order of versions under faults and races."""

import contextlib

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns.result import Failure
import trio
import trio.testing

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove.standins import object_api

_CLOCK = timeline.Clock(lambda: 1.8e9)


def _account(name, weight=1.0):
    return configuration.ClientAccount(name, (), weight)


async def _commit(journal, change_id, *operations, document=None):
    return await journal.commit(
        document or configuration.Document(),
        change_id,
        "ann",
        _CLOCK.now,
        operations,
    )


async def test_racing_operators_get_a_conflict(autojump_clock):
    """Two operators change one object, both based on the same version.

    One change becomes the next version.  The other one is checked again on
    top of it and rejected, because the object has changed since its base.
    """
    store = object_api.ObjectStore()
    one, two = configuration.Journal(store), configuration.Journal(store)
    put = configuration.Put(_account("a"), 0)
    document = (await _commit(one, "1", put)).unwrap().document
    results = []

    async def change(journal, change_id, weight):
        put = configuration.Put(_account("a", weight), 1)
        result = await _commit(journal, change_id, put, document=document)
        results.append(result)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change, one, "2", 2.0)
        nursery.start_soon(change, two, "3", 3.0)
    failures = [r.failure() for r in results if isinstance(r, Failure)]
    assert [type(error) for error in failures] == [errors.ConflictError]
    assert "read it again" in str(failures[0])
    assert (await one.load()).version == 2


async def test_racing_operators_on_different_objects(autojump_clock):
    store = object_api.ObjectStore()

    async def change(name):
        journal = configuration.Journal(store)
        put = configuration.Put(_account(name), 0)
        assert (await _commit(journal, name, put)).unwrap()

    async with trio.open_nursery() as nursery:
        for number in range(4):
            nursery.start_soon(change, f"a{number}")
    document = await configuration.Journal(store).load()
    names = [a.name for a in document.list_items(configuration.ClientAccount)]
    assert names == ["a0", "a1", "a2", "a3"]
    assert document.version == 4


async def test_lost_answer_is_recognised(autojump_clock):
    """A write takes effect and its answer is lost.

    The journal looks for the change id before it writes again, so the
    change is applied once and a repeated call returns the first version.
    """
    store = object_api.ObjectStore()
    journal = configuration.Journal(store)
    store.faults.lost_answers = 1
    put = configuration.Put(_account("a"), 0)
    first = (await _commit(journal, "1", put)).unwrap()
    again = (await _commit(journal, "1", put)).unwrap()
    assert (first.version, first.repeated) == (1, True)
    assert (again.version, again.repeated) == (1, True)


async def test_outage_reports_whether_the_change_was_applied(autojump_clock):
    store = object_api.ObjectStore()
    journal = configuration.Journal(store)
    store.faults.outage = True
    put = configuration.Put(_account("a"), 0)
    with pytest.raises(errors.PlatformError) as caught:
        await _commit(journal, "1", put)
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert "same change id" in str(caught.value)


async def test_writer_suspended_during_a_compaction(autojump_clock):
    """A process resumes with an old document after a compaction.

    The compaction freed the name of the next version, so the process's
    write succeeds there, but no process would read it.  The checkpoint shows
    that the version was used; the change becomes the newest one instead.
    """
    store = object_api.ObjectStore()
    suspended, other = (
        configuration.Journal(store),
        configuration.Journal(store),
    )
    put = configuration.Put(_account("a"), 0)
    old = (await _commit(suspended, "1", put)).unwrap().document
    document = old
    for number in range(2, 8):
        put = configuration.Put(_account("a", float(number)))
        result = await _commit(other, str(number), put, document=document)
        document = result.unwrap().document
        if number in (4, 7):
            await other.compact(document)
    assert await store.get("state/configuration/change/000000000002") is None
    change = old.propose(
        "late", "ben", 0, (configuration.Put(_account("b"), 0),)
    ).unwrap()
    with pytest.raises(Exception, match="taken long ago"):
        await suspended._create(change)
    result = await _commit(
        suspended, "late", configuration.Put(_account("b"), 0), document=old
    )
    assert result.unwrap().version == 8
    assert (await other.load()).find(configuration.ClientAccount, "b")


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from(["put", "delete", "lose", "compact", "outage"]),
    ),
    max_size=25,
)


@given(_STEPS)
def test_all_readers_get_the_same_document(steps):
    """All readers agree on each version despite lost answers, outages and
    compactions.
    """

    async def main():
        store = object_api.ObjectStore()
        writer = configuration.Journal(store)
        follower, document = configuration.Document(), configuration.Document()
        accepted = 0
        for number, (name, step) in enumerate(steps):
            if step == "compact":
                with contextlib.suppress(errors.PlatformError):
                    await writer.compact(document)
                store.faults.outage = False
                continue
            if step in ("lose", "outage"):
                store.faults.lost_answers = int(step == "lose")
                store.faults.outage = step == "outage"
                continue
            operation = (
                configuration.Put(_account(name, number + 1.0))
                if step == "put"
                else configuration.Removal("client_account", name)
            )
            try:
                result = await _commit(
                    writer, str(number), operation, document=document
                )
            except errors.PlatformError:
                store.faults.outage = False
                continue
            if not isinstance(result, Failure):
                document = result.unwrap().document
                accepted = max(accepted, result.unwrap().version)
            if number % 3 == 0:
                follower = await configuration.Journal(store).load(follower)
        store.faults.outage = False
        newest = await configuration.Journal(store).load()
        follower = await configuration.Journal(store).load(follower)
        assert newest.version == follower.version >= accepted
        assert newest.digest == follower.digest
        assert newest.held == follower.held
        copy = configuration.Document.from_bytes(newest.to_bytes())
        assert (copy.held, copy.digest) == (newest.held, newest.digest)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
