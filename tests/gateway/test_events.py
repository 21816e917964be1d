"""Splitting of event streams, whatever the boundaries of their parts."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.gateway.events import EventSplitter

_WHOLE = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9))


@given(st.lists(st.integers(0, len(_WHOLE)), max_size=12))
def test_events_are_whole_for_any_part_boundaries(cuts):
    splitter = EventSplitter()
    events = []
    edges = [0, *sorted(cuts), len(_WHOLE)]
    for start, end in zip(edges, edges[1:], strict=False):
        events += splitter.feed(_WHOLE[start:end])
    assert b"".join(event.data for event in events) == _WHOLE
    assert [event.number for event in events] == list(range(1, 9))
    assert splitter.rest == b""


def test_a_partial_event_is_held_until_complete():
    splitter = EventSplitter()
    assert list(splitter.feed(b"id: 1\r\ndata: x\r\n")) == []
    assert [e.event_id for e in splitter.feed(b"\r\nid: 2\n")] == ["1"]
    assert splitter.rest == b"id: 2\n"


def test_an_event_without_end_raises_an_error():
    splitter = EventSplitter()
    with pytest.raises(ValueError, match="too long"):
        list(splitter.feed(b"x" * 2_000_000))
