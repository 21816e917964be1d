"""Streams under failure: exactly once, in order, to the end."""

import functools

from hypothesis import given
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from magnoliacove import configuration
from tests import fakes

_CUTS = (0, 3, 5, 8)
_TOKENS = 24


async def _run_with(fault, *, at=7, tokens=_TOKENS, replicas=2):
    """Stream an answer, bring about a fault at a token, return all."""
    async with fakes.open_memory_fleet(cuts=_CUTS, replicas=replicas) as fleet:

        async def on_token(count):
            if count == at:
                await fault(fleet)

        text = await fakes.stream(fleet, "lot", tokens, on_token)
        runs = _list_runs(fleet)
        return text, runs, fleet.list_events()


def _list_runs(fleet):
    """Return the streams and steps that each engine ran."""
    return {
        name: [run[:2] for run in model.steps_run]
        for name, model in fleet.engines.items()
    }


def _check_answer(text, runs):
    assert text == fakes.compute_expected_text("lot", _TOKENS)
    for steps in runs.values():
        assert len(steps) == len(set(steps))


async def _kill_agent(first_layer, fleet):
    fleet.kill(fleet.agents[fakes.find_stage_target(fleet, first_layer)])


async def _isolate_agent(first_layer, fleet):
    fleet.links.isolate(fakes.find_stage_target(fleet, first_layer))


async def _fail_engine(first_layer, fleet):
    fleet.engines[
        fakes.find_stage_target(fleet, first_layer)
    ].faults.failing = True


async def _freeze_engine(first_layer, fleet):
    fleet.engines[
        fakes.find_stage_target(fleet, first_layer)
    ].faults.frozen = True


async def _cut_from_entry(first_layer, fleet):
    await fleet.links.cut(
        "entry-0", fakes.find_stage_target(fleet, first_layer)
    )


async def _silence_from_entry(first_layer, fleet):
    used = fakes.find_stage_target(fleet, first_layer)
    fleet.links.silence_open("entry-0", used)


async def _cut_between(first_layer, fleet):
    one = fakes.find_stage_target(fleet, 0)
    await fleet.links.cut(one, fakes.find_stage_target(fleet, 3))


async def _silence_between(first_layer, fleet):
    one = fakes.find_stage_target(fleet, 0)
    fleet.links.silence(one, fakes.find_stage_target(fleet, 3))


_FAULTS = [
    _kill_agent,
    _isolate_agent,
    _fail_engine,
    _freeze_engine,
    _cut_from_entry,
    _silence_from_entry,
    _cut_between,
    _silence_between,
]


@pytest.mark.parametrize("first_layer", _CUTS[:-1])
@pytest.mark.parametrize("fault", _FAULTS)
async def test_one_fault(fault, first_layer, autojump_clock):
    """The caller sees one gapless answer whatever fails midway.

    A fault comes after seven tokens.  The entry learns of it by a broken
    or silent connection, by the agent's word or by a stall, opens a new
    attempt, and stages that lived go on without running a step twice.
    """
    text, runs, events = await _run_with(functools.partial(fault, first_layer))
    _check_answer(text, runs)
    kinds = {event.kind for event in events}
    # Tokens do not cross the connection of a middle stage to the entry,
    # so its silence is over before it is noticed.
    unnoticed = fault is _silence_from_entry and first_layer == 3
    assert unnoticed or "stream-resumed" in kinds


@pytest.mark.parametrize("second", [0, 3, 5])
@pytest.mark.parametrize("first", [0, 3, 5])
async def test_two_agents_die_together(first, second, autojump_clock):
    """Two stages die at once, or the same one twice.

    The second death comes while the entry may still be opening the
    attempt that answers the first; the two losses are merged.
    """

    async def fault(fleet):
        await _kill_agent(first, fleet)
        if first != second:
            await _kill_agent(second, fleet)

    text, runs, _ = await _run_with(fault)
    _check_answer(text, runs)


async def test_agent_dies_while_stream_resumes(autojump_clock):
    """The replacement dies too, while it is being given the lost steps.

    With three targets for each range the stream goes on with the third.
    """
    async with fakes.open_memory_fleet(cuts=_CUTS, replicas=3) as fleet:

        async def kill_next():
            await trio.sleep(0.06)
            for name, running in fleet.agents.items():
                if name.startswith("llm-3-") and running.made.stages.stages:
                    fleet.kill(running)

        async with trio.open_nursery() as nursery:

            async def on_token(count):
                if count == 7:
                    await _kill_agent(3, fleet)
                    nursery.start_soon(kill_next)

            text = await fakes.stream(fleet, "lot", _TOKENS, on_token)
        runs = _list_runs(fleet)
    _check_answer(text, runs)


