"""Which part of a prompt crashes targets, over drawn courses."""

from dataclasses import dataclass
from dataclasses import field
import random

from hypothesis import given
from hypothesis import strategies as st

from magnoliacove.limits.crashing_parts import PROVEN_AFTER
from magnoliacove.limits.crashing_parts import PartHistory
from magnoliacove.limits.part_crashes import FoundPart
from magnoliacove.limits.runs import CrashedRun


@dataclass
class _Engine:
    """One engine: which runs are there, and until when it is down.

    :param life: number of its starts.
    """

    number: int
    life: int = 0
    down_until: float = 0.0
    runs: list["_Run"] = field(default_factory=list)

    @property
    def name(self):
        return f"i-{self.number}-{self.life}"


@dataclass
class _Run:
    request: int
    gateway: int
    parts: tuple[str, ...]
    began_at: float
    lasts: float
    sent_on: bool = False
    proven: bool = False


class _Course:
    """Requests before engines that crash, without a network.

    Each gateway has a history of its own, and tells the others what it has
    found with a delay.

    :param bad: parts that crash engines, and from when on.
    :param rate: requests a second, sound ones and ones with each bad part.
    :param delay: seconds until the others hear of a crash.
    :param documents: number of documents of which a sound prompt has one.
    """

    def __init__(
        self, seed, *, bad, rate=(20.0, 2.0), delay=0.2, documents=4, engines=9
    ):
        self.now = 0.0
        self.arrivals = {part: [] for part in bad}
        self.crashes = {part: [] for part in bad}
        self.refused, self.sound = [], 0
        self.found = {}
        self._rng = random.Random(seed)
        self._bad, self._rate, self._delay = bad, rate, delay
        self._documents = documents
        self._engines = [_Engine(number) for number in range(engines)]
        self._histories = [PartHistory(lambda: self.now) for _ in range(4)]
        self._pending = []
        self._reported_at = self._unsettled_at = 0.0
        self._numbers = 0

    def play(self, seconds, step=0.05):
        while self.now < seconds:
            self.now += step
            sound, bad = self._rate
            if self._rng.random() < sound * step:
                self._send(self._draw_sound())
            for part, begin in self._bad.items():
                due = self.now >= begin
                if due and self._rng.random() < bad * step:
                    self._send(self._draw_bad(part))
            for engine in self._engines:
                self._advance(engine)
            self._exchange()
            self._decide()

    def list_late(self, part, after):
        """Return arrivals later than a time after the fifth crash."""
        times = self.crashes[part]
        if len(times) < 5:
            return []
        return [at for at in self.arrivals[part] if at > times[4] + after]

    def _draw_sound(self):
        document = self._rng.randrange(self._documents)
        return ("preamble", f"document-{document}")

    def _draw_bad(self, part):
        parts = [*self._draw_sound(), part]
        self._rng.shuffle(parts)
        return tuple(parts[: self._rng.randint(1, 3)]) + (part,)

    def _send(self, parts):
        self._numbers += 1
        gateway = self._rng.randrange(len(self._histories))
        parts = tuple(dict.fromkeys(parts))
        is_bad = any(part in self._bad for part in parts)
        self.sound += not is_bad
        history = self._histories[gateway]
        if any(map(history.is_deferred, parts)) or set(parts) & set(
            self.found
        ):
            if not is_bad:
                self.refused.append((self.now, parts))
            return
        lasts = self._rng.uniform(0.3, 6.0)
        self._begin(_Run(self._numbers, gateway, parts, self.now, lasts))

    def _begin(self, run):
        up = [e for e in self._engines if e.down_until <= self.now]
        if not up:
            return
        # Most requests go to the same few engines.
        engine = min(self._rng.choices(up, k=4), key=lambda e: e.number)
        engine.runs.append(run)
        for part in run.parts:
            if part in self._bad:
                self.arrivals[part].append(self.now)

    def _advance(self, engine):
        for run in list(engine.runs):
            age = self.now - run.began_at
            history = self._histories[run.gateway]
            if not run.proven and age >= min(run.lasts, PROVEN_AFTER + 0.1):
                run.proven = True
                for part in run.parts:
                    history.note_sound(part, age)
            if age >= run.lasts:
                engine.runs.remove(run)
        culprits = {
            part
            for run in engine.runs
            for part in run.parts
            if self._bad.get(part, self.now + 1) <= self.now
            and self.now - run.began_at >= 0.1
        }
        if culprits:
            self._crash(engine, culprits)

    def _crash(self, engine, culprits):
        for part in culprits:
            self.crashes[part].append(self.now)
        runs, engine.runs = engine.runs, []
        name = engine.name
        engine.life += 1
        engine.down_until = self.now + 2.5
        for run in runs:
            history = self._histories[run.gateway]
            seconds = self.now - run.began_at
            for part in run.parts:
                crash = CrashedRun(part, run.request, name, seconds)
                history.note_crash(crash)
                self._pending.append((self.now + self._delay, crash))
        for run in runs:
            may_go_on = not run.sent_on and not any(
                map(self._histories[run.gateway].is_suspected, run.parts)
            )
            if may_go_on and not set(run.parts) & set(self.found):
                run.sent_on, run.proven = True, False
                run.began_at = self.now
                self._begin(run)

    def _exchange(self):
        due = [item for item in self._pending if item[0] <= self.now]
        self._pending = [i for i in self._pending if i[0] > self.now]
        if due:
            self._reported_at = self.now
            self._unsettled_at = self._unsettled_at or self.now
        for _, crash in due:
            for history in self._histories:
                history.note_crash(crash, age=self._delay, own=False)
        for teller in self._histories:
            for sound in teller.list_sound():
                for history in self._histories:
                    if history is not teller:
                        history.note_sound(
                            sound.fingerprint, sound.age, own=False
                        )

    def _decide(self):
        """Attribute crashes once no more are reported, as gateways do."""
        waited = self.now - (self._unsettled_at or self.now)
        if waited < 0.75 and self.now - self._reported_at < 0.25:
            return
        self._unsettled_at = 0.0
        known = tuple(self.found)
        for history in self._histories:
            cause = history.find_cause(known, {})
            if cause is not None:
                self.found.setdefault(cause.fingerprint, self.now)
                self._reported_at = self._unsettled_at = self.now


