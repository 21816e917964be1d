"""Who could serve a request: room, refusals, failures, the pipe."""

import random

import trio

from magnoliacove import timeline
from magnoliacove.directory.health import Health
from magnoliacove.directory.holdings import Holding
from magnoliacove.directory.holdings import Holdings
from magnoliacove.directory.listed import LayerRange
from magnoliacove.directory.listed import ListedTarget
from magnoliacove.directory.targets import TargetList
from magnoliacove.limits import LoadBook
from magnoliacove.limits import TargetLoad
from magnoliacove.limits import UnheardRequests
from magnoliacove.limits.backpressure import BackpressureBook
from magnoliacove.limits.grants import GrantBook
from magnoliacove.limits.permits import Permits
from magnoliacove.routing.candidates import Candidates
from magnoliacove.wire import Address
from tests.shapes import make_shape

_SHAPE = make_shape()


class _World:
    def __init__(self):
        recorder = timeline.Recorder("p")
        self.targets = TargetList(recorder, grace=1.8)
        self.health, self.holdings = Health(recorder), Holdings()
        self.loads = LoadBook()
        self.book = BackpressureBook(recorder)
        self.grants = GrantBook("p")
        self.permits = Permits(self.book, self.grants)
        self.candidates = Candidates(
            "a",
            self.targets,
            self.health,
            self.holdings,
            self.loads,
            UnheardRequests(),
            self.permits,
            random.Random(1),
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

    def list_names(self):
        options = self.candidates.list_options("llm", _SHAPE)
        return sorted(option.target for option in options)


async def test_room_is_what_is_reserved_or_used_whichever_is_more(
    autojump_clock,
):
    """An entry died, and its streams still hold memory that no living
    entry has reserved.  The engine's report shows it.
    """
    world = _World()
    world.add("i-1", layers=(0, 8))
    total = _SHAPE.compute_capacity("l4", 8)
    world.loads.take_others("e-2", {"i-1": TargetLoad(3, 1000.0)}, 0)
    [option] = world.candidates.list_options("llm", _SHAPE)
    assert option.room == total - 1000.0
    world.holdings.note("i-1", Holding(LayerRange(0, 8), used=5000.0))
    [option] = world.candidates.list_options("llm", _SHAPE)
    assert option.room == total - 5000.0


async def test_an_engine_that_refuses_is_left_alone_longer_and_longer(
    autojump_clock,
):
    """The store is away and an engine drains unseen: each request that is
    sent there is refused.  It is tried less and less.
    """
    world = _World()
    world.add("i-1", layers=(0, 8))
    pauses = []
    for _ in range(4):
        world.candidates.note_trouble("i-1")
        began = trio.current_time()
        while not world.list_names():
            await trio.sleep(0.05)
        pauses.append(round(trio.current_time() - began, 1))
    assert pauses == [0.3, 0.6, 1.2, 2.4]


async def test_who_is_suspected_or_draining_is_no_candidate(autojump_clock):
    world = _World()
    for name in ("i-1", "i-2"):
        world.add(name, layers=(0, 8))
    world.health.suspect("i-1", "no report")
    assert world.list_names() == ["i-2"]


async def test_a_grey_target_gets_less(autojump_clock):
    """One of three targets fails half of its requests while its health
    check is good.  After its failures the others are preferred.
    """
    world = _World()
    for name in ("d-1", "d-2", "d-3"):
        world.add(name, "desk")
    record = world.candidates.read_record("d-1")
    for _ in range(3):
        record.note(trio.current_time(), failed=True, seconds=0.0)
    chosen = [world.candidates.choose_target("desk", ()) for _ in range(50)]
    assert all(target.name != "d-1" for target in chosen)
    await trio.sleep(60.0)
    chosen = [world.candidates.choose_target("desk", ()) for _ in range(50)]
    assert any(target.name == "d-1" for target in chosen)


async def test_the_last_resort_is_a_suspected_target(autojump_clock):
    """All targets of a service are suspected.  One is tried all the same:
    a refusal would be certain, the suspicion is not.
    """
    world = _World()
    world.add("d-1", "desk")
    world.health.suspect("d-1", "no connection")
    assert world.candidates.choose_target("desk", ()).name == "d-1"
    assert world.candidates.choose_target("desk", ["d-1"]) is None


async def test_the_pipe_between_data_centres_is_not_overfilled(
    autojump_clock,
):
    world = _World()
    most = world.candidates.count_crossings(_SHAPE)
    # A token of 59,000 bytes; 946 of them in about 3 s for each stream.
    assert 40 < most < 70
    world.loads.take_others("e-2", {}, int(most) - 1)
    assert world.candidates.may_cross(_SHAPE)
    world.loads.take_others("e-3", {}, 2)
    assert not world.candidates.may_cross(_SHAPE)


async def test_streams_of_a_lost_engine_go_before_a_new_one():
    """Others' streams pass through an engine that is found lost.

    Their gateways send them elsewhere before any news of that; a request
    that did not reckon with them would follow them to the same engine.  One
    that only leaves keeps its streams.
    """
    world = _World()
    world.add("i-1", layers=(0, 80))
    world.add("i-2", layers=(0, 80))
    world.loads.take_others("e-2", {"i-1": TargetLoad(30, 1000.0)}, 0)
    world.loads.take_others("e-3", {"i-2": TargetLoad(7, 1000.0)}, 0)

    def read_most():
        drawn = [world.candidates.draw_ahead("llm") for _ in range(300)]
        return max(ahead.requests for ahead in drawn)

    assert read_most() == 0
    world.health.suspect("i-1", "it gives no reports")
    world.health.suspect("i-2", "it leaves", leaving=True)
    assert read_most() == 30
    led = [world.candidates.draw_displaced({"i-1"}) for _ in range(300)]
    assert max(ahead.requests for ahead in led) == 30
