"""Targets under backpressure and real gateways that are killed and frozen."""

import pytest
import trio

from soak.gateway_faults import GatewayFault
from soak.pressure import RATE
from soak.pressure import Backpressure
from soak.pressure import BackpressureSoak

_SECONDS = 16.0
# Least share of its limit that a target must receive while callers demand
# more, also over a period in which gateways stop and start.
_MIN_SHARE = 2 / 3
# Requests that may be in flight by the users' requirements when a back-off
# begins.
_MAX_IN_BACK_OFF = 2
_GATEWAY_FAULTS = list(GatewayFault)


# Guards against gateways that apply a limit for the whole fleet individually,
# or not at all: an engine that announced 1.2 requests a second received 23
# requests in 4 s, where 12 are allowed.
@pytest.mark.parametrize(
    "gateway_fault", _GATEWAY_FAULTS, ids=lambda fault: fault.name
)
def test_a_limit_holds_for_all_gateways_together(gateway_fault, tmp_path):
    soak = BackpressureSoak(1, Backpressure.LIMIT, gateway_fault, tmp_path)
    assert trio.run(soak.run, _SECONDS) == []
    for target in soak.backpressure_targets:
        assert soak.measure_excess(target) <= 0, target.name
        if gateway_fault is GatewayFault.NONE:
            expected = RATE * soak.measure_backpressure_time(target)
            assert soak.count_requests(target) >= _MIN_SHARE * expected


# Guards against gateways that ignore `Retry-After`: an engine refused requests
# and asked for a back-off of 3 s, but gateways backed off for 0.3 s and then
# doubled this time, whatever the engine had asked for.
@pytest.mark.parametrize(
    "gateway_fault", _GATEWAY_FAULTS, ids=lambda fault: fault.name
)
def test_a_back_off_is_respected(gateway_fault, tmp_path):
    soak = BackpressureSoak(1, Backpressure.BACK_OFF, gateway_fault, tmp_path)
    assert trio.run(soak.run, _SECONDS) == []
    for target in soak.backpressure_targets:
        counts = soak.list_back_off_requests(target)
        assert counts, target.name
        assert max(counts) <= _MAX_IN_BACK_OFF, target.name


# Guards against gateways that ignore a shutdown announced only in answers and
# not in the entry: the engine received requests until its entry was removed.
@pytest.mark.parametrize(
    "gateway_fault", _GATEWAY_FAULTS, ids=lambda fault: fault.name
)
def test_a_target_that_announces_its_shutdown_receives_nothing(
    gateway_fault, tmp_path
):
    soak = BackpressureSoak(1, Backpressure.LEAVING, gateway_fault, tmp_path)
    assert trio.run(soak.run, _SECONDS) == []
    for target in soak.backpressure_targets:
        assert soak.list_late_requests(target) == [], target.name
        if gateway_fault is GatewayFault.NONE:
            # Guards against a notice that expires at the other gateways while
            # the target still leaves: one of them asked it 10 s later.
            assert soak.list_repeated_notices(target) == [], target.name
