"""Requests that crash targets: detection, reports and quarantine."""

import dataclasses
import types

import trio

from magnoliacove.limits.runs import CrashedRun
from tests.gateway import stubs

_HEADERS = {"x_token_usage": "100,20", "x_deadline_ms": "20000"}
_WHOLE = stubs.STREAM + stubs.chunk(stubs.make_events(1, 3)) + stubs.END


class _CrashingTargets:
    """Targets of one harness that end when they run certain requests.

    A target that ended accepts no connections.
    """

    def __init__(self, harness):
        self.ended = []
        self._harness = harness

    async def add(self, name, **changes):
        """Start a target that ends when it runs a request for /bad."""
        stub = stubs.StubTarget(None)
        scope = trio.CancelScope()

        async def script(received, stream):
            if not received.target.endswith("/bad"):
                streams = changes.get("layers") is not None
                whole = _WHOLE if streams else stubs.make_answer(b"ok")
                await stream.send_all(whole)
                return
            if changes.get("layers") is not None:
                await stream.send_all(stubs.STREAM)
            self.ended.append(name)
            scope.cancel()

        async def live(task_status):
            with scope:
                await stub.listen(task_status)

        stub.script = script
        await self._harness.nursery.start(live)
        added = await self._harness.add(name, stubs.stay_silent, **changes)
        target = self._harness.state.targets.find(name)
        listed = dataclasses.replace(
            target, address=stub.address, revision=target.revision + 1
        )
        self._harness.state.targets.apply(listed)
        return added


async def _ask(harness, path, number):
    return await harness.ask(
        path,
        method="POST" if "stream" in path else "GET",
        x_request_id=f"r{number}",
        **_HEADERS,
    )


async def _wait_settled():
    await trio.sleep(0.6)


async def test_a_stream_that_crashes_engines_is_refused_and_others_are_not():
    """A stream crashes its first engine, is retried at the next one and
    crashes that too.  Its caller retries.  After the third engine it must be
    refused at once, as not run and with `Retry-After`, while other streams
    of the same caller are served.
    """
    async with stubs.open_harness() as harness:
        crashing = _CrashingTargets(harness)
        for number in range(5):
            await crashing.add(f"i-{number}", layers=(0, 80))
        for number in range(2):
            answer = await _ask(harness, "/stream/bad", number)
            assert answer.split(b" ")[1] == b"502"
            await _wait_settled()
            for name in crashing.ended:
                harness.state.targets.remove(name, 2)
        assert len(crashing.ended) == 3
        answer = await _ask(harness, "/stream/bad", 9)
        assert answer.split(b" ")[1] == b"503"
        assert b"retry-after: 5" in answer.lower()
        assert len(crashing.ended) == 3
        assert (await _ask(harness, "/stream/good", 10)).endswith(stubs.END)
        kinds = harness.list_kinds()
        assert kinds.count("target-ended") == 3
        assert kinds.count("quarantine-begun") == 1


async def test_an_engine_inside_the_path_counts_alike():
    """A request crashes the second engine of its path.  The first one is
    alive and waits for it, so no connection breaks.  The stream stalls, and
    the probe of the second engine finds that it ended.
    """

    async def wait(received, stream):
        if received.target == "/v1/report":
            await stream.send_all(stubs.make_answer(b"{}"))
            return
        await stream.send_all(stubs.STREAM)
        await trio.sleep_forever()

    async with stubs.open_harness() as harness:
        await harness.add("i-0", wait, layers=(0, 40))
        for number in range(3):
            name = f"i-1{number}"
            second = await harness.add(name, wait, layers=(40, 80))
            target = harness.state.targets.find(name)
            closed_port = dataclasses.replace(second.address, port=1)
            unreachable = dataclasses.replace(
                target, address=closed_port, revision=2
            )
            harness.state.targets.apply(unreachable)
            await _ask(harness, "/stream/bad", number)
            harness.state.targets.remove(name, 3)
        await _wait_settled()
        ended = [
            event.target
            for event in harness.recorder.list_events()
            if event.kind == "target-ended"
        ]
        assert ended == ["i-10", "i-11", "i-12"]
        answer = await _ask(harness, "/stream/bad", 9)
        assert answer.split(b" ")[1] == b"503"
        assert b"quarantined" in answer


async def test_all_that_ran_at_a_failed_engine_is_counted():
    """An engine inside the paths of three streams ends.  The first stream to
    be rerouted starts the probe and the others are reported before its
    result.  If only the first counted, the one that crashed the engine would
    be missed.
    """

    async def wait(received, stream):
        await trio.sleep_forever()

    async with stubs.open_harness() as harness:
        stub = await harness.add("i-1", wait, layers=(40, 80))
        target = harness.state.targets.find("i-1")
        closed_port = dataclasses.replace(stub.address, port=1)
        harness.state.targets.apply(
            dataclasses.replace(target, address=closed_port, revision=2)
        )
        for number in range(3):
            routed = types.SimpleNamespace(
                fingerprint=f"{number:016x}",
                parts=(),
                caller_headers=types.SimpleNamespace(request=f"r{number}"),
            )
            harness.crash_watch.check_failed_engines(["i-1"], routed, 0.1)
        await trio.sleep(0.2)
        crashes = harness.state.crash_history
        assert [crashes.has_recent_crash(f"{n:016x}") for n in range(3)] == [
            True
        ] * 3


