"""The program that counts answers cut off attributes each of them rightly."""

from dataclasses import replace

from measure import cuts
from measure.scripted_engines import EngineScript

_CALLERS = 6
_QUICK = EngineScript(events=4, interval=0.01, pause_share=0.0)


async def _play(script, **changes):
    engines = (cuts.Engine("i-1", script), cuts.Engine("i-2", script))
    case = cuts.Case("test", path="/once/", engines=engines, **changes)
    return await cuts.play(case, 1, _CALLERS)


async def test_sound_engines_give_whole_answers():
    """Guards against a program that finds cuts where there are none."""
    counts = await _play(_QUICK)
    assert (counts.begun, counts.whole) == (_CALLERS, _CALLERS)
    assert not counts.cut


async def test_an_engines_cuts_are_counted_as_its_own():
    """Guards against blaming the gateway for runs that engines break off."""
    counts = await _play(replace(_QUICK, broken_share=1.0))
    assert counts.cut == {"engine": counts.begun}
    assert counts.served == 0


async def test_a_cut_by_the_gateway_of_a_served_stream_is_found():
    """Guards against a program that misses the fault it was made to find.

    The engine pauses for longer than the caller's deadline, at which the
    gateway ends the answer.
    """
    pausing = replace(_QUICK, events=40, interval=0.2)
    counts = await _play(pausing, deadline=1.0)
    assert counts.cut == {"gateway": _CALLERS}
    assert counts.served == _CALLERS
    assert counts.traces
