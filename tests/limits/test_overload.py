"""The capacity queue while more arrives at a gateway than gets capacity.

Each play runs on a simulated clock: slots get free at a steady rate, and
requests arrive at another one.
"""

from dataclasses import dataclass
from dataclasses import field
import itertools

import pytest
import trio

from magnoliacove import errors
from magnoliacove.limits.capacity import CapacityQueue
from magnoliacove.limits.order import OrderPolicy
from magnoliacove.routing.paths import Path

_PATH = Path((), 1.0, 0)
_OBJECTIVE = 0.5
_TIMEOUT = 1.5
_BY_URGENCY = OrderPolicy(by_urgency=True, by_account=True)


@dataclass(frozen=True)
class _Ending:
    """How a request ended; times in seconds since the play began.

    :param error: the refusal, or None when it got a slot.
    """

    name: str
    priority: int
    arrived: float
    waited: float
    error: errors.RequestError | None

    @property
    def on_time(self):
        return self.error is None and self.waited <= _OBJECTIVE


@dataclass
class _Play:
    """Requests at one gateway, and the slots that get free for them."""

    queue: CapacityQueue
    began: float = field(default_factory=trio.current_time)
    free: int = 0
    endings: list[_Ending] = field(default_factory=list)

    def take(self):
        if not self.free:
            return None
        self.free -= 1
        return _PATH

    async def ask(self, priority, account="", tokens=100.0):
        arrived, error = trio.current_time(), None
        try:
            await self.queue.wait_path(
                self.take,
                priority=priority,
                fresh_until=arrived + _OBJECTIVE,
                timeout=_TIMEOUT,
                service="llm",
                account=account,
                tokens=tokens,
            )
        except errors.RequestError as exc:
            error = exc
        waited = trio.current_time() - arrived
        self.endings.append(
            _Ending(account, priority, arrived - self.began, waited, error)
        )

    async def free_slots(self, rate):
        while True:
            await trio.sleep(1 / rate)
            # A slot that nobody wants stays free, and is not counted twice.
            self.free = 1
            self.queue.fill()

    async def send(self, nursery, rate, seconds, priority=0, accounts=("",)):
        names = itertools.cycle(accounts)
        for _ in range(round(rate * seconds)):
            nursery.start_soon(self.ask, priority, next(names))
            await trio.sleep(1 / rate)


async def _run_play(loads, *, slots, policy=_BY_URGENCY, tail=2.0):
    """Return how all requests ended.

    :param loads: keyword arguments of :meth:`_Play.send`, played together.
    """
    play = _Play(CapacityQueue(read_policy=lambda _: policy))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(play.queue.run)
        nursery.start_soon(play.free_slots, slots)
        async with trio.open_nursery() as senders:
            for load in loads:
                senders.start_soon(_send, play, load)
        await trio.sleep(tail)
        nursery.cancel_scope.cancel()
    return play.endings


async def _send(play, load):
    async with trio.open_nursery() as nursery:
        await play.send(nursery, **load)


def _select(endings, priority, since=2.0):
    return [e for e in endings if e.priority == priority and e.arrived > since]


@pytest.mark.parametrize("policy", [OrderPolicy(), _BY_URGENCY])
async def test_twice_the_demand_is_half_served_and_half_refused_at_once(
    autojump_clock, policy
):
    """Twenty requests a second arrive for ten slots a second.  Those that can
    be on time are served, and nearly all others are refused within 60 ms.
    """
    endings = await _run_play(
        [{"rate": 20.0, "seconds": 10.0}], slots=10.0, policy=policy
    )
    steady = _select(endings, 0)
    on_time = sum(ending.on_time for ending in steady)
    assert on_time >= 0.95 * 10.0 * 8.0
    refused = [ending for ending in steady if ending.error is not None]
    at_once = [ending for ending in refused if ending.waited < 0.06]
    assert len(at_once) >= 0.9 * len(refused)
    assert all(ending.error.status == 503 for ending in refused)
    assert all("grants a second" in str(e.error) for e in refused)


async def test_urgent_requests_are_served_before_patient_ones(autojump_clock):
    """Ten urgent and thirty patient requests a second arrive for twelve slots
    a second: the urgent ones get what they need, and the patient ones the
    rest.
    """
    endings = await _run_play(
        [
            {"rate": 10.0, "seconds": 8.0, "priority": 0},
            {"rate": 30.0, "seconds": 8.0, "priority": 2},
        ],
        slots=12.0,
    )
    urgent, patient = _select(endings, 0), _select(endings, 2)
    assert sum(e.on_time for e in urgent) >= 0.95 * len(urgent)
    assert sum(e.error is None for e in patient) >= 0.8 * 2.0 * 6.0


async def test_patient_requests_do_not_starve_behind_urgent_ones(
    autojump_clock,
):
    endings = await _run_play(
        [
            {"rate": 30.0, "seconds": 8.0, "priority": 0},
            {"rate": 5.0, "seconds": 8.0, "priority": 1},
            {"rate": 5.0, "seconds": 8.0, "priority": 2},
        ],
        slots=16.0,
    )
    for priority in (1, 2):
        served = [e for e in _select(endings, priority) if e.error is None]
        assert 2 <= len(served) <= 6


