"""What waits at other gateways, by their last reports and their age."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from magnoliacove.limits import reported_waiting
from magnoliacove.limits.reported_waiting import REPORT_LIFETIME
from magnoliacove.limits.reported_waiting import ReportedWaiting
from magnoliacove.limits.waiting import WaitingSummary

_ROWS = st.dictionaries(
    st.tuples(st.sampled_from(["llm", "desk"]), st.integers(0, 3)),
    st.integers(1, 300),
)
_REPORTS = st.tuples(
    st.sampled_from(["g-1", "g-2", "g-3"]),
    st.none() | _ROWS,
    st.floats(0.0, 1.0),
)


def _summarize(rows):
    return tuple(
        WaitingSummary(service, priority, requests, 0.0, 0.0)
        for (service, priority), requests in rows.items()
    )


@given(st.lists(_REPORTS, max_size=30))
def test_sums_are_those_of_the_last_report_of_each_gateway(reports):
    """Reports are lost, repeated, old and withdrawn in any order.  A sum that
    drifted would have all gateways leave capacity to nobody.
    """
    book, last, now = ReportedWaiting(), {}, 1e5
    for gateway, rows, pause in reports:
        now += pause
        if rows is None:
            last.pop(gateway, None)
            book.forget_peers([gateway])
        else:
            last[gateway] = (rows, now)
            rates = {service: 2.5 for service, _ in rows}
            book.take_others(gateway, _summarize(rows), rates, now)
        fresh = [
            (rows, 1.0 - (now - at) / REPORT_LIFETIME)
            for rows, at in last.values()
            if now - at < REPORT_LIFETIME
        ]
        for priority in range(4):
            expected = sum(
                rows.get(("llm", other), 0) * trust
                for rows, trust in fresh
                for other in range(priority + 1)
            )
            found = book.read("llm", priority, now)
            requests = found.requests if found else 0.0
            assert requests == pytest.approx(expected, abs=1.0)


def test_a_report_does_not_read_those_of_other_gateways(monkeypatch):
    """In a fleet of 330 gateways, adding up all reports for each heartbeat
    would take the processor time that callers wait for.
    """
    reads = []
    read = reported_waiting.ReportedWaiting._add

    def note(self, report, sign):
        reads.append(report)
        read(self, report, sign)

    monkeypatch.setattr(reported_waiting.ReportedWaiting, "_add", note)
    for gateways in (4, 32, 68, 330):
        book = ReportedWaiting()
        for _ in range(2):
            for number in range(gateways):
                rows = _summarize({("llm", 0): 3})
                book.take_others(f"g-{number}", rows, {}, 1.0)
        reads.clear()
        book.take_others("g-0", _summarize({("llm", 0): 5}), {}, 1.1)
        assert len(reads) == 2
        found = book.read("llm", 0, 1.1)
        assert found.requests == pytest.approx(3 * gateways + 2, rel=0.06)


def test_an_old_report_counts_for_nothing():
    """A gateway is killed, or hangs, while its queue is long."""
    book = ReportedWaiting()
    rows = _summarize({("llm", 0): 200})
    book.take_others("g-1", rows, {"llm": 4.0}, 10.0)
    assert book.read("llm", 0, 10.0).expected_wait == 50.0
    assert book.count_requests(10.0) == {0: 200}
    halfway = book.read("llm", 0, 10.0 + REPORT_LIFETIME / 2)
    assert halfway.requests == pytest.approx(100.0, rel=0.01)
    assert book.read("llm", 0, 10.0 + REPORT_LIFETIME) is None
    assert book.count_requests(10.0 + REPORT_LIFETIME) == {0: 0}
