"""Backpressure of targets: rate limits, back-off and leaving."""

from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.backpressure import ReportedLimit
from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.timeline import Recorder


class _Clock:
    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


def _make_book():
    clock = _Clock()
    return BackpressureBook(Recorder("g"), clock.read), clock


def test_a_limit_ends_with_an_answer_that_does_not_name_it():
    book, _ = _make_book()
    book.take("i-1", TargetNotice(rate_limit=1.2), "a request")
    assert book.list_limits() == {"i-1": 1.2}
    book.take("i-1", TargetNotice(), "a request")
    assert book.list_limits() == {}


def test_a_report_that_names_no_limit_does_not_end_one():
    """Reports may lack the limit that answers to requests carry.  If they
    ended the limit, each report would lift it for all gateways.
    """
    book, _ = _make_book()
    book.take("i-1", TargetNotice(rate_limit=1.2), "a request")
    book.take("i-1", TargetNotice(), "/v1/report", ends_limit=False)
    assert book.read_limit("i-1") == 1.2
    book.take(
        "i-1", TargetNotice(rate_limit=2.0), "/v1/report", ends_limit=False
    )
    assert book.read_limit("i-1") == 2.0


def test_the_newest_limit_applies_whichever_gateway_received_it():
    """Heartbeats can arrive out of order: a late, older report must not
    restore a limit, and a newer one must end it.
    """
    book, clock = _make_book()
    book.take("i-1", TargetNotice(rate_limit=1.2), "a request")
    clock.now += 1.0
    book.take_reported("g-2", [ReportedLimit("i-1", None, 0.5)])
    assert book.read_limit("i-1") is None
    book.take_reported("g-3", [ReportedLimit("i-1", 1.2, 0.9)])
    assert book.read_limit("i-1") is None
    book.take_reported("g-3", [ReportedLimit("i-1", 3.0, 0.1)])
    assert book.read_limit("i-1") == 3.0


def test_only_limits_received_from_targets_are_reported():
    """If gateways forwarded the reports of others, a limit would never
    expire.
    """
    book, clock = _make_book()
    book.take_reported("g-2", [ReportedLimit("i-1", 1.2, 0.0)])
    book.take("i-2", TargetNotice(rate_limit=2.0), "a request")
    clock.now += 1.0
    assert book.list_own() == [ReportedLimit("i-2", 2.0, 1.0)]
    book.take("i-2", TargetNotice(), "a request")
    assert book.list_own() == [ReportedLimit("i-2", None, 0.0)]
    clock.now += 60.0
    assert book.list_own() == []


def test_a_restarted_target_has_no_backpressure():
    book, _ = _make_book()
    notice = TargetNotice(rate_limit=1.2, leaving=True, backoff=3.0)
    book.take("i-1@7", notice, "a request")
    assert book.read_limit("i-1@8") is None
    assert not book.is_leaving("i-1@8")
    assert book.read_backoff("i-1@8") == 0.0
    book.discard_unlisted({"i-1@8"})
    assert book.list_limits() == {}
    assert not book.is_leaving("i-1@7")


def test_a_backoff_ends_after_its_time():
    book, clock = _make_book()
    book.take("i-1", TargetNotice(backoff=3.0), "a request")
    clock.now += 2.9
    assert 0.0 < book.read_backoff("i-1") <= 0.11
    clock.now += 0.2
    assert book.read_backoff("i-1") == 0.0


def test_a_later_answer_does_not_shorten_a_backoff():
    """Two requests are in flight.  The target answers the first with a
    back-off of ten seconds and the second with one second; ten still apply.
    """
    book, clock = _make_book()
    book.take("i-1", TargetNotice(backoff=10.0), "a request")
    book.take("i-1", TargetNotice(backoff=1.0), "a request")
    clock.now += 9.0
    assert book.read_backoff("i-1") > 0.9


def test_listeners_are_called_once_for_each_change():
    book, _ = _make_book()
    changes = []
    book.listen(lambda: changes.append(book.list_limits()))
    for rate in (1.2, 1.2, 2.0):
        book.take("i-1", TargetNotice(rate_limit=rate), "a request")
    assert changes == [{"i-1": 1.2}, {"i-1": 2.0}]
