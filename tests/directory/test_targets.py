"""What is believed of targets: listed, missing, suspected, holding."""

import math

import pytest

from magnoliacove import timeline
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.engine_status import EngineStatuses
from magnoliacove.directory.health import Health
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.listed import name_incarnation
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
    holdings = EngineStatuses(time)
    target = _target("i-1", layers=LayerRange(0, 10))
    moving = EngineStatus(LayerRange(0, 4), loading=True, moving=True)
    assert holdings.note("i-1", moving)
    assert holdings.read(target).layers == LayerRange(0, 4)
    assert holdings.list_moving() == {"i-1": LayerRange(0, 4)}
    # Older news, through a slower peer.
    assert not holdings.note("i-1", EngineStatus(None), age=0.5)
    time.now += 2.0
    assert holdings.read(target).layers == LayerRange(0, 10)


def _born(incarnation, **changes):
    name = name_incarnation("i-1", incarnation)
    return _target(name, incarnation=incarnation, **changes)


def test_nothing_believed_of_a_former_incarnation_counts_for_the_next():
    """An engine crashes and is back a second later under its entry's name,
    empty.  It was suspected, and was known to hold layers; requests that
    went by that were refused, and its own work waited for the end of the
    suspicion.
    """
    targets, time = _make_list()
    health = Health(timeline.Recorder("p"), read_time=time)
    holdings = EngineStatuses(read_time=time)
    targets.apply(_born(1000, layers=LayerRange(0, 20)))
    holdings.note("i-1@1000", EngineStatus(LayerRange(0, 20)))
    health.suspect("i-1@1000", "it gives no reports")
    targets.apply(_born(2000, revision=2))
    (present,) = targets.list_service("llm")
    assert present.entry == "i-1"
    assert health.is_usable(present.name)
    assert holdings.read(present).layers is None
    assert targets.find("i-1@1000") is None
    assert targets.list_former_incarnations() == ["i-1@1000"]


@pytest.mark.parametrize("late", [1, 7])
def test_late_news_of_a_former_incarnation_changes_nothing(late):
    """An engine starts again and says so in its report.  Its entry, written
    before the crash, is read after that; whatever its revision, the engine
    must not be taken for what it was.
    """
    targets, _ = _make_list()
    targets.apply(_born(1000, layers=LayerRange(0, 20)))
    assert targets.note_incarnation("i-1", 2000, directly=True)
    targets.apply(_born(1000, layers=LayerRange(0, 20), revision=late))
    assert not targets.note_incarnation("i-1", 1000)
    (present,) = targets.list_service("llm")
    assert (present.name, present.layers) == ("i-1@2000", None)
    targets.apply(_born(2000, layers=LayerRange(5, 9), revision=8))
    assert targets.find("i-1@2000").layers == LayerRange(5, 9)


def test_an_engine_whose_clock_went_back_is_believed_itself():
    targets, _ = _make_list()
    targets.apply(_born(2000))
    assert targets.note_incarnation("i-1", 1500, directly=True)
    assert _names(targets) == ["i-1@1500"]
    targets.apply(_born(2000, revision=9))
    assert not targets.note_incarnation("i-1", 2000)
    assert _names(targets) == ["i-1@1500"]


def test_a_target_that_tells_no_incarnation_keeps_its_name():
    targets, _ = _make_list()
    targets.apply(_target("i-1"))
    assert not targets.note_incarnation("i-1", 2000, directly=True)
    assert _names(targets) == ["i-1"]


def test_the_removal_of_an_entry_removes_its_present_incarnation():
    targets, _ = _make_list()
    targets.apply(_born(1000))
    targets.apply(_born(2000, revision=2))
    targets.remove("i-1", 3)
    assert targets.list_all() == []


def test_a_restart_is_remembered_for_a_while():
    targets, time = _make_list()
    targets.apply(_born(1000))
    assert targets.read_restart_age("i-1") == math.inf
    targets.apply(_born(2000, revision=2))
    time.now += 3.0
    assert targets.read_restart_age("i-1") == 3.0
    time.now += 40.0
    targets.expire()
    assert targets.list_former_incarnations() == []


def test_a_correction_keeps_what_is_given_up_excluded():
    """An engine gives layers up for a gap elsewhere; its report still names
    all that it held.  A request that it refused asks for the report: the
    layers that it gives up must not be used again.
    """
    time = _Time()
    holdings = EngineStatuses(read_time=time)
    holdings.note("i-1", EngineStatus(LayerRange(5, 10), loading=True))
    time.now += 0.1
    told = EngineStatus(LayerRange(0, 10), loading=True)
    assert not holdings.correct("i-1", told)
    assert holdings.list_fresh()[0][2].layers == LayerRange(5, 10)
    assert holdings.correct("i-1", EngineStatus(LayerRange(0, 4)))
    assert [item[0] for item in holdings.list_corrected()] == ["i-1"]


def test_an_entry_that_does_not_come_back_is_gone_in_time():
    """The store turns some gateways away and serves the others; an engine
    leaves, and its entry is removed.  That might be a lapse, so it is kept
    for the grace time; it was looked at each second only, and a booking
    reached the engine 2.25 s after it had left, where 2 s are allowed.
    """
    targets, time = _make_list()
    targets.apply(_target("i-1"))
    targets.apply(_target("i-2"))
    targets.remove("i-1", 5, may_return=True)
    time.now += 1.79
    assert _names(targets) == ["i-1", "i-2"]
    time.now += 0.02
    assert _names(targets) == ["i-2"]
    assert targets.find("i-1") is None


def test_a_first_list_takes_few_lines_and_names_every_target():
    """On-call looks for an engine's first mention, on a fleet that starts.

    A line for each of 135 targets, in each of 68 gateways, left no room for
    ordinary lines of the first requests.  Lines stay short enough to be
    written as a whole.
    """
    recorder = timeline.Recorder("p")
    targets = TargetList(recorder, grace=1.8, read_time=_Time())
    names = [f"i-{n:010x}" for n in range(135)]
    targets.replace(map(_target, names), 5, after_outage=False)
    lines = recorder.list_events()
    assert len(lines) == 4
    assert all(len(line.to_json()) < 4096 for line in lines)
    for name in names:
        [line] = recorder.list_events(target=name)
        assert line.detail["targets"][name] == "llm 10.0.0.1:80"


def test_a_target_that_comes_alone_is_told_before_it_is_used():
    recorder = timeline.Recorder("p")
    targets = TargetList(recorder, grace=1.8, read_time=_Time())
    targets.apply(_target("i-1"))
    assert _names(targets) == ["i-1"]
    assert [e.kind for e in recorder.list_events()] == ["targets-listed"]
