"""Accepted configuration reaches everybody, through outages and deaths."""

import trio

from magnoliacove import configuration
from tests import fakes


def _list_versions(fleet):
    processes = [*fleet.entries.values(), *fleet.agents.values()]
    return {
        p.made.process.identity.name: p.made.process.view.version
        for p in processes
        if not p.scope.cancel_called
    }


async def _change(fleet, weight):
    account = configuration.ClientAccount("other", (), weight)
    return await fleet.configure(configuration.Put(account))


def _find_holder(fleet):
    return next(
        name
        for name, running in fleet.entries.items()
        if running.made.distribution.lease.held
    )


async def test_change_reaches_everybody(autojump_clock):
    async with fakes.open_memory_fleet(entries=3) as fleet:
        await trio.sleep(3)
        version = await _change(fleet, 2.0)
        await trio.sleep(1)
        assert set(_list_versions(fleet).values()) == {version}
        watches = fleet.store.waiting_watches
    # One entry watches: the state and the platform's list of instances.
    assert watches == 2


async def test_holder_dies(autojump_clock):
    """The entry that hands news on dies as an operator makes a change.

    The other entries lose its feed and read the store themselves, so the
    change is in force within seconds; the lease lapses and one of them
    takes it.
    """
    async with fakes.open_memory_fleet(entries=3) as fleet:
        await trio.sleep(3)
        holder = _find_holder(fleet)
        fleet.kill(fleet.entries[holder])
        version = await _change(fleet, 2.0)
        await trio.sleep(6)
        assert set(_list_versions(fleet).values()) == {version}
        assert _find_holder(fleet) != holder


async def test_holder_is_cut_off_silently(autojump_clock):
    """The holder freezes with its connections open, and wakes later.

    Its lease lapses and another entry takes the role.  Back again, it
    finds its lease lapsed, follows the new holder, and nothing reverts.
    """
    async with fakes.open_memory_fleet(entries=3) as fleet:
        await trio.sleep(3)
        holder = _find_holder(fleet)
        fleet.links.isolate(holder)
        version = await _change(fleet, 2.0)
        await trio.sleep(10)
        others = _list_versions(fleet)
        assert set(others.values()) == {version}
        fleet.links.rejoin(holder)
        version = await _change(fleet, 3.0)
        await trio.sleep(6)
        assert set(_list_versions(fleet).values()) == {version}


async def test_outage_of_the_store(autojump_clock):
    """Requests go on while the store is down, and nothing is forgotten."""
    async with fakes.open_memory_fleet(entries=2) as fleet:
        await trio.sleep(3)
        before = _list_versions(fleet)
        fleet.store.faults.outage = True
        fleet.store.wake_watches()
        await trio.sleep(300)
        text = await fakes.stream(fleet, "lot", 9)
        assert _list_versions(fleet) == before
        fleet.store.faults.outage = False
        await trio.sleep(8)
        version = await _change(fleet, 2.0)
        await trio.sleep(2)
        assert set(_list_versions(fleet).values()) == {version}
    assert text == fakes.compute_expected_text("lot", 9)


async def test_start_during_an_outage(autojump_clock):
    """A process that starts while the store is down asks its peers.

    An agent is restarted; its seed hands it the configuration, and the
    entries learn its new address from it, so it serves again.
    """
    async with fakes.open_memory_fleet(entries=2, replicas=1) as fleet:
        await trio.sleep(3)
        fleet.store.faults.outage = True
        fleet.store.wake_watches()
        fleet.kill(fleet.agents["llm-4-0"])
        await trio.sleep(1)
        fleet.seeds = (fleet.entries["entry-1"].address,)
        await fleet.start_agent("llm-4-0")
        await fleet.start_entry("entry-9")
        await trio.sleep(5)
        versions = _list_versions(fleet)
        text = await fakes.stream(fleet, "lot", 9)
        other = await fakes.stream(fleet, "lot", 9, entry="entry-9")
    assert set(versions.values()) == {1}
    assert text == other == fakes.compute_expected_text("lot", 9)


async def test_compacted_and_dropped_watches(autojump_clock):
    async with fakes.open_memory_fleet(entries=2) as fleet:
        await trio.sleep(3)
        fleet.store.faults.dropped_watches = 2
        fleet.store.compact()
        fleet.store.wake_watches()
        await trio.sleep(2)
        version = await _change(fleet, 2.0)
        await trio.sleep(3)
        assert set(_list_versions(fleet).values()) == {version}


async def test_platform_says_that_an_instance_leaves(autojump_clock):
    """The platform's list names a leaving instance before anybody else."""
    async with fakes.open_memory_fleet(entries=2) as fleet:
        await trio.sleep(3)
        await fleet.store.put(
            "platform/instances/llm-0-0", b'{"state": "leaving"}'
        )
        await trio.sleep(2)
        usable = [
            running.made.pool.is_usable("llm-0-0")
            for running in fleet.entries.values()
        ]
        text = await fakes.stream(fleet, "lot", 9)
        runs = fleet.engines["llm-0-0"].steps_run
    assert usable == [False, False]
    assert text == fakes.compute_expected_text("lot", 9)
    assert not runs
