"""Tests of real instances whose operator evacuates data centres."""

from __future__ import annotations

import asyncio
import itertools
import time
from contextlib import AsyncExitStack

import aiohttp
import pytest

from guavajunction_fakes.deployment import HEADERS, LocalDeployment, RunnerSpec
from guavajunction_fakes.soak import CutKind, LinkProxies
from platform_calls import call, wait_until

from .conftest import PORTS

BOUND_SECONDS = 5.0
"""Time after the acknowledgement within which an evacuation is in force."""
NEAR, FAR = "here", "there"
REFUSALS = (429, 503)

_numbers = itertools.count(1)


def runners():
    """Return two engines and two plain runners in each of two zones."""
    engine = RunnerSpec("", "engines", models=("m1",), engine=True, sizes={"m1": 60.0})
    return [
        spec._replace(name=f"{kind}-{zone}-{number}", zone=zone)
        for kind, spec in (("engine", engine), ("booking", RunnerSpec("", "bookings")))
        for zone in (NEAR, FAR)
        for number in (1, 2)
    ]


class Fleet:
    """A deployment under load, and what reached its runners."""

    def __init__(self, deployment, links):
        self.deployment = deployment
        self.links = links
        self.statuses = []

    async def load(self):
        """Send requests of all kinds through all instances until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for name in self.deployment.instances:
                for path in ("/look/1", "/book/1", "/draft/1"):
                    tasks.create_task(self._send_all(name, path))

    async def _send_all(self, name, path):
        while True:
            self.statuses.append((time.monotonic(), await self.send(name, path)))
            await asyncio.sleep(0.02)

    async def send(self, name="front-1", path="/look/1"):
        generation = {"model": "m1"} if path.startswith("/draft") else {}
        headers = {HEADERS.deadline.replace("-", "_"): "1500"}
        number = next(_numbers)
        try:
            reply = await call(
                self.deployment, f"{path}/{number}", name=name, **generation, **headers
            )
        except aiohttp.ClientError:
            return 0
        return reply.status

    def arrivals(self, zone):
        """Return the times of all requests, orders and reports at a zone's runners."""
        return [
            at
            for runner in self.deployment.runners.values()
            if runner.spec.zone == zone
            for at in runner.arrived_at
        ]

    def arrived_since(self, zone, since):
        return sum(at > since for at in self.arrivals(zone))

    async def settle_evacuation(self, zone):
        """Evacuate a zone and return when the bound has passed."""
        self.deployment.operator.evacuate(zone)
        await asyncio.sleep(BOUND_SECONDS)
        return time.monotonic()


both_topologies = pytest.mark.parametrize("fleet", ["mesh", "hubs"], indirect=True)


@pytest.fixture
async def fleet(tmp_path, request):
    topology = getattr(request, "param", "mesh")
    settings = tmp_path / "gateway.ini"
    # Cut instances need links of their own, so the instances read the store themselves.
    lines = {"mesh": "readers = all", "hubs": "full_mesh = 1"}
    settings.write_text(f"[fleet]\n{lines[topology]}\n")
    async with AsyncExitStack() as stack:
        links = LinkProxies(stack)
        deployment = LocalDeployment(
            tmp_path,
            instances=3,
            ports=PORTS,
            runners=runners(),
            gateway_settings=settings,
            links=links if topology == "mesh" else None,
        )
        fleet = Fleet(await stack.enter_async_context(deployment), links)
        load = asyncio.create_task(fleet.load())
        yield fleet
        load.cancel()
        await asyncio.wait([load])


class TestEvacuation:
    """From the bound on, nothing at all reaches an evacuated data centre."""

    @both_topologies
    async def test_evacuations_overlap_and_end(self, fleet):
        far_since = await fleet.settle_evacuation(FAR)
        assert fleet.arrivals(FAR)
        near_since = await fleet.settle_evacuation(NEAR)
        await asyncio.sleep(1.0)
        assert fleet.arrived_since(FAR, far_since) == 0
        assert fleet.arrived_since(NEAR, near_since) == 0
        refused = {status for at, status in fleet.statuses if at > near_since + 0.5}
        assert refused <= set(REFUSALS)
        fleet.deployment.operator.end_evacuation(FAR)
        await wait_until(lambda: fleet.arrived_since(FAR, near_since) > 0)
        await wait_until(lambda: self._is_served(fleet))
        assert fleet.arrived_since(NEAR, near_since) == 0

    async def _is_served(self, fleet):
        paths = ("/look/1", "/book/1", "/draft/1")
        return {await fleet.send(path=path) for path in paths} == {200}

    async def test_requests_are_served_while_one_zone_is_evacuated(self, fleet):
        began_at = time.monotonic()
        await fleet.settle_evacuation(FAR)
        served = [status for at, status in fleet.statuses if at > began_at]
        assert served.count(200) >= 0.99 * len(served)
        logs = [p.log_path for p in fleet.deployment.instances.values()]
        assert all('"evacuation:began"' in log.read_text() for log in logs)

    @both_topologies
    async def test_return_of_the_store_ends_no_evacuation(self, fleet):
        since = await fleet.settle_evacuation(FAR)
        await fleet.deployment.restore_store(
            60.0, outage_seconds=0.5, rewrite_seconds=2.0
        )
        await asyncio.sleep(4.0)
        assert fleet.arrived_since(FAR, since) == 0

    async def test_instance_that_restarts_knows_the_evacuation(self, fleet):
        since = await fleet.settle_evacuation(FAR)
        await fleet.deployment.instances["front-2"].kill()
        fleet.deployment.start("front-2")
        await wait_until(lambda: fleet.deployment.is_ready("front-2"), 10.0)
        await wait_until(lambda: self._serves_again(fleet))
        assert fleet.arrived_since(FAR, since) == 0

    async def _serves_again(self, fleet):
        return await fleet.send("front-2") == 200

    async def test_store_outage_ends_no_evacuation(self, fleet):
        since = await fleet.settle_evacuation(FAR)
        fleet.deployment.store.faults.set(outage="drop")
        await asyncio.sleep(4.0)
        fleet.deployment.store.faults.set(outage=None)
        await asyncio.sleep(1.0)
        assert fleet.arrived_since(FAR, since) == 0


class TestTunnels:
    """An instance that is cut reaches no evacuated data centre through another."""

    async def test_cut_instance_is_served_by_the_other_zone(self, fleet):
        since = await fleet.settle_evacuation(FAR)
        await fleet.links.cut("front-1", CutKind.RESET)
        await asyncio.sleep(2.0)
        statuses = [await fleet.send() for _ in range(20)]
        assert statuses.count(200) >= 18
        assert fleet.arrived_since(FAR, since) == 0
