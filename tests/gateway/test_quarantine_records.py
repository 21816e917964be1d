"""Quarantines in the store, which gateways read when they start."""

import json
import time

import trio

from magnoliacove import timeline
from magnoliacove.gateway.quarantine_records import QuarantineRecords
from magnoliacove.limits.quarantine import QuarantineBook
from magnoliacove.standins import object_api

_FINGERPRINT = "00c3b2a190817263"


def _start(nursery, store):
    recorder = timeline.Recorder("g")
    book = QuarantineBook(recorder)
    records = QuarantineRecords(store, book, recorder)
    nursery.start_soon(records.run)
    return book, records


async def test_a_quarantine_outlives_all_gateways(nursery, autojump_clock):
    """A request crashed three targets.  All gateways are killed at once, and
    without the stored quarantine the request would crash three more targets
    at the gateways that start.
    """
    store = object_api.ObjectStore()
    book, records = _start(nursery, store)
    records.save(book.begin(_FINGERPRINT, 3, "a test"))
    await trio.sleep(10.0)
    restarted, _ = _start(nursery, store)
    await trio.sleep(0.1)
    quarantine = restarted.find(_FINGERPRINT)
    assert quarantine.round == 1
    assert quarantine.crashes == 3
    assert 0.0 < restarted.admit(_FINGERPRINT) <= 60.0


async def test_a_quarantine_is_written_after_an_outage_of_the_store(
    nursery, autojump_clock
):
    store = object_api.ObjectStore()
    book, records = _start(nursery, store)
    store.faults.outage = True
    records.save(book.begin(_FINGERPRINT, 3, "a test"))
    await trio.sleep(20.0)
    store.faults.outage = False
    assert await _list(store) == []
    await trio.sleep(5.0)
    assert await _list(store) == [f"quarantines/{_FINGERPRINT}"]


async def test_a_write_with_a_lost_answer_is_retried(nursery, autojump_clock):
    store = object_api.ObjectStore()
    book, records = _start(nursery, store)
    store.faults.lost_answers = 1
    records.save(book.begin(_FINGERPRINT, 3, "a test"))
    await trio.sleep(5.0)
    assert await _list(store) == [f"quarantines/{_FINGERPRINT}"]
    records.save(book.end(_FINGERPRINT, "it was answered"))
    await trio.sleep(5.0)
    assert await _list(store) == []


async def test_a_partitioned_gateway_reads_the_store(nursery, autojump_clock):
    """A gateway is partitioned from all others but reaches the store.  It
    lost a target to a request that the others have quarantined already.
    """
    store = object_api.ObjectStore()
    partitioned, its_records = _start(nursery, store)
    await trio.sleep(5.0)
    book, records = _start(nursery, store)
    records.save(book.begin(_FINGERPRINT, 3, "a test"))
    await trio.sleep(1.0)
    assert partitioned.admit(_FINGERPRINT) == 0.0
    calls = store.counts["list"]
    for _ in range(50):
        its_records.request_read()
        await trio.sleep(0.01)
    assert partitioned.admit(_FINGERPRINT) > 0.0
    assert store.counts["list"] - calls <= 2


async def test_expired_and_invalid_objects_are_deleted(
    nursery, autojump_clock
):
    """One object outlived its quarantine, others are invalid, and one, by a
    clock that is a day ahead, lasts for a day.  The last must be limited to
    the duration of the quarantine and the others deleted.
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
    assert [quarantine.fingerprint for quarantine in book.list_all()] == [
        ahead
    ]


async def _list(store):
    listing = await store.list_records("quarantines/")
    return [record.name for record in listing.records]
