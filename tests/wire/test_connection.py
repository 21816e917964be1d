"""Connections between processes, with peers that misbehave."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from magnoliacove import defaults
from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove import wire
from magnoliacove.standins import network
from magnoliacove.wire import codec
from magnoliacove.wire import messages


def _hello(name, version=1):
    return lambda: messages.Hello(version, name, 1, "agent", "dc", 0, "x")


def _connect(stream, name="near"):
    return wire.Connection(stream, timeline.Clock(), _hello(name))


async def _ignore(connection, message):
    return None


def _frame(data):
    return len(data).to_bytes(4, "big") + data


_GOOD = _frame(codec.encode(_hello("far")(), 1))
_BAD_PEERS = {
    "no frame": (b"GET / HTTP/1.1\r\n\r\n", errors.ProtocolError),
    "a giant": ((2**31).to_bytes(4, "big"), errors.ProtocolError),
    "no capnp": (_frame(b"\x00\x00\x00\x00\xff\xff\xff\xff"), errors.Error),
    "no hello": (
        _frame(codec.encode(messages.Ping(1), 1)),
        errors.ProtocolError,
    ),
    "another version": (
        _frame(codec.encode(_hello("far", 9)(), 1)),
        errors.ProtocolError,
    ),
    "half a frame": (_GOOD[:-3], errors.PeerError),
    "garbage later": (_GOOD + _frame(b"garbage!"), errors.ProtocolError),
    "nothing": (b"", errors.PeerError),
}


@pytest.mark.parametrize("case", _BAD_PEERS)
async def test_bad_peer_ends_only_its_connection(case, autojump_clock):
    sent, expected = _BAD_PEERS[case]
    near, far = trio.testing.memory_stream_pair()
    if sent:
        await far.send_all(sent)
    await far.send_eof()
    connection = _connect(near)
    with pytest.raises(expected):
        await connection.run(_ignore)
    assert connection.closed
    with pytest.raises(errors.PeerError):
        connection.post(messages.Ping(1))


async def test_a_frame_that_is_cut_anywhere_is_no_message(autojump_clock):
    """Guards against acting on a part of what a lost process sent."""
    answer = _frame(codec.encode(messages.Answer(b"r", 200, (), b"part"), 1))
    for size in range(1, len(answer)):
        near, far = trio.testing.memory_stream_pair()
        await far.send_all(_GOOD + answer[:size])
        await far.send_eof()
        received = []

        async def receive(_, message, received=received):
            received.append(message)

        with pytest.raises(errors.PeerError):
            await _connect(near).run(receive)
        assert not received


class _Broken(trio.abc.Stream):
    """Sends a hello, then fails reading and writing at the same moment."""

    def __init__(self):
        self._data = _GOOD
        self._broken = trio.Event()
        self._sent = 0

    async def send_all(self, data):
        self._sent += 1
        if self._sent == 1:
            await trio.lowlevel.checkpoint()
            return
        await self._broken.wait()
        raise trio.BrokenResourceError

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        if self._data:
            data, self._data = self._data, b""
            await trio.lowlevel.checkpoint()
            return data
        await trio.sleep(0.1)
        self._broken.set()
        return b""

    async def aclose(self):
        await trio.lowlevel.checkpoint()


async def test_both_sides_fail_at_once(autojump_clock):
    """Reading and writing fail in the same iteration of the event loop.

    The two errors must not be raised as a group, which would end the whole
    process instead of one connection.
    """
    connection = _connect(_Broken())
    with pytest.raises(errors.PeerError):
        await connection.run(_ignore, lambda c: c.post(messages.Ping(1)))


async def test_unresponsive_peer_is_detected(autojump_clock):
    """The peer sends nothing after its hello, without any I/O error."""
    near, far = trio.testing.memory_stream_pair()
    await far.send_all(_GOOD)
    began = trio.current_time()
    with pytest.raises(errors.PeerError, match="silent"):
        await _connect(near).run(_ignore)
    assert trio.current_time() - began <= defaults.SILENCE_TIMEOUT + 1


async def test_peer_that_does_not_read_is_closed(autojump_clock):
    """Messages queue for a peer that does not read.

    An unbounded queue would exhaust the memory and end every other stream
    of the process.  Only this peer's connection must be closed.
    """
    connection = _connect(trio.testing.memory_stream_pair()[0])
    with pytest.raises(errors.PeerError, match="too slowly"):
        for _ in range(defaults.MAX_QUEUED_FRAMES + 1):
            connection.post(messages.Ping(1))
    assert connection.closed


async def test_send_waits_while_the_queue_is_half_full(autojump_clock):
    connection = _connect(trio.testing.memory_stream_pair()[0])
    sent = 0
    with trio.move_on_after(1):
        while True:
            await connection.send(messages.Ping(1))
            await trio.lowlevel.checkpoint()
            sent += 1
    assert sent == defaults.MAX_QUEUED_FRAMES // 2


async def test_send_waits_while_many_bytes_are_queued(autojump_clock):
    """Guards against a queue of few long messages that fills the memory."""
    connection = _connect(trio.testing.memory_stream_pair()[0])
    part = messages.Answer(b"r" * 16, 0, (), b"x" * 65536, True)
    sent = 0
    with trio.move_on_after(1):
        while True:
            await connection.send(part)
            sent += len(part.body)
    assert sent < 4 * defaults.MAX_FRAME


async def test_a_sender_that_waits_goes_on_after_others_post(
    nursery, autojump_clock
):
    """Guards against a sender that waits for ever for a queue that is empty.

    It waits as the queue is half full; another message is posted meanwhile.
    """
    near, far = map(_connect, trio.testing.memory_stream_pair())
    for _ in range(defaults.MAX_QUEUED_FRAMES // 2):
        near.post(messages.Pong(1))
    received = set()

    async def note(connection, message):
        received.add(message.sequence)

    nursery.start_soon(near.send, messages.Pong(2))
    await trio.testing.wait_all_tasks_blocked()
    near.post(messages.Pong(3))
    nursery.start_soon(near.run, _ignore)
    nursery.start_soon(far.run, note)
    await trio.sleep(1.0)
    assert received == {1, 2, 3}


async def test_broken_connection_is_replaced(autojump_clock):
    """An open connection loses all data while new connections work.

    The connecting end must detect that the connection is unresponsive, open
    a new one at once and notify its owner that the peer is up again.
    """
    links = network.Links()
    near = network.MemoryNetwork("near", links)
    far = network.MemoryNetwork("far", links)
    recorder = timeline.Recorder("near")
    ups = []

    async def serve(stream):
        await wire.serve_connection(
            stream,
            timeline.Recorder("far"),
            _hello("far"),
            _ignore,
            messages.Pong,
        )

    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            far.listen, wire.Address("127.0.0.1", 0), serve
        )
        peer = wire.Peer(
            "far",
            address,
            near,
            recorder,
            _hello("near"),
            _ignore,
            on_connected=lambda p: ups.append(trio.current_time()),
        )
        nursery.start_soon(peer.run)
        await peer.wait_up()
        links.silence_open("near", "far")
        await trio.sleep(4)
        assert peer.up
        nursery.cancel_scope.cancel()
    assert len(ups) == 2
    lost = [e for e in recorder.list_events() if e.kind == "connection-lost"]
    assert "silent" in lost[0].why


_BYTES = st.binary(max_size=40)
_TEXT = st.text(
    st.characters(codec="utf-8", exclude_characters="\0"), max_size=20
)
_UINT = st.integers(0, 2**32 - 1)
_STEP = st.builds(messages.Step, _BYTES, _UINT, _UINT, _BYTES)
_TOKEN = st.builds(messages.Token, _BYTES, _UINT, _UINT, _BYTES, st.booleans())
_LOAD = st.builds(messages.Load, _UINT, _UINT, _UINT, st.booleans())
_HEADER = st.builds(messages.Header, _BYTES, _BYTES)
_MESSAGES = st.one_of(
    st.builds(messages.Steps, st.tuples(_STEP, _STEP)),
    st.builds(messages.Tokens, st.tuples(_TOKEN)),
    st.builds(messages.StageOpened, _BYTES, _UINT, _UINT, _LOAD),
    st.builds(messages.Refused, _BYTES, _UINT, _TEXT, _TEXT, _TEXT, _UINT),
    st.builds(messages.Events, st.tuples(_TEXT, _TEXT)),
    st.builds(messages.Changes, st.tuples(_BYTES)),
    st.builds(
        messages.Answer, _BYTES, st.integers(0, 999), st.tuples(_HEADER)
    ),
    st.builds(
        messages.Cache,
        _BYTES,
        _UINT,
        _UINT,
        _BYTES,
        st.tuples(_BYTES, _BYTES),
        st.booleans(),
    ),
)


@given(_MESSAGES, st.integers(0, 2**64 - 1))
def test_messages_survive_the_wire(message, clock):
    assert codec.decode(codec.encode(message, clock)) == (message, clock)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_frame_or_a_typed_error(data):
    try:
        codec.decode(data)
    except errors.ProtocolError as exc:
        assert "same release" in str(exc)


@given(st.lists(_MESSAGES, max_size=12))
def test_coalescing_keeps_order(batch):
    """Only adjacent lists of steps, or of tokens, are merged."""

    def flatten(batch):
        items = []
        for message in batch:
            if isinstance(message, messages.Steps | messages.Tokens):
                items.extend(message.items)
            else:
                items.append(message)
        return items

    merged = wire.connection._coalesce(batch)
    assert flatten(merged) == flatten(batch)
    kinds = [type(m) for m in merged]
    joinable = (messages.Steps, messages.Tokens)
    pairs = zip(kinds, kinds[1:], strict=False)
    assert all(a != b or a not in joinable for a, b in pairs)
