"""Tests of the record of whether the store answers."""

from __future__ import annotations

import pytest

from fakes_platform import FakeTable
from guavajunction.clock import ManualClock
from guavajunction.errors import ConditionFailed, StoreAnswerLost, StoreUnavailable
from guavajunction.storage import ObservedStore


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(table, clock):
    return ObservedStore(table, clock)


class TestReachability:
    """A store that is not called counts as reachable; one that fails does not."""

    async def test_store_that_was_not_called(self, store, clock):
        clock.advance(100.0)
        assert store.is_reachable
        assert not store.is_failing

    async def test_single_failure_is_forgiven_for_a_while(self, store, table, clock):
        table.down = True
        with pytest.raises(StoreUnavailable):
            await store.get("p", "s")
        assert store.is_failing
        assert store.is_reachable
        clock.advance(ObservedStore.PATIENCE_SECONDS + 0.1)
        assert not store.is_reachable

    async def test_failures_count_from_the_first(self, store, table, clock):
        table.down = True
        for _ in range(3):
            with pytest.raises(StoreUnavailable):
                await store.query("p")
            clock.advance(ObservedStore.PATIENCE_SECONDS / 2)
        assert not store.is_reachable

    async def test_answer_makes_the_store_reachable_again(self, store, table, clock):
        table.lose_answers = 1
        with pytest.raises(StoreAnswerLost):
            await store.put("p", "s", b"1", expected=0)
        clock.advance(ObservedStore.PATIENCE_SECONDS + 0.1)
        assert not store.is_reachable
        await store.get("p", "s")
        assert store.is_reachable
        assert not store.is_failing

    async def test_refused_condition_is_an_answer(self, store, table, clock):
        table.down = True
        with pytest.raises(StoreUnavailable):
            await store.delete("p", "s", expected=1)
        clock.advance(ObservedStore.PATIENCE_SECONDS + 0.1)
        table.down = False
        with pytest.raises(ConditionFailed):
            await store.delete("p", "s", expected=1)
        assert store.is_reachable
