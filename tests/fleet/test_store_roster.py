"""Tests of the rows through which instances discover each other."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from fakes_platform import FakeTable
from guavajunction.clock import ManualClock
from guavajunction.fleet import InstanceEntry, StoreRoster
from guavajunction.peers import PeerId

ENTRY = InstanceEntry("1", "here", "10.0.0.1", 8080, 9090)


class Instance:
    """A `StoreRoster` that has followed a hub since it started."""

    def __init__(self, table, clock):
        self.clock = clock
        self.listed = set()
        self.reads = 0
        self.live = set()
        self.roster = StoreRoster(table, PeerId("early", "1"), ENTRY, clock)
        self.roster.on_read = self._on_read
        self.roster.is_joined = lambda: True
        self.roster.live_names = lambda: self.live

    def _on_read(self, listed):
        self.listed = {entry.record.name for entry in listed}
        self.reads += 1

    @asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.roster.run())
        await self.pass_time(0.1)
        try:
            yield
        finally:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def pass_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for _ in range(5):
                await asyncio.sleep(0)


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def instance(table):
    return Instance(table, ManualClock())


async def register(table, name):
    peer = PeerId(name, "1")
    await StoreRoster(table, peer, ENTRY, ManualClock())._register()


class TestFollower:
    """A follower reads the list rarely, unless an instance is missing from it."""

    async def test_live_instance_that_is_not_listed_is_read_soon(self, table, instance):
        async with instance.running():
            await register(table, "late")
            instance.live = {"late"}
            await instance.pass_time(3.0)
            assert instance.listed == {"early", "late"}

    async def test_list_is_read_once_for_an_instance_that_starts(self, table, instance):
        async with instance.running():
            await register(table, "late")
            instance.live = {"late"}
            await instance.pass_time(20.0)
            assert instance.reads == 2

    async def test_reads_are_limited_while_an_instance_stays_unlisted(self, instance):
        async with instance.running():
            instance.live = {"removed"}
            await instance.pass_time(20.0)
            assert instance.reads <= 14

    async def test_known_instances_are_read_rarely(self, table, instance):
        await register(table, "late")
        async with instance.running():
            instance.live = {"late"}
            await instance.pass_time(20.0)
            assert instance.reads == 1


class TestStoreComesBackFromACopy:
    """An instance whose row is missing writes it again, unless it leaves."""

    async def test_lost_row_is_written_again(self, table, instance):
        instance.roster.is_joined = lambda: False
        async with instance.running():
            table.come_back_from({})
            await instance.pass_time(4.0)
            assert ("instance", "early") in table.rows

    async def test_instance_whose_row_was_lost_is_soon_in_its_own_list(
        self, table, instance
    ):
        async with instance.running():
            await instance.pass_time(5.0)
            table.come_back_from({})
            instance.roster.read_again()
            await instance.pass_time(4.5)
        assert instance.listed == {"early"}

    async def test_follower_reads_the_list_soon_after_a_return(self, table, instance):
        async with instance.running():
            table.come_back_from({})
            instance.roster.read_again()
            await instance.pass_time(3.0)
            assert ("instance", "early") in table.rows
            await instance.pass_time(15.0)
            assert instance.reads == 2

    async def test_row_of_an_earlier_incarnation_is_replaced(self, table, instance):
        instance.roster.is_joined = lambda: False
        earlier = ENTRY._replace(incarnation="0")
        me = PeerId("early", "0")
        await StoreRoster(table, me, earlier, ManualClock())._register()
        copy = dict(table.rows)
        async with instance.running():
            table.come_back_from(copy)
            await instance.pass_time(4.0)
            assert b"\xa11" in table.rows["instance", "early"].body

    async def test_row_of_a_later_incarnation_is_not_replaced(self, table, instance):
        instance.roster.is_joined = lambda: False
        later = ENTRY._replace(incarnation="2")
        me = PeerId("early", "2")
        async with instance.running():
            await StoreRoster(table, me, later, ManualClock())._register()
            await instance.pass_time(20.0)
            assert b"\xa12" in table.rows["instance", "early"].body

    async def test_row_of_a_leaving_instance_is_not_written_again(
        self, table, instance
    ):
        instance.roster.is_joined = lambda: False
        async with instance.running():
            await instance.roster.leave()
            await instance.pass_time(20.0)
            assert ("instance", "early") not in table.rows
