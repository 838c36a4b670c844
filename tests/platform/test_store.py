"""Tests of the store client on slow and silent connections."""

from __future__ import annotations

import asyncio
import base64
import json
import time

import aiohttp
import pytest
from aiohttp import web

from guavajunction.errors import StoreUnavailable
from guavajunction_platform._store import StoreClient

ROWS = {
    "rows": [{"key": "config", "ver": 7, "value": base64.b64encode(b"x").decode()}],
    "ver": 9,
}


class SlowStore:
    """Sends each response in parts with a pause after each part."""

    def __init__(self):
        self.parts = 1
        self.pause_seconds = 0.0

    async def handle(self, req):
        """Respond with one row."""
        body = json.dumps(ROWS).encode()
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(req)
        size = -(-len(body) // self.parts)
        for start in range(0, len(body), size):
            await response.write(body[start : start + size])
            await asyncio.sleep(self.pause_seconds)
        return response


@pytest.fixture
async def store():
    fake = SlowStore()
    runner = web.ServerRunner(web.Server(fake.handle), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0]
    async with aiohttp.ClientSession() as session:
        yield fake, StoreClient(session, f"{host}:{port}")
    await runner.cleanup()


class TestNarrowLink:
    """A response that arrives slowly is read; a connection that is silent is not."""

    async def test_large_change_that_arrives_slowly_is_read(self, store):
        fake, client = store
        fake.parts, fake.pause_seconds = 10, 0.15
        changes = await client.changes("op", 5, wait_seconds=0.0)
        assert changes.rows[0].body == b"x"

    async def test_all_rows_that_arrive_slowly_are_read(self, store):
        fake, client = store
        fake.parts, fake.pause_seconds = 10, 0.2
        assert (await client.snapshot("op")).rows[0].body == b"x"

    async def test_silence_within_a_response_is_detected(self, store):
        fake, client = store
        fake.parts, fake.pause_seconds = 2, 5.0
        started = time.monotonic()
        with pytest.raises(StoreUnavailable):
            await client.changes("op", 5, wait_seconds=0.0)
        assert time.monotonic() - started < 2 * StoreClient.FEED_IDLE_SECONDS

    async def test_slow_response_to_another_read_is_awaited(self, store):
        fake, client = store
        fake.parts, fake.pause_seconds = 2, 1.0
        assert await client.get("op", "config") is not None

    async def test_endless_response_is_given_up(self, store, monkeypatch):
        monkeypatch.setattr(StoreClient, "MAX_TRANSFER_SECONDS", 0.5)
        fake, client = store
        fake.parts, fake.pause_seconds = 20, 0.2
        with pytest.raises(StoreUnavailable):
            await client.changes("op", 5, wait_seconds=0.0)


class TestOtherAnswers:
    """Rows are taken only from an answer about the table that was read."""

    async def test_row_with_another_key_is_not_a_missing_row(self, store):
        with pytest.raises(StoreUnavailable):
            await store[1].get("op", "another")

    async def test_rows_of_another_table_are_no_answer(self, store, monkeypatch):
        _, client = store
        (row,) = ROWS["rows"]
        monkeypatch.setitem(ROWS, "rows", [row | {"table": "servers"}])
        for call in (
            client.get("op", "config"),
            client.snapshot("op"),
            client.changes("op", 5, wait_seconds=0.0),
        ):
            with pytest.raises(StoreUnavailable):
                await call
