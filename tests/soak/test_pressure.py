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
