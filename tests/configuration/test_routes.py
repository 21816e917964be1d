"""Routes and accounts of one version of the configuration."""

import pytest

from magnoliacove.configuration import routes


def _make_route(name, priority, service="llm"):
    return routes.Route(
        name=name,
        host="a.example",
        path_prefix=f"/{name}/",
        idempotent=False,
        streaming=True,
        resumable=True,
        timeout=20.0,
        latency_objective=0.5,
        gap_objective=0.3,
        priority=priority,
        max_attempts=2,
        public=True,
        shares=(routes.ServiceShare(service, 1.0),),
    )


@pytest.mark.parametrize(
    ("priorities", "accounts", "expected"),
    [((2, 2), (), False), ((0, 2), (), True), ((2,), (None,), False)]
    + [((2,), (0,), True), ((2,), (2,), False), ((), (), False)],
)
def test_urgencies_of_a_service_come_from_routes_and_accounts(
    priorities, accounts, expected
):
    """Less urgent requests leave capacity to others only on such a service."""
    table = routes.RouteTable(
        1,
        (
            *(_make_route(f"r{n}", p) for n, p in enumerate(priorities)),
            _make_route("other", 5, "desk"),
        ),
        {},
        routes.CallerLimits(),
        {f"key-{n}": routes.Account("a", p) for n, p in enumerate(accounts)},
    )
    assert table.differs_in_urgency("llm") is expected
