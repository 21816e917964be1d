"""Chunked bodies are decoded as by h11, for any chunk sizes and reads."""

import h11
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from magnoliacove.gateway.chunks import ChunkDecoder
from magnoliacove.gateway.chunks import ChunkError
from tests.gateway import stubs

_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


def _decode(data, cuts=()):
    """Return the body and what follows it."""
    decoder, body, begin = ChunkDecoder(16_384), b"", 0
    for end in (*sorted(cuts), len(data)):
        part = data[begin:end]
        begin = end
        if decoder.complete:
            decoder.rest += part
        else:
            body += decoder.decode(part)
    return (body if decoder.complete else None), decoder.rest


def _decode_by_h11(data):
    parser, body = h11.Connection(h11.SERVER), b""
    parser.receive_data(_HEAD + data)
    parser.next_event()
    while isinstance(event := parser.next_event(), h11.Data):
        body += event.data
    assert isinstance(event, h11.EndOfMessage)
    return body, parser.trailing_data[0]


@settings(max_examples=300, deadline=None)
@given(
    parts=st.lists(st.sampled_from([b"x", b"\r\n", b"0\r\n\r\n", b"abc" * 9])),
    trailers=st.sampled_from([b"", b"a: b\r\n", b"a: b\r\nc:\r\n"]),
    rest=st.sampled_from([b"", b"GET / HTTP/1.1\r\n", b"\r\n", b"0\r\n\r\n"]),
    cuts=st.lists(st.integers(0, 120), max_size=12),
)
def test_bodies_and_what_follows_are_the_same(parts, trailers, rest, cuts):
    """A byte too much or too few in a body begins or hides a request."""
    data = b"".join(map(stubs.chunk, parts)) + b"0\r\n" + trailers + b"\r\n"
    expected = _decode_by_h11(data + rest)
    assert _decode(data + rest, [min(c, len(data)) for c in cuts]) == expected


@pytest.mark.parametrize(
    "data",
    [
        b"3\nabc\n0\n\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b" 3\r\nabc\r\n0\r\n\r\n",
        b"\r\n3\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabc\r\r\n0\r\n\r\n",
        b"f" * 18 + b"\r\nabc",
        b"3\r\nabc\r\n0\r\ncontent-length: 5\r\n\r\n",
        b"3\r\nabc\r\n0\r\ntransfer-encoding: chunked\r\n\r\n",
        b"3\r\nabc\r\n0\r\nno header\r\n\r\n",
        b"3\r\nabc\r\n0\r\n\nGET / HTTP/1.1\r\n\r\n",
    ],
)
def test_what_is_no_chunked_body_is_refused(data):
    with pytest.raises(ChunkError):
        _decode(data)


@pytest.mark.parametrize(
    "frame", [b"0\r\n" + b"a: b\r\n" * 4000, b"1;" + b"x" * 20_000, b"0" * 20]
)
def test_frames_without_end_are_refused(frame):
    decoder = ChunkDecoder(16_384)
    with pytest.raises(ChunkError):
        for begin in range(0, len(frame), 1000):
            decoder.decode(frame[begin : begin + 1000])
        for _ in range(20):
            decoder.decode(b"0" * 1000)
