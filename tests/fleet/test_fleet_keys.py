"""Tests of the keys of the links between instances."""

from __future__ import annotations

import pytest

from fakes_clock import QuickClock
from fakes_platform import FakeTable
from guavajunction.errors import FleetKeysReplaced
from guavajunction.fleet import keep_keys, obtain_keys


@pytest.fixture
def table():
    return FakeTable()


class TestKeys:
    """All instances use the keys that the first one wrote."""

    async def test_first_instance_writes_the_keys_of_all(self, table):
        clock = QuickClock()
        keys = await obtain_keys(table.client(), clock)
        assert await obtain_keys(table.client(), clock) == keys
        assert keys.public != keys.secret

    async def test_lost_answer_does_not_replace_the_keys(self, table):
        client = table.client()
        client.lose_answers = 1
        keys = await obtain_keys(client, QuickClock())
        assert await obtain_keys(table.client(), QuickClock()) == keys


class TestStoreComesBackFromACopy:
    """Keys that the store has lost are written again by those who use them."""

    async def test_lost_keys_are_written_again(self, table):
        clock = QuickClock()
        keys = await obtain_keys(table, clock)
        table.come_back_from({})
        await keep_keys(table, clock, keys)
        assert await obtain_keys(table, clock) == keys

    async def test_kept_keys_are_not_written(self, table):
        clock = QuickClock()
        keys = await obtain_keys(table, clock)
        table.come_back_from(dict(table.rows))
        await keep_keys(table, clock, keys)
        assert table.counts["put"] == 1

    async def test_other_keys_replace_those_in_use(self, table):
        clock = QuickClock()
        keys = await obtain_keys(table, clock)
        table.come_back_from({})
        await obtain_keys(table, clock)
        with pytest.raises(FleetKeysReplaced):
            await keep_keys(table, clock, keys)
