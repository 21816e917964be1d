"""Log lines never hold a process up, and their volume is bounded."""

import json
import os
import time

import pytest

from magnoliacove import logs


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


def test_a_reader_that_stops_costs_lines_not_time(pipe):
    """Nobody reads the pipe.  Ten thousand lines are logged; no call
    waits, and what is lost is told once somebody reads again.
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
    while found := _read_all(reader):
        lines += found
        writer.flush()
    assert lines[0]["n"] == 0
    told = [x["lines"] for x in lines if x.get("kind") == "log-dropped"]
    assert told and told[-1] == writer.dropped


def test_ordinary_lines_are_dropped_first(pipe):
    """More happens than the budget allows.  Ordinary lines are dropped;
    those of failures are all there.
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


def test_lines_are_never_torn(pipe):
    """The pipe is full in the middle of a burst.  Each write is taken
    whole or not at all, so whoever reads meets whole lines only.
    """
    reader, descriptor = pipe
    writer = logs.LineWriter(descriptor, burst=1e9, read_time=lambda: 0.0)
    for number in range(2000):
        writer.add(_line(number), keep=True)
    seen = []
    for _ in range(100):
        writer.flush()
        seen += [line["n"] for line in _read_all(reader)]
    assert seen == list(range(2000))


def test_a_closed_pipe_ends_nothing(pipe):
    reader, descriptor = pipe
    os.close(reader)
    writer = logs.LineWriter(descriptor, read_time=lambda: 0.0)
    writer.add(_line(1), keep=True)
    writer.flush()
