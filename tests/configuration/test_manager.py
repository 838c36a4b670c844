"""Tests of installing accepted versions on each instance."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from fakes_configuration import Fleet, rate_change
from guavajunction.clock import ManualClock
from guavajunction.configuration import ConfigurationManager


@pytest.fixture
async def fleet():
    fleet = Fleet("a", "b", "c")
    await fleet.accept_example()
    return fleet


@contextlib.asynccontextmanager
async def running(*managers: ConfigurationManager):
    """Run managers in background tasks, as the daemon does."""
    tasks = [asyncio.create_task(manager.run()) for manager in managers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def until(condition):
    """Run the event loop until a condition is true."""
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0)
    assert condition()


class TestInstall:
    """The version in force never decreases, also across a restart."""

    async def test_restarted_instance_reads_before_it_is_ready(self, fleet):
        node = fleet.start("a")
        fleet.table.down = True
        await node.manager.refresh()
        assert not node.manager.ready.is_set()
        fleet.table.down = False
        await node.manager.refresh()
        assert node.manager.ready.is_set()
        assert node.manager.current.version == 1

    async def test_slow_load_of_a_lower_version_is_not_installed(self, fleet):
        node = fleet.start("d")
        old = await node.store.read_head()
        slow = node.store.load_sections
        started, go_on = asyncio.Event(), asyncio.Event()

        async def load_slowly(head):
            sections = await slow(head)
            if head.version == old.version:
                started.set()
                await go_on.wait()
            return sections

        node.store.load_sections = load_slowly
        task = asyncio.create_task(node.manager.refresh())
        await started.wait()
        await fleet.nodes[0].editor.apply(rate_change(7, "c"))
        await node.manager.refresh()
        go_on.set()
        await task
        assert node.manager.current.version == 2

    async def test_lower_row_is_neither_installed_nor_confirmed(self, fleet):
        node = fleet.nodes[0]
        row = fleet.table.rows["configuration", "head"]
        await node.editor.apply(rate_change(7, "c"))
        confirmed = len(node.membership.confirmed)
        fleet.table.rows["configuration", "head"] = row
        await node.manager.refresh()
        assert node.manager.current.version == 2
        assert len(node.membership.confirmed) == confirmed

    async def test_damaged_row_is_ignored(self, fleet):
        node = fleet.nodes[0]
        row = fleet.table.rows["configuration", "head"]
        damaged = row._replace(body=b"?", version=2)
        fleet.table.rows["configuration", "head"] = damaged
        await node.manager.refresh()
        assert node.manager.current.version == 1
        assert len(node.membership.confirmed) == 1

    async def test_unreadable_body_is_not_confirmed(self, fleet):
        a, b, _ = fleet.nodes
        fleet.network.isolate(b.links.me)
        await a.editor.apply(rate_change(7, "c"))
        fleet.objects.hidden.update(fleet.objects.objects)
        confirmed = len(b.membership.confirmed)
        await b.manager.refresh()
        assert b.manager.current.version == 1
        assert not b.manager.up_to_date
        assert len(b.membership.confirmed) == confirmed

    async def test_failing_callback_does_not_stop_the_others(self, fleet):
        seen = []
        manager = fleet.nodes[0].manager
        manager.on_change(lambda cfg: 1 / 0)
        manager.on_change(lambda cfg: seen.append(cfg.version))
        await fleet.nodes[0].editor.apply(rate_change(7, "c"))
        assert seen == [2]


class TestDistribution:
    """A version reaches every instance by broadcast, poll or fetch from a peer."""

    async def test_broadcast_needs_no_poll(self, fleet):
        for node in fleet.nodes:
            node.manager._clock = ManualClock()
        managers = [node.manager for node in fleet.nodes]
        async with running(*managers):
            await until(
                lambda: all(manager._refresh_requested._waiters for manager in managers)
            )
            await fleet.nodes[0].editor.apply(rate_change(7, "c"))
            await until(lambda: all(m.current.version == 2 for m in managers))

    async def test_poll_finds_a_version_without_broadcast(self, fleet):
        a, b, _ = fleet.nodes
        fleet.network.isolate(b.links.me)
        clock = b.manager._clock = ManualClock()
        async with running(b.manager):
            await until(lambda: b.manager._refresh_requested._waiters)
            await a.editor.apply(rate_change(7, "c"))
            clock.advance(1.3)
            await until(lambda: b.manager.current.version == 2)

    async def test_version_comes_from_a_peer_when_the_store_is_down(self, fleet):
        a, b, _ = fleet.nodes
        b.table.down = True
        await a.editor.apply(rate_change(7, "c"))
        fleet.network.send_heartbeats()
        confirmed = len(b.membership.confirmed)
        await b.manager.refresh()
        assert b.manager.current.customers["returns"].rate == 7
        assert len(b.membership.confirmed) == confirmed

    async def test_instances_not_reached_are_known(self, fleet):
        a, b, c = fleet.nodes
        fleet.network.isolate(c.links.me)
        await a.editor.apply(rate_change(7, "c"))
        await b.manager.refresh()
        fleet.network.send_heartbeats()
        names = ["a", "b", "c"]
        seen = [(i.name, i.version) for i in a.manager.versions_by_instance(names)]
        assert seen == [("a", 2), ("b", 2), ("c", None)]
        a.clock.advance(60)
        assert a.manager.versions_by_instance(names)[1].version is None
