"""Metrics of what happened before anybody asked for them."""

import pytest

from magnoliacove import metrics


@pytest.mark.parametrize("updates", [3, metrics._MAX_PENDING_UPDATES + 3])
def test_nothing_is_lost_before_the_first_reading(updates):
    """The library of metrics is loaded with the first reading, seconds after
    the start.  What callers were answered until then counts all the same.
    """
    meters = metrics.Meters(lambda: {"peers_live": 2.0}, lambda: True)
    for _ in range(updates):
        meters.count("requests_total", result="ok")
        meters.observe("first_event_seconds", 0.07)
    text = meters.render().decode()
    assert f'magnoliacove_requests_total{{result="ok"}} {updates}' in text
    assert f"magnoliacove_first_event_seconds_count {updates}" in text
    assert "magnoliacove_peers_live 2.0" in text
