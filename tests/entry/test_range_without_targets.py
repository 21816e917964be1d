"""Streams that lose all targets of a range of layers after some tokens."""

import pytest
import trio

from magnoliacove import configuration
from tests import fakes

_CUTS = (0, 3, 5, 8)
_TOKENS = 24
_DEADLINE = 30.0


async def _fail_engine(fleet, name):
    fleet.engines[name].faults.failing = True


async def _kill_agent(fleet, name):
    fleet.kill(fleet.agents[name])


async def _repair_engine(fleet, name):
    fleet.engines[name].faults.failing = False


async def _remove_target(fleet, name):
    await fleet.configure(
        configuration.Removal(configuration.Target.kind, name, None)
    )


async def _start_agent(fleet, name):
    await fleet.start_agent(name)


def _find_target(fleet, failed):
    """Return the target that runs the last layers and has not failed."""
    return next(
        name
        for name, agent in fleet.agents.items()
        if name.startswith("llm-5-")
        and name not in failed
        and agent.server.stages.stages
    )


async def _stream(faults, changes=(), after=0.0):
    """Stream an answer; return its tokens, error, seconds and events.

    :param faults: for each token from the first, what happens to the target
        that runs the last layers.
    :param changes: for the targets with faults, what happens to each
        ``after`` seconds, or None.
    """
    failed = []
    async with fakes.open_memory_fleet(
        cuts=_CUTS, replicas=len(faults)
    ) as fleet:

        async def change():
            await trio.sleep(after)
            for apply, name in zip(changes, failed, strict=True):
                if apply is not None:
                    await apply(fleet, name)

        async with trio.open_nursery() as nursery:

            async def on_token(count):
                if count > len(faults):
                    return
                failed.append(_find_target(fleet, failed))
                await faults[count - 1](fleet, failed[-1])
                if count == len(faults) and changes:
                    nursery.start_soon(change)

            began = trio.current_time()
            texts, error = await fakes.stream_parts(
                fleet, "lot", _TOKENS, on_token
            )
            seconds = trio.current_time() - began
        return texts, error, seconds, fleet.list_events()


_MIXED = (_fail_engine, _fail_engine, _kill_agent)


@pytest.mark.parametrize("after", [1, 4, 10])
@pytest.mark.parametrize(
    "changes",
    [
        (_repair_engine, None, None),
        (None, _repair_engine, None),
        (None, None, _start_agent),
    ],
)
async def test_one_target_comes_back(changes, after, autojump_clock):
    """The attempts are used up before a target is back, and the answer is cut.

    Two engines fail, the third agent is killed, and one of them returns.
    """
    texts, error, _, events = await _stream(_MIXED, changes, after)
    assert error is None
    assert "".join(texts) == fakes.compute_expected_text("lot", _TOKENS)
    assert "stream-waiting" in {event.kind for event in events}


async def test_engines_are_checked_after_the_deadline(autojump_clock):
    """A stream waits until its deadline for engines that can't be back.

    Three engines fail.  Their agents check them after 2, 6 and 14 s, and then
    after the deadline, so the stream must end at the third check.
    """
    texts, error, seconds, _ = await _stream([_fail_engine] * 3)
    assert error["code"] == "no_stage"
    assert error["outcome"] == "may_have_run"
    assert "layers 5 to 8" in error["message"]
    assert "".join(texts) == fakes.compute_expected_text("lot", 3)
    assert 14 <= seconds < 15


async def test_targets_are_removed(autojump_clock):
    """A stream waits until its deadline for targets that were removed."""
    texts, error, seconds, _ = await _stream(
        [_kill_agent] * 2, [_remove_target] * 2, 2
    )
    assert error["code"] == "no_stage"
    assert error["outcome"] == "may_have_run"
    assert "layers 5 to 8" in error["message"]
    assert "".join(texts) == fakes.compute_expected_text("lot", 2)
    assert 2 <= seconds < 4


async def test_failed_engine_is_not_asked_again(autojump_clock):
    """Each attempt asks an engine whose agent has just refused it.

    An agent whose engine fails says when it checks the engine.  Between two
    checks the stream may ask it once.
    """
    _, _, seconds, events = await _stream(_MIXED)
    refused = [e for e in events if e.kind == "stage-refused"]
    assert seconds == pytest.approx(_DEADLINE, abs=0.1)
    assert {e.why for e in refused} == {"engine_failing"}
    assert len(refused) <= 2 * 4
