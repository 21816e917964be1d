"""Quarantines in the store: what a gateway that starts finds there."""

import json
import time

import trio

from magnoliacove import timeline
from magnoliacove.gateway.quarantine_records import QuarantineRecords
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.standins import object_api

_BAD = "00c3b2a190817263"


def _start(nursery, store):
    recorder = timeline.Recorder("g")
    book = QuarantineBook(recorder)
    records = QuarantineRecords(store, book, recorder)
    nursery.start_soon(records.run)
    return book, records


async def test_a_quarantine_outlives_all_gateways(nursery, autojump_clock):
    """A request ended three targets.  All gateways are killed at once, and
    those that start know nothing of it: three more targets would end.
    """
    store = object_api.ObjectStore()
    book, records = _start(nursery, store)
    records.save(book.begin(_BAD, 3, "a test"))
    await trio.sleep(10.0)
    later, _ = _start(nursery, store)
    await trio.sleep(0.1)
    found = later.find(_BAD)
    assert found.round == 1
    assert found.crashes == 3
    assert 0.0 < later.admit(_BAD) <= 60.0


async def test_the_store_is_away_when_a_quarantine_begins(
    nursery, autojump_clock
):
    store = object_api.ObjectStore()
    book, records = _start(nursery, store)
    store.faults.outage = True
    records.save(book.begin(_BAD, 3, "a test"))
    await trio.sleep(20.0)
    store.faults.outage = False
    assert await _list(store) == []
    await trio.sleep(5.0)
    assert await _list(store) == [f"quarantines/{_BAD}"]


async def test_a_lost_answer_costs_nothing(nursery, autojump_clock):
    store = object_api.ObjectStore()
    book, records = _start(nursery, store)
    store.faults.lost_answers = 1
    records.save(book.begin(_BAD, 3, "a test"))
    await trio.sleep(5.0)
    assert await _list(store) == [f"quarantines/{_BAD}"]
    records.save(book.end(_BAD, "it was answered"))
    await trio.sleep(5.0)
    assert await _list(store) == []


async def test_who_hears_no_peer_asks_the_store(nursery, autojump_clock):
    """A gateway is cut off from all others and reaches the store.  It lost a
    target under a request that the others keep away already.
    """
    store = object_api.ObjectStore()
    alone, its_records = _start(nursery, store)
    await trio.sleep(5.0)
    book, records = _start(nursery, store)
    records.save(book.begin(_BAD, 3, "a test"))
    await trio.sleep(1.0)
    assert alone.admit(_BAD) == 0.0
    calls = store.counts["list"]
    for _ in range(50):
        its_records.request_read()
        await trio.sleep(0.01)
    assert alone.admit(_BAD) > 0.0
    assert store.counts["list"] - calls <= 2


async def test_what_is_over_or_unclear_is_taken_away(nursery, autojump_clock):
    """An object outlived its quarantine, others are not as ours are, and one
    says, by a clock that is a day ahead, that it goes on for a day.
    """
    store = object_api.ObjectStore()
    base = {"round": 1, "seconds": 60.0, "crashes": 3}
    now = int(time.time() * 1000)
    ahead = "00000000000000aa"
    values = {
        "00000000000000ab": {**base, "until_ms": now - 661_000},
        ahead: {**base, "until_ms": now + 86_400_000},
        "00000000000000ac": ["x"],
        "00000000000000ad": {**base, "until_ms": now, "round": 2**40},
        "00000000000000ae": {**base, "until_ms": now, "seconds": -1},
        "no name of ours": {**base, "until_ms": now},
    }
    for name, value in values.items():
        await store.put(f"quarantines/{name}", json.dumps(value).encode())
    book, _ = _start(nursery, store)
    await trio.sleep(1.0)
    assert await _list(store) == [f"quarantines/{ahead}"]
    assert 58.0 <= book.admit(ahead) <= 60.0
    assert [one.fingerprint for one in book.list_all()] == [ahead]


async def _list(store):
    listing = await store.list_records("quarantines/")
    return [record.name for record in listing.records]
