"""Tests of putting versions in force on each instance."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from fakes_configuration import Fleet, rate_change
from guavajunction.clock import ManualClock
from guavajunction.configuration import ConfigurationKeeper


@pytest.fixture
async def fleet():
    fleet = Fleet("a", "b", "c")
    await fleet.accept_example()
    return fleet


@contextlib.asynccontextmanager
async def running(*keepers: ConfigurationKeeper):
    """Run keepers as the daemon does."""
    tasks = [asyncio.create_task(keeper.run()) for keeper in keepers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def until(condition):
    """Let tasks run until a condition holds."""
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0)
    assert condition()


class TestInstall:
    """Versions only rise, also across a restart."""

    async def test_restarted_instance_reads_before_it_is_ready(self, fleet):
        node = fleet.start("a")
        fleet.table.down = True
        await node.keeper.refresh()
        assert not node.keeper.ready.is_set()
        fleet.table.down = False
        await node.keeper.refresh()
        assert node.keeper.ready.is_set()
        assert node.keeper.current.version == 1

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
        task = asyncio.create_task(node.keeper.refresh())
        await started.wait()
        await fleet.nodes[0].editor.apply(rate_change(7, "c"))
        await node.keeper.refresh()
        go_on.set()
        await task
        assert node.keeper.current.version == 2

    async def test_lower_row_is_neither_installed_nor_confirmed(self, fleet):
        node = fleet.nodes[0]
        row = fleet.table.rows["configuration", "head"]
        await node.editor.apply(rate_change(7, "c"))
        confirmed = len(node.notes.confirmed)
        fleet.table.rows["configuration", "head"] = row
        await node.keeper.refresh()
        assert node.keeper.current.version == 2
        assert len(node.notes.confirmed) == confirmed

    async def test_damaged_row_is_survived(self, fleet):
        node = fleet.nodes[0]
        row = fleet.table.rows["configuration", "head"]
        damaged = row._replace(body=b"?", version=2)
        fleet.table.rows["configuration", "head"] = damaged
        await node.keeper.refresh()
        assert node.keeper.current.version == 1
        assert len(node.notes.confirmed) == 1

    async def test_unreadable_body_is_not_confirmed(self, fleet):
        a, b, _ = fleet.nodes
        fleet.network.isolate(b.links.me)
        await a.editor.apply(rate_change(7, "c"))
        fleet.objects.hidden.update(fleet.objects.objects)
        confirmed = len(b.notes.confirmed)
        await b.keeper.refresh()
        assert b.keeper.current.version == 1
        assert not b.keeper.up_to_date
        assert len(b.notes.confirmed) == confirmed

    async def test_failing_reader_does_not_keep_others_from_it(self, fleet):
        seen = []
        keeper = fleet.nodes[0].keeper
        keeper.on_change(lambda cfg: 1 / 0)
        keeper.on_change(lambda cfg: seen.append(cfg.version))
        await fleet.nodes[0].editor.apply(rate_change(7, "c"))
        assert seen == [2]


class TestSpread:
    """A version reaches every instance, by push, poll or peer."""

    async def test_push_needs_no_poll(self, fleet):
        for node in fleet.nodes:
            node.keeper._clock = ManualClock()
        keepers = [node.keeper for node in fleet.nodes]
        async with running(*keepers):
            await until(lambda: all(keeper._wake._waiters for keeper in keepers))
            await fleet.nodes[0].editor.apply(rate_change(7, "c"))
            await until(lambda: all(k.current.version == 2 for k in keepers))

    async def test_poll_finds_what_no_push_told(self, fleet):
        a, b, _ = fleet.nodes
        fleet.network.isolate(b.links.me)
        clock = b.keeper._clock = ManualClock()
        async with running(b.keeper):
            await until(lambda: b.keeper._wake._waiters)
            await a.editor.apply(rate_change(7, "c"))
            clock.advance(1.3)
            await until(lambda: b.keeper.current.version == 2)

    async def test_peer_hands_over_what_the_store_does_not(self, fleet):
        a, b, _ = fleet.nodes
        b.table.down = True
        await a.editor.apply(rate_change(7, "c"))
        fleet.network.beat()
        confirmed = len(b.notes.confirmed)
        await b.keeper.refresh()
        assert b.keeper.current.customers["returns"].rate == 7
        assert len(b.notes.confirmed) == confirmed

    async def test_instances_not_reached_are_known(self, fleet):
        a, b, c = fleet.nodes
        fleet.network.isolate(c.links.me)
        await a.editor.apply(rate_change(7, "c"))
        await b.keeper.refresh()
        fleet.network.beat()
        names = ["a", "b", "c"]
        seen = [(i.name, i.version) for i in a.keeper.in_force(names)]
        assert seen == [("a", 2), ("b", 2), ("c", None)]
        a.clock.advance(60)
        assert a.keeper.in_force(names)[1].version is None
