"""A part of many prompts that crashes every engine that runs it.

Guards against gateways that know a request by its whole content only: no two
of these requests are alike, so each counts as new, is sent to an engine and,
once that has crashed, to a second one.  All streams of the engine fail or
move on together with it.  Without quarantine of the part, 15 to 27 requests
reached engines later than 3 s after the fifth crash.
"""

import pytest
import trio

from soak.crashes import EngineFault
from soak.gateway_faults import GatewayFault
from soak.parts import PartCrashSoak
from soak.parts import PartPlan

# Seconds after the fifth crash within which all gateways must know the part.
_PROPAGATION_TIME = 3.0
# Further requests that the users' requirements allow after this time.
_MAX_LATE_ARRIVALS = 3
# Share of sound streams that must be served once the part is quarantined: as
# without crashes, one in twenty may hit an engine that has just ended.
_MIN_SERVED = 0.95
_SECONDS = 18.0
# Seconds at the end over which served streams are counted; gateways are killed
# until two seconds before this period.
_CALM_SECONDS = 4.0
_REFUSES = EngineFault.REFUSES

_CASES = {
    "second part": (GatewayFault.NONE, _REFUSES, PartPlan()),
    "first part": (GatewayFault.NONE, _REFUSES, PartPlan(first=True)),
    "silent instances": (GatewayFault.NONE, EngineFault.SILENT, PartPlan()),
    "resetting instances": (GatewayFault.ALL, EngineFault.RESETS, PartPlan()),
    "all gateways killed": (
        GatewayFault.ALL,
        _REFUSES,
        PartPlan(first=True),
    ),
    "gateways killed in turn": (GatewayFault.IN_TURN, _REFUSES, PartPlan()),
    "two parts": (GatewayFault.NONE, _REFUSES, PartPlan(second_at=6.0)),
}


@pytest.mark.parametrize("case", _CASES)
def test_a_part_that_crashes_engines_is_quarantined(case, tmp_path):
    gateway_fault, engine_fault, plan = _CASES[case]
    soak = PartCrashSoak(1, gateway_fault, tmp_path, engine_fault, plan)
    assert trio.run(soak.run, _SECONDS) == []
    assert len(soak.engine_crashes) >= 3
    late = soak.list_late_arrivals(_PROPAGATION_TIME)
    assert len(late) <= _MAX_LATE_ARRIVALS
    assert soak.measure_sound(_CALM_SECONDS) >= _MIN_SERVED
