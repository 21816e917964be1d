"""A model without a whole path: who waits for it, and who is told at once."""

import pytest
import trio

from magnoliacove import errors
from magnoliacove.limits.gaps import GapClock
from magnoliacove.limits.room import RoomQueue


class _Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def test_a_gap_is_expected_to_last_as_long_as_those_before():
    time = _Time()
    gaps = GapClock(time)
    assert gaps.read_left() == 0.0
    gaps.note(False)
    assert gaps.read_left() == 2.0
    time.now += 1.5
    assert gaps.read_left() == pytest.approx(0.5)
    time.now += 3.0
    assert gaps.read_left() == pytest.approx(0.3)


def test_a_gap_that_is_met_to_its_end_is_learned():
    time = _Time()
    gaps = GapClock(time)
    for _ in range(45):
        gaps.note(False)
        time.now += 0.1
    gaps.note(True)
    assert gaps.read_left() == 0.0
    assert gaps.usual == pytest.approx(2.75)


@pytest.mark.parametrize("whole", [True, False])
def test_a_gap_that_ended_unseen_is_not_taken_for_a_long_one(whole):
    """One request meets a short gap, the next one comes after a quiet hour.
    Taken for a gap of an hour, all requests of the next gap would be
    refused at once, though a path is there again in two seconds.
    """
    time = _Time()
    gaps = GapClock(time)
    gaps.note(False)
    time.now += 3600.0
    gaps.note(whole)
    assert gaps.usual < 2.0
    assert gaps.read_left() == (0.0 if whole else gaps.usual)


async def test_what_cannot_be_served_in_time_is_refused_at_once(
    autojump_clock,
):
    """No engine holds a layer, and placing it takes two seconds.  Requests
    were held for 1.5 s and refused then; now the caller is told at once
    when to come back.  One whose patience outlasts the gap waits.
    """
    queue, gaps = RoomQueue(), GapClock()
    gaps.note(False)
    began = trio.current_time()
    with pytest.raises(errors.RequestError) as caught:
        await queue.wait_path(
            lambda: None,
            priority=1,
            fresh_until=began + 0.5,
            patience=1.5,
            read_delay=gaps.read_left,
        )
    assert trio.current_time() == began
    assert caught.value.status == 503
    assert 2.0 <= caught.value.retry_after <= 4.0
    with pytest.raises(errors.RequestError):
        await queue.wait_path(
            lambda: None,
            priority=1,
            fresh_until=began + 0.5,
            patience=2.5,
            read_delay=gaps.read_left,
        )
    assert trio.current_time() == pytest.approx(began + 2.5)
