"""Path reservations of streams, and the search for another path."""

from tests.gateway import stubs


async def test_search_for_another_path_ignores_requests_ahead():
    """Delivery of events stalls while a gateway checks silent streams.

    For each silent stream it searches for another path 20 times a second.
    Placing unreported requests of other gateways first costs up to eight more
    searches and cannot change the result.
    """
    async with stubs.open_harness() as harness:
        for name in ("i-1", "i-2"):
            await harness.add(name, stubs.stay_silent, layers=(0, 80))
        reservation = stubs.make_reservation(harness.state)
        sampled = []
        original = harness.state.candidates.sample_ahead
        harness.state.candidates.sample_ahead = lambda service: (
            sampled.append(service) or original(service)
        )
        assert reservation.reserve() is not None
        assert sampled == ["llm"]
        assert reservation.has_other_path()
        assert sampled == ["llm"]
        reservation.release_path()
        assert not harness.state.loads.list_own()


async def test_waiting_request_tells_what_stands_against_a_path():
    """Requests wait for an engine that refused one a moment ago.

    Operators would add engines for want of memory, of which there is enough.
    """
    async with stubs.open_harness() as harness:
        await harness.add("i-1", stubs.stay_silent, layers=(0, 80))
        reservation = stubs.make_reservation(harness.state)
        harness.state.candidates.pause_engine("i-1")
        assert reservation.reserve() is None
        assert reservation.reserve() is None
        await harness.add("i-2", stubs.stay_silent, layers=(0, 40))
        other = stubs.make_reservation(harness.state)
        assert other.reserve() is None
    first, second = (
        event
        for event in harness.recorder.list_events()
        if event.kind == "request-waiting"
    )
    assert first.why == "no path has room: engines paused after a refusal"
    assert second.why == first.why
    assert list(second.detail["room"].values()) == ["40: 0"]