_SEEDS = st.integers(0, 10_000)


@given(_SEEDS, st.floats(1.0, 40.0), st.floats(0.3, 4.0))
def test_the_part_that_crashes_engines_is_found_in_time(seed, sound, bad):
    """Guards against engines that end one after the other under new requests
    that share a part, with many or few sound requests beside them.
    """
    course = _Course(seed, bad={"bad": 5.0}, rate=(sound, bad))
    course.play(25.0)
    assert len(course.list_late("bad", 3.0)) <= 3
    assert len(course.crashes["bad"]) <= 12


@given(_SEEDS, st.floats(5.0, 40.0), st.integers(1, 40))
def test_shared_parts_of_sound_requests_are_not_refused(
    seed, sound, documents
):
    """Guards against a customer that is refused since its prompts share parts
    with requests that crash engines.
    """
    course = _Course(
        seed, bad={"bad": 5.0}, rate=(sound, 2.0), documents=documents
    )
    course.play(25.0)
    assert set(course.found) <= {"bad"}
    assert course.refused == []


@given(_SEEDS, st.floats(0.0, 6.0))
def test_two_parts_that_crash_engines_are_told_apart(seed, later):
    course = _Course(seed, bad={"bad": 5.0, "worse": 5.0 + later})
    course.play(30.0)
    assert course.list_late("bad", 3.0)[3:] == []
    assert course.list_late("worse", 3.0)[3:] == []
    assert set(course.found) <= {"bad", "worse"}


def _crash(history, part, request, target, seconds=0.0):
    return history.note_crash(CrashedRun(part, request, target, seconds))


class _Clock:
    def __init__(self):
        self.now = 100.0

    def read(self):
        return self.now


def _make():
    clock = _Clock()
    return clock, PartHistory(clock.read)


def test_a_part_of_one_repeated_request_is_not_the_cause():
    """Guards against a part that is refused for the sake of one request."""
    clock, history = _make()
    for number in range(9):
        clock.now += 1.0
        _crash(history, "part", 7, f"i-{number}")
    assert history.find_cause((), {}) is None


def test_one_power_failure_does_not_make_a_part_the_cause():
    """Guards against parts that are refused since all engines of a path end
    together, under young requests.
    """
    clock, history = _make()
    for number in range(6):
        clock.now += 0.05
        _crash(history, "part", number, f"i-{number}")
    assert history.find_cause((), {}) is None


