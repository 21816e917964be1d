"""Detection of the request that crashes targets among those that ran there."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from magnoliacove.limits.crashes import CrashHistory
from magnoliacove.limits.runs import CrashedRun


class _Clock:
    def __init__(self):
        self.now = 1000.0

    def read(self):
        return self.now


class _Case:
    """A crash history with short methods to fill and query it."""

    def __init__(self):
        self.clock = _Clock()
        self.history = CrashHistory(self.clock.read)

    def crash(self, target, *runs, seconds=0.1, own=True):
        """Record a target's crash during runs, each (request, attempt)."""
        for fingerprint, attempt in runs:
            run = CrashedRun(fingerprint, attempt, target, seconds)
            self.history.note_crash(run, own=own)
        self.clock.now += 0.5

    def find(self, *known):
        return self.history.find_causes(known)


def test_three_crashes_in_several_attempts_make_a_cause():
    case = _Case()
    case.crash("i-1", ("bad", 1), ("a", 10))
    case.crash("i-2", ("bad", 1), ("b", 11))
    assert case.find() == {}
    case.crash("i-3", ("bad", 2), ("c", 12))
    assert case.find() == {"bad": 3}
    assert case.find("bad") == {}


def test_a_single_attempt_is_not_a_cause():
    """A stream whose engine crashes is moved to the next engine together with
    the cause, again and again.  It runs at four crashes without being the
    cause of any.
    """
    case = _Case()
    for number in range(4):
        case.crash(f"i-{number}", ("unlucky", 1))
    assert case.find() == {}


def test_the_next_crash_distinguishes_two_candidates():
    case = _Case()
    for number in range(3):
        both = ("bad", number), ("beside", number)
        case.crash(f"i-{number}", *both)
    assert case.find() == {}
    case.crash("i-3", ("bad", 3))
    assert case.find() == {"bad": 4}


def test_explained_crashes_do_not_count_against_others():
    """A request ran at three of the five crashes of another one, so each of
    its crashes already has a cause.
    """
    case = _Case()
    for number in range(5):
        beside = [("beside", number)] if number < 3 else []
        case.crash(f"i-{number}", ("bad", number), *beside)
    assert case.find() == {"bad": 5}
    case.crash("i-9", ("beside", 9))
    assert case.find("bad") == {}


def test_two_causes_are_both_found():
    case = _Case()
    for number in range(3):
        case.crash(f"i-{number}", ("bad", number))
        case.crash(f"j-{number}", ("worse", number))
    assert set(case.find()) == {"bad", "worse"}


def test_each_answer_raises_the_number_of_crashes_needed():
    """A harmless request that arrives often runs at many crashes.  Each answer
    that any gateway gave counts in its favour.
    """
    case = _Case()
    case.history.note_answered("often")
    case.history.take_answered("g-2", {"often": 1})
    for number in range(8):
        case.crash(f"i-{number}", ("often", number))
    assert case.find() == {}
    case.crash("i-8", ("often", 8))
    assert case.find() == {"often": 9}


def test_answers_expire():
    """A request was answered for hours.  Then the targets load other weights,
    and the request crashes each of them.
    """
    case = _Case()
    for _ in range(100):
        case.history.note_answered("changed")
    case.clock.now += 61.0
    for number in range(3):
        case.crash(f"i-{number}", ("changed", number))
    assert case.find() == {"changed": 3}
    assert case.history.list_answered() == {}


def test_a_long_run_shows_that_a_request_is_harmless():
    """A long stream runs at four crashes, at the first after five seconds, so
    it does not crash a target within a tenth of a second.
    """
    case = _Case()
    case.crash("i-0", ("long", 1), seconds=5.0)
    for number in range(1, 4):
        case.crash(f"i-{number}", ("long", number))
    assert case.find() == {}
    quiet = _Case()
    for number in range(3):
        quiet.crash(f"i-{number}", ("late", number), seconds=4.0 + number / 4)
    assert quiet.find() == {"late": 3}
    quiet.history.note_run("late", 9.0)
    assert quiet.find() == {}


def test_a_request_is_suspected_after_several_attempts():
    case = _Case()
    case.crash("i-1", ("bad", 1))
    case.crash("i-2", ("bad", 1))
    assert not case.history.is_suspected("bad")
    case.crash("i-3", ("bad", 2))
    assert case.history.is_suspected("bad")
    case.history.note_answered("bad")
    assert not case.history.is_suspected("bad")


