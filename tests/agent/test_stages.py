"""Stages apply each step once, in order, and only for their attempt."""

from hypothesis import given
from hypothesis import strategies as st
import trio
import trio.testing

from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove.agent.runner import StageRunner
from magnoliacove.standins import engine
from magnoliacove.wire import messages

_STREAM = b"s" * 16


class _Sink:
    """Collects what a runner sends to an entry or to another agent."""

    def __init__(self):
        self.sent = []
        self.closed = False
        self.broken = False

    def post(self, message):
        self.sent.append(message)

    def send_step(self, name, address, item):
        if self.broken:
            raise errors.PeerError("the link is broken")
        self.sent.append(item)

    async def fetch_cache(self, address, request):
        return None

    def list_steps(self):
        return [m.step for m in self.sent if isinstance(m, messages.Step)]


def _open(attempt=1, *, resume=False, next_name="next"):
    address = "127.0.0.1:1" if next_name else ""
    return messages.OpenStage(
        _STREAM,
        attempt,
        "llm",
        "a",
        0,
        4,
        address,
        next_name,
        0,
        60_000,
        1,
        resume,
    )


def _make_runner(sink, leaving=False, max_streams=8):
    model = engine.StandInEngine(8, step_time=0.01)
    runner = StageRunner(
        "here",
        model,
        sink,
        timeline.Recorder("here"),
        lambda: leaving,
        max_streams=max_streams,
    )
    return runner, model


def _steps(attempt, *numbers):
    return tuple(
        messages.Step(_STREAM, attempt, n, b"x%d" % n) for n in numbers
    )


_ARRIVALS = st.lists(
    st.tuples(st.integers(1, 3), st.integers(0, 6)), max_size=40
)


@given(_ARRIVALS)
def test_each_step_runs_once_in_order(arrivals):
    """A step that runs twice or out of order corrupts the KV cache.

    Steps arrive late, twice, out of order and from earlier attempts.
    """

    async def main():
        sink = _Sink()
        runner, model = _make_runner(sink)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(runner.run)
            await runner.open(sink, _open())
            attempt = 1
            for number, (at, step) in enumerate(arrivals):
                runner.take_steps(_steps(at, step))
                if number % 7 == 6:
                    attempt += 1
                    await runner.open(sink, _open(attempt, resume=True))
                if number % 3 == 0:
                    await trio.sleep(0.02)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        ran = [run[1] for run in model.steps_run]
        assert ran == list(range(len(ran)))
        assert sink.list_steps() == ran

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _run_steps(runner, *items):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        runner.take_steps(items)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()


async def test_replay_runs_no_layer_again(autojump_clock):
    """A replay sends retained outputs and runs no step a second time."""
    sink = _Sink()
    runner, model = _make_runner(sink)
    await runner.open(sink, _open())
    await _run_steps(runner, *_steps(1, 0, 1, 2, 3))
    await runner.open(sink, _open(2, resume=True, next_name="other"))
    opened = sink.sent[-1]
    runner.replay(messages.Replay(_STREAM, 2, 2))
    assert opened.next_step == 4
    assert sink.list_steps() == [0, 1, 2, 3, 2, 3]
    assert len(model.steps_run) == 4


async def test_replay_of_dropped_outputs_reports_loss(autojump_clock):
    """A replay requests outputs that were dropped to limit memory use."""
    sink = _Sink()
    runner, _ = _make_runner(sink)
    await runner.open(sink, _open())
    await _run_steps(runner, *_steps(1, 0, 1, 2))
    runner.stages[_STREAM].outputs.popleft()
    runner.replay(messages.Replay(_STREAM, 1, 0))
    assert isinstance(sink.sent[-1], messages.StageLost)
    assert sink.sent[-1].name == ""


async def test_broken_link_keeps_stage_open(autojump_clock):
    """A lost link to the next agent is reported, but no stage is closed."""
    sink = _Sink()
    runner, _ = _make_runner(sink)
    await runner.open(sink, _open())
    sink.broken = True
    await _run_steps(runner, *_steps(1, 0))
    assert sink.sent[-1].name == "next"
    assert _STREAM in runner.stages


async def test_refused_streams_do_not_run(autojump_clock):
    """A refused stream runs no step, and the code states the reason."""
    cases = [
        (_make_runner(_Sink(), leaving=True), _open(), "draining"),
        (_make_runner(_Sink(), max_streams=0), _open(), "overloaded"),
        (_make_runner(_Sink()), _open(resume=True), "unknown_stream"),
    ]
    for (runner, model), request, code in cases:
        sink = _Sink()
        await runner.open(sink, request)
        await _run_steps(runner, *_steps(1, 0))
        refused = sink.sent[0]
        assert (refused.code, refused.outcome) == (code, "not_run")
        assert not model.steps_run


async def test_stale_attempt_is_refused(autojump_clock):
    """A late request for an earlier attempt must not replace a stage."""
    sink = _Sink()
    runner, _ = _make_runner(sink)
    await runner.open(sink, _open(5))
    await runner.open(sink, _open(4))
    assert sink.sent[-1].code == "stale_attempt"
    assert runner.stages[_STREAM].attempt == 5


async def test_orphaned_stages_are_closed(autojump_clock):
    """Stages are closed if their entry fails and does not reconnect."""
    sink = _Sink()
    runner, _ = _make_runner(sink)
    await runner.open(sink, _open())
    runner.orphan_stages(sink)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        await trio.sleep(15)
        nursery.cancel_scope.cancel()
    assert not runner.stages


async def test_exported_stage_runs_no_more(autojump_clock):
    """After its export a stage accepts no step of any attempt."""
    sink = _Sink()
    runner, model = _make_runner(sink)
    await runner.open(sink, _open())
    await _run_steps(runner, *_steps(1, 0, 1))
    cache = await runner.export(messages.FetchCache(_STREAM, 2))
    await _run_steps(runner, *_steps(1, 2), *_steps(2, 2))
    assert (cache.found, cache.next_step, len(cache.outputs)) == (True, 2, 2)
    assert len(model.steps_run) == 2
