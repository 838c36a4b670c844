"""Tests of real instances with backend servers that name a limit in their answers."""

from __future__ import annotations

import asyncio
import time

import pytest

from guavajunction_fakes.deployment import LocalDeployment
from platform_calls import call, wait_until

PORTS = [18221, 18224, 18220, 17600]
INSTANCES = 4
WINDOW_SECONDS = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE = 5
SETTLE_SECONDS = 2.0
CALLERS = 2
"""Callers of each instance."""


@pytest.fixture
async def deployment(tmp_path):
    async with LocalDeployment(tmp_path, instances=INSTANCES, ports=PORTS) as running:
        yield running


async def send_until(deployment, ends_at, path="/book/1", **changes):
    """Send requests through all instances; return the number of each status."""
    statuses = []

    async def run_caller(name):
        while time.monotonic() < ends_at:
            reply = await call(deployment, path, name=name, **changes)
            statuses.append(reply.status)
            await asyncio.sleep(0.03)

    names = list(deployment.instances) * CALLERS
    await asyncio.gather(*map(run_caller, names))
    return statuses


def most_in_window(runner, since):
    """Return the largest number of arrivals in any window that begins later."""
    times = [at for at in runner.arrived_at if at >= since]
    return max(
        (sum(start <= at < start + WINDOW_SECONDS for at in times) for start in times),
        default=0,
    )


def allowed(limit):
    return TOLERANCE_RATIO * WINDOW_SECONDS * limit + TOLERANCE


class TestNamedLimit:
    """All instances together keep to the limit that a backend server names."""

    @pytest.mark.parametrize("limit", [0.2, 2.0, 6.0])
    async def test_limit_holds_for_the_sum_over_instances(self, deployment, limit):
        runner = deployment.runners["booking-1"]
        runner.named_limit = f"{limit}"
        began = time.monotonic()
        seconds = SETTLE_SECONDS + 2 * WINDOW_SECONDS
        statuses = await send_until(deployment, began + seconds)
        assert most_in_window(runner, began + SETTLE_SECONDS) <= allowed(limit)
        served = sum(at >= began + SETTLE_SECONDS for at in runner.arrived_at)
        assert served >= int(0.6 * limit * 2 * WINDOW_SECONDS)
        assert set(statuses) == {200}

    async def test_limit_holds_while_an_instance_restarts(self, deployment):
        runner = deployment.runners["booking-1"]
        runner.named_limit = "2"
        began = time.monotonic()
        sending = asyncio.create_task(send_until(deployment, began + SETTLE_SECONDS))
        await sending
        for name in ("front-1", "front-3"):
            process = deployment.instances[name]
            await process.kill()
            process.start()
            await wait_until(lambda name=name: deployment.is_ready(name), 10.0)
            await send_until(deployment, time.monotonic() + 1.5)
        assert most_in_window(runner, began + SETTLE_SECONDS) <= allowed(2.0)

    async def test_ended_limit_no_longer_holds(self, deployment):
        runner = deployment.runners["booking-1"]
        runner.named_limit = "1"
        await send_until(deployment, time.monotonic() + 2 * SETTLE_SECONDS)
        runner.named_limit = ""
        await send_until(deployment, time.monotonic() + SETTLE_SECONDS)
        before = len(runner.arrived_at)
        statuses = await send_until(deployment, time.monotonic() + SETTLE_SECONDS)
        assert len(runner.arrived_at) - before >= 0.2 * len(statuses)

    async def test_malformed_limit_keeps_the_one_before(self, deployment):
        runner = deployment.runners["booking-1"]
        runner.named_limit = "1"
        await send_until(deployment, time.monotonic() + SETTLE_SECONDS)
        for text in ("-1", "nan", "many", "1e9"):
            runner.named_limit = text
            began = time.monotonic()
            await send_until(deployment, began + SETTLE_SECONDS)
            assert most_in_window(runner, began) <= allowed(1.0)

    async def test_limited_backend_servers_refuse_at_once_what_is_beyond(
        self, deployment
    ):
        for name in ("booking-1", "booking-2"):
            deployment.runners[name].named_limit = "2"
        await send_until(deployment, time.monotonic() + SETTLE_SECONDS)
        began = time.monotonic()
        statuses = await send_until(deployment, began + WINDOW_SECONDS)
        assert set(statuses) == {200, 503}
        assert statuses.count(200) >= 0.6 * 4 * WINDOW_SECONDS
        for name in ("booking-1", "booking-2"):
            runner = deployment.runners[name]
            assert most_in_window(runner, began) <= allowed(2.0)

    async def test_orders_and_reports_count_against_the_limit(self, deployment):
        engine = deployment.runners["engine-1"]
        engine.named_limit = "0.5"
        began = time.monotonic()
        models = ["m1/a1", "m1/a2", "m1/a3", "m1/a4", "m1/a5"]
        end = began + SETTLE_SECONDS + WINDOW_SECONDS
        await asyncio.gather(
            *(send_until(deployment, end, "/draft/1", model=model) for model in models)
        )
        assert most_in_window(engine, began + SETTLE_SECONDS) <= allowed(0.5)
