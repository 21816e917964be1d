"""Candidates for a request: capacity, refusals, failures, link limits."""

import random

import pytest
import trio

from magnoliacove import timeline
from magnoliacove.directory.engine_status import EngineStatus
from magnoliacove.directory.engine_status import EngineStatuses
from magnoliacove.directory.health import Health
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.limits import LoadBook
from magnoliacove.limits import TargetLoad
from magnoliacove.limits import UnreportedRequests
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.permits import Permits
from magnoliacove.routing.candidates import Candidates
from magnoliacove.wire import Address
from tests.shapes import make_shape

_SHAPE = make_shape()


class _World:
    def __init__(self, seed=1):
        recorder = timeline.Recorder("p")
        self.targets = TargetList(recorder, grace=1.8)
        self.health, self.statuses = Health(recorder), EngineStatuses()
        self.loads = LoadBook()
        self.book = BackpressureBook(recorder)
        self.grants = GrantBook("p")
        self.permits = Permits(self.book, self.grants)
        self.candidates = Candidates(
            "a",
            self.targets,
            self.health,
            self.statuses,
            self.loads,
            UnreportedRequests(),
            self.permits,
            random.Random(seed),
        )

    def add(self, name, service="llm", layers=None):
        self.targets.apply(
            ListedTarget(
                name,
                service,
                Address("10.0.0.1", 80),
                "a",
                slots=6,
                accelerator="l4" if layers else "",
                layers=LayerRange(*layers) if layers else None,
                revision=1,
            )
        )

    def list_names(self, **conditions):
        options = self.candidates.list_options("llm", _SHAPE, **conditions)
        return sorted(option.target for option in options)


async def test_capacity_counts_the_larger_of_reserved_and_used_memory(
    autojump_clock,
):
    """A gateway crashes, and its streams still use memory that no living
    gateway has reserved.  Only the engine's report includes this memory.
    """
    world = _World()
    world.add("i-1", layers=(0, 8))
    total = _SHAPE.compute_capacity("l4", 8)
    world.loads.take_others("e-2", {"i-1": TargetLoad(3, 1000.0)}, 0)
    [option] = world.candidates.list_options("llm", _SHAPE)
    assert option.capacity == total - 1000.0
    world.statuses.note("i-1", EngineStatus(LayerRange(0, 8), used=5000.0))
    [option] = world.candidates.list_options("llm", _SHAPE)
    assert option.capacity == total - 5000.0


async def test_pause_of_a_refusing_engine_doubles(
    autojump_clock,
):
    """The store is unreachable, so the gateway gets no update that an engine
    drains, and each request sent there is refused.  Each pause is twice as
    long as the one before.
    """
    world = _World()
    world.add("i-1", layers=(0, 8))
    pauses = []
    for _ in range(4):
        world.candidates.pause_engine("i-1")
        began = trio.current_time()
        while not world.list_names():
            await trio.sleep(0.05)
        pauses.append(round(trio.current_time() - began, 1))
    assert pauses == [0.3, 0.6, 1.2, 2.4]


async def test_suspected_engine_is_no_candidate(autojump_clock):
    world = _World()
    for name in ("i-1", "i-2"):
        world.add(name, layers=(0, 8))
    world.health.suspect("i-1", "no report")
    assert world.list_names() == ["i-2"]


async def test_partially_failing_target_is_avoided(autojump_clock):
    """One of three targets fails half of its requests although its health
    check passes.  Recent failures make the others preferred.
    """
    world = _World()
    for name in ("d-1", "d-2", "d-3"):
        world.add(name, "desk")
    statistics = world.candidates.read_statistics("d-1")
    for _ in range(3):
        statistics.note(trio.current_time(), failed=True, seconds=0.0)
    chosen = [world.candidates.choose_target("desk", ()) for _ in range(50)]
    assert all(target.name != "d-1" for target in chosen)
    await trio.sleep(60.0)
    chosen = [world.candidates.choose_target("desk", ()) for _ in range(50)]
    assert any(target.name == "d-1" for target in chosen)


async def test_suspected_target_is_the_last_resort(autojump_clock):
    """All targets of a service are suspected.  One is tried nevertheless:
    without an attempt the request fails for certain, and the suspicion may
    be wrong.
    """
    world = _World()
    world.add("d-1", "desk")
    world.health.suspect("d-1", "no connection")
    assert world.candidates.choose_target("desk", ()).name == "d-1"
    assert world.candidates.choose_target("desk", ["d-1"]) is None


async def test_link_is_limited_by_the_prompts_that_begin(autojump_clock):
    """Requests that begin together queue at the link between data centres.

    A number of concurrent hops lets eighty prompts begin at the same moment,
    which the link takes two seconds to carry, and then keeps it idle while
    these requests generate their tokens.
    """
    world = _World()
    candidates, loads = world.candidates, world.loads
    # Most of the requests under way were begun long ago.
    loads.take_others("e-2", {}, 60)
    assert candidates.may_cross(_SHAPE)
    # A token has 59,000 bytes, so the link carries some 20 prompts a second.
    loads.take_others("e-2", {}, 63)
    assert not candidates.may_cross(_SHAPE)
    await trio.sleep(0.2)
    assert candidates.may_cross(_SHAPE)
    # The tokens of far more answers leave nothing for prompts.
    loads.take_others("e-3", {}, 300)
    assert not candidates.may_cross(_SHAPE)


