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
