"""The retry budget that all gateways share."""

from bisect import bisect_left
from dataclasses import dataclass
from dataclasses import field
import itertools
import random

from magnoliacove.limits import RetryLog
from magnoliacove.limits import SharedRetryBudget
from magnoliacove.timeline import Recorder

_RATIO, _SLACK, _WINDOW = 0.2, 248, 10.0
# The service gets 200 requests a second; from second 12 to 30 engines refuse
# 400 attempts a second, each of which asks for a retry.
_REQUESTS, _REFUSALS = 200, 400
_FAILING, _END, _STEP = 12.0, 30.0, 0.02
# Seconds between two heartbeats of a gateway, for each of the others.
_INTERVAL_PER_PEER = 0.012


@dataclass(frozen=True)
class _Report:
    name: str
    services: dict[str, tuple[int, int]]
    incarnation: int = 1
    leaving: bool = False


@dataclass
class _Gateway:
    """A gateway that counts, and tells the others in heartbeats.

    :param heard_at: when each other gateway was last heard.
    """

    name: str
    incarnation: int
    budget: SharedRetryBudget
    next_at: float
    heard_at: dict[str, float] = field(default_factory=dict)

    def report(self):
        counts = self.budget.list_counts()
        return _Report(self.name, counts, self.incarnation)

    def take(self, report, now):
        self.heard_at[report.name] = now
        self.budget.take(report)

    def forget_silent(self, limit):
        silent = [name for name, at in self.heard_at.items() if at < limit]
        for name in silent:
            del self.heard_at[name]
        if silent:
            self.budget.forget_peers(silent)


class _Fleet:
    """Gateways in virtual time, of which each gets requests and refusals.

    :param hears: whether a gateway hears another one, by their numbers, from
        just before engines fail.
    :param killed: fraction of the gateways that is killed each second.
    :param restarted_at: when all are killed and start again.
    :param at_once: whether the refusals of a second come at one moment.
    :param failing: number of gateways that get refusals, all by default.
    :param stored_count: the number of gateways that one which starts reads
        from the store.
    """

    def __init__(
        self,
        count,
        *,
        hears=lambda a, b: True,
        killed=0.0,
        restarted_at=_END,
        at_once=False,
        failing=0,
        stored_count=0,
    ):
        self.now = 0.0
        self.requests, self.retries = [], []
        self._hears, self._killed = hears, killed
        self._restarted_at = restarted_at
        self._at_once, self._failing = at_once, failing or count
        self._stored_count = stored_count
        self._rng = random.Random(count)
        self._incarnations = itertools.count(1)
        self._interval = max(0.15, _INTERVAL_PER_PEER * (count - 1))
        self._gateways = [self._start(number) for number in range(count)]

    def _start(self, number):
        budget = SharedRetryBudget(
            _RATIO,
            _SLACK,
            _WINDOW,
            lambda: self.now,
            restarted=self.now > 0.0,
            expects_peers=True,
        )
        if self.now > 0.0:
            budget.expect_gateways(self._stored_count)
        delay = self._rng.uniform(0.0, self._interval)
        return _Gateway(
            f"g-{number}", next(self._incarnations), budget, self.now + delay
        )

    def play(self):
        while self.now < _END:
            self.now += _STEP
            self._send_heartbeats()
            for _ in range(round(_REQUESTS * _STEP)):
                self._rng.choice(self._gateways).budget.note_request("llm")
                self.requests.append(self.now)
            if self.now >= _FAILING:
                self._fail()

    def _send_heartbeats(self):
        for number, sender in enumerate(self._gateways):
            if self.now < sender.next_at:
                continue
            sender.next_at += self._interval
            sender.forget_silent(self.now - max(1.2, 6 * self._interval))
            report = sender.report()
            for other, receiver in enumerate(self._gateways):
                cut = self.now >= _FAILING - 1.0
                if other != number and (not cut or self._hears(other, number)):
                    receiver.take(report, self.now)

    def _fail(self):
        step = round((self.now - _FAILING) / _STEP)
        first_of_second = step % round(1 / _STEP) == 0
        refusals = round(_REFUSALS * _STEP)
        if self._at_once:
            refusals = _REFUSALS if first_of_second else 0
        for _ in range(refusals):
            number = self._rng.randrange(self._failing)
            if self._gateways[number].budget.try_spend("llm"):
                self.retries.append(self.now)
        if first_of_second:
            self._restart()

    def _restart(self):
        count = len(self._gateways)
        killed = round(self._killed * count)
        if self.now >= self._restarted_at:
            self._restarted_at, killed = _END, count
        for number in self._rng.sample(range(count), killed):
            self._gateways[number] = self._start(number)

    def measure_excess(self):
        """Return the retries of the worst window over what is allowed."""
        starts = [step * 0.1 for step in range(round(_END / 0.1))]
        return max(
            _count(self.retries, start)
            / (_RATIO * self._count_requests(start) + _SLACK)
            for start in starts
        )

    def _count_requests(self, start):
        """Return the requests that the users count for a window."""
        earlier = (start, start - _WINDOW / 2, start - _WINDOW)
        return max(_count(self.requests, moment) for moment in earlier)


def _count(times, start):
    return bisect_left(times, start + _WINDOW) - bisect_left(times, start)


def _is_same_half(a, b):
    return a % 2 == b % 2


_CASES = {
    "all hear each other": {},
    "refusals come at once": {"at_once": True},
    "half does not hear the other half": {"hears": _is_same_half},
    "half is not heard by the other half": {
        "hears": lambda a, b: a % 2 >= b % 2
    },
    "none hears any": {"hears": lambda a, b: False},
    "a third is killed each second": {"killed": 1 / 3},
    "all start again at once": {"restarted_at": 20.0},
    "all start again once the budget is spent": {"restarted_at": 14.0},
}


