"""What one of many gateways uses of the capacity that all see as free."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.directory.listed import LayerRange
from magnoliacove.limits.load import Reservation
from magnoliacove.limits.room_shares import RoomShare
from magnoliacove.limits.room_shares import RoomShares
from magnoliacove.routing.paths import StageOption
from magnoliacove.wire import Address

_LAYERS = 10
_TOKENS = 1000.0


class _Clock:
    now = 100.0

    def __call__(self):
        return self.now


def _make_option(requests, name="i-1"):
    return StageOption(
        name,
        Address("10.0.0.1", 80),
        "a",
        "l4",
        LayerRange(0, _LAYERS),
        requests * _TOKENS * _LAYERS,
    )


def _grant(shares, share, waiting, free, name="i-1"):
    """Return how many of the requests that wait a gateway sends."""
    needed = _TOKENS * _LAYERS
    for sent in range(waiting):
        option = _make_option(free - sent, name)
        [limited] = shares.limit([option], _TOKENS, share)
        if limited.capacity < needed:
            return sent
        shares.note_used(Reservation(((name, needed),)))
    return waiting


@pytest.mark.parametrize("free", [1, 5, 30])
def test_gateways_together_use_about_what_is_free(free):
    """Thirty gateways with eight waiting requests each see capacity freed in
    the same moment.  They tried 240 requests there, and most were refused.
    """
    totals = []
    for seed in range(40):
        gateways = [
            RoomShares(random.Random(f"{seed}-{n}")) for n in range(30)
        ]
        share = RoomShare(1 / 30, 0.35)
        clock = _Clock()
        for shares in gateways:
            shares._read_time = clock
        totals.append(sum(_grant(s, share, 8, free) for s in gateways))
    assert sum(totals) / len(totals) == pytest.approx(free, rel=0.35)
    assert max(totals) <= free + 12


def test_a_lone_gateway_uses_all():
    shares = RoomShares(random.Random(1), _Clock())
    assert _grant(shares, RoomShare(1.0, 0.0), 100, 7) == 7


def test_no_search_for_requests_that_cannot_fit():
    """Hundreds of requests wait.  Each pass tried eight of them, forty times
    a second, with a search over all engines each.
    """
    clock = _Clock()
    shares = RoomShares(random.Random(1), clock)
    share = RoomShare(0.5, 0.35)
    assert shares.may_fit("llm", 900.0)
    shares.limit([], 900.0, share)
    shares.note_failed("llm", 900.0)
    assert not shares.may_fit("llm", 900.0)
    assert shares.may_fit("llm", 899.0)
    assert shares.may_fit("other", 900.0)
    clock.now += 0.06
    assert shares.may_fit("llm", 900.0)
    shares.note_failed("llm", 900.0)
    shares.note_freed()
    assert shares.may_fit("llm", 900.0)
    clock.now += 0.28
    shares.note_failed("llm", 900.0)
    clock.now += 0.02
    assert shares.may_fit("llm", 900.0), "a new share was not tried"


def test_what_was_used_counts_until_the_others_are_heard():
    clock = _Clock()
    shares = RoomShares(random.Random(1), clock)
    share = RoomShare(0.5, 0.35)
    first = _grant(shares, share, 100, 10)
    assert first in (5, 6)
    assert _grant(shares, share, 100, 10 - first) == 0
    clock.now += 0.4
    assert _grant(shares, share, 100, 10 - first) > 0


@given(
    st.floats(0.0, 1.0),
    st.floats(-1e6, 1e6),
    st.floats(1.0, 5000.0),
    st.integers(0, 9),
)
def test_a_share_is_never_more_than_what_is_free(part, free, tokens, seed):
    shares = RoomShares(random.Random(seed), _Clock())
    [limited] = shares.limit(
        [_make_option(free / _TOKENS / _LAYERS)], tokens, RoomShare(part, 0.2)
    )
    assert limited.capacity <= free + 1e-6
