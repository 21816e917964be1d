"""A short soak of real processes, and seeds that failed once."""

import pytest
import trio

from soak.play import Soak

# Seeds of ``python -m soak --seconds 10`` that broke a promise once, with
# what was the matter.
FAILED_ONCE: dict[int, str] = {}


@pytest.mark.parametrize("seed", [101, *FAILED_ONCE])
def test_no_promise_is_broken(seed, tmp_path):
    soak = Soak(seed, 2, tmp_path)
    assert trio.run(soak.play, 4.0) == []
