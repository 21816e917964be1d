"""Requests that are not idempotent run at most once under any failure."""

import json
import random
import uuid

from hypothesis import given
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from magnoliacove import configuration
from magnoliacove.routing import choose_owner
from magnoliacove.standins import fleet as fleets
from tests import fakes

_BIDS = "/services/bid-desk/bids"


def mint(at, rng=random):
    """Return a UUID of version 7 for a given time."""
    milliseconds = int(at * 1000)
    value = milliseconds << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


async def _bid(fleet, key, entry="entry-0", body=b"bid"):
    headers = {"idempotency-key": key} if key else {}
    return await fakes.ask(fleet, "POST", _BIDS, body, headers, entry)


def _find_owner(fleet, key):
    return choose_owner(key, fleet.list_plain())


def _check_unknown(answer):
    assert answer.status == 409
    assert answer.json["error"]["outcome"] == "may_have_run"


async def test_repeated_key_returns_the_first_answer(autojump_clock):
    async with fakes.open_memory_fleet(entries=2) as fleet:
        key = mint(fleet.read_time())
        first = await _bid(fleet, key)
        second = await _bid(fleet, key, "entry-1")
        assert fakes.count_runs(fleet) == 1
    assert first.status == second.status == 200
    assert first.body == second.body
    assert second.headers["idempotency-replayed"] == "true"


async def test_concurrent_attempts_run_once(autojump_clock):
    """A concurrent attempt waits for the answer to the first one."""
    async with fakes.open_memory_fleet(entries=2) as fleet:
        for service in fleet.plains.values():
            service.faults.delay = 1.0
        key = mint(fleet.read_time())
        answers = []

        async def bid(entry):
            answers.append(await _bid(fleet, key, entry))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(bid, "entry-0")
            nursery.start_soon(bid, "entry-1")
        assert fakes.count_runs(fleet) == 1
    assert answers[0].body == answers[1].body


async def test_entry_is_killed_after_dispatch(autojump_clock):
    """The caller's connection breaks; the next attempt finds the answer.

    The entry is killed while the bid runs.  The agent must complete the bid
    and record its answer, which the same key finds through another entry.
    """
    async with fakes.open_memory_fleet(entries=2) as fleet:
        for service in fleet.plains.values():
            service.faults.delay = 1.0
        key = mint(fleet.read_time())
        with trio.move_on_after(0.5):
            await _bid(fleet, key)
        fleet.kill(fleet.entries["entry-0"])
        second = await _bid(fleet, key, "entry-1")
        assert fakes.count_runs(fleet) == 1
    assert second.status == 200


async def test_target_gives_no_answer(autojump_clock):
    """The bid ran but its answer was lost: no attempt may run it again."""
    async with fakes.open_memory_fleet() as fleet:
        key = mint(fleet.read_time())
        owner = fleet.plains[_find_owner(fleet, key)]
        owner.faults.lost_answers = 1
        first = await _bid(fleet, key)
        second = await _bid(fleet, key)
        assert fakes.count_runs(fleet) == 1
    assert first.status == 502
    assert first.json["error"]["outcome"] == "may_have_run"
    _check_unknown(second)


async def test_owner_restarts_between_tries(autojump_clock):
    """The agent that owns the key restarts without its records.

    It has no record of what its predecessor ran, so it must answer "may
    have run" for a key minted before its start.  A later key runs.
    """
    async with fakes.open_memory_fleet() as fleet:
        key = mint(fleet.read_time())
        owner = _find_owner(fleet, key)
        await _bid(fleet, key)
        fleet.kill(fleet.agents[owner])
        await trio.sleep(1)
        await fleet.start_agent(owner)
        await trio.sleep(20)
        _check_unknown(await _bid(fleet, key))
        later = mint(fleet.read_time())
        assert (await _bid(fleet, later)).status == 200
        assert fakes.count_runs(fleet) == 2


async def test_owner_is_unreachable(autojump_clock):
    """The owner is unreachable, and the attempt is reported as not run."""
    async with fakes.open_memory_fleet() as fleet:
        key = mint(fleet.read_time())
        fleet.kill(fleet.agents[_find_owner(fleet, key)])
        await trio.sleep(0.5)
        answer = await _bid(fleet, key)
        unkeyed = await _bid(fleet, "")
        assert fakes.count_runs(fleet) == 1
    assert answer.json["error"]["outcome"] == "not_run"
    assert "retry-after" in answer.headers
    assert unkeyed.status == 200


async def test_owner_is_isolated_after_dispatch(autojump_clock):
    """Without an answer from the owner, the bid may have run."""
    async with fakes.open_memory_fleet() as fleet:
        for service in fleet.plains.values():
            service.faults.delay = 1.0
        key = mint(fleet.read_time())
        owner = _find_owner(fleet, key)
        answers = []

        async def bid():
            answers.append(await _bid(fleet, key))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(bid)
            await trio.sleep(0.5)
            fleet.links.isolate(owner)
        assert fakes.count_runs(fleet) == 1
    assert answers[0].json["error"]["outcome"] == "may_have_run"


async def _change_target(fleet, name, state):
    target = configuration.Target(name, fleets.PLAIN, "gent-a", state=state)
    await fleet.configure(configuration.Put(target))
    await trio.sleep(1)


async def test_ownership_moves(autojump_clock):
    """A drain moves a key to another owner, which asks the former one.

    The former owner has a record of the first key, so that one must not run
    again.  It has none of the second key, which runs exactly once.
    """
    async with fakes.open_memory_fleet(replicas=3) as fleet:
        used = mint(fleet.read_time())
        owner = _find_owner(fleet, used)
        fresh = next(
            key
            for key in (mint(fleet.read_time()) for _ in range(99))
            if _find_owner(fleet, key) == owner
        )
        await _bid(fleet, used)
        await _change_target(fleet, owner, "draining")
        _check_unknown(await _bid(fleet, used))
        assert (await _bid(fleet, fresh)).status == 200
        assert (await _bid(fleet, fresh)).status == 200
        await _change_target(fleet, owner, "active")
        assert fakes.count_runs(fleet) == 2