def test_a_run_that_lasts_clears_a_part_of_earlier_crashes_only():
    """Guards against a part that counts as harmless for good: it crashes
    engines from the moment on that their weights change.
    """
    clock, history = _make()
    for number in range(3):
        clock.now += 1.0
        _crash(history, "part", number, f"i-{number}")
    assert history.is_suspected("part")
    clock.now += 1.5
    assert history.note_sound("part", 1.2) == 3
    assert not history.is_suspected("part")
    clock.now += 4.0
    for number in range(3, 15):
        assert history.find_cause((), {}) is None
        clock.now += 1.0
        _crash(history, "part", number, f"i-{number}")
    assert history.find_cause((), {}) == FoundPart("part", 12)


def test_a_crash_under_an_older_run_clears_its_parts():
    clock, history = _make()
    for number in range(9):
        clock.now += 1.0
        _crash(history, "part", number, f"i-{number}", seconds=1.5)
    assert history.find_cause((), {}) is None
    assert not history.has_recent_crash("part")


def test_of_parts_that_travel_together_one_is_chosen_then_the_other():
    """Guards against a cause that is never found since the part that was
    taken for it explains its crashes.
    """
    clock, history = _make()
    for number in range(6):
        assert history.find_cause((), {}) is None
        clock.now += 1.0
        for part in ("one", "other"):
            _crash(history, part, number, f"i-{number}")
    chosen = history.find_cause((), {}).fingerprint
    (left,) = {"one", "other"} - {chosen}
    assert history.find_cause((chosen,), {}) is None
    clock.now += 1.0
    _crash(history, left, 9, "i-9")
    assert history.find_cause((chosen,), {}) == FoundPart(left, 7)


def test_crashes_under_a_request_in_quarantine_do_not_count():
    clock, history = _make()
    for number in range(5):
        clock.now += 1.0
        _crash(history, "part", number, f"i-{number}")
    assert history.find_cause((), {77: ("i-0", "i-1")}) is None
    assert history.find_cause((), {77: ("i-0",)}) == FoundPart("part", 4)
    # A request that has the part ended them because of it.
    assert history.find_cause((), {3: ("i-0", "i-1")}) == FoundPart("part", 5)


def test_a_part_waits_for_a_likelier_one_that_few_requests_have_shown():
    """Guards against a harmless part that is refused since several requests
    with it ran where two requests with the cause crashed two targets each.
    """
    clock, history = _make()
    for number in range(4):
        clock.now += 1.0
        _crash(history, "cause", number // 2, f"i-{number}")
        _crash(history, "other", number, f"i-{number}")
    assert history.find_cause((), {}) is None
    for number in (8, 9):
        clock.now += 1.0
        _crash(history, "cause", number, f"i-{number}")
    assert history.find_cause((), {}) == FoundPart("cause", 6)


def test_unresponsive_targets_defer_a_part():
    """Guards against engines that end while earlier ones answer nothing, so
    that it is not known yet whether they ended.
    """
    clock, history = _make()
    for number in range(4):
        assert not history.is_deferred("part")
        clock.now += 0.2
        run = CrashedRun("part", number, f"i-{number}", 0.0)
        history.unresponsive.note(run)
    assert history.is_deferred("part")
    history.note_sound("part", 0.1)
    assert not history.is_deferred("part")


def test_what_is_kept_and_told_is_bounded():
    clock, history = _make()
    for number in range(5000):
        clock.now += 0.001
        _crash(history, f"part-{number}", number, f"i-{number}")
    for number in range(40):
        _crash(history, "part-0", number, f"j-{number}")
    assert len(history.list_own()) == 8
    assert len(history.list_crashes("part-0")) == 16
    assert history.list_own()[0][0].fingerprint == "part-0"
    assert history.list_crashes("part-100") == frozenset()
    clock.now += 700.0
    history.forget_old()
    assert history.list_crashes("part-4999") == frozenset()


def test_parts_that_were_cleared_here_are_told():
    clock, history = _make()
    _crash(history, "part", 1, "i-1")
    assert [run.fingerprint for run, _ in history.list_own()] == ["part"]
    clock.now += 1.5
    history.note_sound("part", 1.2)
    assert history.list_own() == []
    (sound,) = history.list_sound()
    assert (sound.fingerprint, round(sound.age, 3)) == ("part", 1.2)


def test_cleared_parts_of_unresponsive_targets_are_told():
    """Guards against a part in use that other gateways refuse for as long as
    its targets answer nothing, though its runs last elsewhere.
    """
    clock, history = _make()
    history.unresponsive.note(CrashedRun("part", 1, "i-1", 0.0))
    assert history.list_sound() == []
    clock.now += 1.5
    history.note_sound("part", 1.2)
    assert [sound.fingerprint for sound in history.list_sound()] == ["part"]
