"""Tests of the stand-ins for the platform and for a plain service."""

from __future__ import annotations

import asyncio
import base64

import aiohttp
import pytest

from guavajunction_fakes import (
    FakeInstances,
    FakeObjects,
    FakeService,
    FakeTable,
    FakeWeights,
    FaultController,
    FaultsInvalid,
    WeightStoreConfig,
)


async def call(session, url, operation, **body):
    headers = {
        "X-Amz-Target": f"DynamoDB_20120810.{operation}",
        "Content-Type": "application/x-amz-json-1.0",
    }
    body = {"TableName": "guavajunction", **body}
    async with session.post(url, json=body, headers=headers) as resp:
        return resp.status, await resp.json(content_type=None)


def item(sort, version):
    body = base64.b64encode(b"x").decode()
    return {
        "pk": {"S": "p"},
        "sk": {"S": sort},
        "ver": {"N": str(version)},
        "body": {"B": body},
    }


def put(session, url, sort, version, expected):
    if not expected:
        condition = {"ConditionExpression": "attribute_not_exists(pk)"}
    else:
        condition = {
            "ConditionExpression": "ver = :ver",
            "ExpressionAttributeValues": {":ver": {"N": str(expected)}},
        }
    return call(session, url, "PutItem", Item=item(sort, version), **condition)


def get(session, url, sort, consistent=True):
    key = {"pk": {"S": "p"}, "sk": {"S": sort}}
    return call(session, url, "GetItem", Key=key, ConsistentRead=consistent)


@pytest.fixture
async def session():
    timeout = aiohttp.ClientTimeout(total=5)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


class TestTable:
    """Conditional writes, queries, rate limits and injected faults of the table."""

    async def test_only_one_of_two_conditional_writes_succeeds(self, session):
        async with FakeTable().serve() as url:
            answers = await asyncio.gather(
                put(session, url, "a", 1, 0), put(session, url, "a", 1, 0)
            )
            assert sorted(status for status, _ in answers) == [200, 400]
            refusal = next(body for status, body in answers if status == 400)
            assert refusal["__type"].endswith("ConditionalCheckFailedException")
            assert (await put(session, url, "a", 2, 1))[0] == 200
            assert (await put(session, url, "a", 2, 1))[0] == 400

    async def test_a_query_is_paged(self, session):
        fake = FakeTable()
        async with fake.serve() as url:
            for number in range(fake.PAGE_ROWS + 1):
                await put(session, url, f"{number:04}", 1, 0)
            query = {
                "KeyConditionExpression": "pk = :pk",
                "ExpressionAttributeValues": {":pk": {"S": "p"}},
            }
            _, first = await call(session, url, "Query", **query)
            start = first["LastEvaluatedKey"]
            _, rest = await call(
                session, url, "Query", **query, ExclusiveStartKey=start
            )
        assert len(first["Items"]) == fake.PAGE_ROWS
        assert [row["sk"]["S"] for row in rest["Items"]] == ["0100"]
        assert "LastEvaluatedKey" not in rest

    async def test_a_write_whose_response_is_lost_takes_effect(self, session):
        fake = FakeTable()
        async with fake.serve() as url:
            fake.faults.set(lose_answers=1)
            with pytest.raises(aiohttp.ClientError):
                await put(session, url, "a", 1, 0)
            assert (await get(session, url, "a"))[1]["Item"]["ver"]["N"] == "1"

    async def test_a_write_during_an_outage_has_no_effect(self, session):
        fake = FakeTable()
        async with fake.serve() as url:
            fake.faults.set(outage="drop", only=["PutItem"])
            with pytest.raises(aiohttp.ClientError):
                await put(session, url, "a", 1, 0)
            assert (await get(session, url, "a"))[1] == {}

    async def test_a_server_that_refuses_connections_recovers(self, session):
        fake = FakeTable()
        async with fake.serve() as url:
            await get(session, url, "a")
            fake.faults.set(outage="refuse", outage_seconds=0.2)
            await asyncio.sleep(0.05)
            with pytest.raises(aiohttp.ClientConnectorError):
                await get(session, url, "a")
            await asyncio.sleep(0.25)
            assert (await get(session, url, "a"))[0] == 200

    async def test_a_hanging_call_is_aborted_when_the_outage_ends(self, session):
        fake = FakeTable()
        async with fake.serve() as url:
            fake.faults.set(outage="hang")
            hanging = asyncio.ensure_future(get(session, url, "a"))
            await asyncio.sleep(0.05)
            assert not hanging.done()
            fake.faults.set(clear=True)
            with pytest.raises(aiohttp.ClientError):
                await hanging
            assert (await get(session, url, "a"))[0] == 200

    async def test_only_inconsistent_reads_are_stale(self, session):
        fake = FakeTable()
        async with fake.serve() as url:
            fake.faults.set(stale_seconds=60)
            await put(session, url, "a", 1, 0)
            assert (await get(session, url, "a", consistent=False))[1] == {}
            assert "Item" in (await get(session, url, "a"))[1]

    async def test_writes_over_the_rate_are_throttled(self, session):
        fake = FakeTable(writes_per_second=2)
        async with fake.serve() as url:
            answers = [await put(session, url, str(n), 1, 0) for n in range(3)]
            assert [status for status, _ in answers] == [200, 200, 400]
            assert "2" not in {sort for _, sort in fake.rows}
            assert fake.stats()["throttled"] == 1