async def test_key_from_the_future(autojump_clock):
    async with fakes.open_memory_fleet() as fleet:
        answer = await _bid(fleet, mint(fleet.read_time() + 60))
        assert fakes.count_runs(fleet) == 0
    assert answer.status == 400
    assert answer.json["error"]["outcome"] == "not_run"


async def test_key_slightly_from_the_future(autojump_clock):
    """The caller's clock is 1 s ahead: the bid waits that long and runs."""
    async with fakes.open_memory_fleet() as fleet:
        began = trio.current_time()
        answer = await _bid(fleet, mint(fleet.read_time() + 1))
        waited = trio.current_time() - began
        assert fakes.count_runs(fleet) == 1
    assert answer.status == 200
    assert 0.9 < waited < 1.5


async def test_key_reused_for_another_request(autojump_clock):
    async with fakes.open_memory_fleet() as fleet:
        key = mint(fleet.read_time())
        await _bid(fleet, key)
        answer = await _bid(fleet, key, body=b"another bid")
        assert fakes.count_runs(fleet) == 1
    assert answer.status == 422


async def _draft(fleet, key, entry="entry-0", on_part=None):
    body = {"model": fleets.MODEL, "prompt": "lot", "max_tokens": 9}
    return await fakes.ask(
        fleet,
        "POST",
        "/v1/completions",
        json.dumps(body).encode(),
        {"idempotency-key": key},
        entry,
        on_part,
    )


async def _forbid_repeats(fleet):
    service = configuration.Service(
        fleets.MODEL, "model", 8, non_idempotent=("POST /v1/",)
    )
    await fleet.configure(configuration.Put(service))
    await trio.sleep(1)


async def test_model_request_with_key_runs_once(autojump_clock):
    """The caller disconnects while the text for its key is generated.

    The run must continue, so that the same key finds the whole text through
    another entry and no step runs twice.
    """
    async with fakes.open_memory_fleet(entries=2) as fleet:
        await _forbid_repeats(fleet)
        key = mint(fleet.read_time())
        with trio.move_on_after(0.02):
            await _draft(fleet, key)
        again = await _draft(fleet, key, "entry-1")
        steps = sum(len(e.steps_run) for e in fleet.engines.values())
    assert again.json["choices"][0]["text"] == fakes.compute_expected_text(
        "lot", 9
    )
    assert steps == 2 * 9


async def test_entry_is_killed_during_a_model_request(autojump_clock):
    """The key's owner cannot determine how far the killed entry got."""
    async with fakes.open_memory_fleet(entries=2) as fleet:
        await _forbid_repeats(fleet)
        key = mint(fleet.read_time())
        with trio.move_on_after(0.02):
            await _draft(fleet, key)
        fleet.kill(fleet.entries["entry-0"])
        _check_unknown(await _draft(fleet, key, "entry-1"))


_ACTIONS = st.lists(
    st.sampled_from(
        ["bid 0", "bid 1", "restart", "drain", "undo", "lose", "wait"]
    ),
    min_size=3,
    max_size=10,
)


async def _act(fleet, action, key, drained):
    """Carry out one action on the key's present owner."""
    active = [name for name in fleet.list_plain() if name not in drained]
    owner = choose_owner(key, active)
    if action == "restart":
        fleet.kill(fleet.agents[owner])
        await trio.sleep(0.5)
        await fleet.start_agent(owner)
        await trio.sleep(0.5)
    elif action == "drain" and len(active) > 1:
        drained.append(owner)
        await _change_target(fleet, owner, "draining")
    elif action == "undo" and drained:
        await _change_target(fleet, drained.pop(0), "active")
    elif action == "lose":
        fleet.plains[owner].faults.lost_answers = 1
    elif action == "wait":
        await trio.sleep(7)


@given(_ACTIONS, st.sampled_from([-4.0, 0.0, 4.0]), st.randoms())
def test_any_order_of_attempts_and_faults(actions, offset, rng):
    """No key runs twice, and "not run" is correct, in any order of events.

    One key is sent through two entries while its owner restarts without
    records, drains move the ownership, answers are lost and one clock is
    off.
    """

    async def main():
        async with fakes.open_memory_fleet(
            entries=2, replicas=3, clock_offsets={"desk-1": offset}
        ) as fleet:
            key = mint(fleet.read_time(), rng)
            answers, drained = [], []
            for action in actions:
                if action.startswith("bid"):
                    entry = f"entry-{action[-1]}"
                    answers.append(await _bid(fleet, key, entry))
                else:
                    await _act(fleet, action, key, drained)
            runs = fakes.count_runs(fleet)
        assert runs <= 1
        outcomes = {
            "ran" if a.status == 200 else a.json["error"]["outcome"]
            for a in answers
        }
        if "ran" in outcomes:
            assert runs == 1
        if outcomes == {"not_run"}:
            assert runs == 0

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


@pytest.mark.parametrize("replicas", [1, 2, 5])
def test_every_key_has_one_owner(replicas):
    targets = [f"t{n}" for n in range(replicas)]
    rng = random.Random(1)
    for _ in range(100):
        key = mint(rng.random() * 1e9, rng)
        owner = choose_owner(key, targets)
        others = [t for t in targets if t != owner]
        assert owner in targets
        for other in others:
            # Removing another target does not move the key.
            remaining = [t for t in targets if t != other]
            assert choose_owner(key, remaining) == owner
