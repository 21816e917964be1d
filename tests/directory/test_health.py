"""How long targets are suspected or known to be leaving."""

from magnoliacove import timeline
from magnoliacove.directory.health import Health


class _Time:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def _make_health(time):
    return Health(timeline.Recorder("p"), time)


def test_leaving_does_not_lengthen_the_next_suspicion():
    """A lost packet soon after a health check that was wrong cost the target
    16 s without work, where the first suspicion lasts 2 s.
    """
    time = _Time()
    health = _make_health(time)
    health.suspect("i-1", "its health check says so", leaving=True)
    time.now += 10.1
    health.suspect("i-1", "no report")
    time.now += 2.1
    assert health.is_usable("i-1")
