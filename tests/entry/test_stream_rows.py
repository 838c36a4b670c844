"""Tests of the rows that keep the origins of streams if all instances end."""

from __future__ import annotations

import asyncio

import pytest

from fakes_clock import QuickClock
from fakes_platform import FakeTable
from guavajunction.gateway import StreamOrigin, StreamOrigins
from guavajunction.peers import PeerId
from guavajunction_entry.gateway._stream_rows import PARTITION, StreamRows

V1 = StreamOrigin("engines", "v1")
V2 = StreamOrigin("engines", "v2")


class Instance:
    """The streams and rows of one instance that answers for all of them."""

    def __init__(self, table, name="front-1", answers_for=True, versions=(V1, V2)):
        self.clock = QuickClock()
        self.table = table.client()
        self.origins = StreamOrigins(self.clock)
        me = PeerId(name, "a")
        self.rows = StreamRows(
            self.table, me, self.origins, self.clock, unix_time=self.clock.monotonic
        )
        self.rows.answers_for = lambda _: answers_for
        self.rows.versions = lambda: versions

    async def begin(self, *streams, origin=V1):
        self.clock.advance(StreamRows.WRITE_SECONDS / 2)
        for stream in streams:
            self.origins.begin(stream, origin)
        self.clock.advance(StreamRows.WRITE_SECONDS / 2)
        await self.rows.write_changes()

    def stored_streams(self):
        return [key for _, key in self.table.rows if "/" in key]


class TestWrites:
    """One instance writes the new streams of all."""

    async def test_streams_of_an_interval_share_a_row(self):
        instance = Instance(FakeTable())
        await instance.begin("s1", "s2")
        await instance.begin("s3", origin=V2)
        await instance.begin()
        assert len(instance.stored_streams()) == 2

    async def test_rows_form_a_ring(self):
        instance = Instance(FakeTable())
        for number in range(instance.rows.RING_ROWS + 5):
            await instance.begin(f"s{number}")
        assert len(instance.stored_streams()) == instance.rows.RING_ROWS

    @pytest.mark.parametrize("pause", [1.0, StreamRows.KEEP_SECONDS])
    async def test_restarted_instance_writes_over_its_oldest_rows(self, pause):
        table = FakeTable()
        await Instance(table).begin("s1")
        restarted = Instance(table)
        restarted.clock.advance(pause)
        await restarted.begin("s2")
        started = Instance(table, "front-2")
        assert await started.origins.find("s2") == V1
        assert await started.origins.find("s1") == (V1 if pause == 1.0 else None)

    async def test_other_instances_write_nothing(self):
        instance = Instance(FakeTable(), answers_for=False)
        await instance.begin("s1")
        assert not instance.table.rows

    async def test_successor_writes_the_latest_streams_of_the_instance_before(self):
        table = FakeTable()
        instance = Instance(table, answers_for=False)
        await instance.begin("s1")
        instance.rows.answers_for = lambda _: True
        await instance.begin()
        assert await Instance(table, "front-2").origins.find("s1") == V1

    async def test_failed_write_is_repeated_with_the_next_one(self):
        table = FakeTable()
        instance = Instance(table)
        instance.table.down = True
        await instance.begin("s1")
        instance.table.down = False
        await instance.begin("s2")
        started = Instance(table, "front-2")
        assert await started.origins.find("s1") == V1
        assert await started.origins.find("s2") == V1


class TestOutage:
    """The store is asked less often while it is away."""

    async def test_failed_writes_are_repeated_after_a_pause(self):
        table = FakeTable()
        table.down = True
        instance = Instance(table)
        instance.origins.begin("s1", V1)
        ends_at = instance.clock.monotonic() + 10.0
        write = instance.rows.write_changes

        async def write_until_the_end():
            if instance.clock.monotonic() >= ends_at:
                raise TimeoutError
            return await write()

        instance.rows.write_changes = write_until_the_end
        with pytest.raises(TimeoutError):
            await instance.rows.run()
        assert instance.table.counts.total() <= 11


