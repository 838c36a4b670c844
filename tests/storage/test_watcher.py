"""Tests of following a partition through outages and lost history."""

from __future__ import annotations

import random

from fakes_clock import QuickClock
from guavajunction.errors import HistoryGone, StoreUnavailable
from guavajunction.storage import Changes, PartitionWatcher, RowChange


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


async def seen(feed, count):
    watcher = PartitionWatcher(feed, "p", QuickClock(), random.Random(1))
    found = []
    async for changes in watcher:
        found.append(changes.version)
        if len(found) == count:
            return found, watcher
    return found, watcher


class TestPartitionWatcher:
    """Everything is seen, whatever the store does in between."""

    async def test_snapshot_then_changes_from_its_version(self):
        feed = FakeFeed(rows(5, complete=True), rows(7), rows(9))
        found, _ = await seen(feed, 3)
        assert found == [5, 7, 9]
        assert feed.calls == ["snapshot", 5, 7]

    async def test_outage_is_waited_out_without_losing_the_place(self):
        down = StoreUnavailable("down")
        feed = FakeFeed(rows(5, complete=True), down, down, rows(7))
        found, _ = await seen(feed, 2)
        assert feed.calls == ["snapshot", 5, 5, 5]
        assert found == [5, 7]

    async def test_lost_store_is_asked_for_an_answer_at_once(self):
        """A call that waits can't be told from one on a silent connection."""
        down = StoreUnavailable("down")
        feed = FakeFeed(rows(5, complete=True), down, down, rows(7), rows(8))
        await seen(feed, 3)
        wait = PartitionWatcher.MAX_WAIT_SECONDS
        assert feed.waits == [wait, 0.0, 0.0, wait]

    async def test_lost_history_is_made_up_by_reading_everything(self):
        feed = FakeFeed(
            rows(5, complete=True), HistoryGone("gone"), rows(9, complete=True)
        )
        found, _ = await seen(feed, 2)
        assert feed.calls == ["snapshot", 5, "snapshot"]
        assert found == [5, 9]

    async def test_wait_without_a_change_yields_nothing(self):
        feed = FakeFeed(rows(5, complete=True), Changes((), 6, False), rows(8))
        found, _ = await seen(feed, 2)
        assert feed.calls == ["snapshot", 5, 6]
        assert found == [5, 8]
