"""Targets in need, before real gateways that are killed and frozen."""

import pytest
import trio

from soak.endings import GatewayEnds
from soak.pressure import RATE
from soak.pressure import Need
from soak.pressure import PressurePlay

_SECONDS = 16.0
# A target gets about what it takes while callers ask for more: two thirds of
# it at least, over a time in which gateways come and go.
_LEAST_PART = 2 / 3
# What the users allow to be on its way.
_MOST_IN_REST = 2
_ENDS = list(GatewayEnds)


# An engine named a limit of 1.2 requests a second for all gateways together,
# and each gateway went on as before: 23 came in 4 s where 12 are allowed.
@pytest.mark.parametrize("ends", _ENDS, ids=lambda one: one.name)
def test_a_limit_holds_for_all_gateways_together(ends, tmp_path):
    play = PressurePlay(1, Need.LIMIT, ends, tmp_path)
    assert trio.run(play.play, _SECONDS) == []
    for target in play.needy:
        assert play.measure_excess(target) <= 0, target.name
        if ends is GatewayEnds.NONE:
            usual = RATE * play.measure_needy(target)
            assert play.count_requests(target) >= _LEAST_PART * usual


# An engine turned requests away and asked for 3 s of rest; it was left alone
# for 0.3 s, and then for twice as long each time, whatever it had asked for.
@pytest.mark.parametrize("ends", _ENDS, ids=lambda one: one.name)
def test_a_target_that_asks_for_rest_is_left_alone(ends, tmp_path):
    play = PressurePlay(1, Need.REST, ends, tmp_path)
    assert trio.run(play.play, _SECONDS) == []
    for target in play.needy:
        disturbed = play.list_disturbed(target)
        assert disturbed, target.name
        assert max(disturbed) <= _MOST_IN_REST, target.name


# An engine said in its answers that it leaves, while its entry did not: it
# went on getting requests until its entry was gone.
@pytest.mark.parametrize("ends", _ENDS, ids=lambda one: one.name)
def test_a_target_that_says_that_it_leaves_gets_nothing(ends, tmp_path):
    play = PressurePlay(1, Need.LEAVING, ends, tmp_path)
    assert trio.run(play.play, _SECONDS) == []
    for target in play.needy:
        assert play.list_late(target) == [], target.name
