"""Quarantines: their duration, their trials and their exchange."""

import hypothesis
from hypothesis import strategies

from magnoliacove import timeline
from magnoliacove.limits.quarantine import Quarantine
from magnoliacove.limits.quarantine import QuarantineBook


class _Gateway:
    """A quarantine book with its own clock."""

    def __init__(self, now=1000.0, owns=True):
        self.now = now
        self.recorder = timeline.Recorder("g")
        self.book = QuarantineBook(
            self.recorder, lambda _: owns, lambda: self.now
        )

    def report_to(self, other, late=0.0):
        """Send a sample of this gateway's quarantines to another gateway."""
        for quarantine, age in self.book.sample_for_heartbeat():
            reported = Quarantine(
                quarantine.fingerprint,
                quarantine.round,
                other.now - age,
                quarantine.seconds,
                quarantine.crashes,
            )
            other.book.take(reported, "a peer")


def test_a_request_is_refused_with_the_remaining_time():
    gateway = _Gateway()
    assert gateway.book.admit("bad") == 0.0
    gateway.book.begin("bad", 3, "a test")
    gateway.now += 20.0
    assert gateway.book.admit("bad") == 40.0
    assert gateway.book.admit("good") == 0.0
    assert gateway.book.refused == 1


def test_one_gateway_admits_one_trial_at_a_time():
    """A quarantine's duration has passed.  One gateway admits a single trial.
    The other requests there, and all requests at the other gateways, wait
    until the trial's result is known.
    """
    owner, other = _Gateway(), _Gateway(owns=False)
    owner.book.begin("bad", 3, "a test")
    owner.report_to(other)
    for gateway in (owner, other):
        gateway.now += 61.0
    assert other.book.admit("bad") == 1.0
    assert owner.book.admit("bad") == 0.0
    assert owner.book.admit("bad") == 1.0
    owner.now += 5.0
    assert owner.book.admit("bad") == 0.0
    other.now += 60.0
    assert other.book.admit("bad") == 0.0
    assert other.book.begin("bad", 4, "it ended one more").seconds == 240.0


def test_quarantines_grow_and_expire():
    gateway = _Gateway()
    lasted = []
    for _ in range(5):
        lasted.append(gateway.book.begin("bad", 3, "a test").seconds)
        gateway.now += lasted[-1] + 1.0
    assert lasted == [60.0, 240.0, 960.0, 3600.0, 3600.0]
    gateway.now += 3600.0 + 600.0
    assert gateway.book.admit("bad") == 0.0
    assert gateway.book.sample_for_heartbeat() == []


def test_crashes_soon_after_the_beginning_do_not_prolong_it():
    """Other gateways sent the request before they received the quarantine."""
    gateway = _Gateway()
    gateway.book.begin("bad", 3, "a test")
    assert not gateway.book.crashed_again("bad", gateway.now + 4.0)
    assert gateway.book.crashed_again("bad", gateway.now + 61.0)
    assert not gateway.book.crashed_again("good", gateway.now + 61.0)


def test_an_outdated_report_does_not_restore_a_quarantine():
    """A request was answered, so its quarantine ended.  A gateway that was
    frozen meanwhile still reports the quarantine.
    """
    gateway, frozen = _Gateway(), _Gateway()
    gateway.book.begin("bad", 3, "a test")
    gateway.report_to(frozen)
    gateway.book.end("bad", "it was answered")
    frozen.report_to(gateway)
    assert gateway.book.admit("bad") == 0.0
    gateway.report_to(frozen)
    assert frozen.book.admit("bad") == 0.0
    again = gateway.book.begin("bad", 4, "a test")
    assert again.round == 3
    gateway.report_to(frozen)
    assert frozen.book.admit("bad") > 0.0


def test_memory_and_reports_are_bounded():
    gateway = _Gateway()
    for number in range(2000):
        gateway.book.begin(f"bad{number}", 3, "a test")
        gateway.now += 0.001
    assert len(gateway.book.list_all()) == 1024
    assert gateway.book.find("bad0") is None
    sample = {q.fingerprint for q, _ in gateway.book.sample_for_heartbeat()}
    assert len(sample) == 8
    other = {q.fingerprint for q, _ in gateway.book.sample_for_heartbeat()}
    assert sample != other


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["begin", "end", "tell", "wait"]),
        strategies.integers(0, 2),
        strategies.integers(0, 2),
    ),
    max_size=30,
)


@hypothesis.given(_STEPS)
def test_gateways_that_exchange_reports_agree(steps):
    """Gateways begin, end and report quarantines in any order, with any
    reports lost.  Once each has received the reports of the others, all of
    them have the same state.
    """
    gateways = [_Gateway(now) for now in (10.0, 500.0, 9000.0)]
    for step, one, other in steps:
        if step == "begin":
            gateways[one].book.begin("bad", 3, "a test")
        elif step == "end":
            gateways[one].book.end("bad", "it was answered")
        elif step == "tell":
            gateways[one].report_to(gateways[other])
        else:
            for gateway in gateways:
                gateway.now += 0.5
    for _ in range(2):
        for one in gateways:
            for other in gateways:
                one.report_to(other)
    rounds = {
        quarantine.round
        for gateway in gateways
        for quarantine, _ in gateway.book.sample_for_heartbeat()
    }
    assert len(rounds) <= 1
