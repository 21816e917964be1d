"""Real gateways with a store that is restored from older snapshots.

Guards against gateways that do not notice the restore: requests go to engines
that have left, or break off when an engine ends whose drain was ignored; two
gateways place layers and undo each other's orders.
"""

import pytest
import trio

from soak.restores import ConcurrentFault
from soak.restores import RestoreSoak


@pytest.mark.parametrize(
    "concurrent", list(ConcurrentFault), ids=lambda fault: fault.name
)
def test_no_promise_is_broken(concurrent, tmp_path):
    soak = RestoreSoak(7, 3, tmp_path, concurrent)
    assert trio.run(soak.run, 6.0) == []
