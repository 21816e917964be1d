"""Metrics that are updated before the first request for them."""

import pytest

from magnoliacove import metrics


@pytest.mark.parametrize("updates", [3, metrics._MAX_PENDING_UPDATES + 3])
def test_updates_before_the_first_request_are_counted(updates):
    """The metrics library is loaded on the first request for metrics, seconds
    after the start.  Updates until then are buffered and must be counted.
    """
    meters = metrics.Meters(lambda: {"peers_live": 2.0}, lambda: True)
    for _ in range(updates):
        meters.count("requests_total", result="ok")
        meters.observe("first_event_seconds", 0.07)
    text = meters.render().decode()
    assert f'magnoliacove_requests_total{{result="ok"}} {updates}' in text
    assert f"magnoliacove_first_event_seconds_count {updates}" in text
    assert "magnoliacove_peers_live 2.0" in text
