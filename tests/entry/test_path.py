"""End-to-end requests through real entries and agents, with test engines."""

import json

import openai
import trio

from magnoliacove.standins import fleet as fleets
from tests import fakes


async def test_answer_crosses_two_instances():
    async with fleets.open_fleet() as fleet:
        caller = fleets.Caller(fleet.entries["entry-0"].server.callers_url)
        text = await caller.complete("lot 1", 12)
        used = {name for name, e in fleet.engines.items() if e.steps_run}
    assert text == fakes.compute_expected_text("lot 1", 12)
    assert len(used) == 2


async def _stream_with_kill(first_layer):
    async with fleets.open_fleet(cuts=(0, 3, 5, 8)) as fleet:
        caller = fleets.Caller(fleet.entries["entry-0"].server.callers_url)
        text, count = "", 0
        async for token in caller.stream("lot 2", 20):
            text += token
            count += 1
            if count == 7:
                lost = fakes.find_stage_target(fleet, first_layer)
                fleet.kill(fleet.agents[lost])
        survivors = {
            name: [run[1] for run in model.steps_run]
            for name, model in fleet.engines.items()
            if model.steps_run and name != lost
        }
    return text, survivors


async def test_killed_stage_leaves_no_gap():
    """The caller receives a complete answer when a stage is killed.

    The agent of the first, middle or last stage is killed after seven
    tokens.  The entry opens a replacement in attempt 2 and sends it the
    lost steps again; the surviving stages must run no step twice.
    """
    for first_layer in (0, 3, 5):
        text, survivors = await _stream_with_kill(first_layer)
        assert text == fakes.compute_expected_text("lot 2", 20)
        for steps in survivors.values():
            assert steps == sorted(set(steps))


async def test_standard_openai_client():
    async with fleets.open_fleet() as fleet:
        url = fleet.entries["entry-0"].server.callers_url + "/v1"

        def call():
            client = openai.OpenAI(
                base_url=url, api_key=fleets.API_KEY, max_retries=0
            )
            messages = [{"role": "user", "content": "lot 3"}]
            whole = client.chat.completions.create(
                model="catalog-llm", messages=messages, max_tokens=5
            )
            parts = client.chat.completions.create(
                model="catalog-llm",
                messages=messages,
                max_tokens=5,
                stream=True,
                stream_options={"include_usage": True},
            )
            streamed, usage = "", None
            for part in parts:
                usage = part.usage or usage
                if part.choices:
                    streamed += part.choices[0].delta.content or ""
            try:
                client.chat.completions.create(model="no", messages=messages)
            except openai.NotFoundError as exc:
                code = exc.code
            bad = openai.OpenAI(base_url=url, api_key="no", max_retries=0)
            try:
                bad.models.list()
            except openai.AuthenticationError as exc:
                return whole, streamed, usage, code, exc.code

        whole, streamed, usage, code, denied = await trio.to_thread.run_sync(
            call
        )
    assert whole.choices[0].message.content == fakes.compute_expected_text(
        "user: lot 3", 5
    )
    assert whole.choices[0].finish_reason == "length"
    assert streamed == fakes.compute_expected_text("user: lot 3", 5)
    assert usage.completion_tokens == 5
    assert (code, denied) == ("model_not_found", "invalid_api_key")


async def test_plain_service_request_is_forwarded():
    async with fleets.open_fleet() as fleet:
        caller = fleets.Caller(fleet.entries["entry-0"].server.callers_url)
        answer = await caller.request("GET", "/services/bid-desk/lots/7?a=b")
    body = json.loads(answer.content)
    assert answer.status == 200
    assert (body["method"], body["path"]) == ("GET", "/lots/7")