async def test_a_call_that_crashes_targets_is_refused():
    """A call crashes targets of a plain service, which report no incarnation,
    so only their refused connections show that they ended.
    """
    async with stubs.open_harness() as harness:
        crashing = _CrashingTargets(harness)
        for number in range(6):
            await crashing.add(f"i-{number}")
        for number in range(3):
            await _ask(harness, "/get/bad", number)
            await _wait_settled()
        answer = await _ask(harness, "/get/bad", 9)
        assert answer.split(b" ")[1] == b"503"
        assert len(crashing.ended) <= 4
        assert (await _ask(harness, "/get/good", 10)).endswith(b"ok")


async def test_a_broken_connection_does_not_count_as_a_crash():
    """The connections of one request break each time while the engines stay
    alive, as with a network fault.  The request must not be quarantined.
    """
    async with stubs.open_harness() as harness:
        for number in range(4):
            await harness.add(f"i-{number}", stubs.reset, layers=(0, 80))
        for number in range(4):
            answer = await _ask(harness, "/stream/bad", number)
            assert answer.split(b" ")[1] == b"502"
            await _wait_settled()
        assert "quarantine-begun" not in harness.list_kinds()
        assert "target-ended" not in harness.list_kinds()


async def test_an_unresponsive_engine_is_identified_by_its_next_incarnation():
    """An engine ends while it runs a request, and its instance resets all
    connections past the first, closely spaced probes.  Then it restarts and
    reports a new incarnation, so the crash is attributed three seconds late.
    """
    incarnation = [1]

    async def respond(received, stream):
        if received.target == "/v1/report" and incarnation[0] > 1:
            report = b'{"born": %d}' % incarnation[0]
            await stream.send_all(stubs.make_answer(report))
            return
        await stubs.reset(received, stream)

    async with stubs.open_harness() as harness:
        await harness.add("i-1", respond, layers=(0, 80))
        target = harness.state.targets.find("i-1")
        harness.state.targets.remove("i-1", 2)
        harness.state.targets.apply(
            dataclasses.replace(
                target, name="i-1@1", incarnation=1, revision=3
            )
        )
        await _ask(harness, "/stream/bad", 1)
        await trio.sleep(2.4)
        assert "target-ended" not in harness.list_kinds()
        incarnation[0] = 2
        await trio.sleep(0.8)
        assert "target-ended" in harness.list_kinds()


async def test_the_end_of_a_draining_target_does_not_count_as_a_crash():
    async with stubs.open_harness() as harness:
        crashing = _CrashingTargets(harness)
        for number in range(4):
            await crashing.add(f"i-{number}", layers=(0, 80))
        for number in range(4):
            harness.state.health.suspect(f"i-{number}", "it leaves")
        target = harness.state.targets.find("i-0")
        leaving = dataclasses.replace(target, draining=True)
        assert await harness.crash_watch._has_ended(leaving) is False


async def test_an_expired_quarantine_does_not_begin_again_by_itself():
    """A quarantine expired without a further request.  When another target
    ends, the old crashes of the request must not be counted a second time.
    """
    async with stubs.open_harness() as harness:
        for number in range(3):
            run = CrashedRun("00000000000000ab", number, f"i-{number}", 0.1)
            harness.attribution.record_reported_crash(run, 0.0)
        await trio.sleep(1.6)
        book = harness.state.quarantine
        assert book.find("00000000000000ab") is not None
        book._quarantines.clear()
        other = CrashedRun("00000000000000ac", 9, "i-9", 0.1)
        harness.attribution.record_reported_crash(other, 0.0)
        await trio.sleep(1.6)
        assert book.find("00000000000000ab") is None


async def test_crashes_observed_by_other_gateways_count():
    """Each gateway observed one crash.  The request must be refused at every
    gateway, and an answer at any gateway ends the quarantine for all.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-9", stubs.answer_with(_WHOLE), layers=(0, 80))
        answer = await _ask(harness, "/stream/bad", 1)
        assert answer.endswith(stubs.END)
        fingerprints = [
            event.detail["fingerprint"]
            for event in harness.recorder.list_events()
            if event.kind == "request-arrived"
        ]
        harness.state.crash_history._answered.clear()
        for number in range(3):
            run = CrashedRun(fingerprints[0], number, f"i-{number}", 0.1)
            harness.attribution.record_reported_crash(run, 0.0)
        await trio.sleep(1.6)
        answer = await _ask(harness, "/stream/bad", 2)
        assert answer.split(b" ")[1] == b"503"
        harness.attribution.note_answered(fingerprints[0])
        assert (await _ask(harness, "/stream/bad", 3)).endswith(stubs.END)
