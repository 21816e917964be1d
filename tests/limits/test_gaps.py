"""Gaps in a model's layers: their estimates, and who waits or is refused."""

import pytest
import trio

from magnoliacove import errors
from magnoliacove.limits.capacity import CapacityQueue
from magnoliacove.limits.gaps import GapEstimator


class _Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def test_a_gap_is_expected_to_last_as_long_as_those_before():
    time = _Time()
    gaps = GapEstimator(time)
    assert gaps.estimate_remaining() == 0.0
    gaps.note(False)
    assert gaps.estimate_remaining() == 2.0
    time.now += 1.5
    assert gaps.estimate_remaining() == pytest.approx(0.5)
    time.now += 3.0
    assert gaps.estimate_remaining() == pytest.approx(0.3)


def test_an_observed_gap_updates_the_estimate():
    time = _Time()
    gaps = GapEstimator(time)
    for _ in range(45):
        gaps.note(False)
        time.now += 0.1
    gaps.note(True)
    assert gaps.estimate_remaining() == 0.0
    assert gaps.mean_duration == pytest.approx(2.75)


@pytest.mark.parametrize("complete", [True, False])
def test_a_gap_whose_end_is_not_observed_does_not_count_as_long(complete):
    """One request observes a short gap, and the next one arrives an hour
    later.  If that counted as a gap of an hour, all requests of the next gap
    would be refused at once, though a path exists again in two seconds.
    """
    time = _Time()
    gaps = GapEstimator(time)
    gaps.note(False)
    time.now += 3600.0
    gaps.note(complete)
    assert gaps.mean_duration < 2.0
    assert gaps.estimate_remaining() == (
        0.0 if complete else gaps.mean_duration
    )


async def test_requests_that_a_gap_outlasts_are_refused_at_once(
    autojump_clock,
):
    """A layer is loaded on no engine, and placing it takes two seconds.  A
    request with a timeout of 1.5 s must not wait until it times out, but is
    refused at once with a `Retry-After`.  One with a longer timeout waits.
    """
    queue, gaps = CapacityQueue(), GapEstimator()
    gaps.note(False)
    began = trio.current_time()
    with pytest.raises(errors.RequestError) as caught:
        await queue.wait_path(
            lambda: None,
            priority=1,
            fresh_until=began + 0.5,
            timeout=1.5,
            read_delay=gaps.estimate_remaining,
        )
    assert trio.current_time() == began
    assert caught.value.status == 503
    assert 2.0 <= caught.value.retry_after <= 4.0
    with pytest.raises(errors.RequestError):
        await queue.wait_path(
            lambda: None,
            priority=1,
            fresh_until=began + 0.5,
            timeout=2.5,
            read_delay=gaps.estimate_remaining,
        )
    assert trio.current_time() == pytest.approx(began + 2.5)