class TestObjects:
    """Stale reads and missing objects."""

    async def test_stale_reads_return_the_older_body(self, session):
        fake = FakeObjects()
        async with fake.serve() as url:
            name = f"{url}/bucket/a/b"
            await session.put(name, data=b"old")
            await asyncio.sleep(0.2)
            await session.put(name, data=b"new")
            fake.faults.set(stale_seconds=0.15)
            async with session.get(name) as resp:
                assert await resp.read() == b"old"
            fake.faults.set(clear=True)
            async with session.get(name) as resp:
                assert await resp.read() == b"new"
            async with session.get(f"{url}/bucket/none") as resp:
                assert resp.status == 404


class TestInstances:
    """The lag of the instance list."""

    async def test_the_list_lags(self, session):
        fake = FakeInstances(lag=0.2)
        entry = dict.fromkeys(fake.FIELDS, "x")
        fake.set([entry])
        async with fake.serve() as url:
            body = {"instances": [entry, entry]}
            await session.put(f"{url}/instances", json=body)
            async with session.get(f"{url}/instances") as resp:
                assert len((await resp.json())["instances"]) == 1
            await asyncio.sleep(0.25)
            async with session.get(f"{url}/instances") as resp:
                assert len((await resp.json())["instances"]) == 2


class TestWeights:
    """Rate and concurrency limits of the weight store."""

    async def test_excess_model_fetches_are_refused(self, session):
        cfg = WeightStoreConfig(models_burst=10, models_at_once=2, model_seconds=0.1)
        fake = FakeWeights(cfg)
        async with fake.serve() as url:
            urls = [f"{url}/weights/m{n}" for n in range(3)]
            answers = await asyncio.gather(*(session.get(each) for each in urls))
            assert sorted(resp.status for resp in answers) == [200, 200, 503]
        assert fake.stats()["model_loads_in_flight_max"] == 2

    async def test_adapter_fetches_above_the_knee_take_longer(self, session):
        cfg = WeightStoreConfig(
            adapters_knee=1, adapter_min_seconds=0.02, adapter_max_seconds=0.02
        )
        async with FakeWeights(cfg).serve() as url:
            began = asyncio.get_running_loop().time()
            urls = [f"{url}/weights/adapters/a{n}" for n in range(6)]
            await asyncio.gather(*(session.get(each) for each in urls))
            took = asyncio.get_running_loop().time() - began
        assert took >= 0.1


class TestService:
    """Recorded runs of a plain service."""

    async def test_every_run_is_recorded(self, session):
        fake = FakeService(latency=0.0)
        async with fake.serve() as url:
            headers = {"Idempotency-Key": "k", "X-Request-Id": "r"}
            for _ in range(2):
                async with session.post(f"{url}/bookings", headers=headers) as resp:
                    assert resp.headers["X-Request-Id"] == "r"
            await session.put(f"{url}/filings/7", headers={"Idempotency-Key": "l"})
        stats = fake.stats()
        assert (stats["runs"], stats["doubled_runs"]) == (3, 1)

    async def test_a_booking_whose_response_is_lost_has_run(self, session):
        fake = FakeService(latency=0.0)
        async with fake.serve() as url:
            fake.faults.set(lose_answers=1)
            with pytest.raises(aiohttp.ClientError):
                await session.post(f"{url}/bookings")
        assert fake.stats()["runs"] == 1

    async def test_credentials_are_counted(self, session):
        fake = FakeService(latency=0.0)
        async with fake.serve() as url:
            await session.post(f"{url}/runs", json={"watch_for": ["secret-key"]})
            headers = {"Cookie": "a=b", "X-Other": "Bearer secret-key"}
            await session.get(f"{url}/availability", headers=headers)
            await session.get(f"{url}/availability?key=secret-key")
        assert fake.stats()["secrets_seen"] == {"cookie": 1, "x-other": 1, "path": 1}


class TestFaultController:
    """Validation and counts of faults."""

    @pytest.mark.parametrize(
        "changes", [{"unknown": 1}, {"slow_seconds": "x"}, {"outage": "refuse"}]
    )
    async def test_an_invalid_fault_is_refused(self, changes):
        board = FaultController()
        with pytest.raises(FaultsInvalid):
            board.set(**changes)
        assert board.active.outage is None

    async def test_a_counted_fault_runs_out(self):
        board = FaultController()
        board.set(lose_orders=2)
        assert [board.consume("lose_orders") for _ in range(3)] == [True, True, False]
