"""Tests of the rows that tell a starting instance which services are brittle."""

from __future__ import annotations

import contextlib

import msgspec
import pytest

from fakes_clock import QuickClock
from fakes_gateway import BOOKINGS, backend
from fakes_platform import FakeTable
from guavajunction.brittle import BrittlePlaces
from guavajunction_entry.gateway._brittle_rows import PARTITION, BrittleRows

SERVER = backend("b1", BOOKINGS)


class Instance:
    """The rows and places of one instance that answers for all services."""

    def __init__(self, table, answers_for=True):
        self.clock = QuickClock()
        self.places = BrittlePlaces(self.clock)
        self.rows = BrittleRows(table, self.places, self.clock)
        self.rows.answers_for = lambda _: answers_for

    async def start(self):
        await self.rows._read()
        self.places.refresh([SERVER])

    def state(self, bears):
        known = self.places.book.of(SERVER.identity)
        self.places.note_answer(SERVER, bears, known)
        self.places.refresh([SERVER])


class TestWrites:
    """One instance keeps the row of a service up to date."""

    async def test_row_follows_the_statements_and_goes_with_them(self):
        table = FakeTable()
        instance = Instance(table)
        for bears, found in (("2", 2.0), ("0.5", 0.5), (None, None)):
            instance.state(bears)
            await instance.rows._write_changes()
            row = await table.get(PARTITION, BOOKINGS)
            assert (msgspec.msgpack.decode(row.body) if row else None) == found

    async def test_nothing_is_written_without_a_change(self):
        table = FakeTable()
        instance = Instance(table)
        instance.state("2")
        for _ in range(3):
            await instance.rows._write_changes()
        assert table.counts["put"] == 1

    async def test_only_the_answering_instance_writes(self):
        table = FakeTable()
        instance = Instance(table, answers_for=False)
        instance.state("2")
        await instance.rows._write_changes()
        assert not table.rows

    async def test_successor_removes_the_row_of_another_instance(self):
        table = FakeTable()
        first, second = Instance(table), Instance(table)
        for instance in (first, second):
            instance.state("2")
            await instance.rows._write_changes()
        second.state(None)
        await second.rows._write_changes()
        assert not table.rows

    async def test_failed_write_is_repeated(self):
        table = FakeTable()
        instance = Instance(table)
        instance.state("2")
        table.down = True
        await instance.rows._write_changes()
        table.down = False
        table.lose_answers = 1
        await instance.rows._write_changes()
        await instance.rows._write_changes()
        assert list(table.rows) == [(PARTITION, BOOKINGS)]

    async def test_row_that_the_store_lost_is_written_again(self):
        table = FakeTable()
        instance = Instance(table)
        instance.state("2")
        await instance.rows._write_changes()
        table.come_back_from({})
        instance.rows.write_again()
        await instance.rows._write_changes()
        assert list(table.rows) == [(PARTITION, BOOKINGS)]


class TestReads:
    """An instance that starts takes the servers of listed services for brittle."""

    async def test_server_that_has_not_answered_needs_a_place(self):
        table = FakeTable()
        before, started = Instance(table), Instance(table)
        before.state("2")
        await before.rows._write_changes()
        await started.start()
        assert started.places.is_brittle(SERVER)

    async def test_row_that_no_answer_confirms_is_removed(self):
        table = FakeTable()
        await table.put(PARTITION, BOOKINGS, msgspec.msgpack.encode(2.0), expected=0)
        started = Instance(table)
        await started.start()
        started.clock.advance(started.places.UNDECIDED_SECONDS + 0.1)
        started.places.refresh([SERVER])
        await started.rows._write_changes()
        assert not started.places.is_brittle(SERVER)
        assert not table.rows

    @pytest.mark.parametrize("body", [b"", b"\xc1", b"\xa3two", b"\x90" * 2000])
    async def test_malformed_row_makes_nothing_brittle(self, body):
        table = FakeTable()
        await table.put(PARTITION, BOOKINGS, body, expected=0)
        started = Instance(table)
        await started.start()
        assert not started.places.any_brittle

    async def test_instance_starts_while_the_store_is_away(self):
        table = FakeTable()
        table.down = True
        started = Instance(table)
        with contextlib.suppress(TimeoutError):
            await started.start()
        assert not started.places.any_brittle
