"""Parts of prompts that crash targets: reports, refusals, quarantines."""

import json

import trio

from magnoliacove.gateway.requests import make_part_fingerprints
from magnoliacove.limits.part_crashes import SoundPart
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.limits.runs import CrashedRun
from tests.gateway import stubs

_WHOLE = stubs.STREAM + stubs.chunk(stubs.make_events(1, 3)) + stubs.END
_BAD, _GOOD = make_part_fingerprints(["bad", "good"])


async def _ask(harness, number, prompt):
    return await stubs.ask_stream(
        harness,
        f"/stream/{number}",
        x_request_id=f"r{number}",
        x_prefix_hash=prompt,
    )


async def _report_crashes(harness, part=_BAD):
    """Report what peers observed: each end under another request."""
    for number in range(4):
        run = CrashedRun(part, number, f"i-{number}", 0.0)
        harness.attribution.record_reported_part(run, 4.0 - number)
    await trio.sleep(1.6)


async def test_prompts_with_a_part_that_crashes_engines_are_refused():
    """Guards against requests that are sent to engines since none of them was
    seen before, though all share a part that crashes engines.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-9", stubs.answer_with(_WHOLE), layers=(0, 80))
        await _report_crashes(harness)
        answer = await _ask(harness, 1, "good:40,bad:9,1:2")
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.split(b" ")[1] == b"503"
        assert b"retry-after: 5" in head.lower()
        assert json.loads(body)["error"] == "quarantined"
        # The last part is the request's own, whatever it is called.
        assert (await _ask(harness, 2, "good:40,bad:9")).endswith(stubs.END)
        assert (await _ask(harness, 3, "good:40,3:2")).endswith(stubs.END)


async def test_a_run_that_lasts_ends_the_quarantine_of_a_part():
    """Guards against a customer that is refused for a minute since a part of
    its prompts was taken for the cause, while its streams run on.
    """
    events = stubs.make_events(1, 3)

    async def stream_slowly(received, stream):
        await stream.send_all(stubs.STREAM)
        for event in (events, stubs.make_events(4, 4)):
            await stream.send_all(stubs.chunk(event))
            await trio.sleep(1.3)
        await stream.send_all(stubs.END)

    async with stubs.open_harness() as harness:
        await harness.add("i-9", stream_slowly, layers=(0, 80))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_ask, harness, 1, "bad:9,1:2")
            await trio.sleep(0.3)
            harness.state.quarantine.begin(_BAD, 4, "the test")
            await trio.sleep(1.4)
            assert harness.state.quarantine.find(_BAD) is None
            nursery.cancel_scope.cancel()


async def test_parts_that_peers_cleared_are_not_quarantined():
    async with stubs.open_harness() as harness:
        await harness.add("i-9", stubs.answer_with(_WHOLE), layers=(0, 80))
        harness.attribution.record_reported_sound([SoundPart(_GOOD, 0.5)])
        await _report_crashes(harness, _GOOD)
        assert harness.state.quarantine.list_all() == []
        assert (await _ask(harness, 1, "good:9,1:2")).endswith(stubs.END)


async def test_prompts_with_a_suspected_part_run_once():
    """Guards against requests that each crash two engines, as they are sent
    on to a second one, though others with the same part have before.
    """
    for part, runs in {"bad": 1, "good": 2}.items():
        async with stubs.open_harness() as harness:
            cut = stubs.answer_with(stubs.STREAM)
            engines = [
                await harness.add(f"i-{n}", cut, layers=(0, 80))
                for n in (8, 9)
            ]
            for number in range(2):
                run = CrashedRun(_BAD, number, f"i-{number}", 0.0)
                harness.attribution.record_reported_part(run, 0.1)
            await _ask(harness, 1, f"{part}:9,1:2")
            sent = [len(engine.callers_requests) for engine in engines]
            assert sum(sent) == runs


async def test_a_part_whose_targets_answer_nothing_is_blocked_for_all():
    """Guards against gateways that forget such a part when they are all
    killed: it is not known yet that its targets ended, so nothing is stored.
    """
    async with stubs.open_harness() as harness:
        state, saved = harness.state, []
        harness.attribution._save = saved.append
        await harness.add("i-9", stubs.answer_with(_WHOLE), layers=(0, 80))
        for number in range(4):
            run = CrashedRun(_BAD, number, f"i-{number}", 0.0)
            state.part_history.unresponsive.note(run, own=False)
        for number in range(3):
            answer = await _ask(harness, number, f"bad:9,{number}:2")
            assert answer.split(b" ")[1] == b"503"
        (quarantine,) = saved
        assert quarantine.fingerprint == _BAD
        assert quarantine.provisional
        # Its targets are back, and had ended.
        await _report_crashes(harness)
        assert [q.seconds for q in saved] == [6.0, 60.0]
        assert not state.quarantine.find(_BAD).provisional


async def test_a_part_that_lasts_here_is_not_blocked_by_a_peer():
    """Guards against a part in use that is refused everywhere: a peer that
    knows no run of it blocked it, and then no run could clear it.
    """
    async with stubs.open_harness() as harness:
        state = harness.state
        await harness.add("i-9", stubs.answer_with(_WHOLE), layers=(0, 80))
        await _ask(harness, 1, "good:9,1:2")
        now = trio.current_time()
        for fingerprint in (_GOOD, _BAD):
            reported = Quarantine(fingerprint, 1, now, 6.0, 0)
            harness.attribution.record_reported_quarantine(reported, "g-2")
        assert state.quarantine.find(_GOOD) is None
        assert state.quarantine.find(_BAD) is not None
        # Also where the peer begins it again.
        again = Quarantine(_GOOD, 3, now, 6.0, 0)
        harness.attribution.record_reported_quarantine(again, "g-2")
        assert state.quarantine.find(_GOOD) is None
        # Several crashes speak for it, not only silence.
        certain = Quarantine(_GOOD, 5, now, 60.0, 12)
        harness.attribution.record_reported_quarantine(certain, "g-2")
        assert state.quarantine.find(_GOOD) is not None


async def test_an_error_of_an_engine_does_not_clear_the_parts_of_a_prompt():
    """Guards against a part that crashes engines and counts as harmless since
    an engine that fails its requests answered one with an error.
    """
    failed = stubs.make_answer(b"no", stubs.OK.replace(b"200", b"500"))
    for answer, left in ((failed, 1), (_WHOLE, 0)):
        async with stubs.open_harness() as harness:
            await harness.add("i-9", stubs.answer_with(answer), layers=(0, 80))
            run = CrashedRun(_BAD, 1, "i-1", 0.0)
            harness.attribution.record_reported_part(run, 5.0)
            answered = await stubs.ask_stream(
                harness, "/once/1", x_prefix_hash="bad:9,1:2"
            )
            assert answered.split(b" ")[1] == answer.split(b" ")[1]
            crashes = harness.state.part_history.list_crashes(_BAD)
            assert len(crashes) == left
