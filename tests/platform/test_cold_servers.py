"""Tests of real instances with a backend server that is cold after its start."""

from __future__ import annotations

import asyncio
import time

import pytest

from guavajunction_fakes.deployment import LocalDeployment, RunnerSpec
from platform_calls import call

PORTS = [18221, 18224, 18220, 17600]
INSTANCES = 4
CALLERS = 6
"""Callers of each instance."""
COLD_RATE = 13.0
COLD_SECONDS = 3.0
BOUND = COLD_RATE * 1.5 + 5
HEARTBEAT_SECONDS = 1.2
DOWN_SECONDS = 0.8


@pytest.fixture
async def deployment(tmp_path):
    runners = [RunnerSpec("booking-1", "bookings")]
    async with LocalDeployment(
        tmp_path, instances=INSTANCES, ports=PORTS, runners=runners
    ) as running:
        yield running


async def keep_sending(deployment):
    """Send requests through all instances without a pause until cancelled."""

    async def run_caller(name):
        while True:
            await call(deployment, "/book/1", name=name)
            await asyncio.sleep(0.02)

    await asyncio.gather(*map(run_caller, list(deployment.instances) * CALLERS))


class TestColdServer:
    """All instances together keep to the cold rate while requests queue."""

    async def test_bound_holds_in_each_second_until_it_is_warm(self, deployment):
        runner = deployment.runners["booking-1"]
        runner.cold_seconds = COLD_SECONDS
        deployment.operator.cold_rate = COLD_RATE
        deployment.operator.write()
        sending = asyncio.create_task(keep_sending(deployment))
        await asyncio.sleep(2.0)
        await runner.crash([], down_seconds=DOWN_SECONDS)
        started = time.monotonic()
        for _ in range(4):
            await asyncio.sleep(HEARTBEAT_SECONDS)
            runner.report()
        sending.cancel()
        arrived = [at - started for at in runner.arrived_at if at >= started]
        cold = [at for at in arrived if at < COLD_SECONDS]
        most = max(sum(t <= at < t + 1.0 for at in cold) for t in cold)
        assert most <= BOUND
        # The record is known after half a second, and the first second is slow.
        assert len(cold) >= 0.5 * COLD_RATE * (COLD_SECONDS - 1.0)
        assert len([at for at in arrived if at > COLD_SECONDS + 0.8]) > BOUND
