"""Tests of the clients of the platform against a server with scripted answers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from guavajunction.errors import (
    ConditionFailed,
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from guavajunction.storage import (
    InstanceListClient,
    InstanceRecord,
    ObjectClient,
    Row,
    TableClient,
)


class Server:
    """A server that answers from a script and records the requests."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes] | str] = []
        """Status and body, `cut` to close the connection, or `slow` to send a body in
        six parts within 0.6 s."""
        self.seen: list[tuple[str, str, bytes]] = []
        self.url = ""

    async def handle(self, req: web.Request) -> web.StreamResponse:
        target = req.headers.get("X-Amz-Target", req.path)
        self.seen.append((req.method, target, await req.read()))
        answer = self.answers.pop(0)
        if answer == "slow":
            return await self._respond_slowly(req)
        if answer == "cut" and req.transport is not None:
            req.transport.close()
            return web.Response()
        assert not isinstance(answer, str)
        return web.Response(status=answer[0], body=answer[1])

    async def _respond_slowly(self, req: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(req)
        for _ in range(6):
            await response.write(b"part ")
            await asyncio.sleep(0.1)
        return response

    def requests(self) -> list[dict]:
        return [json.loads(body) for _, _, body in self.seen]


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    server = Server()
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", server.handle)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    server.url = f"http://127.0.0.1:{port}"
    yield server
    await runner.cleanup()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
def table(server: Server, session: aiohttp.ClientSession) -> TableClient:
    return TableClient(session, server.url, "t", timeout=2.0)


def error(name: str) -> bytes:
    return json.dumps({"__type": f"com.amazonaws.dynamodb#{name}"}).encode()


def item(sort: str, version: int) -> dict:
    return {
        "pk": {"S": "p"},
        "sk": {"S": sort},
        "ver": {"N": str(version)},
        "body": {"B": "aGk="},
    }


class TestTableWire:
    """Requests have the form that DynamoDB's protocol requires."""

    async def test_put_sends_the_condition_of_the_expected_version(
        self, server: Server, table: TableClient
    ) -> None:
        server.answers = [(200, b"{}"), (200, b"{}")]
        assert await table.put("p", "s", b"hi", expected=0) == Row("p", "s", 1, b"hi")
        assert (await table.put("p", "s", b"hi", expected=1)).version == 2
        first, second = server.requests()
        assert first["ConditionExpression"] == "attribute_not_exists(pk)"
        assert first["Item"] == item("s", 1)
        assert second["ConditionExpression"] == "ver = :ver"
        assert second["ExpressionAttributeValues"] == {":ver": {"N": "1"}}
        assert server.seen[0][1] == "DynamoDB_20120810.PutItem"

    async def test_query_follows_pages_and_counts_each(
        self, server: Server, table: TableClient
    ) -> None:
        last = {"pk": {"S": "p"}, "sk": {"S": "a"}}
        page = {"Items": [item("a", 1)], "LastEvaluatedKey": last}
        rest = {"Items": [item("b", 2)]}
        server.answers = [(200, json.dumps(p).encode()) for p in (page, rest)]
        assert [row.sort for row in await table.query("p")] == ["a", "b"]
        first, second = server.requests()
        assert first["ConsistentRead"] is True
        assert second["ExclusiveStartKey"] == last
        assert table.counts == {"query": 2}

    async def test_get_of_a_missing_row_is_none(
        self, server: Server, table: TableClient
    ) -> None:
        server.answers = [(200, b"{}")]
        assert await table.get("p", "s") is None
        assert server.requests()[0]["ConsistentRead"] is True


class TestTableFailures:
    """Errors show whether a failed write may have taken effect."""

    @pytest.mark.parametrize(
        ("status", "body", "failure"),
        [
            (400, error("ConditionalCheckFailedException"), ConditionFailed),
            (400, error("ThrottlingException"), StoreUnavailable),
            (500, error("ThrottlingException"), StoreUnavailable),
            (400, error("ProvisionedThroughputExceededException"), StoreUnavailable),
            (400, error("ResourceNotFoundException"), StoreUnavailable),
            (500, error("InternalServerError"), StoreAnswerLost),
            (503, b"<html>", StoreAnswerLost),
            (302, b"", StoreAnswerLost),
        ],
    )
    async def test_failed_write_maps_to_its_possible_effect(
        self,
        server: Server,
        table: TableClient,
        status: int,
        body: bytes,
        failure: type[Exception],
    ) -> None:
        server.answers = [(status, body), (status, body)]
        with pytest.raises(failure):
            await table.put("p", "s", b"", expected=1)
        with pytest.raises(failure):
            await table.delete("p", "s", expected=1)

    @pytest.mark.parametrize("answer", ["cut", (500, b""), (200, b"["), (200, b"[]")])
    async def test_failed_read_raises_store_unavailable(
        self, server: Server, table: TableClient, answer: str
    ) -> None:
        server.answers = [answer]
        with pytest.raises(StoreUnavailable):
            await table.get("p", "s")

    @pytest.mark.parametrize(("partition", "sort"), [("p", "other"), ("other", "s")])
    async def test_row_that_was_not_asked_for_is_no_answer(
        self, server: Server, table: TableClient, partition: str, sort: str
    ) -> None:
        row = item(sort, 1) | {"pk": {"S": partition}}
        server.answers = [(200, json.dumps({"Item": row}).encode())]
        with pytest.raises(StoreUnavailable):
            await table.get("p", "s")
        if partition != "p":
            server.answers = [(200, json.dumps({"Items": [row]}).encode())]
            with pytest.raises(StoreUnavailable):
                await table.query("p")

    async def test_cut_write_on_a_kept_connection_is_lost_and_sent_once(
        self, server: Server, table: TableClient
    ) -> None:
        server.answers = [(200, b"{}"), "cut", (200, b"{}")]
        await table.put("p", "s", b"", expected=0)
        with pytest.raises(StoreAnswerLost):
            await table.put("p", "s", b"", expected=1)
        assert len(server.seen) == 2

    async def test_refused_connection_has_certainly_no_effect(
        self, session: aiohttp.ClientSession
    ) -> None:
        table = TableClient(session, "http://127.0.0.1:1", "t", timeout=2.0)
        with pytest.raises(StoreUnavailable):
            await table.put("p", "s", b"", expected=0)


class TestObjects:
    """Objects are stored and read by name."""

    async def test_round_trip_and_missing(
        self, server: Server, session: aiohttp.ClientSession
    ) -> None:
        objects = ObjectClient(session, server.url, "b", timeout=2.0)
        server.answers = [(200, b""), (200, b"body"), (404, b""), (503, b"")]
        await objects.put("sha/1", b"body")
        assert await objects.get("sha/1") == b"body"
        assert server.seen[0] == ("PUT", "/b/sha/1", b"body")
        with pytest.raises(ObjectNotFound):
            await objects.get("sha/2")
        with pytest.raises(StoreUnavailable):
            await objects.get("sha/2")

    async def test_put_repeated_by_aiohttp_sends_the_same_bytes(
        self, server: Server, session: aiohttp.ClientSession
    ) -> None:
        objects = ObjectClient(session, server.url, "b", timeout=2.0)
        server.answers = [(200, b""), "cut", (200, b"")]
        await objects.put("sha/1", b"one")
        await objects.put("sha/2", b"two")
        assert server.seen[1] == server.seen[2] == ("PUT", "/b/sha/2", b"two")

    async def test_large_object_that_arrives_slowly_is_read(
        self, server: Server, session: aiohttp.ClientSession
    ) -> None:
        objects = ObjectClient(session, server.url, "b", timeout=0.3)
        server.answers = ["slow"]
        assert await objects.get("sha/1") == b"part " * 6

    async def test_failed_put_may_have_stored(
        self, server: Server, session: aiohttp.ClientSession
    ) -> None:
        objects = ObjectClient(session, server.url, "b", timeout=2.0)
        server.answers = [(500, b""), (403, b"")]
        with pytest.raises(StoreAnswerLost):
            await objects.put("n", b"")
        with pytest.raises(StoreUnavailable):
            await objects.put("n", b"")


class TestInstanceList:
    """Decoding of the instance list."""

    async def test_reads_records_and_ignores_new_fields(
        self, server: Server, session: aiohttp.ClientSession
    ) -> None:
        record = InstanceRecord("e1", "tre-1", "10.0.0.1", 80, 81, "live")
        answer = {"instances": [{**record._asdict(), "rack": 4}]}
        server.answers = [(200, json.dumps(answer).encode())]
        client = InstanceListClient(session, server.url, timeout=2.0)
        assert await client.instances() == [record]

    @pytest.mark.parametrize("body", [b"{}", b'{"instances": [{"name": 1}]}', b"<"])
    async def test_malformed_list_is_an_outage(
        self, server: Server, session: aiohttp.ClientSession, body: bytes
    ) -> None:
        server.answers = [(200, body)]
        client = InstanceListClient(session, server.url, timeout=2.0)
        with pytest.raises(StoreUnavailable):
            await client.instances()
