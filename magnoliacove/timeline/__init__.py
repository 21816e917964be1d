"""Events of all processes and their causal order."""

from magnoliacove.timeline.clock import Clock
from magnoliacove.timeline.clock import make_reading
from magnoliacove.timeline.clock import split_reading
from magnoliacove.timeline.events import Event
from magnoliacove.timeline.events import Recorder

__all__ = ["Clock", "Event", "Recorder", "make_reading", "split_reading"]
