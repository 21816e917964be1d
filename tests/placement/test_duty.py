"""The placement duty: reports, orders, losses, and who does it."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import time

import pytest
import trio

from magnoliacove import directory
from magnoliacove import errors
from magnoliacove import timeline
from magnoliacove.directory.health import Health
from magnoliacove.directory.holdings import Holdings
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.gateway.channels import TargetError
from magnoliacove.limits import LoadBook
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.backpressure import TargetNotice
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.permits import Permits
from magnoliacove.placement import duty
from magnoliacove.placement import leadership
from magnoliacove.platform.engines import EngineReport
from magnoliacove.platform.engines import OrderResult
from magnoliacove.standins import object_api
from magnoliacove.wire import Address
from tests.shapes import KINDS
from tests.shapes import make_shape


@dataclass
class _Engine:
    """An engine that takes orders, late or never if told so."""

    kind: str
    layers: object = None
    loading: object = None
    orders: int = 0
    dead: bool = False
    loses_answers: bool = False
    held: list = field(default_factory=list)


class _Engines:
    """Stands in for the calls to all engines."""

    def __init__(self):
        self.all = {}
        self.given = []
        self.asked = Counter()
        self.report_after = 0.001

    async def read_report(self, target):
        self.asked[target.name] += 1
        await trio.sleep(self.report_after)
        engine = self.all[target.name]
        if engine.dead:
            raise TargetError("nobody listens", errors.Outcome.NOT_RUN)
        return EngineReport(
            engine.layers,
            engine.loading is not None,
            engine.orders,
            0,
            0,
            0.0,
            1e6,
            1.0,
            (),
        )

    async def place(self, target, layers, *, interrupt, orders):
        await trio.sleep(0.001)
        engine = self.all[target.name]
        if engine.dead:
            raise TargetError("nobody listens", errors.Outcome.NOT_RUN)
        if orders != engine.orders:
            return OrderResult.CONFLICT
        used = layers.count * 1750
        assert used <= KINDS[engine.kind].memory_mb
        engine.orders += 1
        engine.loading = layers
        self.given.append((target.name, layers))
        trio.lowlevel.spawn_system_task(self._load, engine, layers)
        if engine.loses_answers:
            raise TargetError("no answer", errors.Outcome.MAY_HAVE_RUN)
        return OrderResult.BEGUN

    async def _load(self, engine, layers):
        await trio.sleep(14 * layers.count / 80)
        if engine.loading == layers and not engine.dead:
            engine.layers, engine.loading = layers, None


class _Fleet:
    """Engines of one data centre and the gateways that place on them."""

    def __init__(self, nursery, kinds=("h100", "a100s", *["l4"] * 8)):
        self.nursery = nursery
        self.calls = _Engines()
        self.store = object_api.ObjectStore()
        self.away = False
        self.replaced = False
        self.told = []
        self.lists = []
        self.healths = []
        self.books = []
        self.permits = []
        self.duties = {}
        for number, kind in enumerate(kinds):
            self.calls.all[f"i-{number}"] = _Engine(kind)

    def add_gateway(self, name, first=False):
        recorder = timeline.Recorder(name)
        targets = TargetList(recorder, grace=1.8)
        for engine, state in self.calls.all.items():
            targets.apply(
                ListedTarget(
                    engine,
                    "llm",
                    Address("10.0.0.1", 80),
                    "a",
                    accelerator=state.kind,
                    revision=1,
                )
            )
        self.lists.append(targets)
        lost = []

        def note_lost(_):
            self.told.append("lost")
            lost.append(trio.current_time())

        def note_answered():
            self.told.append("answered")
            lost.clear()

        def read_silence():
            if self.away:
                return 9.0
            return trio.current_time() - lost[0] if lost else 0.0

        lead = leadership.Leadership(
            leadership.LeadershipSources(
                read_silence,
                lambda: first,
                lambda: False,
                lambda: self.replaced,
                note_answered,
                note_lost,
            ),
            directory.Lease(
                self.store,
                recorder,
                leadership.LEASE,
                f"{name}/1",
                duration=leadership.LEASE_SECONDS,
            ),
            recorder,
        )
        self.books.append(BackpressureBook(recorder))
        self.permits.append(Permits(self.books[-1], GrantBook(name)))
        self.healths.append(Health(recorder))
        made = duty.PlacementDuty(
            duty.DutySources(
                targets,
                self.healths[-1],
                Holdings(),
                LoadBook(),
                self.permits[-1],
                self.calls,
                recorder,
                lambda: {"llm": make_shape()},
                lambda: True,
                lambda: None,
            ),
            lead,
        )
        scope = trio.CancelScope()

        async def run():
            with scope:
                await made.run()

        self.nursery.start_soon(run)
        self.duties[name] = (lead, scope)
        return lead

    def is_whole(self):
        held = set()
        for engine in self.calls.all.values():
            if not engine.dead and engine.layers:
                held.update(range(engine.layers.first, engine.layers.end))
        return held == set(range(80))

    def lose(self, name):
        self.calls.all[name].dead = True


@pytest.fixture
async def fleet(autojump_clock, nursery):
    return _Fleet(nursery)


async def _wait_whole(fleet, within):
    with trio.fail_after(within):
        while not fleet.is_whole():
            await trio.sleep(0.05)


async def test_a_cold_fleet_gets_a_whole_path(autojump_clock, fleet):
    fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)


async def test_one_gateway_places_at_a_time(autojump_clock, fleet):
    """Three gateways start together.  One holds the lease; the engines
    get each order once.
    """
    leads = [fleet.add_gateway(f"g-{n}") for n in range(3)]
    await _wait_whole(fleet, 12.0)
    assert sum(lead.acting for lead in leads) == 1
    names = [name for name, _ in fleet.calls.given]
    assert len(names) == len(set(names))


@pytest.mark.parametrize("lost", ["i-0", "i-1", "i-2", "i-5"])
async def test_a_lost_engine_is_made_good(autojump_clock, fleet, lost):
    """An engine dies without a word.  Its reports fail, and what it held
    is placed on others; its entry is still listed meanwhile.
    """
    fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)
    await trio.sleep(3.0)
    fleet.lose(lost)
    await trio.sleep(1.0)
    await _wait_whole(fleet, 9.0)


async def test_a_lost_answer_gives_no_second_order(autojump_clock, fleet):
    """Engines take orders but their answers are lost.  The report shows
    the load, so the order is not given again.
    """
    for engine in fleet.calls.all.values():
        engine.loses_answers = True
    fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)
    names = [name for name, _ in fleet.calls.given]
    assert len(names) == len(set(names))


async def test_the_duty_passes_on_when_its_holder_dies(autojump_clock, fleet):
    fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)
    fleet.add_gateway("g-2")
    await trio.sleep(1.0)
    fleet.duties["g-1"][1].cancel()
    fleet.lose("i-3")
    fleet.lose("i-4")
    await trio.sleep(4.0)
    assert fleet.duties["g-2"][0].acting
    await _wait_whole(fleet, 9.0)


async def test_an_engine_with_a_limit_is_asked_within_it(
    autojump_clock, fleet
):
    """Reports were asked for twice a second of an engine that had named 1.1
    requests a second for all gateways: most of what it takes.
    """
    fleet.add_gateway("g-1")
    await trio.sleep(12)
    asked = fleet.calls.asked["i-0"]
    fleet.books[0].take("i-0", TargetNotice(rate_limit=1.2), "a request")
    await trio.sleep(20)
    assert fleet.calls.asked["i-0"] - asked <= 20 * 1.2 / 4 + 1


async def test_an_engine_that_is_not_asked_keeps_its_layers(
    autojump_clock, nursery
):
    """The duty passes on while an engine has a limit, and its new holder may
    not ask it at once.  Taken for one that holds nothing, its layers would be
    placed on other engines, which give up theirs.
    """
    fleet = _Fleet(nursery, ("h100", "a100s", *["l4"] * 6))
    fleet.add_gateway("g-1")
    await trio.sleep(12)
    given = len(fleet.calls.given)
    fleet.add_gateway("g-2")
    fleet.books[1].take("i-0", TargetNotice(rate_limit=0.1), "a request")
    fleet.permits[1].try_call_as_leader("i-0")
    listed = fleet.lists[1].find("i-0")
    layers = fleet.calls.all["i-0"].layers
    fleet.lists[1].apply(replace(listed, layers=layers, revision=2))
    fleet.duties["g-1"][1].cancel()
    await trio.sleep(12)
    assert fleet.duties["g-2"][0].acting
    assert len(fleet.calls.given) == given
    assert fleet.is_whole()


async def test_a_stopping_holder_hands_over_at_once(autojump_clock, fleet):
    first = fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)
    second = fleet.add_gateway("g-2")
    await trio.sleep(1.0)
    await first.release()
    await trio.sleep(0.6)
    assert second.acting
    await trio.sleep(5.0)
    assert not first.acting


async def test_without_the_store_one_goes_on(autojump_clock, fleet):
    """The store goes away for good.  The holder goes on although its
    lease lapses, the other one does not act as well, and a lost engine is
    made good.
    """
    first = fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)
    second = fleet.add_gateway("g-2")
    await trio.sleep(1.0)
    fleet.away = fleet.store.faults.outage = True
    await trio.sleep(6.0)
    assert first.acting
    assert not second.acting
    fleet.lose("i-1")
    await trio.sleep(1.0)
    await _wait_whole(fleet, 9.0)


async def test_a_holder_that_the_store_turns_away_gives_way(
    autojump_clock, fleet
):
    """The store turns the holder away and serves another gateway, which
    takes the lapsed lease.  Both would place layers from reports of their
    own; the former one stops as soon as it hears of the other.
    """
    first = fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)
    fleet.away = fleet.store.faults.outage = True
    await trio.sleep(6.0)
    assert first.acting
    fleet.replaced = True
    await trio.sleep(0.3)
    assert not first.acting


async def test_the_lease_s_calls_tell_that_the_store_is_away(
    autojump_clock, fleet
):
    """The store refuses all new calls while watches go on waiting for
    seconds.  The holder is stopped then; the others are to take over, so
    they must learn from their looks at the lease that the store is away.
    """
    fleet.add_gateway("g-1")
    await trio.sleep(1.0)
    assert fleet.told[-1] == "answered"
    fleet.store.faults.outage = True
    await trio.sleep(1.0)
    assert fleet.told[-1] == "lost"
    fleet.store.faults.outage = False
    await trio.sleep(1.0)
    assert fleet.told[-1] == "answered"


@pytest.mark.parametrize("fault", ["outage", "delay"])
@pytest.mark.parametrize("after", [0.0, 0.3, 0.7])
async def test_the_holder_goes_on_without_a_break(
    autojump_clock, fleet, fault, after
):
    """The store goes away, refusing calls or silent.  The lease lapses, but
    the holder knows by then that the store is away and goes on: a break of
    1.5 s left gaps in the paths of two data centres for as long.
    """
    lead = fleet.add_gateway("g-1")
    await _wait_whole(fleet, 12.0)
    await trio.sleep(1.0 + after)
    setattr(fleet.store.faults, fault, 9.0)
    for _ in range(120):
        await trio.sleep(0.05)
        assert lead.acting


async def test_two_that_act_at_once_undo_nothing(autojump_clock, fleet):
    """A holder wakes from a pause and orders for a moment beside its
    successor.  Orders name the orders before them, so each engine follows
    one of the two, and the path comes about.
    """
    fleet.away = fleet.store.faults.outage = True
    for name in ("g-1", "g-2"):
        fleet.add_gateway(name, first=True)
    await _wait_whole(fleet, 15.0)
    await trio.sleep(5.0)
    assert fleet.is_whole()


async def test_engines_are_not_blamed_for_the_holder_s_own_delay(nursery):
    """The duty's holder is an instance with little processor, and is held up
    while all engines' reports are on their way.  Taken for silence, that
    makes all engines suspects of all gateways at once: each leads all of its
    streams around them, which keeps the holder busy and the engines too.
    """
    fleet = _Fleet(nursery)
    fleet.calls.report_after = 0.05
    for number, engine in enumerate(fleet.calls.all.values()):
        engine.layers = LayerRange(8 * number, 8 * number + 8)
    fleet.add_gateway("g-1")
    await trio.sleep(1.0)
    for _ in range(12):
        time.sleep(0.5)  # noqa: ASYNC251
        await trio.sleep(0.02)
        assert not fleet.healths[0].list_suspicions()