class TestOneVersion:
    """While a service has one version, its streams are of that version."""

    async def test_streams_are_not_stored(self):
        instance = Instance(FakeTable(), versions=(V1,))
        for number in range(10):
            await instance.begin(f"s{number}")
        assert not instance.stored_streams()
        assert instance.table.counts["put"] == 1

    async def test_unknown_stream_is_of_the_only_version(self):
        table = FakeTable()
        await Instance(table, versions=(V1,)).begin("s1")
        started = Instance(table, "front-2", versions=(V1,))
        assert await started.origins.find("s1", "engines") == V1
        assert await started.origins.find("s2") is None
        assert await started.origins.find("s3", "others") is None

    async def test_streams_of_before_are_stored_when_a_second_version_appears(self):
        table = FakeTable()
        instance = Instance(table, versions=(V1,))
        await instance.begin("s1")
        instance.rows.versions = lambda: (V1, V2)
        await instance.begin("s2", origin=V2)
        started = Instance(table, "front-2")
        assert await started.origins.find("s1", "engines") == V1
        assert await started.origins.find("s2", "engines") == V2
        assert await started.origins.find("s3", "engines") is None

    @pytest.mark.parametrize("versions", [(V2,), (V1, V2)])
    async def test_nothing_is_guessed_if_the_present_version_is_another(self, versions):
        table = FakeTable()
        await Instance(table, versions=(V1,)).begin("s1")
        started = Instance(table, "front-2", versions=versions)
        assert await started.origins.find("s1", "engines") is None

    async def test_version_that_has_left_counts_while_its_streams_may_run(self):
        table = FakeTable()
        instance = Instance(table)
        await instance.begin("s1")
        instance.rows.versions = lambda: (V2,)
        await instance.begin()
        started = Instance(table, "front-2", versions=(V2,))
        assert await started.origins.find("s9", "engines") is None
        instance.clock.advance(StreamRows.KEEP_SECONDS + 1)
        await instance.begin()
        later = Instance(table, "front-2", versions=(V2,))
        assert await later.origins.find("s9", "engines") == V2

    async def test_versions_of_before_a_start_of_all_instances_count(self):
        table = FakeTable()
        await Instance(table, versions=(V1,)).begin("s1")
        restarted = Instance(table, versions=(V2,))
        await restarted.begin("s2", origin=V2)
        started = Instance(table, "front-2", versions=(V2,))
        assert await started.origins.find("s1", "engines") is None
        assert await started.origins.find("s2", "engines") == V2


class TestInstanceOutOfStep:
    """An instance that is cut off may know nothing of a version that has joined.

    Guards against streams that go on at another version, because the rows were read
    before the second one joined.
    """

    @pytest.fixture
    async def writer(self):
        """Return an instance that writes the rows, while there is one version."""
        writer = Instance(FakeTable(), versions=(V1,))
        await writer.rows.write_changes()
        return writer

    @pytest.fixture
    async def cut(self, writer):
        """Return an instance that has read the rows, and then hears of nothing."""
        cut = Instance(writer.table, "front-2", answers_for=False, versions=(V1,))
        assert await cut.origins.find("s1", "engines") == V1
        cut.clock.advance(StreamRows.READ_AGAIN_SECONDS / 4)
        return cut

    async def test_version_that_joined_after_the_last_read_counts(self, writer, cut):
        writer.rows.versions = lambda: (V1, V2)
        await writer.rows.write_changes()
        assert await cut.origins.find("s2", "engines") is None

    async def test_stream_that_began_after_the_last_read_keeps_its_version(
        self, writer, cut
    ):
        writer.rows.versions = lambda: (V1, V2)
        await writer.begin("s2", origin=V2)
        assert await cut.origins.find("s2", "engines") in (V2, None)


class TestStoreComesBackFromACopy:
    """What the store has lost is written again."""

    async def test_version_that_the_store_lost_is_written_again(self):
        table = FakeTable()
        instance = Instance(table, versions=(V1,))
        await instance.begin("s1")
        copy = dict(table.rows)
        instance.rows.versions = lambda: (V1, V2)
        await instance.begin("s2", origin=V2)
        table.come_back_from(copy)
        instance.rows.write_again()
        await instance.begin()
        started = Instance(table, "front-2", versions=(V1,))
        assert await started.origins.find("s2", "engines") is None


class TestReads:
    """A stream that no instance knows is looked up."""

    async def test_stream_keeps_its_version(self):
        table = FakeTable()
        instance = Instance(table)
        await instance.begin("s1")
        await instance.begin("s2", origin=V2)
        started = Instance(table, "front-2")
        assert await started.origins.find("s1") == V1
        assert await started.origins.find("s2") == V2

    async def test_streams_are_looked_up_together(self):
        table = FakeTable()
        await Instance(table).begin(*(f"s{number}" for number in range(20)))
        started = Instance(table, "front-2")
        found = [started.origins.find(f"s{number}") for number in range(20)]
        assert await asyncio.gather(*found) == [V1] * 20
        assert started.table.counts["query"] == 1

    async def test_unknown_streams_are_looked_up_at_intervals(self):
        started = Instance(FakeTable())
        for number in range(20):
            assert await started.origins.find(f"s{number}", "engines") is None
        assert started.table.counts["query"] == 1

    async def test_caller_that_leaves_does_not_end_the_read_of_others(self):
        table = FakeTable()
        await Instance(table).begin("s1")
        started = Instance(table, "front-2")
        leaving = asyncio.ensure_future(started.origins.find("s1"))
        staying = asyncio.ensure_future(started.origins.find("s1"))
        await asyncio.sleep(0)
        leaving.cancel()
        assert await staying == V1

    async def test_stream_is_unknown_while_the_store_is_away(self):
        table = FakeTable()
        await Instance(table).begin("s1")
        started = Instance(table, "front-2")
        started.table.down = True
        assert await started.origins.find("s1") is None

    @pytest.mark.parametrize("body", [b"", b"\xc1", b"\x01", b"\x91" * 2000])
    async def test_malformed_row_is_left_out(self, body):
        table = FakeTable()
        await table.put(PARTITION, "front-9/0", body, expected=0)
        await Instance(table).begin("s1")
        assert await Instance(table, "front-2").origins.find("s1") == V1
