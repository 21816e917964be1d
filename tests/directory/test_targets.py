"""State of targets: listed, missing, suspected, and loaded layers."""

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


def test_entry_lapsed_in_an_outage_is_kept_for_the_grace_period():
    """Entries lapse while the store is unreachable.  After its return one of
    two live engines is not listed yet, but still gets requests.  After the
    grace period it is removed if it is still missing.
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


def test_reappearing_entry_is_kept():
    targets, time = _make_list()
    targets.replace([_target("i-1")], 5, after_outage=True)
    targets.replace([], 6, after_outage=True)
    time.now += 1.0
    targets.apply(_target("i-1", revision=7))
    time.now += 5.0
    targets.expire()
    assert _names(targets) == ["i-1"]


def test_unlisted_target_is_removed_without_an_outage():
    targets, _ = _make_list()
    targets.replace([_target("i-1")], 5, after_outage=True)
    targets.replace([], 6, after_outage=False)
    assert _names(targets) == []


def test_outdated_updates_are_ignored():
    """An older listing or entry arrives after a newer one.  A draining engine
    must not appear to accept work again.
    """
    targets, _ = _make_list()
    targets.replace([_target("i-1", revision=4)], 5, after_outage=False)
    targets.apply(_target("i-1", draining=True, revision=8))
    targets.apply(_target("i-1", revision=6))
    targets.replace([_target("i-1")], 3, after_outage=False)
    assert targets.find("i-1").draining
    assert _names(targets) == []


def test_suspicion_expires_and_lasts_longer_when_repeated():
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


def test_old_suspicion_of_a_peer_is_ignored():
    """A peer's heartbeat contains a suspicion that has already expired here.
    It must not circulate between gateways forever.
    """
    time = _Time()
    health = Health(timeline.Recorder("p"), time)
    health.suspect("i-1", "no report", age=5.0, source="entry-2")
    assert health.is_usable("i-1")


def test_leaving_engine_is_suspected_longer():
    time = _Time()
    health = Health(timeline.Recorder("p"), time)
    health.suspect("i-1", "refuses")
    health.suspect("i-1", "its health check says so", leaving=True)
    time.now += 9.0
    assert health.find("i-1").leaving


def test_recent_reports_take_precedence_over_the_list():
    """The list lags: an engine that was ordered other layers is still listed
    with its old layers.  Its report is newer; the list is used again when
    reports stop.
    """
    time = _Time()
    statuses = EngineStatuses(time)
    target = _target("i-1", layers=LayerRange(0, 10))
    moving = EngineStatus(LayerRange(0, 4), loading=True, moving=True)
    assert statuses.note("i-1", moving)
    assert statuses.read(target).layers == LayerRange(0, 4)
    assert statuses.list_moving() == {"i-1": LayerRange(0, 4)}
    # An older report through a slower peer.
    assert not statuses.note("i-1", EngineStatus(None), age=0.5)
    time.now += 2.0
    assert statuses.read(target).layers == LayerRange(0, 10)


def _make_incarnation(incarnation, **changes):
    name = name_incarnation("i-1", incarnation)
    return _target(name, incarnation=incarnation, **changes)


def test_state_of_a_former_incarnation_does_not_apply_to_the_next():
    """An engine crashes and restarts a second later under the same entry,
    without layers.  Its former incarnation was suspected and had layers.
    Without separate state, requests for these layers were refused, and the
    engine got no work until the suspicion ended.
    """
    targets, time = _make_list()
    health = Health(timeline.Recorder("p"), read_time=time)
    statuses = EngineStatuses(read_time=time)
    targets.apply(_make_incarnation(1000, layers=LayerRange(0, 20)))
    statuses.note("i-1@1000", EngineStatus(LayerRange(0, 20)))
    health.suspect("i-1@1000", "it gives no reports")
    targets.apply(_make_incarnation(2000, revision=2))
    (present,) = targets.list_service("llm")
    assert present.entry == "i-1"
    assert health.is_usable(present.name)
    assert statuses.read(present).layers is None
    assert targets.find("i-1@1000") is None
    assert targets.list_former_incarnations() == ["i-1@1000"]


@pytest.mark.parametrize("late", [1, 7])
def test_late_update_of_a_former_incarnation_is_ignored(late):
    """An engine restarts and reports it.  Its entry from before the crash is
    read afterwards; whatever its revision, it must not bring back the
    former incarnation.
    """
    targets, _ = _make_list()
    targets.apply(_make_incarnation(1000, layers=LayerRange(0, 20)))
    assert targets.note_incarnation("i-1", 2000, directly=True)
    targets.apply(
        _make_incarnation(1000, layers=LayerRange(0, 20), revision=late)
    )
    assert not targets.note_incarnation("i-1", 1000)
    (present,) = targets.list_service("llm")
    assert (present.name, present.layers) == ("i-1@2000", None)
    targets.apply(_make_incarnation(2000, layers=LayerRange(5, 9), revision=8))
    assert targets.find("i-1@2000").layers == LayerRange(5, 9)


def test_own_report_counts_after_a_clock_step_backwards():
    targets, _ = _make_list()
    targets.apply(_make_incarnation(2000))
    assert targets.note_incarnation("i-1", 1500, directly=True)
    assert _names(targets) == ["i-1@1500"]
    targets.apply(_make_incarnation(2000, revision=9))
    assert not targets.note_incarnation("i-1", 2000)
    assert _names(targets) == ["i-1@1500"]


def test_target_without_incarnation_keeps_its_name():
    targets, _ = _make_list()
    targets.apply(_target("i-1"))
    assert not targets.note_incarnation("i-1", 2000, directly=True)
    assert _names(targets) == ["i-1"]


def test_removed_entry_removes_its_present_incarnation():
    targets, _ = _make_list()
    targets.apply(_make_incarnation(1000))
    targets.apply(_make_incarnation(2000, revision=2))
    targets.remove("i-1", 3)
    assert targets.list_all() == []


def test_restart_is_remembered_for_a_limited_time():
    targets, time = _make_list()
    targets.apply(_make_incarnation(1000))
    assert targets.read_restart_age("i-1") == math.inf
    targets.apply(_make_incarnation(2000, revision=2))
    time.now += 3.0
    assert targets.read_restart_age("i-1") == 3.0
    time.now += 40.0
    targets.expire()
    assert targets.list_former_incarnations() == []


def test_correction_keeps_excluding_layers_that_are_given_up():
    """An engine gives up layers to close a gap; its report still names all of
    its former layers.  A refused request triggers a new report: the layers
    that the engine gives up must not be used again.
    """
    time = _Time()
    statuses = EngineStatuses(read_time=time)
    statuses.note("i-1", EngineStatus(LayerRange(5, 10), loading=True))
    time.now += 0.1
    reported = EngineStatus(LayerRange(0, 10), loading=True)
    assert not statuses.correct("i-1", reported)
    assert statuses.list_fresh()[0][2].layers == LayerRange(5, 10)
    assert statuses.correct("i-1", EngineStatus(LayerRange(0, 4)))
    assert [item[0] for item in statuses.list_corrected()] == ["i-1"]


def test_missing_target_expires_on_time():
    """The store rejects some gateways and serves others, and the entry of an
    engine that left is removed.  It might have lapsed, so the target is kept
    for the grace period.  With a check only every second, a booking reached
    the engine 2.25 s after it left, where 2 s are allowed.
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