def test_retries_of_all_gateways_share_one_bound():
    """Three gateways observe the same failure, and each would retry.  The
    retries of the others count, so together they stay below the bound.
    """
    now = 0.0
    budgets = [SharedRetryBudget(0.2, 20, 10.0, lambda: now) for _ in "abc"]
    for budget, other in itertools.permutations(budgets, 2):
        budget.take(_Report(f"g-{budgets.index(other)}", {}))
    now = 10.0
    for _ in range(30):
        for budget in budgets:
            budget.note_request("llm")
    spent = 0
    for _ in range(40):
        for number, budget in enumerate(budgets):
            spent += budget.try_spend("llm")
            for other in budgets:
                if other is not budget:
                    other.take(_Report(f"g-{number}", budget.list_counts()))
    assert 0.5 * (0.2 * 90 + 20) < spent <= 0.2 * 90 + 20


def test_retries_leave_the_window():
    now = 0.0
    budget = SharedRetryBudget(0.0, 10, 10.0, lambda: now)
    assert [budget.try_spend("llm") for _ in range(10)].count(True) == 8
    now = 10.5
    assert budget.try_spend("llm")
    assert budget.try_spend("desk")


def test_a_line_a_second_tells_what_the_budget_was_computed_from():
    now, recorder = 100.0, Recorder("g-1")
    budget = SharedRetryBudget(
        0.2, 10, 10.0, lambda: now, RetryLog(recorder, lambda: now)
    )
    budget.take(_Report("g-2", {"llm": (50, 3)}))
    budget.note_request("llm")
    for _ in range(12):
        budget.try_spend("llm")
        now += 0.125
    first, second = recorder.list_events()
    assert (first.kind, first.detail["spent"]) == ("retries-used", 1)
    assert second.detail["spent"] + second.detail["denied"] == 8
    assert second.detail["peer_requests"] == 50
    assert second.detail["peer_retries"] == 3
    assert second.detail["oldest_report"] == 1.0


def test_the_last_retries_before_a_calm_are_logged_too():
    """Guards against lines that lack most retries of a short failure.

    All retries fall into the second after the first line, and none follows
    that would write the next line.
    """
    now, recorder = 100.0, Recorder("g-1")
    budget = SharedRetryBudget(
        0.0, 100, 10.0, lambda: now, RetryLog(recorder, lambda: now)
    )
    for _ in range(20):
        budget.try_spend("llm")
    now += 1.0
    for _ in range(3):
        budget.write_log()
    spent = [event.detail["spent"] for event in recorder.list_events()]
    assert spent == [1, 19]


def test_retries_stay_below_the_bound_whatever_gateways_hear():
    """Guards against a fleet that retries more than its budget allows.

    Engines refuse more than the budget can repeat.  Gateways learn late, or
    not at all, what the others have spent, and each spends the same rest.
    """
    excess = {}
    for case, count in itertools.product(_CASES, [8, 32, 68]):
        fleet = _Fleet(count, **_CASES[case])
        fleet.play()
        excess[f"{case}, {count} gateways"] = fleet.measure_excess()
    assert {name: part for name, part in excess.items() if part > 1.0} == {}


def test_gateways_that_start_inside_a_partition_share_one_bound():
    """Guards against a whole budget on each side of a partition.

    All gateways end while their data centres do not reach each other, and
    start again.  Each divides the budget among those that it hears, though
    the others spend it too.
    """
    excess = {}
    for sides, count in itertools.product([2, 3, 4, 12], [24, 68]):
        fleet = _Fleet(
            count,
            hears=lambda a, b, sides=sides: a % sides == b % sides,
            restarted_at=14.0,
            stored_count=count,
        )
        fleet.play()
        excess[f"{sides} sides, {count} gateways"] = fleet.measure_excess()
    assert {name: part for name, part in excess.items() if part > 1.0} == {}


def test_a_fleet_that_shrank_gets_the_whole_slack_again():
    """Guards against a share that stays small after gateways were removed."""
    now = 0.0
    budget = SharedRetryBudget(
        0.0, 100, 10.0, lambda: now, restarted=True, expects_peers=True
    )
    assert budget.count_gateways() == 0
    budget.expect_gateways(50)
    assert budget.count_gateways() == 50
    budget.take(_Report("g-2", {}))
    assert budget.count_gateways() == 50
    now = 7201.0
    budget.take(_Report("g-2", {}))
    assert budget.count_gateways() == 2


def test_one_gateway_with_failures_uses_what_the_others_leave():
    """Guards against streams that end though the fleet has retries left.

    One gateway of 32 is cut off from some engines.  Its share alone is below
    20 retries in a window.
    """
    fleet = _Fleet(32, failing=1)
    fleet.play()
    assert _count(fleet.retries, _FAILING) > 60
    assert fleet.measure_excess() <= 1.0


def test_retries_of_a_gateway_that_ended_stay_counted():
    """Guards against a second use of what an ended gateway took.

    The gateway has taken the whole pool.  Another one hears of that, then of
    the process that runs in its place, then no more of either.
    """
    now = 0.0
    budget = SharedRetryBudget(0.0, 100, 10.0, lambda: now)
    budget.take(_Report("g-2", {}, 1))
    now = 20.0
    budget.take(_Report("g-2", {"llm": (0, 85)}, 1))
    before = budget.read_remaining("llm")
    budget.take(_Report("g-2", {}, 2))
    assert budget.read_remaining("llm") <= before + 1
    budget.forget_peers(["g-2"])
    assert budget.read_remaining("llm") <= before + 1
    now += 10.1
    assert budget.read_remaining("llm") > before + 1
