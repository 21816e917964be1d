"""Encoding and decoding of heartbeats."""

import pathlib
import zlib

import capnp
import pytest

from magnoliacove import errors
from magnoliacove import peers
from magnoliacove.peers import datagram
from tests.peers.samples import make_heartbeat


def test_a_decoded_heartbeat_equals_the_encoded_one():
    sent = make_heartbeat(named=["10.0.0.1:7340"])
    assert peers.Heartbeat.decode(sent.encode()) == sent


@pytest.mark.parametrize("data", [b"", b"x", b"\xff" * 64])
def test_invalid_datagrams_are_refused(data):
    with pytest.raises(errors.ProtocolError):
        peers.Heartbeat.decode(data)


def test_columns_of_unequal_length_are_refused():
    """A datagram has the names of two engines but the load of only one.

    Pairing the columns as far as they go would drop one engine's load and
    send callers to an engine that is full.
    """
    data = zlib.decompress(make_heartbeat().encode())
    schema = capnp.load(
        str(pathlib.Path(datagram.__file__).with_name("heartbeat.capnp"))
    )
    with schema.Heartbeat.from_bytes(data) as read:
        broken = read.as_builder()
    broken.loads.targets = ["i-1", "i-2"]
    with pytest.raises(errors.ProtocolError):
        peers.Heartbeat.decode(zlib.compress(broken.to_bytes()))
