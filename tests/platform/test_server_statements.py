"""Tests of real instances whose backend servers say that they leave, or want quiet."""

from __future__ import annotations

import asyncio
import time

import pytest

from guavajunction_fakes.deployment import LocalDeployment
from platform_calls import call

from .conftest import PORTS

INSTANCES = 3
MAX_REQUESTS_IN_PAUSE = 2
"""Requests that one instance may still send from half a second after the answer."""
HALF_SECOND = 0.5


@pytest.fixture
async def deployment(tmp_path):
    async with LocalDeployment(tmp_path, instances=INSTANCES, ports=PORTS) as running:
        yield running


async def send_all(deployment, seconds, path="/look/1", **options):
    """Send requests through all instances; return their statuses."""
    ends_at = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < ends_at:
        for name in deployment.instances:
            reply = await call(deployment, path, name=name, **options)
            statuses.append(reply.status)
        await asyncio.sleep(0.02)
    return statuses


def arrivals_since(runner, at):
    return sum(arrived >= at for arrived in runner.arrived_at)


class TestLeaving:
    """A backend server that says it leaves gets nothing more, from any instance."""

    @pytest.mark.parametrize(
        ("runner", "path", "model"),
        [("booking-1", "/look/1", None), ("engine-1", "/draft/1", "m1")],
    )
    async def test_leaving_server_gets_no_requests(
        self, deployment, runner, path, model
    ):
        options = {"model": model} if model else {}
        leaving = deployment.runners[runner]
        leaving.leaving = True
        await send_all(deployment, 1.0, path, **options)
        began = time.monotonic()
        statuses = await send_all(deployment, 2.0, path, **options)
        assert arrivals_since(leaving, began) == 0
        assert statuses.count(200) == len(statuses)

    async def test_server_that_restarts_under_its_name_serves_again(self, deployment):
        leaving = deployment.runners["booking-1"]
        leaving.leaving = True
        await send_all(deployment, 1.0)
        leaving.leaving = False
        leaving.restart()
        await asyncio.sleep(1.0)
        began = time.monotonic()
        await send_all(deployment, 1.0)
        assert arrivals_since(leaving, began) > 0


class TestPause:
    """A backend server that turned a request away gets none for the time it names."""

    async def test_server_gets_no_requests_in_its_pause(self, deployment):
        server = deployment.runners["booking-1"]
        server.pause = "3"
        began = time.monotonic()
        statuses = await send_all(deployment, 2.5)
        quiet_from = began + HALF_SECOND
        most = INSTANCES * MAX_REQUESTS_IN_PAUSE
        assert arrivals_since(server, quiet_from) <= most
        assert statuses.count(200) == len(statuses)

    async def test_requests_are_refused_at_once_while_all_servers_want_quiet(
        self, deployment
    ):
        for name in ("booking-1", "booking-2"):
            deployment.runners[name].pause = "30"
        await send_all(deployment, 0.5)
        began = time.monotonic()
        reply = await call(deployment, "/look/1")
        assert time.monotonic() - began < 0.5
        assert reply.status == 503
        assert 20.0 < float(reply.headers["Retry-After"]) <= 30.0

    async def test_server_is_used_again_after_its_pause(self, deployment):
        server = deployment.runners["booking-1"]
        server.pause = "1.5"
        await send_all(deployment, 0.5)
        server.pause = ""
        await asyncio.sleep(1.5)
        began = time.monotonic()
        await send_all(deployment, 0.5)
        assert arrivals_since(server, began) > 0