async def test_a_flood_of_one_account_leaves_the_others_their_share(
    autojump_clock,
):
    """One account sends thirty requests a second and three send two each, for
    ten slots a second.
    """
    endings = await _run_play(
        [
            {"rate": 30.0, "seconds": 8.0, "accounts": ["large"]},
            {"rate": 6.0, "seconds": 8.0, "accounts": ["a", "b", "c"]},
        ],
        slots=10.0,
    )
    small = [e for e in _select(endings, 0) if e.name != "large"]
    assert sum(e.on_time for e in small) >= 0.9 * len(small)


async def test_a_short_burst_is_served_and_not_refused(autojump_clock):
    """Ten requests arrive at once, and slots for them get free within 0.8 s.
    Late answers are worth something to their callers.
    """
    endings = await _run_play(
        [
            {"rate": 100.0, "seconds": 0.1},
            {"rate": 4.0, "seconds": 2.0},
        ],
        slots=16.0,
    )
    assert not [ending for ending in endings if ending.error is not None]


async def test_nothing_is_held_once_it_cannot_be_served(autojump_clock):
    """Slots stop getting free.  After the time in which that becomes known, a
    request waits no longer than it can still be on time, except for the next
    one, which takes the first slot that gets free.
    """
    play = _Play(CapacityQueue(read_policy=lambda _: _BY_URGENCY))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(play.queue.run)
        async with trio.open_nursery() as senders:
            await play.send(senders, rate=20.0, seconds=4.0)
        nursery.cancel_scope.cancel()
    later = [e for e in play.endings if e.arrived > 1.0]
    held = [e for e in later if e.waited > _OBJECTIVE + 0.15]
    assert len(held) <= 3


async def test_refused_callers_are_sent_back_over_the_time_of_room(
    autojump_clock,
):
    """The overload lasts, so callers are sent away for as long as they heed,
    and must not return together.
    """
    endings = await _run_play([{"rate": 30.0, "seconds": 6.0}], slots=10.0)
    retries = [
        e.error.retry_after for e in _select(endings, 0) if e.error is not None
    ]
    assert all(2.0 <= seconds <= 6.5 for seconds in retries)
    assert sum(seconds >= 4.0 for seconds in retries) > 0.9 * len(retries)
    assert max(retries) - min(retries) > 2.0


async def test_a_begun_answer_is_never_refused(autojump_clock):
    """The same overload, in which an answer that has begun needs a path."""
    play = _Play(CapacityQueue(read_policy=lambda _: _BY_URGENCY))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(play.queue.run)
        nursery.start_soon(play.send, nursery, 20.0, 4.0)
        await trio.sleep(2.0)
        with pytest.raises(errors.RequestError):
            await play.queue.wait_path(
                lambda: None,
                priority=-1,
                fresh_until=0.0,
                timeout=1.2,
                may_refuse=False,
                service="llm",
            )
        assert trio.current_time() - play.began == pytest.approx(3.2)
        nursery.cancel_scope.cancel()


async def test_a_search_that_failed_is_not_repeated_for_larger_requests(
    autojump_clock,
):
    """Forty requests of a size that fits nowhere wait.  One search a pass
    tells that for all; a smaller one behind them gets its path.
    """
    queue, tries = CapacityQueue(), []

    async def ask(tokens, path):
        def find():
            tries.append(tokens)
            return path

        await queue.wait_path(
            find,
            priority=1,
            fresh_until=trio.current_time() + 9.0,
            timeout=1.0,
            service="llm",
            tokens=tokens,
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.run)
        for _ in range(40):
            nursery.start_soon(ask, 500.0, None)
        await trio.sleep(0.1)
        tries.clear()
        await ask(100.0, _PATH)
        nursery.cancel_scope.cancel()
    assert tries.count(500.0) <= 2


async def test_a_full_queue_keeps_the_more_urgent_requests(autojump_clock):
    queue = CapacityQueue(max_waiting=3, read_policy=lambda _: _BY_URGENCY)
    play = _Play(queue)
    async with trio.open_nursery() as nursery:
        for priority in (2, 2, 2, 0):
            nursery.start_soon(play.ask, priority)
            await trio.sleep(0.01)
        assert [e.priority for e in play.endings] == [2]
        assert queue.count_by_urgency() == {0: 1, 2: 2}
        assert queue.refused_early == {2: 1}
        nursery.cancel_scope.cancel()


async def test_an_overload_of_one_service_leaves_places_to_others():
    """The requests of one service filled the queue, and those of another were
    refused though its engines were about to have capacity.
    """
    queue = CapacityQueue(max_waiting=20)
    for _ in range(20):
        queue.add(lambda: None, priority=1, fresh_until=9.0, service="busy")
    path = Path((), 0.1, 0)
    found = [None, path]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.run)
        granted = await queue.wait_path(
            lambda: found.pop(0) if found else path,
            priority=1,
            fresh_until=trio.current_time() + 0.5,
            timeout=1.0,
            service="quiet",
        )
        nursery.cancel_scope.cancel()
    assert granted is path
