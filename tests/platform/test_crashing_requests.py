"""Tests of real instances whose backend servers crash on one request."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import pytest

from guavajunction_fakes.deployment import HEADERS, CrashingRequest, LocalDeployment
from platform_calls import call, wait_until

from .conftest import PORTS

INSTANCES = 3
CUSTOMER = "atelier"
OTHER_KEY = "key-of-other"
BODY = b"crashes"
CRASHES_BEFORE_LIMIT = 3
MAX_LATER_RUNS = 3
CONTACT_SECONDS = 3.0
ROUNDS = 12

_numbers = itertools.count(1)


@pytest.fixture(params=["/look/slot/7", "/draft/7", "/long/7"])
async def crashing(request):
    """The request on which all backend servers crash."""
    return CrashingRequest(request.param, CUSTOMER, BODY)


@pytest.fixture
async def deployment(tmp_path, crashing):
    async with LocalDeployment(tmp_path, instances=INSTANCES, ports=PORTS) as running:
        running.operator.add_customer("other", [OTHER_KEY])
        running.operator.write()
        for runner in running.runners.values():
            runner.crash_request = crashing
        yield running


async def send(deployment, name, target, *, body=BODY, key=None, session="cc"):
    """Send a request with a new attempt id; None if its connection was closed."""
    generation = {}
    if not target.startswith("/look"):
        generation = {"model": "m1", HEADERS.parts: f"aa:30,{session}:40,dd:30"}
    if key is not None:
        generation["key"] = key
    try:
        return await call(deployment, target, name=name, body=body, **generation)
    except aiohttp.ClientError:
        return None


def runs(deployment):
    """Return the times of the runs of the crashing request, in order."""
    return sorted(
        at for runner in deployment.runners.values() for at in runner.crashing_runs
    )


def later_runs(deployment):
    """Return the number of runs that began after the instances could have known."""
    crashes = sorted(
        at
        for runner in deployment.runners.values()
        for at in runner.crashed_on_request_at
    )
    limit_from = crashes[CRASHES_BEFORE_LIMIT - 1] + CONTACT_SECONDS
    return sum(at > limit_from for at in runs(deployment))


async def has_free_server(deployment, target):
    """Return whether a backend server serves another request of the same route."""
    reply = await send(deployment, "front-1", target + "/other", session="ee")
    return reply is not None and reply.status == 200


async def crash_servers(deployment, crashing):
    """Repeat the crashing request through all instances until they refuse it."""
    names = itertools.cycle(deployment.instances)
    for _ in range(ROUNDS):
        await wait_until(lambda: has_free_server(deployment, crashing.target), 10)
        await send(deployment, next(names), crashing.target)
        await asyncio.sleep(0.5)
    assert len(runs(deployment)) >= CRASHES_BEFORE_LIMIT
    assert later_runs(deployment) <= MAX_LATER_RUNS


class TestCrashingRequest:
    """Backend servers stop crashing on one request, and all other requests go on."""

    async def test_repeats_of_a_crashing_request_stop_reaching_backend_servers(
        self, deployment, crashing
    ):
        await crash_servers(deployment, crashing)
        before = len(runs(deployment))
        for name in list(deployment.instances) * 2:
            reply = await send(deployment, name, crashing.target)
            assert reply is not None
            assert reply.status == 503
        assert len(runs(deployment)) == before

    async def test_restarted_instances_send_no_repeat_of_a_crashing_request(
        self, deployment, crashing
    ):
        await crash_servers(deployment, crashing)
        before = len(runs(deployment))
        for process in deployment.instances.values():
            await process.kill()
        for name, process in deployment.instances.items():
            process.start()
            await wait_until(lambda name=name: deployment.is_ready(name))
        for name in deployment.instances:
            await send(deployment, name, crashing.target)
        assert len(runs(deployment)) == before

    async def test_requests_that_share_path_caller_body_or_prompt_are_served(
        self, deployment, crashing
    ):
        await crash_servers(deployment, crashing)
        await wait_until(lambda: has_free_server(deployment, crashing.target), 10)
        for name in deployment.instances:
            sharing = (
                await send(deployment, name, crashing.target, body=b"other"),
                await send(deployment, name, crashing.target, key=OTHER_KEY),
                await send(deployment, name, crashing.target + "/other"),
            )
            assert [reply and reply.status for reply in sharing] == [200, 200, 200]
