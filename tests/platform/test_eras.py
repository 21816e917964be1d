"""The store's client across restores from an older snapshot."""

import contextlib
import itertools

import httpcore
from hypothesis import given
from hypothesis import strategies as st
import orjson
import pytest
import trio

from magnoliacove import errors
from magnoliacove import platform
from magnoliacove.platform.eras import MAX_ERA
from magnoliacove.platform.eras import StoreEra
from magnoliacove.platform.eras import join_revision
from magnoliacove.platform.eras import split_revision


@given(st.integers(0, MAX_ERA), st.integers(0, 2**40 - 1))
def test_a_revision_contains_both_numbers(era, number):
    joined = join_revision(era, number)
    assert split_revision(joined) == (era, number)
    assert joined < 2**63


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), min_size=2))
def test_revisions_are_ordered_by_era_first(pairs):
    joined = [join_revision(era, number) for era, number in pairs]
    assert sorted(joined) == [join_revision(*pair) for pair in sorted(pairs)]


def test_each_newer_era_is_reported_once():
    reported = []
    era = StoreEra()
    era.listen(lambda number, source: reported.append((number, source)))
    notes = [(3, "a"), (3, "b"), (4, "c"), (3, "d"), (4, "e"), (6, "f")]
    accepted = [era.note(number, source) for number, source in notes]
    # The first era is not reported, because no earlier one was received.
    assert reported == [(4, "c"), (6, "f")]
    assert accepted == [True, True, True, False, True, True]


def _answer(era, data, status=200):
    header = (b"Store-Era", str(era).encode())
    return httpcore.Response(
        status, headers=[header], content=orjson.dumps(data)
    )


def _object(revision, spec=None):
    meta = {"name": "x", "revision": revision}
    return {"metadata": meta, "spec": spec}


class _Pool:
    """Answers calls with the given answers, in their order."""

    def __init__(self, *answers):
        self.calls = []
        self._answers = list(answers)

    @contextlib.asynccontextmanager
    async def stream(self, method, url, **others):
        self.calls.append((method, url, others.get("content")))
        await trio.lowlevel.checkpoint()
        yield self._answers.pop(0)


def _open(*answers):
    api = platform.HttpObjectApi("http://store")
    api._pool = _Pool(*answers)
    return api


async def test_a_late_answer_of_an_earlier_era_is_discarded():
    """A call is delayed on one connection while another call reports that
    the store was restored.  The data of the delayed answer is not valid.
    """
    api = _open(_answer(2, _object(5)), _answer(1, _object(9)))
    assert (await api.get("k/x")).version == join_revision(2, 5)
    with pytest.raises(errors.PlatformError) as caught:
        await api.get("k/x")
    assert caught.value.outcome is errors.Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("status", [404, 409, 410, 429, 503])
async def test_errors_report_the_era_too(status):
    api = _open(_answer(1, _object(5)), _answer(2, {}, status))
    await api.get("k/x")
    with contextlib.suppress(errors.Error):
        await api.get("k/x")
    assert api.era.number == 2


async def test_a_condition_of_an_earlier_era_is_not_sent():
    """A number that the store assigns again may match by accident, and a
    write would overwrite a change that its writer never read.
    """
    api = _open(_answer(1, _object(5)), _answer(2, _object(5)))
    version = (await api.get("k/x")).version
    await api.get("k/x")
    calls = len(api._pool.calls)
    with pytest.raises(platform.VersionConflictError):
        await api.put("k/x", b"1", version)
    with pytest.raises(platform.VersionConflictError):
        await api.delete("k/x", version)
    with pytest.raises(platform.CompactedError):
        await api.watch("k/", version, 1.0)
    assert len(api._pool.calls) == calls


async def test_a_condition_that_matched_by_accident_is_a_conflict():
    """The answer to the write is the first to report the new era: the store
    accepted the write because of a reused number.
    """
    api = _open(_answer(1, _object(5)), _answer(2, _object(6)))
    version = (await api.get("k/x")).version
    with pytest.raises(platform.VersionConflictError):
        await api.put("k/x", b"1", version)
    watcher = _open(_answer(1, _object(5)), _answer(2, {"as_of": 7}))
    version = (await watcher.get("k/x")).version
    with pytest.raises(platform.CompactedError):
        await watcher.watch("k/", version, 1.0)


async def test_pages_of_two_eras_are_read_again():
    """The store is restored between two pages of a listing."""
    first = {"items": [_object(5)], "has_more": True, "as_of": 9}
    last = {"items": [], "has_more": False, "as_of": 3}
    complete = {"items": [_object(2)], "has_more": False, "as_of": 4}
    api = _open(_answer(1, first), _answer(2, last), _answer(2, complete))
    listing = await api.list_records("k/")
    assert listing.revision == join_revision(2, 4)
    assert [r.version for r in listing.records] == [join_revision(2, 2)]


async def test_a_store_without_a_valid_era_is_accepted():
    plain = httpcore.Response(200, content=orjson.dumps(_object(5)))
    api = _open(
        plain,
        *(
            httpcore.Response(
                200,
                headers=[(b"store-era", invalid)],
                content=orjson.dumps(_object(6)),
            )
            for invalid in (b"x", b"", b"-1", b"9" * 40)
        ),
    )
    assert (await api.get("k/x")).version == 5
    for _ in range(4):
        assert (await api.get("k/x")).version == 6


@given(
    st.permutations(
        [
            *itertools.product([1], range(3, 8)),
            *itertools.product([2], range(4, 9)),
        ]
    )
)
def test_no_order_of_answers_mixes_eras(order):
    """Answers of two eras arrive in any order.  After the first answer of
    the later era, none of the earlier era is accepted.
    """

    async def read():
        seen = []
        api = _open(*(_answer(era, _object(n)) for era, n in order))
        for _ in order:
            try:
                seen.append((await api.get("k/x")).version)
            except errors.PlatformError:
                # The answer was of the earlier era.
                continue
        return [split_revision(version)[0] for version in seen]

    eras = trio.run(read)
    assert eras == sorted(eras)
    assert eras.count(2) == 5
