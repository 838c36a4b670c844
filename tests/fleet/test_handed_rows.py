"""Tests of rows on their way from a hub to a follower."""

from __future__ import annotations

import asyncio
import random

import pytest

from fakes_clock import QuickClock
from guavajunction.errors import HistoryGone
from guavajunction.fleet import ReadRows, RelayedFeed
from guavajunction.fleet._messages import RowsAnswer, RowsNotice
from guavajunction.fleet._relayed_rows import UNREAD, HandedRows
from guavajunction.storage import Changes, RowChange


def row(sort, body, version=1):
    return RowChange(sort, body, version)


def bodies_differ(before, row):
    return before is None or before.body != row.body


def read_rows():
    """Return rows of which only the part before a `/` matters."""
    return ReadRows(
        "p",
        matters=lambda before, row: (
            before is None or before.body.split(b"/")[0] != row.body.split(b"/")[0]
        ),
    )


class TestReadRows:
    """What a hub tells of what it reads."""

    def test_first_reading_is_had_by_asking(self):
        rows = read_rows()
        assert rows.take(Changes((row("x", b"1"),), 5, complete=True)) is None
        assert (rows.told_version, rows.answer().version) == (5, 5)

    def test_answer_without_changes_still_makes_rows_newer(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1"),), 5, complete=True))
        assert rows.take(Changes((), 8, complete=False)) is None
        assert (rows.told_version, rows.answer().version) == (5, 8)

    def test_change_is_told_from_where_the_last_one_ended(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1"),), 5, complete=True))
        rows.take(Changes((row("x", b"2"),), 7, complete=False))
        notice = rows.take(Changes((row("x", None),), 9, complete=False))
        assert (notice.after, notice.version) == (7, 9)
        assert notice.rows == (row("x", None),)

    def test_what_does_not_matter_is_kept_but_not_told(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1/a"),), 5, complete=True))
        assert rows.take(Changes((row("x", b"1/b"),), 6, complete=False)) is None
        assert rows.told_version == 5
        assert rows.answer() == RowsAnswer(6, (row("x", b"1/b"),))

    def test_complete_reading_tells_what_is_gone(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1"), row("y", b"1")), 5, complete=True))
        notice = rows.take(Changes((row("y", b"1"),), 8, complete=True))
        assert [(change.sort, change.body) for change in notice.rows] == [("x", None)]


class FakeHub:
    """A followed hub."""

    def __init__(self):
        self.is_fresh = True
        self.is_placed = True
        self.told = UNREAD
        self.answer = None
        self.handed = HandedRows()

    def placed(self):
        return self.is_placed

    def fresh(self, _):
        return self.is_fresh

    def told_version(self, _):
        return self.told

    def read_version(self, _):
        return self.answer.version if self.answer else self.told

    def take(self, _, after):
        return self.handed.take(after)

    def misses(self, _, after):
        return self.handed.misses(after)

    async def ask_rows(self, _):
        return self.answer

    def tell(self, after, version, *rows):
        self.told = version
        self.handed.add(RowsNotice("p", after, version, rows))


class FakeStore:
    """A store that only says who asked."""

    def __init__(self):
        self.calls = []

    async def snapshot(self, _):
        self.calls.append("snapshot")
        return Changes((row("x", b"store"),), 50, complete=True)

    async def changes(self, _, after, *, wait_seconds):
        self.calls.append(after)
        return Changes((row("x", b"store"),), 51, complete=False)


@pytest.fixture
def hub():
    return FakeHub()


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def feed(hub, store):
    feed = RelayedFeed(store, QuickClock())
    feed.source = hub
    return feed


class TestRelayedFeed:
    """A hub's rows while it is fresh, the store's else."""

    async def test_followers_make_no_call_to_the_store(self, feed, hub, store):
        hub.answer = RowsAnswer(5, (row("x", b"1"),))
        assert (await feed.snapshot("p")).version == 5
        hub.tell(5, 7, row("x", b"2"))
        changes = await feed.changes("p", 5, wait_seconds=1.0)
        assert (changes.version, changes.rows) == (7, (row("x", b"2"),))
        assert (await feed.changes("p", 7, wait_seconds=1.0)).rows == ()
        assert store.calls == []

    async def test_stale_hub_leaves_the_store(self, feed, hub, store):
        hub.is_fresh = False
        assert (await feed.changes("p", 7, wait_seconds=1.0)).version == 51
        assert store.calls == [7]

    async def test_older_rows_of_another_hub_are_not_taken(self, feed, hub, store):
        hub.answer = RowsAnswer(9, (row("x", b"9"),))
        await feed.snapshot("p")
        hub.answer = RowsAnswer(8, (row("x", b"8"),))
        assert (await feed.snapshot("p")).version == 50
        assert store.calls == ["snapshot"]

    async def test_rows_of_the_store_are_replaced_by_the_hubs(self, feed, hub, store):
        hub.is_fresh = False
        assert (await feed.changes("p", 7, wait_seconds=1.0)).version == 51
        hub.is_fresh, hub.answer = True, RowsAnswer(60, (row("x", b"60"),))
        changes = await feed.changes("p", 51, wait_seconds=1.0)
        assert (changes.version, changes.complete) == (60, True)

    async def test_gap_between_notices_shows(self, feed, hub):
        await self.join(feed, hub, 5)
        hub.tell(7, 9, row("x", b"9"))
        with pytest.raises(HistoryGone):
            await feed.changes("p", 5, wait_seconds=1.0)

    async def join(self, feed, hub, version):
        hub.answer = RowsAnswer(version, ())
        await feed.snapshot("p")

    async def test_last_notice_that_was_lost_shows(self, feed, hub):
        await self.join(feed, hub, 5)
        hub.told = 9
        with pytest.raises(HistoryGone):
            await feed.changes("p", 5, wait_seconds=1.0)

    async def test_notice_may_arrive_behind_the_heartbeat(self, feed, hub):
        await self.join(feed, hub, 5)
        hub.told = 9
        task = asyncio.create_task(feed.changes("p", 5, wait_seconds=1.0))
        await asyncio.sleep(0)
        hub.tell(5, 9, row("x", b"9"))
        assert (await task).version == 9

    async def test_start_waits_for_the_hub_but_not_for_ever(self, feed, hub, store):
        hub.is_placed = hub.is_fresh = False
        assert (await feed.snapshot("p")).version == 50
        assert store.calls == ["snapshot"]


class TestRandomHistories:
    """Whatever is lost or restarts, a follower's rows are the store's."""

    KEYS = ("x", "y", "z")

    @pytest.mark.parametrize("seed", range(40))
    async def test_rows_are_those_of_the_version(self, seed):
        rng = random.Random(seed)
        history = [{}]
        hubs = [ReadRows("p", matters=bodies_differ) for _ in range(2)]
        versions = [UNREAD, UNREAD]
        source, clock = FakeHub(), QuickClock()
        followed = 0
        feed = RelayedFeed(StoreOf(history), clock)
        feed.source = source
        known, version = {}, None
        for _ in range(300):
            if rng.random() < 0.4:
                history.append(_changed(history[-1], rng.choice(self.KEYS), rng))
            number = rng.randrange(2)
            if rng.random() < 0.05:
                hubs[number] = ReadRows("p", matters=bodies_differ)
                if number == followed:
                    feed.leave()
                    source.handed.clear()
                versions[number] = UNREAD
            elif rng.random() < 0.5:
                notice = hubs[number].take(_read(history, versions[number]))
                versions[number] = len(history) - 1
                if notice and number == followed and rng.random() < 0.8:
                    source.handed.add(notice)
            if rng.random() < 0.05:
                followed = 1 - followed
                feed.leave()
                source.handed.clear()
            source.told = hubs[followed].told_version
            source.answer = hubs[followed].answer()
            source.is_fresh = source.told != UNREAD and rng.random() < 0.9
            before = version
            try:
                if version is None:
                    changes = await feed.snapshot("p")
                    known = {}
                else:
                    changes = await feed.changes("p", version, wait_seconds=0.0)
            except HistoryGone:
                version = None
                continue
            version = changes.version
            assert before is None or version >= before
            if changes.complete:
                known = {}
            for change in changes.rows:
                if change.body is None:
                    known.pop(change.sort, None)
                else:
                    known[change.sort] = change.body
            assert known == history[version], f"seed {seed}"


class StoreOf:
    """The store of a history."""

    def __init__(self, history):
        self._history = history

    async def snapshot(self, _):
        return _read(self._history, UNREAD)

    async def changes(self, _, after, *, wait_seconds):
        return _read(self._history, after)


def _changed(rows, key, rng):
    rest = {name: body for name, body in rows.items() if name != key}
    if key in rows and rng.random() < 0.4:
        return rest
    return rest | {key: rng.choice([b"1", b"2"])}


def _read(history, after):
    version = len(history) - 1
    now = history[version]
    if after == UNREAD:
        rows = tuple(row(name, body, version) for name, body in now.items())
        return Changes(rows, version, complete=True)
    names = {
        name
        for old, new in zip(history[after:], history[after + 1 :], strict=False)
        for name in old.keys() | new.keys()
        if old.get(name) != new.get(name)
    }
    rows = tuple(row(name, now.get(name), version) for name in sorted(names))
    return Changes(rows, version, complete=False)
