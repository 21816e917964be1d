"""Route tables: the urgency of requests, by client account and route."""

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
    return routes.Account("acme", priority)


@pytest.mark.parametrize(
    ("made", "accounts", "differs"),
    [
        ([], None, False),
        ([_route(1)], None, False),
        ([_route(2), _route(2)], None, False),
        ([_route(1), _route(2)], None, True),
        ([_route(1), _route(2, streaming=False)], None, False),
        ([_route(1), _route(2, service="desk")], None, False),
        ([_route(1)], {"k1": _account(None)}, False),
        ([_route(1)], {"k1": _account(None), "k2": _account(3)}, True),
        ([_route(1), _route(2)], {"k1": _account(3)}, True),
        ([_route(1), _route(1)], {"k1": _account(3)}, False),
        ([_route(1, public=True)], {"k1": _account(3)}, True),
    ],
)
def test_streams_of_a_service_differ_in_urgency(made, accounts, differs):
    table = routes.RouteTable(
        1, tuple(made), {}, routes.CallerLimits(), accounts
    )
    assert table.differs_in_urgency("llm") is differs


def test_routes_decide_among_accounts_of_equal_priority():
    """All accounts had the same priority, which replaced that of each route:
    urgent and patient requests waited in the order in which they came.
    """
    urgent, patient = _route(0), _route(2)
    equal, first = _account(1), _account(0)
    table = routes.RouteTable(
        1,
        (patient, urgent),
        {},
        routes.CallerLimits(),
        {"k1": equal, "k2": first},
    )
    ranks = [
        table.rank_urgency("llm", route, account)
        for account in (first, equal)
        for route in (urgent, patient)
    ]
    assert ranks == [0, 1, 2, 3]


@pytest.mark.parametrize("accounts", [None, {"k1": _account(None)}])
def test_routes_decide_without_priorities_of_accounts(accounts):
    urgent, patient = _route(0), _route(2)
    table = routes.RouteTable(
        1, (urgent, patient), {}, routes.CallerLimits(), accounts
    )
    account = accounts["k1"] if accounts else None
    assert table.rank_urgency("llm", urgent, account) == 0
    assert table.rank_urgency("llm", patient, account) == 1
