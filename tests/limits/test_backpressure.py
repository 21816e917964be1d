"""What targets ask of gateways: limits, rest, and that they leave."""

from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.limits.backpressure import ToldLimit
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
    """Reports may not carry what answers to requests do.  Taken for the end
    of a limit, each report would let all gateways send as before.
    """
    book, _ = _make_book()
    book.take("i-1", TargetNotice(rate_limit=1.2), "a request")
    book.take("i-1", TargetNotice(), "/v1/report", ends_limit=False)
    assert book.read_limit("i-1") == 1.2
    book.take(
        "i-1", TargetNotice(rate_limit=2.0), "/v1/report", ends_limit=False
    )
    assert book.read_limit("i-1") == 2.0


def test_the_newest_word_counts_whoever_heard_it():
    """Heartbeats overtake each other: an old word that comes late must not
    bring a limit back, and a newer one must end it.
    """
    book, clock = _make_book()
    book.take("i-1", TargetNotice(rate_limit=1.2), "a request")
    clock.now += 1.0
    book.take_told("g-2", [ToldLimit("i-1", None, 0.5)])
    assert book.read_limit("i-1") is None
    book.take_told("g-3", [ToldLimit("i-1", 1.2, 0.9)])
    assert book.read_limit("i-1") is None
    book.take_told("g-3", [ToldLimit("i-1", 3.0, 0.1)])
    assert book.read_limit("i-1") == 3.0


def test_only_own_words_are_told():
    """Told on by those that were told, a word would stay new for ever."""
    book, clock = _make_book()
    book.take_told("g-2", [ToldLimit("i-1", 1.2, 0.0)])
    book.take("i-2", TargetNotice(rate_limit=2.0), "a request")
    clock.now += 1.0
    assert book.list_own() == [ToldLimit("i-2", 2.0, 1.0)]
    book.take("i-2", TargetNotice(), "a request")
    assert book.list_own() == [ToldLimit("i-2", None, 0.0)]
    clock.now += 60.0
    assert book.list_own() == []


def test_what_starts_again_has_said_nothing():
    book, _ = _make_book()
    notice = TargetNotice(rate_limit=1.2, leaving=True, rest=3.0)
    book.take("i-1@7", notice, "a request")
    assert book.read_limit("i-1@8") is None
    assert not book.is_leaving("i-1@8")
    assert book.read_rest("i-1@8") == 0.0
    book.forget({"i-1@8"})
    assert book.list_limits() == {}
    assert not book.is_leaving("i-1@7")


def test_a_rest_is_over_after_its_time():
    book, clock = _make_book()
    book.take("i-1", TargetNotice(rest=3.0), "a request")
    clock.now += 2.9
    assert 0.0 < book.read_rest("i-1") <= 0.11
    clock.now += 0.2
    assert book.read_rest("i-1") == 0.0


def test_a_rest_that_is_asked_for_is_not_cut_short():
    """Two requests are on their way to a target.  It turns the first away for
    ten seconds and the second for one, and still wants nothing for ten.
    """
    book, clock = _make_book()
    book.take("i-1", TargetNotice(rest=10.0), "a request")
    book.take("i-1", TargetNotice(rest=1.0), "a request")
    clock.now += 9.0
    assert book.read_rest("i-1") > 0.9


def test_a_new_limit_is_news_once():
    book, _ = _make_book()
    news = []
    book.listen(lambda: news.append(book.list_limits()))
    for rate in (1.2, 1.2, 2.0):
        book.take("i-1", TargetNotice(rate_limit=rate), "a request")
    assert news == [{"i-1": 1.2}, {"i-1": 2.0}]
