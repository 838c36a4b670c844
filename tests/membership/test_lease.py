"""Tests of leases: contenders, pauses of the holder, lost answers of the store."""

from __future__ import annotations

import asyncio

import pytest

from fakes_platform import FakeTable
from guavajunction.clock import ManualClock
from guavajunction.errors import LeaseLost, StoreAnswerLost
from guavajunction.membership import Lease
from guavajunction.peers import PeerId
from guavajunction.storage import MAX_ERA, era_of

DURATION = 6.0
MARGIN = 1.0


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def table() -> FakeTable:
    return FakeTable()


def lease(table: FakeTable, name: str, clock: ManualClock) -> Lease:
    return Lease(
        table.client(),
        "placement/p",
        PeerId(name, f"{name}-1"),
        clock,
        duration=DURATION,
        drift_margin=MARGIN,
    )


class TestTakeover:
    """A contender acquires the lease only once the holder has certainly stopped."""

    async def test_contender_waits_for_duration_and_margin(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        assert await a.try_acquire()
        assert not await b.try_acquire()
        clock.advance(DURATION)
        assert not await b.try_acquire()
        with pytest.raises(LeaseLost):
            a.check()
        clock.advance(MARGIN)
        assert await b.try_acquire()
        assert b.check() == 2
        with pytest.raises(LeaseLost):
            await a.renew()

    async def test_renewal_restarts_the_wait(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        await a.try_acquire()
        await b.try_acquire()
        clock.advance(DURATION - 1)
        await a.renew()
        clock.advance(MARGIN + 1)
        assert not await b.try_acquire()
        assert a.check() == 1

    async def test_two_contenders_never_both_win(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        contenders = [lease(table, name, clock) for name in "abc"]
        won = await asyncio.gather(*(c.try_acquire() for c in contenders))
        assert sorted(won) == [False, False, True]

    async def test_released_lease_is_free_at_once(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        await a.acquire()
        await a.release()
        with pytest.raises(LeaseLost):
            a.check()
        assert await b.try_acquire()
        assert b.fence == 2


class TestHolder:
    """The holder treats the lease as held only while that is certain."""

    async def test_time_counts_from_before_the_write_was_sent(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a = lease(table, "a", clock)
        a._table.after_effect = gate = asyncio.Event()
        gate.set()
        taking = asyncio.create_task(a.try_acquire())
        await asyncio.sleep(0)
        gate.clear()
        await taking
        assert a.held(clock.monotonic())
        renewing = asyncio.create_task(a.renew())
        await asyncio.sleep(0)
        clock.advance(DURATION - 1)
        gate.set()
        await renewing
        clock.advance(1)
        assert not a.held(clock.monotonic())

    async def test_lost_answer_of_an_acquisition_gives_no_lease(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a = lease(table, "a", clock)
        a._table.lose_answers = 1
        with pytest.raises(StoreAnswerLost):
            await a.try_acquire()
        assert not a.held(clock.monotonic())
        assert await a.try_acquire()
        assert a.check() == 2

    async def test_renewals_survive_lost_answers_and_a_short_outage(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a = lease(table, "a", clock)
        await a.acquire()
        a._table.lose_answers = 1
        for step in range(40):
            a._table.down = step in (20, 21)
            clock.advance(0.5)
            for _ in range(4):
                await asyncio.sleep(0)
            assert a.check() == 1
        await a.release()

    async def test_paused_holder_detects_the_loss_before_acting(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a = lease(table, "a", clock)
        await a.acquire()
        clock.advance(DURATION)
        with pytest.raises(LeaseLost):
            a.check()
        await a.release()


class TestHandOver:
    """A holder that can't reach the store hands the lease over to a peer."""

    async def test_abandoned_lease_is_taken_over_at_once_with_a_higher_fence(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        assert await a.try_acquire()
        fence = a.fence
        await a.abandon()
        assert not a.held(clock.monotonic())
        assert await b.take_over(PeerId("a", "a-1"), fence)
        assert b.fence == fence + 1
        await b.abandon()

    async def test_takeover_fails_for_another_fence_or_holder(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        assert await a.try_acquire()
        assert not await b.take_over(PeerId("a", "a-1"), a.fence - 1)
        assert not await b.take_over(PeerId("c", "c-1"), a.fence)
        assert a.held(clock.monotonic())


class TestStoreComesBackFromACopy:
    """The row may show an earlier state of the lease; no two incarnations hold it."""

    async def test_free_row_of_an_earlier_era_is_not_acquired_at_once(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        await a.try_acquire()
        await a.release()
        free = dict(table.rows)
        await a.try_acquire()
        table.come_back_from(free)
        assert not await b.try_acquire()
        clock.advance(DURATION + MARGIN)
        assert await b.try_acquire()
        with pytest.raises(LeaseLost):
            a.check()

    async def test_missing_row_is_not_acquired_at_once(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        await a.try_acquire()
        table.come_back_from({})
        assert not await b.try_acquire()
        assert not await b.try_acquire()
        clock.advance(DURATION + MARGIN)
        assert await b.try_acquire()
        assert b.fence > a.fence

    async def test_row_that_names_an_earlier_holder_is_not_proof(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        await a.try_acquire()
        named = dict(table.rows)
        await a.release()
        await b.try_acquire()
        table.come_back_from(named)
        assert not await a.try_acquire()
        with pytest.raises(LeaseLost):
            await b.renew()
        with pytest.raises(LeaseLost):
            b.check()

    async def test_abandoned_lease_of_an_earlier_era_is_not_taken_over(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b, c = (lease(table, name, clock) for name in "abc")
        await a.acquire()
        abandoned = dict(table.rows)
        await a.abandon()
        assert await b.take_over(PeerId("a", "a-1"), a.fence)
        table.come_back_from(abandoned)
        assert not await c.take_over(PeerId("a", "a-1"), a.fence)
        await b.abandon()

    async def test_holder_continues_if_the_copy_names_it(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a, b = lease(table, "a", clock), lease(table, "b", clock)
        await a.try_acquire()
        copy = dict(table.rows)
        await a.renew()
        table.come_back_from(copy)
        assert not await b.try_acquire()
        clock.advance(DURATION - 1)
        await a.renew()
        clock.advance(MARGIN + 1)
        assert not await b.try_acquire()
        assert a.check() == 1

    async def test_acquisition_during_the_return_is_not_held(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        a = lease(table, "a", clock)
        table.come_back_from({})
        assert not await a.try_acquire()
        with pytest.raises(LeaseLost):
            a.check()

    async def test_fences_never_repeat_over_several_returns(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        fences = []
        copy = {}
        for turn in range(6):
            contender = lease(table, f"i{turn}", clock)
            while not await contender.try_acquire():
                clock.advance(1.0)
            fences.append(contender.fence)
            if turn % 2:
                table.come_back_from(copy)
            else:
                copy = dict(table.rows)
            clock.advance(DURATION)
        assert fences == sorted(set(fences))

    async def test_fence_is_exact_in_json(
        self, table: FakeTable, clock: ManualClock
    ) -> None:
        table.era = MAX_ERA - 1
        table.come_back_from({})
        a = lease(table, "a", clock)
        while not await a.try_acquire():
            clock.advance(1.0)
        assert era_of(a.fence) == MAX_ERA
        assert float(a.fence) == a.fence < 2**53
