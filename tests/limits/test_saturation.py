"""Which services are full, and when they no longer are."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliacove import timeline
from magnoliacove.limits.saturation import Saturation


class _Clock:
    now = 100.0

    def __call__(self):
        return self.now


def _make():
    recorder, clock = timeline.Recorder("p"), _Clock()
    return Saturation(recorder, clock), recorder, clock


def _wait_for(saturation, clock, seconds):
    for _ in range(round(seconds / 0.05)):
        saturation.note_waiting("llm", 5)
        clock.now += 0.05


def test_one_request_that_waits_shortly_is_no_overload():
    saturation, recorder, clock = _make()
    saturation.note_waiting("llm", 1)
    clock.now += 0.1
    saturation.note_waiting("llm", 1)
    saturation.note_refusal("llm")
    assert not saturation.is_full("llm")
    assert not recorder.list_events()


def test_refusals_for_lack_of_room_show_it_before_requests_wait():
    """Engines fill up, and gateways whose requests find a path are refused."""
    saturation, _, clock = _make()
    saturation.note_refusal("llm")
    assert not saturation.is_full("llm")
    clock.now += 0.3
    saturation.note_refusal("llm")
    assert saturation.is_full("llm")


def test_begin_and_end_are_logged_once_with_their_inputs():
    """Three times the usual demand for a second, then calm."""
    saturation, recorder, clock = _make()
    _wait_for(saturation, clock, 1.0)
    assert saturation.list_full() == ["llm"]
    assert not saturation.is_full("desk")
    saturation.note_refusal("llm")
    clock.now += 1.1
    assert not saturation.is_full("llm")
    saturation.end_calm()
    saturation.end_calm()
    began, ended = recorder.list_events()
    assert (began.kind, ended.kind) == ("service-full", "service-not-full")
    assert began.detail["waiting"] == 5
    assert ended.detail["refusals"] == 1
    assert ended.detail["calm"] > 1.0


@given(st.lists(st.floats(0.01, 3.0), max_size=40))
def test_it_is_full_only_soon_after_a_sign(pauses):
    saturation, _, clock = _make()
    for pause in pauses:
        saturation.note_waiting("llm", 1)
        clock.now += pause
        if pause > 1.0:
            assert not saturation.is_full("llm")
