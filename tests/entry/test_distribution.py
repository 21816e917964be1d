"""Configuration reaches every process, despite outages and failures."""

import trio

from magnoliacove import configuration
from tests import fakes


def _list_versions(fleet):
    processes = [*fleet.entries.values(), *fleet.agents.values()]
    return {
        p.server.process.identity.name: p.server.process.view.version
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
        if running.server.distribution.lease.held
    )


async def test_change_reaches_every_process(autojump_clock):
    async with fakes.open_memory_fleet(entries=3) as fleet:
        await trio.sleep(3)
        version = await _change(fleet, 2.0)
        await trio.sleep(1)
        assert set(_list_versions(fleet).values()) == {version}
        watches = fleet.store.waiting_watches
    # Only one entry watches: the state and the platform's instance list.
    assert watches == 2


async def test_holder_is_killed(autojump_clock):
    """The distributing entry is killed while an operator makes a change.

    The other entries lose its feed and must read the store themselves, so
    that the change applies within seconds.  The lease expires and one of
    them acquires it.
    """
    async with fakes.open_memory_fleet(entries=3) as fleet:
        await trio.sleep(3)
        holder = _find_holder(fleet)
        fleet.kill(fleet.entries[holder])
        version = await _change(fleet, 2.0)
        await trio.sleep(6)
        assert set(_list_versions(fleet).values()) == {version}
        assert _find_holder(fleet) != holder


async def test_holder_is_isolated(autojump_clock):
    """The lease holder is isolated with its connections open, and rejoins.

    Its lease expires and another entry acquires it.  After it rejoins, the
    former holder must follow the new one and not revert any change.
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


async def test_store_outage(autojump_clock):
    """Requests succeed and no configuration is lost during an outage."""
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
    """Processes that start during a store outage rely on their peers.

    A restarted agent must receive the configuration from its seed and
    announce its new address to the entries, so that it serves again.
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


async def test_platform_lists_a_leaving_instance(autojump_clock):
    """An instance listed as leaving by the platform gets no new work."""
    async with fakes.open_memory_fleet(entries=2) as fleet:
        await trio.sleep(3)
        await fleet.store.put(
            "platform/instances/llm-0-0", b'{"state": "leaving"}'
        )
        await trio.sleep(2)
        usable = [
            running.server.pool.is_usable("llm-0-0")
            for running in fleet.entries.values()
        ]
        text = await fakes.stream(fleet, "lot", 9)
        runs = fleet.engines["llm-0-0"].steps_run
    assert usable == [False, False]
    assert text == fakes.compute_expected_text("lot", 9)
    assert not runs
