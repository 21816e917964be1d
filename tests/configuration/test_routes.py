"""Route tables: whether the streams of a service differ in urgency."""

import pytest

from magnoliacove.configuration import routes


def _route(priority, streaming=True, public=False, service="llm"):
    return routes.Route(
        name=f"r{priority}",
        host="example",
        path_prefix=f"/{priority}/",
        idempotent=True,
        streaming=streaming,
        resumable=True,
        timeout=20.0,
        latency_objective=0.5,
        gap_objective=0.3,
        priority=priority,
        max_attempts=2,
        public=public,
        shares=(routes.ServiceShare(service, 1.0),),
    )


def _account(priority):
    return routes.Account("lannoy", priority)


@pytest.mark.parametrize(
    ("made", "accounts", "differs"),
    [
        ([_route(1)], None, False),
        ([_route(1), _route(2)], None, True),
        ([_route(1), _route(2, streaming=False)], None, False),
        ([_route(1), _route(2, service="desk")], None, False),
        ([_route(1)], {"k1": _account(None)}, False),
        ([_route(1)], {"k1": _account(None), "k2": _account(3)}, True),
        ([_route(1), _route(2)], {"k1": _account(3)}, False),
        ([_route(1, public=True)], {"k1": _account(3)}, True),
    ],
)
def test_streams_of_a_service_differ_in_urgency(made, accounts, differs):
    table = routes.RouteTable(
        1, tuple(made), {}, routes.CallerLimits(), accounts
    )
    assert table.differs_in_urgency("llm") is differs
