"""Pipelines run services in order, for accounts that may use them all."""

import trio

from magnoliacove import configuration
from magnoliacove.standins import fleet as fleets
from tests import fakes


async def make_pipeline(fleet, *allowed):
    key_hash = configuration.hash_key(fleets.API_KEY)
    await fleet.configure(
        configuration.Put(
            configuration.Pipeline("describe", (fleets.MODEL, fleets.PLAIN))
        ),
        configuration.Put(
            configuration.ClientAccount(
                "lannoy", (key_hash,), services=allowed
            )
        ),
    )
    await trio.sleep(1)


async def test_each_answer_goes_to_the_next_service(autojump_clock):
    async with fakes.open_memory_fleet() as fleet:
        await make_pipeline(fleet)
        answer = await fakes.ask(fleet, "POST", "/pipelines/describe", b"lot")
    assert answer.status == 200
    assert answer.json["body"] == fakes.compute_expected_text("lot", 256)


async def test_pipeline_gives_no_access_to_a_service(autojump_clock):
    """An account may use only one of the pipeline's two services.

    If only direct requests were checked, the second step would run with the
    operator's rights.  No step may run, not even the first.
    """
    async with fakes.open_memory_fleet() as fleet:
        await make_pipeline(fleet, fleets.MODEL)
        answer = await fakes.ask(fleet, "POST", "/pipelines/describe", b"lot")
        steps = [e.steps_run for e in fleet.engines.values() if e.steps_run]
    assert answer.status == 404
    assert answer.json["error"]["outcome"] == "not_run"
    assert not steps