def test_cleared_crashes_no_longer_count():
    """A request was quarantined wrongly and then answered.  Peers report the
    same crashes for a while, which must not begin another quarantine.
    """
    case = _Case()
    ends = [CrashedRun("good", n, f"i-{n}", 0.1) for n in range(3)]
    for run in ends:
        case.history.note_crash(run)
    assert case.find() == {"good": 3}
    case.history.clear_crashes("good")
    for run in ends:
        assert not case.history.note_crash(run, own=False)
    assert case.find() == {}
    assert not case.history.has_recent_crash("good")


def test_crashes_expire():
    case = _Case()
    for number in range(3):
        case.crash(f"i-{number}", ("bad", number))
    case.clock.now += 601.0
    case.history.forget_old()
    assert case.find() == {}
    run = CrashedRun("bad", 1, "i-9", 0.1)
    assert not case.history.note_crash(run, age=600.0)


def test_memory_and_reports_are_bounded():
    """Callers send ever new requests while targets crash."""
    case = _Case()
    for number in range(5000):
        case.history.note_answered(f"f{number}")
        case.crash(f"i-{number}", (f"f{number}", number))
        case.clock.now -= 0.5
    assert len(case.history.list_own()) <= 16
    assert len(case.history.list_answered()) <= 16
    assert len(case.history._requests) <= 1024
    assert len(case.history._answered) <= 4096
    for number in range(100):
        case.crash(f"j-{number}", ("f", number))
    assert len(case.history._requests["f"].crashes) <= 16
    case.clock.now += 11.0
    assert case.history.list_own() == []
    assert case.history._own == []


_ENDS = [
    CrashedRun(fingerprint, attempt, target, 0.1)
    for fingerprint, attempt, target in (
        ("bad", 1, "i-1"),
        ("bad", 1, "i-2"),
        ("bad", 2, "i-3"),
        ("bad", 3, "i-4"),
        ("beside", 4, "i-1"),
        ("beside", 5, "i-2"),
        ("other", 6, "i-4"),
    )
]


@hypothesis.given(
    strategies.permutations(_ENDS * 2),
    strategies.integers(0, 2**14 - 1),
)
def test_order_and_duplicates_of_reports_do_not_matter(ends, lost):
    """Heartbeats are lost, duplicated and late.  Gateways that have received
    all crashes find the same cause, and one that lacks some finds no other.
    """
    whole, part = _Case(), _Case()
    for place, run in enumerate(ends):
        whole.history.note_crash(run, own=place % 2 == 0)
        if not lost >> place & 1:
            part.history.note_crash(run, own=False)
    assert whole.find() == {"bad": 4}
    assert set(part.find()) <= {"bad"}


@pytest.mark.parametrize("pause", [0.3, 1.0, 4.0])
@pytest.mark.parametrize("seed", range(20))
def test_streams_that_move_with_the_cause_are_not_causes(seed, pause):
    """Forty streams run at an engine when it crashes.  Most are moved to the
    next engine together with the cause, which crashes that one as well.

    New streams arrive all the time, some failed ones are retried, and one
    harmless request arrives more often than the cause.  Only the cause is
    found, before it crashes more than three targets that its quarantine could
    have protected.
    """
    rng, case = random.Random(seed), _Case()
    attempts = iter(range(1000, 100_000))
    streams = [(f"s{n}", n, rng.uniform(0.0, 6.0)) for n in range(40)]
    ended_at = []
    while not case.find():
        here = [stream for stream in streams if rng.random() < 0.7]
        here += [("bad", len(ended_at) // 2, 0.0)]
        here += [("often", next(attempts), 0.3) for _ in range(3)]
        for fingerprint, attempt, age in here:
            run = CrashedRun(fingerprint, attempt, f"i-{len(ended_at)}", age)
            case.history.note_crash(run)
        ended_at.append(case.clock.now)
        if rng.random() < 0.5:
            case.history.note_answered("often")
        streams = [
            (name, next(attempts) if rng.random() < 0.3 else attempt, 0.2)
            for name, attempt, _ in streams[rng.randrange(5) :]
        ]
        while len(streams) < 40:
            streams.append((f"n{next(attempts)}", next(attempts), 0.1))
        case.clock.now += rng.uniform(0.1, pause)
    assert set(case.find()) == {"bad"}
    late = [at for at in ended_at if at > ended_at[2] + 3.0]
    assert len(late) <= 3
