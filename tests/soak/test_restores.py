"""Real gateways before a store that comes back from older copies of itself.

What callers see where a gateway takes such a store for the one before: their
requests go to engines that left, or are cut off when an engine ends whose
leaving was not believed; two gateways place layers and undo each other.
"""

import pytest
import trio

from soak.restores import Beside
from soak.restores import RestoreSoak


@pytest.mark.parametrize("beside", list(Beside), ids=lambda one: one.name)
def test_no_promise_is_broken(beside, tmp_path):
    soak = RestoreSoak(7, 3, tmp_path, beside)
    assert trio.run(soak.play, 6.0) == []
