"""A short soak of real processes, and seeds that failed before."""

import pytest
import trio

from soak.play import Soak

# Seeds of ``python -m soak --seconds 10`` that once broke a promise, and the
# cause of the failure.
FAILED_ONCE = {
    15: "a reload while a gateway was starting ended its process",
}


@pytest.mark.parametrize(
    ("seed", "gateways", "seconds"),
    [(101, 2, 4.0), *((seed, 3, 10.0) for seed in FAILED_ONCE)],
)
def test_no_promise_is_broken(seed, gateways, seconds, tmp_path):
    soak = Soak(seed, gateways, tmp_path)
    assert trio.run(soak.run, seconds) == []
