"""Sharing of targets' limits among gateways, without a network."""

import random

import pytest

from magnoliacove.limits.backpressure import TargetNotice
from measure import limits


def _make_fleet(count):
    clock, rng = limits.Clock(), random.Random(1)
    gateways = [limits.Gateway(f"g-{n}", clock, rng) for n in range(count)]
    return gateways, clock


def _beat_all(gateways):
    issued = {}
    gateways[0].clock.now += 0.15
    for gateway in gateways:
        update = gateway.make_heartbeat()
        issued[gateway.name] = update.grants
        for other in gateways:
            if other is not gateway:
                other.receive(update)
    return issued


def _report_limit(gateway, rate=1.2):
    notice = TargetNotice(rate_limit=rate)
    gateway.book.take(limits.ENGINE, notice, "a test")


def test_one_gateway_coordinates_a_limit_that_another_one_received():
    gateways, clock = _make_fleet(6)
    _beat_all(gateways)
    clock.now += 3.0
    _report_limit(gateways[3])
    _beat_all(gateways)
    issued = _beat_all(gateways)
    [(coordinator, grants)] = [item for item in issued.items() if item[1]]
    assert sum(grant.rate for grant in grants) == pytest.approx(1.2)
    assert {
        gateway.book.read_limit(limits.ENGINE) for gateway in gateways
    } == {1.2}
    rates = [gateway.grants.read_rate(limits.ENGINE) for gateway in gateways]
    assert sum(rates) == pytest.approx(1.2)
    assert coordinator in {gateway.name for gateway in gateways}


def test_a_gateway_that_has_just_started_coordinates_no_limit():
    """A gateway that just started has not received all heartbeats yet.  As
    the coordinator of a limit it would issue a second time what another
    coordinator has issued.
    """
    gateways, clock = _make_fleet(6)
    _beat_all(gateways)
    clock.now += 3.0
    _report_limit(gateways[0])
    _beat_all(gateways)
    before = _beat_all(gateways)
    newcomer = limits.Gateway("g-late", clock, random.Random(2))
    _report_limit(newcomer)
    assert newcomer.make_heartbeat().grants == ()
    gateways.append(newcomer)
    issued = _beat_all(gateways)
    assert issued["g-late"] == ()
    assert {n for n, grants in issued.items() if grants} == {
        n for n, grants in before.items() if grants
    }


def test_a_gateway_that_is_alone_uses_the_whole_limit():
    """A partitioned gateway must not leave the engine without work."""
    [alone], clock = _make_fleet(1)
    clock.now += 3.0
    _report_limit(alone)
    alone.make_heartbeat()
    assert alone.grants.read_rate(limits.ENGINE) == pytest.approx(1.2)


def test_parts_end_with_the_limit():
    gateways, clock = _make_fleet(3)
    _beat_all(gateways)
    clock.now += 3.0
    _report_limit(gateways[0])
    _beat_all(gateways)
    _beat_all(gateways)
    clock.now += 0.1
    gateways[1].book.take(limits.ENGINE, TargetNotice(), "a test")
    _beat_all(gateways)
    assert not any(_beat_all(gateways).values())
    assert {
        gateway.book.read_limit(limits.ENGINE) for gateway in gateways
    } == {None}
