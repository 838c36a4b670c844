"""Tests of rows that a hub relays to its followers."""

from __future__ import annotations

import asyncio
import random

import pytest

from fakes_clock import QuickClock
from guavajunction.errors import HistoryGone
from guavajunction.fleet import ReadRows, RelayedFeed
from guavajunction.fleet._messages import NewerRowsAnswer, RowsAnswer, RowsNotice
from guavajunction.fleet._relayed_rows import UNREAD, RelayedRows
from guavajunction.storage import Changes, RowChange, era_of, position


def row(sort, body, version=1):
    return RowChange(sort, body, version)


def bodies_differ(before, row):
    return before is None or before.body != row.body


def read_rows():
    """Return `ReadRows` in which only the part of a body before a `/` is relevant."""
    return ReadRows(
        "p",
        is_relevant=lambda before, row: (
            before is None or before.body.split(b"/")[0] != row.body.split(b"/")[0]
        ),
    )


class TestReadRows:
    """Tests of the notices that a hub makes from the changes it reads."""

    def test_first_read_makes_no_notice(self):
        rows = read_rows()
        assert rows.take(Changes((row("x", b"1"),), 5, complete=True)) is None
        assert (rows.sent_version, rows.answer().version) == (5, 5)

    def test_read_without_changes_raises_the_version(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1"),), 5, complete=True))
        assert rows.take(Changes((), 8, complete=False)) is None
        assert (rows.sent_version, rows.answer().version) == (5, 8)

    def test_notice_starts_at_the_version_of_the_last_one(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1"),), 5, complete=True))
        rows.take(Changes((row("x", b"2"),), 7, complete=False))
        notice = rows.take(Changes((row("x", None),), 9, complete=False))
        assert (notice.after, notice.version) == (7, 9)
        assert notice.rows == (row("x", None),)

    def test_irrelevant_change_is_stored_but_not_sent(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1/a"),), 5, complete=True))
        assert rows.take(Changes((row("x", b"1/b"),), 6, complete=False)) is None
        assert rows.sent_version == 5
        assert rows.answer() == RowsAnswer(6, (row("x", b"1/b"),))

    def test_notice_of_a_burst_of_changes_has_only_the_last_of_each_row(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1"),), 5, complete=True))
        burst = tuple(row("x", b"%d" % n) for n in range(2, 27))
        notice = rows.take(Changes((row("y", b"1"), *burst), 40, complete=False))
        assert notice.rows == (row("y", b"1"), row("x", b"26"))

    def test_newer_rows_are_answered_only_after_a_relevant_change(self):
        rows = read_rows()
        assert rows.answer_newer(UNREAD) == (UNREAD, (), False)
        rows.take(Changes((row("x", b"1/a"),), 5, complete=True))
        assert rows.answer_newer(UNREAD) == (5, (row("x", b"1/a"),), True)
        rows.take(Changes((row("x", b"1/b"),), 6, complete=False))
        assert rows.answer_newer(5) == (6, (), False)
        rows.take(Changes((row("x", b"2"),), 9, complete=False))
        assert rows.answer_newer(5) == (9, (row("x", b"2"),), True)

    def test_complete_read_makes_a_notice_of_deleted_rows(self):
        rows = read_rows()
        rows.take(Changes((row("x", b"1"), row("y", b"1")), 5, complete=True))
        notice = rows.take(Changes((row("y", b"1"),), 8, complete=True))
        assert [(change.sort, change.body) for change in notice.rows] == [("x", None)]


class TestReadRowsAcrossEras:
    """A hub's rows if the store comes back from an older copy."""

    @pytest.fixture
    def rows(self):
        rows = ReadRows(
            "p",
            is_relevant=bodies_differ,
            is_older=lambda before, row: row.body is None or row.body < before.body,
        )
        rows.take(Changes((row("x", b"5", 40), row("y", b"5", 41)), 41, complete=True))
        return rows

    def read(self, rows, *changed, complete=True):
        at = position(1, 9)
        changes = tuple(row(sort, body, at) for sort, body in changed)
        return rows.take(Changes(changes, at, complete=complete))

    def bodies(self, rows):
        return {row.sort: row.body for row in rows.answer().rows}

    def test_older_row_is_not_taken(self, rows):
        assert self.read(rows, ("x", b"4"), ("y", b"6")).rows[0].sort == "y"
        assert self.bodies(rows) == {"x": b"5", "y": b"6"}

    def test_row_that_the_copy_lacks_is_kept(self, rows):
        assert self.read(rows, ("y", b"5")).rows == ()
        assert self.bodies(rows) == {"x": b"5", "y": b"5"}

    def test_row_that_is_written_again_goes_on(self, rows):
        self.read(rows, ("x", b"4"))
        self.read(rows, ("x", b"5"), complete=False)
        self.read(rows, ("x", b"3"), complete=False)
        assert self.bodies(rows)["x"] == b"3"

    def test_notice_leads_into_the_new_era(self, rows):
        notice = self.read(rows, ("x", b"6"))
        assert (notice.after, era_of(notice.version)) == (41, 1)

    def test_new_era_is_told_without_a_change(self, rows):
        notice = self.read(rows, ("x", b"5"), ("y", b"5"))
        assert (notice.after, notice.version, notice.rows) == (41, position(1, 9), ())
        assert self.read(rows, ("x", b"5"), ("y", b"5")) is None

    def test_rows_are_replaced_if_their_age_is_unknown(self):
        rows = ReadRows("p", is_relevant=bodies_differ)
        rows.take(Changes((row("x", b"5", 40),), 41, complete=True))
        notice = self.read(rows, ("y", b"1"))
        assert {change.sort for change in notice.rows} == {"x", "y"}
        assert self.bodies(rows) == {"y": b"1"}


class FakeHub:
    """The followed hub, as a `RowsSource` whose state tests set directly."""

    def __init__(self):
        self.is_fresh = True
        self.joined = True
        self.sent = UNREAD
        self.answer = None
        self.notices = RelayedRows()

    def has_joined(self):
        return self.joined

    def fresh(self, _):
        return self.is_fresh

    def sent_version(self, _):
        return self.sent

    def read_version(self, _):
        return self.answer.version if self.answer else self.sent

    def take(self, _, after):
        return self.notices.take(after)

    def has_gap(self, _, after):
        return self.notices.has_gap(after)

    async def request_rows(self, _):
        return self.answer

    async def request_newer_rows(self, _, after):
        return self.newer

    def send_notice(self, after, version, *rows):
        self.sent = version
        self.notices.add(RowsNotice("p", after, version, rows))


class FakeStore:
    """A store that records its calls and returns fixed rows."""

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
    """Tests that the feed reads a hub that is up to date, and otherwise the store."""

    async def test_followers_make_no_call_to_the_store(self, feed, hub, store):
        hub.answer = RowsAnswer(5, (row("x", b"1"),))
        assert (await feed.snapshot("p")).version == 5
        hub.send_notice(5, 7, row("x", b"2"))
        changes = await feed.changes("p", 5, wait_seconds=1.0)
        assert (changes.version, changes.rows) == (7, (row("x", b"2"),))
        assert (await feed.changes("p", 7, wait_seconds=1.0)).rows == ()
        assert store.calls == []

    async def test_feed_reads_the_store_if_the_hub_is_stale(self, feed, hub, store):
        hub.is_fresh = False
        assert (await feed.changes("p", 7, wait_seconds=1.0)).version == 51
        assert store.calls == [7]

    async def test_older_rows_of_another_hub_are_rejected(self, feed, hub, store):
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

    async def test_older_rows_of_a_peer_do_not_replace_newer_ones_after_a_gap(
        self, feed, hub
    ):
        """Guards against a row that is undone because its history is read anew."""
        hub.answer = RowsAnswer(9, (row("x", b"9"),))
        await feed.snapshot("p")
        for version, expected in ((8, None), (9, None), (10, 10)):
            hub.newer = NewerRowsAnswer(version, (row("x", b"p"),), True)
            found = await feed.rows_from_peer("p", None)
            assert (found and found.version) == expected

    async def test_gap_between_notices_raises_history_gone(self, feed, hub):
        await self.join(feed, hub, 5)
        hub.send_notice(7, 9, row("x", b"9"))
        with pytest.raises(HistoryGone):
            await feed.changes("p", 5, wait_seconds=1.0)

    async def join(self, feed, hub, version):
        hub.answer = RowsAnswer(version, ())
        await feed.snapshot("p")

    async def test_loss_of_the_last_notice_raises_history_gone(self, feed, hub):
        await self.join(feed, hub, 5)
        hub.sent = 9
        with pytest.raises(HistoryGone):
            await feed.changes("p", 5, wait_seconds=1.0)

    async def test_notice_may_arrive_after_the_status_with_its_version(self, feed, hub):
        await self.join(feed, hub, 5)
        hub.sent = 9
        task = asyncio.create_task(feed.changes("p", 5, wait_seconds=1.0))
        await asyncio.sleep(0)
        hub.send_notice(5, 9, row("x", b"9"))
        assert (await task).version == 9

    async def test_start_waits_for_the_hub_for_a_limited_time(self, feed, hub, store):
        hub.joined = hub.is_fresh = False
        assert (await feed.snapshot("p")).version == 50
        assert store.calls == ["snapshot"]


class TestFeedAcrossEras:
    """Rows of an earlier era never replace those of a later one."""

    async def test_hub_of_an_earlier_era_is_not_followed(self, feed, hub, store):
        hub.answer = RowsAnswer(position(2, 5), (row("x", b"1"),))
        await feed.snapshot("p")
        hub.answer = RowsAnswer(position(1, 900), (row("x", b"8"),))
        assert (await feed.snapshot("p")).version == 50
        assert store.calls == ["snapshot"]

    async def test_notice_of_an_earlier_era_is_not_applied(self, feed, hub):
        hub.answer = RowsAnswer(position(2, 5), (row("x", b"1"),))
        await feed.snapshot("p")
        hub.notices.add(RowsNotice("p", 3, position(1, 900), (row("x", b"8"),)))
        changes = await feed.changes("p", position(2, 5), wait_seconds=0.0)
        assert (changes.rows, changes.version) == ((), position(2, 5))

    async def test_notice_into_a_new_era_is_applied(self, feed, hub):
        hub.answer = RowsAnswer(900, (row("x", b"1"),))
        await feed.snapshot("p")
        hub.send_notice(900, position(1, 5), row("x", b"8"))
        changes = await feed.changes("p", 900, wait_seconds=0.0)
        assert (changes.rows, changes.version) == ((row("x", b"8"),), position(1, 5))


class TestRandomHistories:
    """Tests that a follower's rows always match the store's at the same version.

    Notices are lost, hubs restart, and the follower switches between hubs and the
    store, at random.
    """

    KEYS = ("x", "y", "z")

    @pytest.mark.parametrize("seed", range(40))
    async def test_rows_match_the_store_at_their_version(self, seed):
        rng = random.Random(seed)
        history = [{}]
        hubs = [ReadRows("p", is_relevant=bodies_differ) for _ in range(2)]
        versions = [UNREAD, UNREAD]
        source, clock = FakeHub(), QuickClock()
        followed = 0
        feed = RelayedFeed(HistoryStore(history), clock)
        feed.source = source
        known, version = {}, None
        for _ in range(300):
            if rng.random() < 0.4:
                history.append(_changed(history[-1], rng.choice(self.KEYS), rng))
            number = rng.randrange(2)
            if rng.random() < 0.05:
                hubs[number] = ReadRows("p", is_relevant=bodies_differ)
                if number == followed:
                    feed.reset_hub()
                    source.notices.clear()
                versions[number] = UNREAD
            elif rng.random() < 0.5:
                notice = hubs[number].take(_read(history, versions[number]))
                versions[number] = len(history) - 1
                if notice and number == followed and rng.random() < 0.8:
                    source.notices.add(notice)
            if rng.random() < 0.05:
                followed = 1 - followed
                feed.reset_hub()
                source.notices.clear()
            source.sent = hubs[followed].sent_version
            source.answer = hubs[followed].answer()
            source.is_fresh = source.sent != UNREAD and rng.random() < 0.9
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


class HistoryStore:
    """A store whose versions are the entries of a history."""

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
