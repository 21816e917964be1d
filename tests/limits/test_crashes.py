"""Which request ended the targets, and which merely ran there."""

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
    """A history, and ends of targets in short words."""

    def __init__(self):
        self.clock = _Clock()
        self.history = CrashHistory(self.clock.read)

    def crash(self, target, *runs, seconds=0.1, own=True):
        """Let a target end under runs, each a request and an attempt."""
        for fingerprint, attempt in runs:
            run = CrashedRun(fingerprint, attempt, target, seconds)
            self.history.note_crash(run, own=own)
        self.clock.now += 0.5

    def find(self, *known):
        return self.history.find_causes(known)


def test_a_request_at_three_ends_in_several_attempts_is_the_cause():
    case = _Case()
    case.crash("i-1", ("bad", 1), ("a", 10))
    case.crash("i-2", ("bad", 1), ("b", 11))
    assert case.find() == {}
    case.crash("i-3", ("bad", 2), ("c", 12))
    assert case.find() == {"bad": 3}
    assert case.find("bad") == {}


def test_one_attempt_alone_says_little():
    """A stream loses its engine, goes on at the next one together with the
    cause, and so on.  It was at four ends and is not the cause of any.
    """
    case = _Case()
    for number in range(4):
        case.crash(f"i-{number}", ("unlucky", 1))
    assert case.find() == {}


def test_two_that_were_at_the_same_ends_are_told_apart_by_the_next_one():
    case = _Case()
    for number in range(3):
        both = ("bad", number), ("beside", number)
        case.crash(f"i-{number}", *both)
    assert case.find() == {}
    case.crash("i-3", ("bad", 3))
    assert case.find() == {"bad": 4}


def test_who_was_at_ends_that_are_explained_is_not_a_cause():
    """A request was at three of the five ends of another one: each of its
    ends has a cause already.
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


def test_a_request_that_is_answered_needs_more_ends():
    """A harmless request comes often, so it is at many ends; each answer
    that any gateway gave it speaks for it.
    """
    case = _Case()
    case.history.note_answered("often")
    case.history.take_answered("g-2", {"often": 1})
    for number in range(8):
        case.crash(f"i-{number}", ("often", number))
    assert case.find() == {}
    case.crash("i-8", ("often", 8))
    assert case.find() == {"often": 9}


def test_an_answer_speaks_for_a_request_for_a_while():
    """A request was answered for hours.  Then the targets got other weights,
    and it ends each of them.
    """
    case = _Case()
    for _ in range(100):
        case.history.note_answered("changed")
    case.clock.now += 61.0
    for number in range(3):
        case.crash(f"i-{number}", ("changed", number))
    assert case.find() == {"changed": 3}
    assert case.history.list_answered() == {}


def test_a_run_that_went_on_for_longer_speaks_for_its_request():
    """A long stream is at three ends, at the first after five seconds: what
    it asks for does not end a target within a tenth of a second.
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


def test_a_suspected_request_is_not_repeated():
    case = _Case()
    case.crash("i-1", ("bad", 1))
    case.crash("i-2", ("bad", 1))
    assert not case.history.is_suspected("bad")
    case.crash("i-3", ("bad", 2))
    assert case.history.is_suspected("bad")
    case.history.note_answered("bad")
    assert not case.history.is_suspected("bad")


def test_ends_that_are_settled_count_no_more():
    """A request was kept away wrongly and then answered.  Peers still tell of
    the same ends for a while, and those begin nothing again.
    """
    case = _Case()
    ends = [CrashedRun("good", n, f"i-{n}", 0.1) for n in range(3)]
    for run in ends:
        case.history.note_crash(run)
    assert case.find() == {"good": 3}
    case.history.settle("good")
    for run in ends:
        assert not case.history.note_crash(run, own=False)
    assert case.find() == {}
    assert not case.history.was_at_end("good")


def test_ends_are_forgotten():
    case = _Case()
    for number in range(3):
        case.crash(f"i-{number}", ("bad", number))
    case.clock.now += 601.0
    case.history.forget_old()
    assert case.find() == {}
    run = CrashedRun("bad", 1, "i-9", 0.1)
    assert not case.history.note_crash(run, age=600.0)


def test_what_is_kept_and_told_is_bounded():
    """Callers ask for ever new things while targets end."""
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
def test_the_order_of_news_and_doubles_do_not_matter(ends, lost):
    """Heartbeats are lost, doubled and late.  Whoever has heard of all ends
    once finds the same, and whoever lacks some finds no other request.
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
def test_who_travels_with_the_cause_goes_on_being_served(seed, pause):
    """Forty streams run at an engine when it ends, and most go on together
    at the next one, with the request that ended it: it ends as well.

    New streams come all the time, some that broke off are asked for again,
    and one harmless request comes more often than the cause.  Only the cause
    is found, before it ended more than three targets that it could have been
    kept from.
    """
    rng, case = random.Random(seed), _Case()
    attempts = iter(range(1000, 100_000))
    streams = [(f"s{n}", n, rng.uniform(0.0, 6.0)) for n in range(40)]
    ended_at = []
    while not case.find():
        here = [one for one in streams if rng.random() < 0.7]
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
