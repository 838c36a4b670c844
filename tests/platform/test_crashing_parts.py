"""Tests of real instances whose engines crash on one part of a prompt."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import pytest

from guavajunction_fakes.deployment import HEADERS, LocalDeployment
from platform_calls import call, wait_until

from .conftest import PORTS

INSTANCES = 3
CRASHING = "bad0"
MAX_CRASHES = 5
MAX_LATER_ARRIVALS = 3
SETTLE_SECONDS = 3.0

_numbers = itertools.count(1)


@pytest.fixture
async def deployment(tmp_path):
    async with LocalDeployment(tmp_path, instances=INSTANCES, ports=PORTS) as running:
        for runner in running.runners.values():
            runner.crash_part = CRASHING
        yield running


async def send(deployment, name, part):
    """Send a request that shares its caller and its first part with all others."""
    parts = f"aa:30,{part}:40,{next(_numbers):x}:30"
    return await call(
        deployment, "/draft/1", model="m1", name=name, **{HEADERS.parts: parts}
    )


async def send_crashing(deployment, name):
    """Send a request that crashes its engine; it is not expected to be served."""
    try:
        await send(deployment, name, CRASHING)
    except aiohttp.ClientError:
        await asyncio.sleep(0.3)


def arrivals(deployment, part=CRASHING):
    """Return the number of requests with a part that reached engines."""
    return sum(
        f"{part}:" in parts
        for runner in deployment.runners.values()
        for parts in runner.arrived_parts
    )


async def crash_engines(deployment):
    """Send crashing requests through all instances until they are settled."""
    names = itertools.cycle(deployment.instances)
    for _ in range(16):
        await send_crashing(deployment, next(names))
    await asyncio.sleep(SETTLE_SECONDS)
    assert arrivals(deployment) <= MAX_CRASHES + MAX_LATER_ARRIVALS


class TestCrashingPart:
    """Engines stop crashing on a part of a prompt, and all other requests go on."""

    async def test_requests_with_a_crashing_part_stop_reaching_engines(
        self, deployment
    ):
        await crash_engines(deployment)
        before = arrivals(deployment)
        for name in list(deployment.instances) * 3:
            await send_crashing(deployment, name)
        assert arrivals(deployment) == before

    async def test_restarted_instance_sends_no_request_with_a_crashing_part(
        self, deployment
    ):
        await crash_engines(deployment)
        before = arrivals(deployment)
        process = deployment.instances["front-2"]
        await process.kill()
        process.start()
        await wait_until(lambda: deployment.is_ready("front-2"))
        for _ in range(3):
            await send_crashing(deployment, "front-2")
        assert arrivals(deployment) == before

    async def test_all_instances_restart_and_still_know_the_crashing_part(
        self, deployment
    ):
        await crash_engines(deployment)
        before = arrivals(deployment)
        for process in deployment.instances.values():
            await process.kill()
        for name, process in deployment.instances.items():
            process.start()
            await wait_until(lambda name=name: deployment.is_ready(name))
        for name in list(deployment.instances) * 2:
            await send_crashing(deployment, name)
        assert arrivals(deployment) == before

    async def test_requests_that_share_caller_and_first_part_are_served(
        self, deployment
    ):
        await crash_engines(deployment)
        for name in list(deployment.instances) * 3:
            assert (await send(deployment, name, "good")).status == 200
