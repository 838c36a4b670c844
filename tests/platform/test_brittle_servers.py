"""Tests of real instances whose backend servers fall over if they reject too much."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter

import aiohttp
import pytest

from guavajunction_fakes.deployment import (
    BOOKING_SERVICE,
    ENGINE_SERVICE,
    LocalDeployment,
    RunnerSpec,
)
from platform_calls import call, wait_until

from .conftest import PORTS

INSTANCES = 4
SERVERS = 4
SLOTS = 2
WORK_SECONDS = 0.15
WAITING_BEFORE = 12
WAITING_WHILE_BRITTLE = 1
CONTACT_SECONDS = 3.0
"""Time from the first statement until fewer requests may wait."""
MEASURED_SECONDS = 8.0
ALLOWED_FALLS = 2 + SERVERS / 10
MIN_USED_FRACTION = 0.8
"""Part of the slots' time that must be used while requests wait for them."""


PLAIN = RunnerSpec(
    "",
    BOOKING_SERVICE,
    slots=SLOTS,
    queue_slots=WAITING_BEFORE,
    work_seconds=WORK_SECONDS,
)
ENGINE = PLAIN._replace(
    service=ENGINE_SERVICE,
    engine=True,
    models=("m1",),
    sizes={"m1": 60.0, "m2": 40.0, "m3": 40.0},
    memory_mb=130.0,
    work_seconds=WORK_SECONDS / 4,
)


def deploy(tmp_path, spec):
    specs = [spec._replace(name=f"server-{n}") for n in range(1, SERVERS + 1)]
    return LocalDeployment(tmp_path, instances=INSTANCES, ports=PORTS, runners=specs)


@pytest.fixture
async def deployment(tmp_path):
    async with deploy(tmp_path, PLAIN) as running:
        yield running


@pytest.fixture
async def engines(tmp_path):
    async with deploy(tmp_path, ENGINE) as running:
        yield running


class Load:
    """Requests at a constant rate, at the instances in turn."""

    def __init__(self, deployment, path="/book/1", model=None):
        self.statuses = Counter()
        self.slowest_refusal = 0.0
        self._deployment = deployment
        self._path = path
        self._model = model
        self._tasks = []

    async def run(self, seconds, per_second):
        began = time.monotonic()
        names = itertools.cycle(self._deployment.instances)
        for number in range(int(seconds * per_second)):
            await asyncio.sleep(began + number / per_second - time.monotonic())
            self._tasks.append(asyncio.create_task(self._call(next(names))))

    async def end(self):
        await asyncio.gather(*self._tasks)

    async def _call(self, name):
        began = time.monotonic()
        try:
            reply = await call(
                self._deployment, self._path, name=name, model=self._model
            )
        except (OSError, aiohttp.ClientError):
            self.statuses["lost"] += 1
            return
        self.statuses[reply.status] += 1
        if reply.status == 503:
            took = time.monotonic() - began
            self.slowest_refusal = max(self.slowest_refusal, took)


def turn_brittle(deployment, bears):
    for runner in deployment.runners.values():
        runner.brittle = bears


def let_fewer_wait(deployment):
    for runner in deployment.runners.values():
        runner.queue_slots = WAITING_WHILE_BRITTLE


def falls(deployment):
    return sum(len(runner.fell_at) for runner in deployment.runners.values())


def busy_seconds(deployment):
    """Return the time for which slots were in use, summed over all slots."""
    return sum(runner.busy_seconds for runner in deployment.runners.values())


class TestOverload:
    """Brittle servers keep serving under more requests than their slots can run."""

    @pytest.mark.parametrize("bears", ["2", "0"])
    async def test_brittle_servers_do_not_fall_over_under_overload(
        self, deployment, bears
    ):
        before, load = Load(deployment), Load(deployment)
        await before.run(2.0, 70)
        turn_brittle(deployment, bears)
        await before.run(CONTACT_SECONDS, 70)
        let_fewer_wait(deployment)
        began, busy_before = time.monotonic(), busy_seconds(deployment)
        await load.run(MEASURED_SECONDS, 70)
        seconds = time.monotonic() - began
        busy = busy_seconds(deployment) - busy_before
        await before.end()
        await load.end()
        assert falls(deployment) <= ALLOWED_FALLS
        assert busy >= MIN_USED_FRACTION * SERVERS * SLOTS * seconds
        assert load.statuses[504] == 0

    async def test_brittle_engines_do_not_fall_over_under_overload(self, engines):
        load = Load(engines, "/draft/1", model="m1")
        await load.run(2.0, 70)
        turn_brittle(engines, "2")
        await load.run(CONTACT_SECONDS, 70)
        let_fewer_wait(engines)
        await load.run(MEASURED_SECONDS, 70)
        await load.end()
        assert falls(engines) <= ALLOWED_FALLS
        assert load.statuses[200] > 0


class TestKilledInstances:
    """Instances that start know which servers are brittle before they send to them."""

    @pytest.mark.parametrize("bears", ["2", "0"])
    async def test_servers_do_not_fall_over_after_all_instances_were_killed(
        self, deployment, bears
    ):
        load = Load(deployment)
        await load.run(1.0, 70)
        turn_brittle(deployment, bears)
        await load.run(CONTACT_SECONDS, 70)
        let_fewer_wait(deployment)
        await load.run(2.0, 70)
        await restart_all(deployment)
        await load.run(4.0, 70)
        before = load.statuses[200]
        await load.run(2.0, 70)
        await load.end()
        assert falls(deployment) <= ALLOWED_FALLS
        assert load.statuses[200] > before

    async def test_instances_that_were_all_killed_know_brittle_services(
        self, deployment
    ):
        turn_brittle(deployment, "2")
        for name in deployment.instances:
            await call(deployment, "/book/1", name=name)
        await wait_until(lambda: deployment.store.rows("guava-brittle"))
        await restart_all(deployment)
        for name in deployment.instances:
            await wait_until(lambda name=name: deployment.is_ready(name))
        logs = [process.log_path for process in deployment.instances.values()]
        for log in logs:
            since_start = log.read_text().rpartition('"process:started"')[2]
            assert '"brittle:service"' in since_start


async def restart_all(deployment):
    for process in deployment.instances.values():
        await process.kill()
    for name in deployment.instances:
        deployment.start(name)
