"""Logging never blocks a process, and its volume is bounded."""

import json
import os
import time

import pytest
import trio

from magnoliacove import logs
from magnoliacove.timeline import Recorder


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def _read_all(reader):
    os.set_blocking(reader, False)
    data = b""
    try:
        while part := os.read(reader, 65536):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def _line(number):
    return json.dumps({"n": number, "pad": "x" * 200})


def test_a_stalled_reader_loses_lines_but_blocks_nothing(pipe):
    """A blocking write would stall the process while the pipe is not read.
    Ten thousand lines are logged: no call waits, and the number of dropped
    lines is reported once the pipe is read again.
    """
    reader, descriptor = pipe
    writer = logs.LineWriter(descriptor, burst=1e9, read_time=lambda: 0.0)
    began = time.monotonic()
    for number in range(10_000):
        writer.add(_line(number), keep=False)
        if number % 100 == 0:
            writer.flush()
    assert time.monotonic() - began < 2.0
    assert writer.dropped > 0
    lines = []
    while batch := _read_all(reader):
        lines += batch
        writer.flush()
    assert lines[0]["n"] == 0
    reported = [x["lines"] for x in lines if x.get("kind") == "log-dropped"]
    assert reported and reported[-1] == writer.dropped


def test_ordinary_lines_are_dropped_first(pipe):
    """Ordinary lines above the budget must not displace those of failures:
    only ordinary lines are dropped.
    """
    reader, descriptor = pipe
    writer = logs.LineWriter(
        descriptor, budget=10, burst=20, read_time=lambda: 0.0
    )
    for number in range(100):
        writer.add(_line(number), keep=number % 10 == 0)
    writer.flush()
    lines = _read_all(reader)
    kept = [x["n"] for x in lines if "n" in x]
    assert set(range(0, 100, 10)) <= set(kept)
    assert len(kept) <= 30


@pytest.mark.parametrize(
    "kind", ["service-full", "service-not-full", "capacity-short", "room-left"]
)
def test_lines_that_tell_of_an_overload_are_kept(pipe, kind):
    """An overload writes most lines, and those that tell of it were among the
    first to be dropped.
    """
    reader, descriptor = pipe
    writer = logs.LineWriter(
        descriptor, budget=0, burst=0, read_time=lambda: 0.0
    )
    handler = logs.LineHandler(writer, "INFO")
    with handler.applicationbound():
        Recorder("gateway").record(kind, why="")
    writer.flush()
    assert [line["kind"] for line in _read_all(reader)] == [kind]


def test_the_kinds_of_dropped_lines_are_counted(pipe):
    """Whether the line of a request was dropped, or never written, could not
    be told: only the number of all dropped lines was known.
    """
    reader, descriptor = pipe
    writer = logs.LineWriter(
        descriptor, budget=0, burst=0, read_time=lambda: 0.0
    )
    handler = logs.LineHandler(writer, "INFO")
    with handler.applicationbound():
        recorder = Recorder("gateway")
        for kind in ("path-chosen", "request-arrived", "path-chosen"):
            recorder.record(kind, request="r1")
    writer.flush()
    (line,) = _read_all(reader)
    assert line["kind"] == "log-dropped"
    assert line["kinds"] == {"path-chosen": 2, "request-arrived": 1}


def _list_kept(pipe, record):
    """Return the kinds of the lines that are kept above the budget."""
    reader, descriptor = pipe
    writer = logs.LineWriter(
        descriptor, budget=0, burst=0, read_time=lambda: 0.0
    )
    handler = logs.LineHandler(writer, "INFO")
    with handler.applicationbound():
        record(Recorder("gateway"))
    writer.flush()
    kinds = [line["kind"] for line in _read_all(reader)]
    return [kind for kind in kinds if kind != "log-dropped"]


def test_a_process_that_stops_keeps_the_lines_of_requests(pipe):
    """A stopping gateway ended a request without an answer, and no line of
    any gateway named the request: the budget had dropped them.
    """

    def record(recorder):
        recorder.record("request-arrived", request="r0")
        recorder.record("stopping")
        recorder.record("request-arrived", request="r1")
        recorder.record("path-chosen", request="r1")
        recorder.record("caller-left", request="r1", started=False)
        recorder.record("peers-heard")

    kept = ["stopping", "request-arrived", "path-chosen", "caller-left"]
    assert _list_kept(pipe, record) == kept


@pytest.mark.parametrize(
    ("started", "sent", "kept"),
    [(False, False, False), (False, True, True), (True, True, True)],
)
def test_a_caller_that_leaves_a_target_at_work_is_kept(
    pipe, started, sent, kept
):
    """The reason for a request that was lost midway was dropped above the
    budget.  Callers that leave the queue are many in an overload.
    """
    kinds = _list_kept(
        pipe,
        lambda recorder: recorder.record(
            "caller-left", request="r1", started=started, sent=sent
        ),
    )
    assert kinds == (["caller-left"] if kept else [])


def test_lines_are_never_split(pipe):
    """A pipe that fills up during a burst could accept part of a line.
    Each write is atomic, so the reader receives only complete lines.
    """
    reader, descriptor = pipe
    writer = logs.LineWriter(descriptor, burst=1e9, read_time=lambda: 0.0)
    for number in range(2000):
        writer.add(_line(number), keep=True)
    received = []
    for _ in range(100):
        writer.flush()
        received += [line["n"] for line in _read_all(reader)]
    assert received == list(range(2000))


def test_a_closed_pipe_raises_no_error(pipe):
    reader, descriptor = pipe
    os.close(reader)
    writer = logs.LineWriter(descriptor, read_time=lambda: 0.0)
    writer.add(_line(1), keep=True)
    writer.flush()


async def test_the_last_lines_of_a_process_wait_for_a_reader_that_is_behind(
    pipe,
):
    """The queue was written once at the end, as far as the pipe took it.  The
    lines of the requests that ended with the process were lost.
    """
    reader, descriptor = pipe
    writer = logs.LineWriter(descriptor, burst=1e9)
    for number in range(2000):
        writer.add(_line(number), keep=True)
    received = []

    async def read_late():
        while len(received) < 2000:
            await trio.sleep(0.01)
            received.extend(line["n"] for line in _read_all(reader))

    with trio.fail_after(5.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_late)
            await writer.finish()
    assert received == list(range(2000))


async def test_the_last_lines_do_not_hold_up_the_end_of_a_process(
    pipe, autojump_clock
):
    """A reader that stopped must not cost the process its grace time."""
    _, descriptor = pipe
    writer = logs.LineWriter(descriptor, burst=1e9)
    for number in range(2000):
        writer.add(_line(number), keep=True)
    began = trio.current_time()
    await writer.finish()
    assert trio.current_time() - began <= 0.3


def test_lines_that_nobody_reads_take_bounded_memory(pipe):
    """Guards against long lines of callers' texts in a full queue."""
    _, descriptor = pipe
    writer = logs.LineWriter(descriptor, burst=1e9, read_time=lambda: 0.0)
    for _ in range(4000):
        writer.add("x" * 6000, keep=True)
    assert sum(map(len, writer._lines)) <= 8 * 1024 * 1024
    assert writer.dropped > 0


def test_texts_of_callers_are_shortened():
    """Guards against thousands of events with ids as long as a head."""
    recorder = Recorder("g")
    recorder.record("k", request="i" * 20_000, why="w" * 20_000, last="l" * 99)
    recorder.record("k", resumes="r" * 20_000)
    for event in recorder.list_events():
        assert len(event.to_json()) < 4000
    assert recorder.list_events()[0].detail["last"] == "l" * 99
