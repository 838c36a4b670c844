"""Tests of real gateway processes whose store comes back from an older copy."""

from __future__ import annotations

import asyncio
import json
import random

import msgspec
import pytest
import zmq

from guavajunction.peers import FleetKeys
from guavajunction.storage import era_of
from guavajunction_fakes.deployment import LocalDeployment
from platform_calls import KEY, call, count_listed_instances, wait_until

PORTS = [18221, 18224, 18220, 17600]
INSTANCES = 4


@pytest.fixture(params=["full mesh", "hubs"])
async def deployment(request, tmp_path):
    settings = tmp_path / "gateway.ini"
    full_mesh = 20 if request.param == "full mesh" else 1
    settings.write_text(f"[fleet]\nfull_mesh = {full_mesh}\n")
    async with LocalDeployment(
        tmp_path, instances=INSTANCES, ports=PORTS, gateway_settings=settings
    ) as running:
        running.operator.add_customer("second", ["second-key"])
        running.operator.write()
        await asyncio.sleep(1.0)
        yield running


async def statuses(deployment, key=KEY):
    """Return the status of one request at each instance."""
    calls = [
        call(deployment, "/book/1", name=name, key=key) for name in deployment.instances
    ]
    return [reply.status for reply in await asyncio.gather(*calls)]


def log_text(deployment):
    return "".join(p.log_path.read_text() for p in deployment.instances.values())


class TestReturn:
    """A return of the store breaks no promise, and is over within seconds."""

    async def test_withdrawn_key_stays_withdrawn(self, deployment):
        del deployment.operator.customers["second"]
        deployment.operator.write()
        await asyncio.sleep(1.0)
        assert await statuses(deployment, "second-key") == [401] * INSTANCES
        drill = asyncio.create_task(
            deployment.restore_store(4.0, outage_seconds=0.5, rewrite_seconds=2.0)
        )
        while not drill.done():
            assert await statuses(deployment, "second-key") == [401] * INSTANCES
            assert await statuses(deployment) == [200] * INSTANCES
            await asyncio.sleep(0.1)
        assert await drill > 0
        assert "storage:era_began" in log_text(deployment)

    async def test_withdrawn_key_is_refused_by_an_instance_that_starts(
        self, deployment
    ):
        del deployment.operator.customers["second"]
        deployment.operator.write()
        await asyncio.sleep(1.0)
        await deployment.instances["front-1"].kill()
        drill = asyncio.create_task(
            deployment.restore_store(4.0, outage_seconds=0.3, rewrite_seconds=4.0)
        )
        await asyncio.sleep(0.4)
        deployment.start("front-1")
        while not drill.done():
            try:
                reply = await call(deployment, "/book/1", key="second-key")
            except OSError:
                continue
            assert reply.status in (401, 503)
        await wait_until(lambda: deployment.is_ready("front-1"), 5.0)
        assert (await call(deployment, "/book/1")).status == 200

    async def test_backend_servers_that_the_copy_lacks_are_used(self, deployment):
        drill = asyncio.create_task(
            deployment.restore_store(3600.0, outage_seconds=0.5, rewrite_seconds=1.5)
        )
        while not drill.done():
            assert await statuses(deployment) == [200] * INSTANCES
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        assert await statuses(deployment) == [200] * INSTANCES

    async def test_next_changes_are_in_force_soon(self, deployment):
        await deployment.restore_store(2.0, outage_seconds=0.5)
        deployment.operator.add_customer("third", ["third-key"])
        deployment.operator.write()
        await asyncio.sleep(2.0)
        assert await statuses(deployment, "third-key") == [200] * INSTANCES

    async def test_instances_are_listed_again(self, deployment):
        await deployment.restore_store(3600.0, outage_seconds=0.5)
        rows = deployment.store.rows
        names = deployment.instances.keys()
        await wait_until(lambda: rows("guava-instance").keys() == names, 8.0)
        assert set(await deployment.resolve("front-1"))
        assert await count_listed_instances(deployment, "front-2") == INSTANCES

    async def test_links_are_opened_with_keys_that_others_wrote(self, deployment):
        public, secret = zmq.curve_keypair()
        keys = FleetKeys(public.decode(), secret.decode())
        deployment.store.restore(3600.0)
        deployment.store.write("guava-fleet", "keys", msgspec.msgpack.encode(keys))
        deployment.operator.write_again()
        for runner in deployment.runners.values():
            runner.write_again()
        await wait_until(
            lambda: log_text(deployment).count("FleetKeysReplaced") >= INSTANCES, 8.0
        )

        async def all_are_listed():
            counts = [
                await count_listed_instances(deployment, name)
                for name in deployment.instances
            ]
            return counts == [INSTANCES] * INSTANCES

        await asyncio.sleep(2.0)
        await wait_until(all_are_listed, 10.0)
        assert await statuses(deployment) == [200] * INSTANCES
        deployment.operator.add_customer("third", ["third-key"])
        deployment.operator.write()
        await asyncio.sleep(2.5)
        assert await statuses(deployment, "third-key") == [200] * INSTANCES

    async def test_order_leader_gives_higher_numbers_in_a_later_era(self, deployment):
        def fences():
            """Return the fencing numbers that each runner received."""
            runners = deployment.runners.values()
            return [[order.fence for order in runner.orders] for runner in runners]

        async def load_was_ordered(model, era):
            reply = await call(deployment, "/draft/1", model=model)
            highest = max(max(numbers, default=0) for numbers in fences())
            return reply.status == 200 and era_of(highest) == era

        await wait_until(lambda: load_was_ordered("m2/a1", 0), 8.0)
        await deployment.restore_store(3600.0, outage_seconds=0.5)
        await wait_until(lambda: load_was_ordered(f"m1/a{random.random()}", 1), 25.0)
        assert all(numbers == sorted(numbers) for numbers in fences())


class TestLoadOfAReturn:
    """All instances read the store again, within its rates."""

    async def test_rows_are_read_once_by_those_that_read_the_store(self, deployment):
        await asyncio.sleep(2.0)
        before = deployment.store.reads.copy()
        await deployment.restore_store(1.0, outage_seconds=0.0)
        await asyncio.sleep(2.0)
        reads = deployment.store.reads - before
        for table in ("op", "servers", "guava-crash"):
            assert reads[table] <= 8 * INSTANCES, json.dumps(reads)
