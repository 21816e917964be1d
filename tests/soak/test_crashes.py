"""A request that crashes every engine that runs it.

Guards against gateways that discard a request with its answer: a request that
is repeated at any gateway with the same path, caller and body then counts as
new each time.  Each engine crashed 0.1 s after the start of the request, and
all its streams moved to the next engine together with the request.  For tens
of seconds, a tenth to a third of all streams broke off or were late on all
gateways.  Without quarantine, 23 to 27 engines crashed later than 3 s after
the third crash in each of the soaks below, all of them by this request.
"""

import pytest
import trio

from soak import crashes
from soak.gateway_faults import GatewayFault

# Seconds after the third crash within which all gateways must receive it.
_PROPAGATION_TIME = 3.0
# Further runs that the users' requirements allow after this time.
_MAX_LATE_RUNS = 3
# Share of other streams that must be served once the request is quarantined:
# as without crashes, one in twenty may hit an engine or a gateway that has
# just ended.
_MIN_SERVED = 0.95
_SECONDS = 18.0
# Seconds at the end over which served streams are counted; gateways are killed
# until two seconds before this period.
_CALM_SECONDS = 4.0


# Instances whose crashed engine does not refuse connections but resets them or
# leaves them unanswered until its restart.  Then only the new start time
# reveals the crash.  An instance was probed three times within two seconds and
# taken for alive, so that no crash was ever attributed to the request: 50
# engines crashed in 24 seconds, 42 of them later than three seconds after the
# third crash.
_NOT_REFUSING = [
    (GatewayFault.NONE, crashes.EngineFault.RESETS),
    (GatewayFault.ALL, crashes.EngineFault.RESETS),
    (GatewayFault.NONE, crashes.EngineFault.SILENT),
    (GatewayFault.IN_TURN, crashes.EngineFault.SILENT),
]
_REFUSING = [(fault, crashes.EngineFault.REFUSES) for fault in GatewayFault]


@pytest.mark.parametrize(
    ("gateway_fault", "engine_fault"),
    [*_REFUSING, *_NOT_REFUSING],
    ids=lambda value: value.name,
)
def test_a_request_that_crashes_engines_is_quarantined(
    gateway_fault, engine_fault, tmp_path
):
    soak = crashes.CrashSoak(1, gateway_fault, tmp_path, engine_fault)
    assert trio.run(soak.run, _SECONDS) == []
    assert len(soak.engine_crashes) >= 3
    assert len(soak.list_late_runs(_PROPAGATION_TIME)) <= _MAX_LATE_RUNS
    others = soak.measure_served(["/stream/own"], _CALM_SECONDS)
    assert others >= _MIN_SERVED
    repeated = soak.measure_served([crashes.REPEATED], _CALM_SECONDS)
    assert repeated >= _MIN_SERVED
