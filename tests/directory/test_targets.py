"""What is believed of targets: listed, missing, suspected, holding."""

from magnoliacove import timeline
from magnoliacove.directory.health import Health
from magnoliacove.directory.holdings import Holding
from magnoliacove.directory.holdings import Holdings
from magnoliacove.directory.targets import LayerRange
from magnoliacove.directory.targets import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.wire import Address


class _Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def _target(name, **changes):
    values = {"revision": 1, **changes}
    return ListedTarget(name, "llm", Address("10.0.0.1", 80), "a", **values)


def _make_list():
    time = _Time()
    recorder = timeline.Recorder("p")
    return TargetList(recorder, grace=1.8, read_time=time), time


def _names(targets):
    return sorted(target.name for target in targets.list_service("llm"))


def test_what_lapsed_in_an_outage_is_kept_for_a_moment():
    """The store is away and entries lapse.  It returns, and one of two
    living engines is not listed yet: requests still go there.  After the
    grace time what is still missing is gone.
    """
    targets, time = _make_list()
    both = [_target("i-1"), _target("i-2")]
    targets.replace(both, 5, after_outage=True)
    targets.replace([_target("i-1")], 6, after_outage=True)
    assert _names(targets) == ["i-1", "i-2"]
    time.now += 1.0
    targets.expire()
    assert _names(targets) == ["i-1", "i-2"]
    time.now += 1.0
    targets.expire()
    assert _names(targets) == ["i-1"]


def test_an_entry_that_comes_back_stays():
    targets, time = _make_list()
    targets.replace([_target("i-1")], 5, after_outage=True)
    targets.replace([], 6, after_outage=True)
    time.now += 1.0
    targets.apply(_target("i-1", revision=7))
    time.now += 5.0
    targets.expire()
    assert _names(targets) == ["i-1"]


def test_without_an_outage_what_is_not_listed_is_gone():
    targets, _ = _make_list()
    targets.replace([_target("i-1")], 5, after_outage=True)
    targets.replace([], 6, after_outage=False)
    assert _names(targets) == []


def test_old_news_changes_nothing():
    """An older listing, or an older entry, comes after a newer one: an
    engine that drains must not look as if it took work again.
    """
    targets, _ = _make_list()
    targets.replace([_target("i-1", revision=4)], 5, after_outage=False)
    targets.apply(_target("i-1", draining=True, revision=8))
    targets.apply(_target("i-1", revision=6))
    targets.replace([_target("i-1")], 3, after_outage=False)
    assert targets.find("i-1").draining
    assert _names(targets) == []


def test_a_suspicion_ends_by_itself_and_grows_when_it_returns():
    time = _Time()
    health = Health(timeline.Recorder("p"), time)
    health.suspect("i-1", "no report")
    assert not health.is_usable("i-1")
    time.now += 2.1
    assert health.is_usable("i-1")
    health.suspect("i-1", "no report")
    time.now += 2.1
    assert not health.is_usable("i-1")
    time.now += 2.0
    assert health.is_usable("i-1")
    time.now += 60.0
    health.suspect("i-1", "no report")
    time.now += 2.1
    assert health.is_usable("i-1")


def test_an_old_suspicion_of_a_peer_starts_none():
    """A peer's heartbeat names a suspicion that has ended here already; it
    must not go round between entries for good.
    """
    time = _Time()
    health = Health(timeline.Recorder("p"), time)
    health.suspect("i-1", "no report", age=5.0, source="entry-2")
    assert health.is_usable("i-1")


def test_an_engine_that_says_that_it_leaves_is_left_alone_longer():
    time = _Time()
    health = Health(timeline.Recorder("p"), time)
    health.suspect("i-1", "refuses")
    health.suspect("i-1", "its health check says so", leaving=True)
    time.now += 9.0
    assert health.find("i-1").leaving


def test_reports_go_before_the_list_while_they_are_fresh():
    """The list is late: an engine that was told to move still stands in
    it with its old layers.  The report says more; once reports stop, the
    list is all there is.
    """
    time = _Time()
    holdings = Holdings(time)
    target = _target("i-1", layers=LayerRange(0, 10))
    moving = Holding(LayerRange(0, 4), loading=True, moving=True)
    assert holdings.note("i-1", moving)
    assert holdings.read(target).layers == LayerRange(0, 4)
    assert holdings.list_moving() == ["i-1"]
    # Older news, through a slower peer.
    assert not holdings.note("i-1", Holding(None), age=0.5)
    time.now += 2.0
    assert holdings.read(target).layers == LayerRange(0, 10)
