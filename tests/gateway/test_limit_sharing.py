"""Gateways that keep targets' limits together, without a network."""

import random

import pytest

from magnoliacove.limits.backpressure import TargetNotice
from measure import limits


def _make_fleet(count):
    clock, rng = limits.Clock(), random.Random(1)
    gateways = [limits.Gateway(f"g-{n}", clock, rng) for n in range(count)]
    return gateways, clock


def _beat_all(gateways):
    made = {}
    gateways[0].clock.now += 0.15
    for gateway in gateways:
        news = gateway.make_heartbeat()
        made[gateway.name] = news.grants
        for other in gateways:
            if other is not gateway:
                other.receive(news)
    return made


def _name_limit(gateway, rate=1.2):
    notice = TargetNotice(rate_limit=rate)
    gateway.book.take(limits.ENGINE, notice, "a test")


def test_one_gateway_keeps_a_limit_that_another_one_heard_of():
    gateways, clock = _make_fleet(6)
    _beat_all(gateways)
    clock.now += 3.0
    _name_limit(gateways[3])
    _beat_all(gateways)
    made = _beat_all(gateways)
    [(keeper, grants)] = [item for item in made.items() if item[1]]
    assert sum(grant.rate for grant in grants) == pytest.approx(1.2)
    assert {one.book.read_limit(limits.ENGINE) for one in gateways} == {1.2}
    rates = [one.grants.read_rate(limits.ENGINE) for one in gateways]
    assert sum(rates) == pytest.approx(1.2)
    assert keeper in {one.name for one in gateways}


def test_a_gateway_that_has_just_started_keeps_no_limit():
    """It has not heard all others yet.  Taken for the keeper of what others
    keep, it would hand out a second time what they have handed out.
    """
    gateways, clock = _make_fleet(6)
    _beat_all(gateways)
    clock.now += 3.0
    _name_limit(gateways[0])
    _beat_all(gateways)
    before = _beat_all(gateways)
    late = limits.Gateway("g-late", clock, random.Random(2))
    _name_limit(late)
    assert late.make_heartbeat().grants == ()
    gateways.append(late)
    made = _beat_all(gateways)
    assert made["g-late"] == ()
    assert {n for n, grants in made.items() if grants} == {
        n for n, grants in before.items() if grants
    }


def test_a_gateway_that_is_alone_uses_the_whole_limit():
    """Cut off from all others it may not leave the engine without work."""
    [alone], clock = _make_fleet(1)
    clock.now += 3.0
    _name_limit(alone)
    alone.make_heartbeat()
    assert alone.grants.read_rate(limits.ENGINE) == pytest.approx(1.2)


def test_parts_end_with_the_limit():
    gateways, clock = _make_fleet(3)
    _beat_all(gateways)
    clock.now += 3.0
    _name_limit(gateways[0])
    _beat_all(gateways)
    _beat_all(gateways)
    clock.now += 0.1
    gateways[1].book.take(limits.ENGINE, TargetNotice(), "a test")
    _beat_all(gateways)
    assert not any(_beat_all(gateways).values())
    assert {one.book.read_limit(limits.ENGINE) for one in gateways} == {None}
