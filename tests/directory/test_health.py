"""How long targets are suspected or known to be leaving."""

from magnoliacove import timeline
from magnoliacove.directory.health import Health


class _Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def _make_health(time):
    return Health(timeline.Recorder("p"), time)


def _tell(teller, hearer, now):
    """Tell one gateway what another one's heartbeat says now."""
    for told in teller.list_reported():
        hearer.suspect(
            told.target,
            told.why,
            age=now - told.since,
            source="g-1",
            leaving=told.leaving,
        )


def test_what_a_target_says_of_itself_does_not_expire():
    """The target leaves for a minute.  After 10 s it was taken for one that
    stays.
    """
    time = _Time()
    health = _make_health(time)
    health.note_leaving("i-1")
    time.now += 60.0
    assert health.find("i-1").leaving
    health.discard_unlisted(set())
    assert health.is_usable("i-1")


def test_a_target_that_says_that_it_stays_is_usable():
    """A gateway that did not hear it still says the opposite; that is older
    and must not be believed again.
    """
    time = _Time()
    health, peer = _make_health(time), _make_health(time)
    for gateway in (health, peer):
        gateway.note_leaving("i-1")
    time.now += 20.0
    health.note_staying("i-1")
    time.now += 0.2
    _tell(peer, health, time.now)
    assert health.is_usable("i-1")
    health.note_leaving("i-1")
    assert not health.is_usable("i-1")


def test_a_peer_believes_it_while_the_gateway_that_heard_it_says_so():
    """Only one gateway received the target's answer.  The others asked the
    target again 10 s later.
    """
    time = _Time()
    witness, peer = _make_health(time), _make_health(time)
    witness.note_leaving("i-1")
    for _ in range(300):
        _tell(witness, peer, time.now)
        time.now += 0.2
        assert not peer.is_usable("i-1")
    witness.note_staying("i-1")
    time.now += 6.1
    assert peer.is_usable("i-1")


def test_peers_do_not_keep_each_other_believing():
    """The gateway that heard the target is gone.  If two others repeated to
    each other that it leaves, a mistake would never end.
    """
    time = _Time()
    witness, first, second = (_make_health(time) for _ in range(3))
    witness.note_leaving("i-1")
    _tell(witness, first, time.now)
    for _ in range(100):
        _tell(first, second, time.now)
        _tell(second, first, time.now)
        time.now += 0.2
    assert first.is_usable("i-1")
    assert second.is_usable("i-1")


def test_a_health_check_alone_is_believed_for_a_time():
    """A health check may be wrong, or refused for want of a slot.  If that
    held for ever, a sound target would be lost.
    """
    time = _Time()
    health = _make_health(time)
    health.suspect("i-1", "its health check says so", leaving=True)
    time.now += 9.9
    assert not health.is_usable("i-1")
    time.now += 0.2
    assert health.is_usable("i-1")


def test_a_target_that_leaves_may_fail_as_well():
    """The target leaves for long and then crashes.  Its streams must be led
    away, which only a suspicion other than that it leaves causes.
    """
    time = _Time()
    health = _make_health(time)
    health.note_leaving("i-1")
    time.now += 5.0
    health.suspect("i-1", "it takes no connection")
    assert not health.is_failed("i-1")
    time.now += 5.1
    health.suspect("i-1", "it takes no connection")
    assert health.is_failed("i-1")
    assert health.find("i-1").leaving
    assert [s.leaving for s in health.list_suspicions()] == [False, True]


def test_leaving_does_not_lengthen_the_next_suspicion():
    """A lost packet soon after a health check that was wrong cost the target
    16 s without work, where the first suspicion lasts 2 s.
    """
    time = _Time()
    health = _make_health(time)
    health.suspect("i-1", "its health check says so", leaving=True)
    time.now += 10.1
    health.suspect("i-1", "no report")
    time.now += 2.1
    assert health.is_usable("i-1")