async def test_hop_costs_more_while_others_cross(autojump_clock):
    """Each token of an answer waits for the prompts that cross meanwhile."""
    world = _World()
    idle = world.candidates.make_costs(_SHAPE, 772, 174).crossing
    assert idle == pytest.approx(946 * 59_000 * 8 / 11e9)
    world.loads.take_others("e-2", {}, 0)
    world.loads.take_others("e-2", {}, 40)
    assert world.candidates.make_costs(_SHAPE, 772, 174).crossing > 20 * idle


async def test_streams_of_a_failed_engine_count_as_requests_ahead():
    """Streams of other gateways pass through an engine that fails.

    Their gateways reroute them before any heartbeat reports it.  A request
    that does not account for them would follow them to the same engine.  An
    engine that only leaves keeps its streams.
    """
    world = _World()
    world.add("i-1", layers=(0, 80))
    world.add("i-2", layers=(0, 80))
    world.loads.take_others("e-2", {"i-1": TargetLoad(30, 1000.0)}, 0)
    world.loads.take_others("e-3", {"i-2": TargetLoad(7, 1000.0)}, 0)

    def read_maximum():
        sampled = [world.candidates.sample_ahead("llm") for _ in range(300)]
        return max(ahead.requests for ahead in sampled)

    assert read_maximum() == 0
    world.health.suspect("i-1", "it gives no reports")
    world.health.suspect("i-2", "it leaves", leaving=True)
    assert read_maximum() == 30
    rerouted = [world.candidates.sample_displaced({"i-1"}) for _ in range(300)]
    assert max(ahead.requests for ahead in rerouted) == 30


async def test_pauses_of_a_full_engine_differ_and_stay_short(autojump_clock):
    """Thirty gateways are refused by a full engine in the same moment.  Their
    pauses ended together, and all that waited was sent there at once.
    """
    ends = set()
    for seed in range(30):
        world = _World(seed)
        world.add("i-1", layers=(0, 8))
        for _ in range(3):
            world.candidates.pause_full_engine("i-1")
            began = trio.current_time()
            while not world.list_names():
                await trio.sleep(0.01)
            ends.add(round(trio.current_time() - began, 2))
            world.candidates.note_accepted(["i-1"])
    assert min(ends) >= 0.15
    assert max(ends) <= 0.46
    assert len(ends) > 15


async def test_pause_of_a_full_engine_that_accepts_nothing_doubles(
    autojump_clock,
):
    world = _World()
    world.add("i-1", layers=(0, 8))
    for longest in (0.46, 0.91, 1.81, 3.61, 3.61):
        world.candidates.pause_full_engine("i-1")
        began = trio.current_time()
        while not world.list_names():
            await trio.sleep(0.01)
        assert longest / 3 - 0.02 <= trio.current_time() - began <= longest


async def test_failed_engine_is_not_filled_when_its_suspicion_ends(
    autojump_clock,
):
    """An engine is lost while its service is full.  Two seconds later the
    suspicion ends, no load is known there, and over a hundred streams that
    waited were sent to it.
    """
    world = _World()
    for name in ("i-1", "i-2"):
        world.add(name, layers=(0, 8))
    world.health.suspect("i-1", "no report")
    await trio.sleep(2.5)
    world.statuses.note("i-2", EngineStatus(LayerRange(0, 8)))
    assert world.list_names() == ["i-1", "i-2"]
    assert world.list_names(heard_only=True) == ["i-2"]
    world.statuses.note("i-1", EngineStatus(LayerRange(0, 8)))
    assert world.list_names(heard_only=True) == ["i-1", "i-2"]


async def test_unheard_engine_is_tried_when_no_reports_come(autojump_clock):
    """The placement leader is lost as well, so that no report comes."""
    world = _World()
    world.add("i-1", layers=(0, 8))
    world.health.suspect("i-1", "no report")
    await trio.sleep(2.5)
    assert world.list_names(heard_only=True) == ["i-1"]


async def test_a_refusal_shows_that_memory_is_used(autojump_clock):
    """A report is older than what an engine accepted since.  The refusal is
    newer, and is told to the peers until a newer report replaces it.
    """
    world = _World()
    world.add("i-1", layers=(0, 8))
    total = _SHAPE.compute_capacity("l4", 8)
    status = EngineStatus(LayerRange(0, 8), used=5000.0)
    world.statuses.note("i-1", status)
    await trio.sleep(0.1)
    world.statuses.note_refusal("i-1", total - 100.0)
    [option] = world.candidates.list_options("llm", _SHAPE)
    assert option.capacity == 100.0
    [(name, age, told)] = world.statuses.list_corrected()
    assert (name, round(age, 2), told.used) == ("i-1", 0.1, total - 100.0)
    await trio.sleep(0.1)
    world.statuses.note("i-1", status)
    [option] = world.candidates.list_options("llm", _SHAPE)
    assert option.capacity == 100.0
    await trio.sleep(0.3)
    world.statuses.note("i-1", status)
    [option] = world.candidates.list_options("llm", _SHAPE)
    assert option.capacity == total - 5000.0
