"""The path that a stream holds, and whether it has another one."""

from magnoliacove.gateway.holds import PathHold
from magnoliacove.gateway.requests import RoutedRequest
from magnoliacove.platform import headers
from tests.gateway import stubs


def _make_hold(state):
    table = state.routes
    return PathHold(
        state,
        RoutedRequest(
            request=None,
            marks=headers.read_caller([(b"x-token-usage", b"100,20")]),
            route=table.find_route("x", "/stream/1"),
            service=table.services["llm"],
            account="",
            priority=1,
            deadline=20.0,
            version=1,
            fingerprint="f1",
        ),
    )


async def test_looking_for_another_path_reckons_with_nobody():
    """Callers' events stall while a gateway looks after silent streams.

    For each of them it asks 20 times a second whether there is another path.
    Placing what others send unheard first costs up to eight searches more,
    and cannot change the answer.
    """
    async with stubs.open_stage() as stage:
        for name in ("i-1", "i-2"):
            await stage.add(name, stubs.stay_silent, layers=(0, 80))
        hold = _make_hold(stage.state)
        drawn = []
        draw = stage.state.candidates.sample_ahead
        stage.state.candidates.sample_ahead = lambda service: (
            drawn.append(service) or draw(service)
        )
        assert hold.reserve() is not None
        assert drawn == ["llm"]
        assert hold.has_other_path()
        assert drawn == ["llm"]
        hold.leave()
        assert not stage.state.loads.list_own()
