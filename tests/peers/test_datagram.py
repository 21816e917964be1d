"""Encoding and decoding of heartbeats."""

import pathlib
import zlib

import capnp
import pytest

from magnoliacove import errors
from magnoliacove import peers
from magnoliacove.limits.part_crashes import SoundPart
from magnoliacove.limits.runs import CrashedRun
from magnoliacove.peers import datagram
from tests.peers.samples import make_heartbeat


def test_a_decoded_heartbeat_equals_the_encoded_one():
    sent = make_heartbeat(named=["10.0.0.1:7340"])
    assert peers.Heartbeat.decode(sent.encode()) == sent


@pytest.mark.parametrize("data", [b"", b"x", b"\xff" * 64])
def test_invalid_datagrams_are_refused(data):
    with pytest.raises(errors.ProtocolError):
        peers.Heartbeat.decode(data)


def test_a_datagram_that_is_cut_anywhere_is_refused():
    """Guards against a heartbeat of which a part is believed."""
    data = make_heartbeat(named=["10.0.0.1:7340"]).encode()
    for size in range(len(data)):
        with pytest.raises(errors.ProtocolError):
            peers.Heartbeat.decode(data[:size])


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


@pytest.fixture(scope="module", name="previous_schema")
def _load_previous_schema(tmp_path_factory):
    """Return the schema of a release that did not know what waits, nor parts
    of prompts.
    """
    path = pathlib.Path(datagram.__file__).with_name("heartbeat.capnp")
    lines = path.read_text().splitlines(keepends=True)
    newer = ("waiting @", "partCrashes @", "soundParts @")
    kept = [line for line in lines if not any(n in line for n in newer)]
    assert len(kept) == len(lines) - len(newer)
    previous = tmp_path_factory.mktemp("schema") / "previous.capnp"
    # Two loaded schemas must not have the same id.
    previous.write_text("".join(kept).replace("@0xb1f4", "@0xb1f5", 1))
    return capnp.load(str(previous))


def test_the_previous_release_reads_a_heartbeat_that_tells_what_waits(
    previous_schema,
):
    """Gateways are replaced one after the other, under load as well.  If
    those of the previous release refused these heartbeats they would take
    their senders for unreachable.
    """
    data = zlib.decompress(make_heartbeat().encode())
    with previous_schema.Heartbeat.from_bytes(data) as read:
        assert read.name == "g-1"
        assert list(read.grants.rates) == [0.5, 0.75]


def test_nothing_waits_at_a_gateway_of_the_previous_release(
    previous_schema, monkeypatch
):
    sent = make_heartbeat(waiting=(), grant_rates={})
    with monkeypatch.context() as patch:
        patch.setattr(datagram, "_load_schema", lambda: previous_schema)
        data = sent.encode()
    assert peers.Heartbeat.decode(data) == sent


def test_a_heartbeat_grows_only_while_something_waits(
    previous_schema, monkeypatch
):
    """Heartbeats of a large fleet are most of a small instance's traffic."""
    idle = make_heartbeat(waiting=(), grant_rates={})
    with monkeypatch.context() as patch:
        patch.setattr(datagram, "_load_schema", lambda: previous_schema)
        previous = idle.encode()
    assert len(idle.encode()) <= len(previous) + 4
    assert len(make_heartbeat().encode()) <= len(previous) + 200


_RUN = CrashedRun("00c3b2a190817263", 7, "i-2", 0.125)
_SILENT_RUN = CrashedRun("f0c3b2a190817263", 9, "i-3", 0.0)
_PART_CRASHES = (
    peers.ReportedCrash(_RUN, 1.5),
    peers.ReportedCrash(
        CrashedRun("f0c3b2a190817263", 9, "i-3", 0.0), 0.5, True
    ),
)
_SOUND_PARTS = (SoundPart("ffeeddccbbaa9988", 1.25),)


def test_crashes_under_parts_of_prompts_are_reported():
    sent = make_heartbeat(part_crashes=_PART_CRASHES, sound_parts=_SOUND_PARTS)
    received = peers.Heartbeat.decode(sent.encode())
    assert received == sent
    assert received.part_crashes[1].silent


def test_the_previous_release_reads_a_heartbeat_with_parts_of_prompts(
    previous_schema,
):
    """Guards against gateways of two releases that take each other for
    unreachable once engines crash.
    """
    sent = make_heartbeat(part_crashes=_PART_CRASHES, sound_parts=_SOUND_PARTS)
    data = zlib.decompress(sent.encode())
    with previous_schema.Heartbeat.from_bytes(data) as read:
        assert read.name == "g-1"
        assert len(read.crashes) == len(sent.crashes)