async def test_only_target_comes_back(autojump_clock):
    """No other target holds the layers, so the stream waits for one.

    The only target of a range dies.  After three seconds the platform has
    started it again, empty; it is given all steps again and the caller
    sees a pause but no gap.  The stages that lived run no step again.
    """
    async with fakes.open_memory_fleet(cuts=_CUTS, replicas=1) as fleet:

        async def start_again(name):
            await trio.sleep(3)
            await fleet.start_agent(name)

        async with trio.open_nursery() as nursery:

            async def on_token(count):
                if count == 7:
                    lost = fakes.find_stage_target(fleet, 3)
                    fleet.kill(fleet.agents[lost])
                    nursery.start_soon(start_again, lost)

            text = await fakes.stream(fleet, "lot", _TOKENS, on_token)
        waited = fleet.list_events("stream-waiting")
        runs = _list_runs(fleet)
        told = fleet.list_events("stage-lost")
    _check_answer(text, {n: r for n, r in runs.items() if n != "llm-3-0"})
    assert waited
    assert len(told) <= 3


async def test_drain_moves_a_long_stream(autojump_clock):
    """A planned stop cuts off nothing, however long the stream is.

    The agent says that it leaves; two seconds later the entry moves the
    stream to another target, which imports the KV cache, so no step runs
    again anywhere; then the agent's drain ends.
    """
    tokens = 2000
    async with fakes.open_memory_fleet(cuts=_CUTS, replicas=2) as fleet:
        async with trio.open_nursery() as nursery:

            async def on_token(count):
                if count == 7:
                    leaving = fleet.agents[fakes.find_stage_target(fleet, 3)]
                    nursery.start_soon(leaving.made.drain)

            text = await fakes.stream(fleet, "lot", tokens, on_token)
            cancelled = nursery.cancel_scope.cancel_called
        steps = [r[:2] for e in fleet.engines.values() for r in e.steps_run]
        drained = fleet.list_events("drained")
        imported = fleet.list_events("cache-imported")
    assert not cancelled
    assert text == fakes.compute_expected_text("lot", tokens)
    assert len(steps) == 3 * tokens
    assert len(imported) == 1
    assert drained[0].detail["left"] == 0


async def test_drain_taken_back(autojump_clock):
    """A target whose drain was undone takes work again.

    The entry had marked it as leaving on the agent's word and kept the
    mark until its connection broke, so streams waited for a target that
    stood idle until their deadline.
    """
    async with fakes.open_memory_fleet() as fleet:
        pool = fleet.entries["entry-0"].made.pool
        target = configuration.Target(
            "llm-0-0", "catalog-llm", "gent-a", "", 0, 4, "draining"
        )
        await fleet.configure(configuration.Put(target))
        await trio.sleep(2)
        assert not pool.is_usable("llm-0-0")
        target = configuration.Target(
            "llm-0-0", "catalog-llm", "gent-a", "", 0, 4
        )
        await fleet.configure(configuration.Put(target))
        await trio.sleep(2)
        assert pool.is_usable("llm-0-0")


async def test_caller_who_hangs_up_frees_stages(autojump_clock):
    async with fakes.open_memory_fleet() as fleet:

        async def on_token(count):
            if count == 5:
                raise ConnectionResetError

        with pytest.raises(BaseExceptionGroup):
            await fakes.stream(fleet, "lot", _TOKENS, on_token)
        await trio.sleep(2)
        held = [
            running.made.stages.stages
            for running in fleet.agents.values()
            if running.made.stages
        ]
        assert not any(held)
        assert not fleet.entries["entry-0"].made.pool.receivers


async def test_no_target_is_said_at_once(autojump_clock):
    async with fakes.open_memory_fleet(replicas=1) as fleet:
        fleet.kill(fleet.agents["llm-4-0"])
        await trio.sleep(1)
        began = trio.current_time()
        answer = await fakes.ask(
            fleet,
            "POST",
            "/v1/completions",
            b'{"model": "catalog-llm", "prompt": "x"}',
        )
        waited = trio.current_time() - began
    error = answer.json["error"]
    assert (answer.status, error["code"]) == (503, "no_target")
    assert error["outcome"] == "not_run"
    assert int(answer.headers["retry-after"]) > 0
    assert waited < 1


_FAULT_TIMES = st.lists(
    st.tuples(
        st.integers(1, _TOKENS - 1),
        st.sampled_from([_kill_agent, _fail_engine, _cut_from_entry]),
        st.sampled_from(_CUTS[:-1]),
    ),
    max_size=3,
)


@given(_FAULT_TIMES)
def test_any_faults(faults):
    """Whatever fails whenever, the answer is whole or the error says so.

    Up to three faults come at drawn tokens in drawn stages.  A whole
    answer equals the undisturbed one; a stream that ran out of targets
    ends at its deadline with a typed error, never with a wrong token.
    """

    async def main():
        async with fakes.open_memory_fleet(cuts=_CUTS, replicas=3) as fleet:

            async def on_token(count):
                for at, fault, first_layer in faults:
                    if at == count:
                        try:
                            await fault(first_layer, fleet)
                        except StopIteration:
                            continue

            return await fakes.stream(fleet, "lot", _TOKENS, on_token)

    clock = trio.testing.MockClock(autojump_threshold=0)
    text = trio.run(main, clock=clock)
    assert text == fakes.compute_expected_text("lot", _TOKENS)
