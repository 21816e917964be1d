"""A short soak of real processes, and seeds that failed once."""

import pytest
import trio

from soak.play import Soak

# Seeds of ``python -m soak --seconds 10`` that broke a promise once, with
# what was the matter.
FAILED_ONCE = {
    15: "a reload while a gateway was starting ended its process",
}


@pytest.mark.parametrize(
    ("seed", "gateways", "seconds"),
    [(101, 2, 4.0), *((seed, 3, 10.0) for seed in FAILED_ONCE)],
)
def test_no_promise_is_broken(seed, gateways, seconds, tmp_path):
    soak = Soak(seed, gateways, tmp_path)
    assert trio.run(soak.play, seconds) == []
