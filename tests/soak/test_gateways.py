"""Concurrent runs of the soak do not interfere with each other."""

from soak.gateways import name_host


def test_concurrent_runs_share_no_address():
    """In two concurrent runs of one seed, a write seemed to run twice.

    Their gateways listened on the same addresses and ports, so that callers
    of each run were also served by the gateways of the other.
    """
    hosts = {
        name_host(number, run)
        for run in (1, 2, 255, 256, 257, 21_195, 21_196)
        for number in range(40)
    }
    assert len(hosts) == 7 * 40
    assert "127.0.0.1" not in hosts
