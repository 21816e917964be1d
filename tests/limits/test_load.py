"""The sums of the loads that other gateways report."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliacove.limits.load import LoadBook
from magnoliacove.limits.load import TargetLoad

_LOADS = st.dictionaries(
    st.sampled_from(["i-1", "i-2", "i-3"]),
    st.builds(
        TargetLoad, st.integers(0, 40), st.integers(0, 10**7).map(float)
    ),
)
_REPORTS = st.tuples(
    st.sampled_from(["e-1", "e-2", "e-3", "e-4"]),
    st.none() | st.tuples(_LOADS, st.integers(0, 5)),
)


@given(st.lists(_REPORTS, max_size=40))
def test_sums_are_those_of_the_last_report_of_each_gateway(reports):
    """Gateways report in any order, repeat reports, leave and return.

    A heartbeat may be lost, be duplicated or belong to a restarted gateway.
    After each one the sums equal those of all last reports; a sum that
    drifted would keep callers off idle engines permanently.
    """
    book, last = LoadBook(), {}
    for gateway, report in reports:
        if report is None:
            last.pop(gateway, None)
            book.forget_peers([gateway])
        else:
            last[gateway] = report
            book.take_others(gateway, *report)
        for target in ("i-1", "i-2", "i-3"):
            reported = [
                loads.get(target, TargetLoad()) for loads, _ in last.values()
            ]
            assert book.read_others(target) == TargetLoad(
                sum(load.requests for load in reported),
                sum(load.token_layers for load in reported),
            )
        assert book.all_crossings == sum(count for _, count in last.values())


class _CountedLoads(dict):
    """A dictionary that counts how often all items are read."""

    reads = 0

    def items(self):
        self.reads += 1
        return super().items()


def test_a_report_does_not_read_the_reports_of_other_gateways():
    """Callers of a small instance wait while it adds up the others' loads.

    With 68 gateways each receives 83 heartbeats per second.  Reading all other
    reports for each of them took two thirds of a core and delayed callers'
    requests.
    """
    book = LoadBook()
    others = [_CountedLoads({"i-1": TargetLoad(1, 100.0)}) for _ in range(67)]
    for number, loads in enumerate(others):
        book.take_others(f"e-{number}", loads, 0)
    before = [loads.reads for loads in others]
    book.take_others("e-new", {"i-1": TargetLoad(2, 50.0)}, 0)
    assert [loads.reads for loads in others] == before
    assert book.read_others("i-1").requests == 69


def test_begun_crossings_are_those_that_reports_grew_by():
    """A gateway that is heard anew reports hops that it began long ago."""
    book = LoadBook()
    book.take_others("e-1", {}, 40)
    assert book.begun_crossings == 0
    for crossings in (43, 41, 42):
        book.take_others("e-1", {}, crossings)
    assert book.begun_crossings == 4
    book.forget_peers(["e-1"])
    book.take_others("e-1", {}, 42)
    assert book.begun_crossings == 4
