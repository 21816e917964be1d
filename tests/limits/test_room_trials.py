"""Trials that find capacity which is left to others and not used."""

import random

from hypothesis import given
from hypothesis import strategies as st

from magnoliacove.limits.room_trials import MAX_HOLD
from magnoliacove.limits.room_trials import RoomTrials


class _Room:
    """A number of free slots, and a request that is held back."""

    def __init__(self, seed, free):
        self.now, self.free = 0.0, free
        self.trials = RoomTrials(random.Random(seed), lambda: self.now)

    def look(self):
        """Try as many requests as a pass over the queue does."""
        used = 0
        for _ in range(8):
            self.trials.close_trial()
            if not self.trials.may_try(3):
                break
            if self.free:
                self.free -= 1
                used += 1
                self.trials.note_used(3)
        return used


@given(st.integers(0, 99), st.integers(1, 64))
def test_unused_capacity_is_found_within_the_bound(seed, free):
    """All gateways with more urgent requests hang or are cut off.

    64 free slots are in use after at most MAX_HOLD and, as the trials double,
    one second more.
    """
    room = _Room(seed, free)
    while room.free:
        room.look()
        room.now += 0.025
        assert room.now < MAX_HOLD + 1.1


@given(st.integers(0, 99))
def test_used_capacity_is_tried_seldom(seed):
    """What is left is used by others, but for a slot now and then."""
    room, used = _Room(seed, 0), 0
    while room.now < 20.0:
        room.free = int(room.now * 40) % 20 == 0
        used += room.look()
        room.now += 0.025
    assert used <= 20.0 / (MAX_HOLD / 2)


def test_a_request_that_is_not_held_back_ends_no_trial():
    """A begun answer gets capacity just after a trial got none."""
    room = _Room(1, 0)
    room.trials.may_try(3)
    room.now = MAX_HOLD
    assert room.trials.may_try(3)
    room.trials.note_used(-1)
    room.trials.close_trial()
    assert not room.trials.may_try(3)
