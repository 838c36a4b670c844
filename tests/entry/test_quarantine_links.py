"""Tests of the reports of crashes that instances exchange."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from fakes_clock import ManualClock
from fakes_platform import FakeTable
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId, Evidence, PartQuarantine
from guavajunction.storage import Changes, RowChange, position
from guavajunction_entry.gateway._quarantine_links import (
    PARTITION,
    TRIAL_PARTITION,
    EvidenceNotice,
    QuarantineLinks,
)


class Peers:
    """Stands in for the links and the relay; delivers to all other instances."""

    def __init__(self):
        self.handlers = []
        self.forwarded = []

    def handle(self, _, handler):
        self.handlers.append(handler)

    def broadcast(self, message):
        for handler in self.handlers:
            asyncio.ensure_future(handler(PeerId("other", "1"), message))  # noqa: RUF006

    def forward(self, sender, message):
        self.forwarded.append((sender, message))


class Instance:
    """One instance with its store client and its peers."""

    def __init__(self, name, table, peers=None):
        self.table = table
        self.clock = ManualClock()
        self.quarantine = PartQuarantine(self.clock, self.clock.monotonic)
        me = PeerId(name, "1")
        self.links = QuarantineLinks(table, me, self.quarantine, self.clock)
        if peers is not None:
            self.links.connect(peers, peers)
        self.task = asyncio.ensure_future(self.links.run())

    async def crash(self, *numbers, part="bad"):
        """Lose a request with the part at some backend servers."""
        for number in numbers:
            backend = BackendId(f"e{number}", 1)
            self.quarantine.note_lost(backend, [part], answer_seconds=0.0, chunks=0)
        await self.wait()

    async def wait(self, seconds=2.0):
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0)
            self.clock.advance(0.05)
            await asyncio.sleep(0)

    def read(self, era=0, **rows):
        """Read all rows of the store, or the given ones."""
        if not rows:
            rows = {
                sort: row.body
                for (partition, sort), row in self.table.rows.items()
                if partition == PARTITION
            }
        changes = [RowChange(sort, body, 1) for sort, body in rows.items()]
        self.links.apply(Changes(tuple(changes), position(era, 1), complete=True))

    def blames(self, part="bad"):
        return self.quarantine.blamed_in([part, "x"]) is not None


@pytest.fixture
async def start():
    instances = []

    def start_instance(name, table, peers=None):
        instances.append(Instance(name, table, peers))
        return instances[-1]

    yield start_instance
    for instance in instances:
        instance.task.cancel()


class TestStore:
    """The store reaches instances that no peer reaches."""

    async def test_instances_without_peers_join_their_reports(self, start):
        table = FakeTable()
        instances = [start(f"front-{n}", table) for n in range(3)]
        for number, instance in enumerate(instances):
            await instance.crash(number)
        for instance in instances:
            assert not instance.blames()
            instance.read()
            assert instance.blames()

    async def test_report_is_written_after_an_outage(self, start):
        table = FakeTable()
        first = start("front-1", table)
        table.down = True
        await first.crash(1, 2, 3)
        assert not table.rows
        table.down = False
        await first.wait()
        later = start("front-2", table)
        later.read()
        assert later.blames()

    async def test_report_is_written_though_the_answer_is_lost(self, start):
        table = FakeTable()
        first = start("front-1", table)
        table.lose_answers = 1
        await first.crash(1)
        await first.crash(2, 3)
        later = start("front-2", table)
        later.read()
        assert later.blames()

    async def test_report_that_the_store_lost_is_written_again(self, start):
        table = FakeTable()
        first = start("front-1", table)
        await first.crash(1, 2, 3)
        table.rows.clear()
        first.read(other=msgspec.msgpack.encode(Evidence()))
        await first.wait()
        assert (PARTITION, "front-1.1") in table.rows

    async def test_row_is_not_written_again_for_older_rows_of_a_peer(self, start):
        table = FakeTable()
        first = start("front-1", table)
        await first.crash(1)
        await first.crash(2)
        written = table.counts["put"]
        others = RowChange("other", msgspec.msgpack.encode(Evidence()), 1)
        first.links.apply(Changes((others,), position(0, 1), complete=True))
        await first.wait()
        assert table.counts["put"] == written

    async def test_malformed_row_is_ignored(self, start):
        instance = start("front-1", FakeTable())
        instance.read(broken=b"\xff")
        assert not instance.blames()

    async def test_expired_row_is_removed(self, start):
        table = FakeTable()
        first = start("front-1", table)
        await first.crash(1, 2, 3)
        later = start("front-2", table)
        later.clock.advance(PartQuarantine.KEEP_SECONDS * 2)
        later.read()
        await later.wait()
        assert not table.rows


class TestPeers:
    """Peers learn of a crash at once, also while the store is away."""

    async def test_peers_are_told_while_the_store_is_away(self, start):
        table, peers = FakeTable(), Peers()
        table.down = True
        instances = [start(f"front-{n}", table, peers) for n in range(3)]
        for number, instance in enumerate(instances):
            await instance.crash(number)
        assert all(instance.blames() for instance in instances)
        assert peers.forwarded

    async def test_peers_are_told_while_the_store_does_not_answer(self, start):
        table, peers = FakeTable(), Peers()
        table.before_effect = asyncio.Event()
        instances = [start(f"front-{n}", table, peers) for n in range(3)]
        for number in range(3):
            await instances[0].crash(number)
        assert all(instance.blames() for instance in instances)

    async def test_older_notice_is_ignored(self, start):
        peers = Peers()
        instance = start("front-1", FakeTable(), peers)
        await start("front-2", FakeTable(), peers).crash(1, 2, 3)
        assert instance.blames()
        (handler,) = peers.handlers[:1]
        await handler(
            PeerId("front-2", "1"), EvidenceNotice("front-2.1", 0, Evidence())
        )
        assert instance.blames()


class TestAttempt:
    """One instance of the fleet makes the one attempt."""

    async def test_only_one_instance_claims_the_attempt(self, start):
        table = FakeTable()
        instances = [start(f"front-{n}", table) for n in range(4)]
        claims = [await i.quarantine.claim_trial("bad") for i in instances]
        assert claims == [True, False, False, False]
        assert (TRIAL_PARTITION, "bad") in table.rows

    async def test_lost_answer_claims_nothing(self, start):
        table = FakeTable()
        table.lose_answers = 1
        instance = start("front-1", table)
        assert not await instance.quarantine.claim_trial("bad")


class TestStoreComesBackFromACopy:
    """Reports and claims that the store has lost are written again."""

    async def test_lost_report_is_written_again(self, start):
        table = FakeTable()
        instance = start("front-1", table)
        await instance.crash(1, 2)
        table.come_back_from({})
        instance.read(era=1)
        await instance.wait()
        assert (PARTITION, "front-1.1") in table.rows

    async def test_lost_report_of_a_follower_is_written_again(self, start):
        table = FakeTable()
        instance = start("front-1", table)
        await instance.crash(1, 2)
        table.come_back_from({})
        gone = RowChange("front-1.1", None, position(1, 3))
        instance.links.apply(Changes((gone,), position(1, 3), complete=False))
        await instance.wait()
        assert (PARTITION, "front-1.1") in table.rows

    async def test_lost_claim_is_written_again_once(self, start):
        table = FakeTable()
        claimer, other = start("front-1", table), start("front-2", table)
        assert await claimer.quarantine.claim_trial("bad")
        table.come_back_from({})
        for _ in range(3):
            claimer.read(era=1)
            await claimer.wait()
        assert table.counts["put"] == 2
        assert not await other.quarantine.claim_trial("bad")
