"""Tests of the store client when the store comes back from an older copy."""

from __future__ import annotations

import asyncio

import aiohttp
import eliot
import pytest

from guavajunction.errors import (
    ConditionFailed,
    HistoryGone,
    StoreAnswerLost,
    StoreUnavailable,
)
from guavajunction.storage import MAX_ERA, era_of
from guavajunction_fakes.deployment import FakeStore
from guavajunction_platform._store import StoreClient


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def store():
    fake = FakeStore()
    async with fake.serve() as url:
        fake.address = url.removeprefix("http://")
        yield fake


@pytest.fixture
def logged():
    """Return a function that returns the log lines of one message type."""
    lines = []
    eliot.add_destinations(lines.append)
    # eliot keeps the lines of earlier tests until there is a destination.
    lines.clear()
    yield lambda kind: [line for line in lines if line.get("message_type") == kind]
    eliot.remove_destination(lines.append)


@pytest.fixture
def client(store, session):
    return StoreClient(session, store.address)


class TestPositions:
    """Versions of a later era are greater, whatever the store counts."""

    async def test_versions_rise_although_the_store_counts_again(self, store, client):
        store.write("op", "config", {"n": 1})
        before = await client.get("op", "config")
        store.write("op", "config", {"n": 2})
        store.restore(3600.0)
        store.write("op", "config", {"n": 1})
        after = await client.get("op", "config")
        assert after.version > before.version
        assert (era_of(before.version), era_of(after.version)) == (0, 1)

    async def test_version_of_an_earlier_era_is_not_asked_for(self, store, client):
        store.write("op", "config", {"n": 1})
        changes = await client.snapshot("op")
        store.restore(3600.0)
        store.write("op", "other", {"n": 1})
        await client.get("op", "other")
        reads = store.reads["op"]
        with pytest.raises(HistoryGone, match="earlier era"):
            await client.changes("op", changes.version, wait_seconds=0.0)
        assert store.reads["op"] == reads

    async def test_changes_after_a_version_given_out_again_are_not_taken(
        self, store, client
    ):
        store.write("op", "config", {"n": 1})
        changes = await client.snapshot("op")
        store.restore(3600.0)
        store.write("op", "other", {"n": 1})
        store.write("op", "config", {"n": 2})
        with pytest.raises(HistoryGone):
            await client.changes("op", changes.version, wait_seconds=0.0)

    async def test_version_that_the_store_does_not_have_is_gone(self, store, client):
        store.write("op", "config", {"n": 1})
        changes = await client.snapshot("op")
        store.restore(3600.0)
        with pytest.raises(HistoryGone):
            await client.changes("op", changes.version, wait_seconds=0.0)
        assert era_of((await client.snapshot("op")).version) == 1

    async def test_era_of_a_version_from_a_peer_is_adopted(self, store, client):
        store.write("op", "config", {"n": 1})
        store.restore(0.0)
        later = (await client.snapshot("op")).version
        store.era = None
        async with aiohttp.ClientSession() as session:
            other = StoreClient(session, store.address)
            changes = await other.changes("op", later, wait_seconds=0.0)
        assert changes.version == later


class TestWrites:
    """A condition of an earlier era is never checked against later versions."""

    async def test_version_of_an_earlier_era_fails_without_a_call(self, store, client):
        row = await client.put("lease", "a", b"1", expected=0)
        store.restore(3600.0)
        await client.get("lease", "a")
        calls = client.counts["/rows-tx"]
        with pytest.raises(ConditionFailed, match="era 1"):
            await client.put("lease", "a", b"2", expected=row.version)
        assert client.counts["/rows-tx"] == calls

    async def test_condition_met_by_chance_counts_as_unknown(self, store, client):
        row = await client.put("lease", "a", b"1", expected=0)
        store.restore(3600.0)
        store.write("guava-lease", "a", b"other")
        with pytest.raises(StoreAnswerLost, match="new era"):
            await client.put("lease", "a", b"2", expected=row.version)

    async def test_row_that_must_not_exist_is_written_in_a_new_era(self, store, client):
        store.restore(0.0)
        row = await client.put("lease", "a", b"1", expected=0)
        assert era_of(row.version) == 1
        await client.put("lease", "a", b"2", expected=row.version)


class TestLateAnswers:
    """An answer that was on its way when the next era began changes nothing."""

    async def answer_late(self, store, client, call):
        """Return the failure of a call whose answer states the era before a return."""
        await client.get("op", "config")
        era = store.era
        store.faults.set(late_seconds=0.4)
        waiting = asyncio.create_task(call)
        await asyncio.sleep(0.2)
        store.faults.set(late_seconds=0.0)
        store.restore(0.0)
        await client.get("op", "config")
        store.era = era
        (outcome,) = await asyncio.gather(waiting, return_exceptions=True)
        return outcome

    @pytest.mark.parametrize("era", [4, None])
    async def test_late_read_fails(self, store, client, era):
        store.era = era
        store.write("op", "config", {"n": 1})
        outcome = await self.answer_late(store, client, client.snapshot("op"))
        assert isinstance(outcome, StoreUnavailable)

    @pytest.mark.parametrize("era", [4, None])
    async def test_late_write_is_unknown(self, store, client, era):
        store.era = era
        call = client.put("lease", "a", b"1", expected=0)
        outcome = await self.answer_late(store, client, call)
        assert isinstance(outcome, StoreAnswerLost)


class TestWrongEras:
    """A wrong era is logged, and the last known one holds."""

    @pytest.mark.parametrize(
        "stated", ["", "-1", "2.0", "1e3", "x" * 5000, "٣", str(MAX_ERA + 1), "3", "0"]
    )
    async def test_last_era_holds(self, store, client, stated, logged):
        store.era = 5
        store.write("op", "config", {"n": 1})
        before = await client.get("op", "config")
        store.era = stated
        after = await client.get("op", "config")
        assert after == before
        await client.get("op", "config")
        assert len(logged("storage:era_refused")) == 1

    async def test_missing_era_holds(self, store, client):
        store.era = 5
        store.write("op", "config", {"n": 1})
        before = await client.get("op", "config")
        store.era = None
        assert await client.get("op", "config") == before

    async def test_era_of_an_error_counts(self, store, client, logged):
        store.era = 5
        store.faults.set(outage="error")
        with pytest.raises(StoreUnavailable):
            await client.get("op", "config")
        assert [line["era"] for line in logged("storage:era_began")] == [5]
