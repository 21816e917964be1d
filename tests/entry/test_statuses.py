"""Statuses that mean "not run" are sent only for requests that did not run.

Callers take 408, 421, 429 and 503 that way and send the request again.
"""

import pytest
import trio

from magnoliacove import configuration
from magnoliacove import errors
from magnoliacove.standins import callers
from tests import fakes
from tests.entry.test_pipelines import make_pipeline

_BIDS = "/services/bid-desk/bids"
_LOTS = "/services/bid-desk/lots"
_FAILURES = sorted(map(int, errors.NOT_RUN_STATUSES))

_each_status = pytest.mark.parametrize("status", _FAILURES)


def _check_may_have_run(answer):
    assert answer.status == 502
    assert answer.headers["x-outcome"] == "may_have_run"
    assert answer.json["error"]["outcome"] == "may_have_run"


def _fail_runs(fleet, status):
    for service in fleet.plains.values():
        service.faults.status = status


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
    """End and remove all targets of the last layers once a stream runs."""
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


@_each_status
async def test_a_failed_run_is_not_answered_as_not_run(status, autojump_clock):
    """Guards against callers that send a bid again that has run."""
    async with fakes.open_memory_fleet() as fleet:
        _fail_runs(fleet, status)
        answer = await fakes.ask(fleet, "POST", _BIDS, b"bid")
        assert fakes.count_runs(fleet) == 1
    _check_may_have_run(answer)


@_each_status
async def test_a_replayed_failure_is_not_answered_as_not_run(
    status, autojump_clock
):
    """Guards against a key whose callers take a new one after a failed run."""
    async with fakes.open_memory_fleet(entries=2) as fleet:
        _fail_runs(fleet, status)
        key = {"idempotency-key": "k1"}
        for entry in ("entry-0", "entry-1"):
            answer = await fakes.ask(
                fleet, "POST", _BIDS, b"bid", key, entry=entry
            )
            _check_may_have_run(answer)
        assert fakes.count_runs(fleet) == 1


@pytest.mark.parametrize("status", [*_FAILURES, 404, 500])
async def test_an_idempotent_calls_failure_is_forwarded(
    status, autojump_clock
):
    """Guards against hiding what a service says to a call that may repeat."""
    async with fakes.open_memory_fleet() as fleet:
        _fail_runs(fleet, status)
        answer = await fakes.ask(fleet, "GET", _LOTS)
    assert answer.status == status
    assert answer.json["path"] == "/lots"


async def test_a_refusal_after_a_failed_run_is_not_answered_as_not_run(
    autojump_clock,
):
    """Guards against a refusal that stands for the run that came before it.

    The only target runs a call, its answer is lost, and the target refuses
    the next attempt.
    """
    async with fakes.open_memory_fleet(replicas=1) as fleet:
        [service] = fleet.plains.values()
        service.faults.lost_answers = 1
        calls = fleet.agents[service.name].server.calls

        async def leave():
            while not service.runs:
                await trio.sleep(0.001)
            calls._max_calls = 0

        async with trio.open_nursery() as tasks:
            tasks.start_soon(leave)
            answer = await fakes.ask(fleet, "GET", _LOTS)
        assert fakes.count_runs(fleet) == 1
    _check_may_have_run(answer)


async def test_a_pipeline_that_has_begun_is_not_answered_as_not_run(
    autojump_clock,
):
    """Guards against callers that repeat steps that have run.

    The first step has run when no target serves the second one.
    """
    async with fakes.open_memory_fleet() as fleet:
        await make_pipeline(fleet)
        for name in fleet.list_plain():
            fleet.kill(fleet.agents[name])
        await trio.sleep(1)
        answer = await fakes.ask(fleet, "POST", "/pipelines/describe", b"lot")
        assert any(engine.steps_run for engine in fleet.engines.values())
    assert answer.json["error"]["code"] == "no_target"
    _check_may_have_run(answer)


async def test_a_pipeline_that_has_not_begun_is_answered_as_not_run(
    autojump_clock,
):
    """Guards against callers that give up what they may send again."""
    async with fakes.open_memory_fleet() as fleet:
        await make_pipeline(fleet)
        for name in fleet.agents:
            fleet.kill(fleet.agents[name])
        await trio.sleep(1)
        answer = await fakes.ask(fleet, "POST", "/pipelines/describe", b"lot")
    assert answer.status == 503
    assert answer.headers["x-outcome"] == "not_run"
    assert "retry-after" in answer.headers
