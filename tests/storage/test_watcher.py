"""Tests of watching a partition across outages and lost history."""

from __future__ import annotations

import random

from fakes_clock import QuickClock
from guavajunction.errors import HistoryGone, StoreUnavailable
from guavajunction.storage import Changes, PartitionWatcher, RowChange, position


class FakeFeed:
    """Answers from a script of changes and exceptions."""

    def __init__(self, *script):
        self.calls = []
        self.waits = []
        self._script = list(script)

    def _step(self, call):
        self.calls.append(call)
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def snapshot(self, _):
        return self._step("snapshot")

    async def changes(self, _, after, *, wait_seconds):
        self.waits.append(wait_seconds)
        return self._step(after)


def rows(version, *, complete=False):
    return Changes((RowChange("k", b"x", version),), version, complete)


async def watch(feed, count, **kwargs):
    watcher = PartitionWatcher(feed, "p", QuickClock(), random.Random(1), **kwargs)
    found = []
    async for changes in watcher:
        found.append(changes.version)
        if len(found) == count:
            return found, watcher
    return found, watcher


class TestPartitionWatcher:
    """Every change is yielded, also after outages and lost history."""

    async def test_snapshot_then_changes_from_its_version(self):
        feed = FakeFeed(rows(5, complete=True), rows(7), rows(9))
        found, _ = await watch(feed, 3)
        assert found == [5, 7, 9]
        assert feed.calls == ["snapshot", 5, 7]

    async def test_new_era_is_yielded_without_a_change(self):
        quiet = [Changes((), position(1, n), complete=False) for n in (2, 3)]
        feed = FakeFeed(rows(5, complete=True), *quiet, rows(position(1, 4)))
        found, _ = await watch(feed, 3)
        assert found == [5, position(1, 2), position(1, 4)]

    async def test_calls_after_an_outage_continue_from_the_last_version(self):
        down = StoreUnavailable("down")
        feed = FakeFeed(rows(5, complete=True), down, down, rows(7))
        found, _ = await watch(feed, 2)
        assert feed.calls == ["snapshot", 5, 5, 5]
        assert found == [5, 7]

    async def test_calls_during_an_outage_do_not_wait_for_changes(self):
        """A call that waits can't be distinguished from one that gets no answer."""
        down = StoreUnavailable("down")
        feed = FakeFeed(rows(5, complete=True), down, down, rows(7), rows(8))
        await watch(feed, 3)
        wait = PartitionWatcher.MAX_WAIT_SECONDS
        assert feed.waits == [wait, 0.0, 0.0, wait]

    async def test_lost_history_is_followed_by_a_new_snapshot(self):
        feed = FakeFeed(
            rows(5, complete=True), HistoryGone("gone"), rows(9, complete=True)
        )
        found, _ = await watch(feed, 2)
        assert feed.calls == ["snapshot", 5, "snapshot"]
        assert found == [5, 9]

    async def test_wait_without_a_change_yields_nothing(self):
        feed = FakeFeed(rows(5, complete=True), Changes((), 6, False), rows(8))
        found, _ = await watch(feed, 2)
        assert feed.calls == ["snapshot", 5, 6]
        assert found == [5, 8]

    async def test_all_rows_are_read_after_an_outage_with_many_changes(self):
        """Every version of a row is among the changes, so they grow with the outage."""
        failures = round(3 * PartitionWatcher.CATCH_UP_SECONDS / 0.25)
        down = [StoreUnavailable("down")] * failures
        feed = FakeFeed(rows(5, complete=True), *down, rows(99, complete=True))
        found, _ = await watch(feed, 2)
        assert found == [5, 99]
        assert feed.calls[1:3] == [5, 5]
        assert feed.calls[-1] == "snapshot"


class TestOtherSource:
    """Rows from another source while the store does not answer."""

    async def test_its_rows_are_yielded_and_followed_by_later_changes(self):
        asked = []

        async def other_source(partition, after):
            asked.append((partition, after))
            return rows(8, complete=True) if after == 5 else None

        down = StoreUnavailable("down")
        feed = FakeFeed(rows(5, complete=True), down, down, rows(9))
        found, _ = await watch(feed, 3, other_source=other_source)
        assert found == [5, 8, 9]
        assert asked == [("p", 5), ("p", 8)]
        assert feed.calls == ["snapshot", 5, 8, 8]

    async def test_its_rows_do_not_count_as_an_answer_of_the_store(self):
        async def other_source(_, after):
            return rows(8, complete=True) if after == 5 else None

        feed = FakeFeed(rows(5, complete=True), StoreUnavailable("down"))
        found, watcher = await watch(feed, 2, other_source=other_source)
        assert found == [5, 8]
        assert watcher.age() == watcher._clock.monotonic() - watcher.read_at
        assert watcher._lost_at is not None