def test_first_list_is_logged_in_few_lines_with_every_target():
    """Operators search the log of a starting fleet for an engine's first line.

    A line for each of 135 targets, in each of 68 gateways, left no room for
    log lines of the first requests.  Lines must also stay short enough to be
    written atomically.
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


def test_single_new_target_is_logged_before_use():
    recorder = timeline.Recorder("p")
    targets = TargetList(recorder, grace=1.8, read_time=_Time())
    targets.apply(_target("i-1"))
    assert _names(targets) == ["i-1"]
    assert [e.kind for e in recorder.list_events()] == ["targets-listed"]


@pytest.mark.parametrize("removed_at", [None, 8])
def test_removal_found_by_a_listing_counts_as_a_change(removed_at):
    """A gateway whose watch missed a removal finds it by listing again.  The
    peers that wait for its news must learn that its list changed, else they
    send requests to the target until their own watches answer.
    """
    targets, _ = _make_list()
    targets.apply(_target("i-1", revision=3))
    targets.apply(_target("i-2", revision=4))
    assert targets.newest_change == 4
    targets.replace(
        [_target("i-1", revision=3)],
        9,
        after_outage=False,
        removed_at=removed_at,
    )
    assert targets.newest_change == (removed_at or 9)
    targets.replace([_target("i-1", revision=3)], 12, after_outage=False)
    assert targets.newest_change == (removed_at or 9)


def test_entry_that_does_not_come_back_counts_as_a_change():
    """Peers learn of it once it is sure.  Lists that are read while entries
    are missing must not make all other gateways read theirs again.
    """
    targets, time = _make_list()
    targets.replace([_target("i-1", revision=3)], 5, after_outage=False)
    for revision in (9, 11):
        targets.replace([], revision, after_outage=True)
        assert targets.newest_change == 3
    time.now += 2.0
    targets.expire()
    assert targets.newest_change == 11


@pytest.mark.parametrize("revision", [0, 3, 7])
def test_removal_without_its_own_revision_counts_as_a_change(revision):
    """An event may name the removed entry's last revision instead of that of
    the removal.  Peers must learn that the list changed all the same.
    """
    targets, _ = _make_list()
    targets.apply(_target("i-1", revision=3))
    targets.remove("i-1", revision, read_at=7)
    assert targets.newest_change == 7
