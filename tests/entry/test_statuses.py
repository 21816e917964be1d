"""Statuses that mean "not run" are told only of requests that have not run.

Callers take 408, 421, 429 and 503 that way and send the request again.
"""

import pytest
import trio

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove.standins import callers
from tests import fakes

_FAILURES = sorted(errors.NOT_RUN_STATUSES)


def _check_may_have_run(answer):
    assert answer.status == 502
    assert answer.headers["x-outcome"] == "may_have_run"
    assert answer.json["error"]["outcome"] == "may_have_run"


@pytest.mark.parametrize("outcome", errors.Outcome)
@pytest.mark.parametrize("status", [None, *_FAILURES, 404, 409, 502, 504])
def test_no_error_promises_more_than_its_outcome(status, outcome):
    """Guards against errors that mean "not run" by their status alone."""
    error = errors.RequestError("x", "why", status=status, outcome=outcome)
    promised = error.status in errors.NOT_RUN_STATUSES
    assert not promised or outcome is errors.Outcome.NOT_RUN
    if outcome is errors.Outcome.NOT_RUN:
        assert error.status == (status or 503)


async def _end_agents(fleet):
    """End all targets of the last layers, for good, once a stream runs."""
    names = [name for name in fleet.agents if name.startswith("llm-4-")]
    stages = [fleet.agents[name].server.stages for name in names]
    while not any(stage.stages for stage in stages):
        await trio.sleep(0.001)
    await trio.sleep(0.01)
    for name in names:
        fleet.kill(fleet.agents[name])
        removal = configuration.Removal(configuration.Target.kind, name, None)
        await fleet.configure(removal)


async def test_a_broken_model_answer_is_not_answered_as_not_run(
    autojump_clock,
):
    """Guards against callers that repeat a request of which steps have run.

    All targets of a range end while the answer, which is not streamed, is
    being made.
    """
    async with (
        fakes.open_memory_fleet() as fleet,
        trio.open_nursery() as tasks,
    ):
        tasks.start_soon(_end_agents, fleet)
        body = callers.make_body("lot", 200, stream=False)
        answer = await fakes.ask(fleet, "POST", "/v1/completions", body)
    assert answer.json["error"]["code"] == "no_stage"
    _check_may_have_run(answer)
