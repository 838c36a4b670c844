"""Tests of real instances that are cut from all backend servers."""

from __future__ import annotations

import asyncio
import itertools
import time
from contextlib import AsyncExitStack

import aiohttp
import pytest

from guavajunction_fakes.deployment import LocalDeployment
from guavajunction_fakes.soak import CutKind, LinkProxies
from platform_calls import call, runs, wait_until

from .conftest import PORTS

CONTACT_SECONDS = 3.0
"""Time after a cut from which callers are served."""
MEASURED_SECONDS = 3.0
MIN_SERVED = 2 / 3
"""Least fraction of first attempts at cut instances that are served."""
GENERATIONS = ("/draft", "/long")
PATHS = ("/look/1", "/book/1", *(f"{route}/1" for route in GENERATIONS))

_numbers = itertools.count(1)


def own_reads(tmp_path):
    """Write settings with which each instance reads the store itself.

    The rows of backend servers that it reads lead through links of its own.
    """
    settings = tmp_path / "gateway.ini"
    settings.write_text("[fleet]\nreaders = all\n")
    return settings


class Fleet:
    """A deployment whose instances can be cut from the runners one by one."""

    def __init__(self, deployment, links):
        self.deployment = deployment
        self.links = links

    async def cut(self, names, kind):
        for name in names:
            await self.links.cut(name, kind)

    async def heal(self, names):
        for name in names:
            await self.links.heal(name)

    async def send(self, name, path):
        """Send one request with a short deadline; return its status, 0 for none."""
        generation = {"model": "m1"} if path.startswith(GENERATIONS) else {}
        try:
            reply = await call(
                self.deployment,
                f"{path}/{next(_numbers)}",
                name=name,
                X_Deadline_Ms="1500",
                **generation,
            )
        except aiohttp.ClientError:
            return 0
        return reply.status

    async def send_for(self, names, seconds):
        """Send requests of all kinds through some instances; return the statuses."""
        ends_at = time.monotonic() + seconds
        statuses = []
        while time.monotonic() < ends_at:
            calls = [self.send(name, path) for name in names for path in PATHS]
            statuses += await asyncio.gather(*calls)
            await asyncio.sleep(0.05)
        return statuses


@pytest.fixture(params=[(3, 1), (4, 3)], ids=["one-of-3", "3-of-4"])
async def fleet(tmp_path, request):
    count, _ = request.param
    async with AsyncExitStack() as stack:
        links = LinkProxies(stack)
        deployment = LocalDeployment(
            tmp_path,
            instances=count,
            ports=PORTS,
            links=links,
            gateway_settings=own_reads(tmp_path),
        )
        yield Fleet(await stack.enter_async_context(deployment), links)


@pytest.fixture
def cut_names(fleet, request):
    _, count = request.node.callspec.params["fleet"]
    return list(fleet.deployment.instances)[:count]


def assert_served(statuses, least=MIN_SERVED):
    served = statuses.count(200)
    assert served >= least * len(statuses), statuses


class TestCutInstances:
    """Instances without a path to any backend server still serve their callers."""

    @pytest.mark.parametrize("kind", list(CutKind))
    async def test_cut_instances_serve_their_callers(self, fleet, cut_names, kind):
        assert_served(await fleet.send_for(fleet.deployment.instances, 0.5))
        await fleet.cut(cut_names, kind)
        await fleet.send_for(cut_names, CONTACT_SECONDS)
        assert_served(await fleet.send_for(cut_names, MEASURED_SECONDS))
        ids = [run.request_id for run in runs(fleet.deployment)]
        unsafe = [r.request_id for r in runs(fleet.deployment) if "/book" in r.target]
        assert len(unsafe) == len(set(unsafe))
        await fleet.heal(cut_names)
        await asyncio.sleep(1.0)
        assert_served(await fleet.send_for(cut_names, 1.0), least=0.95)
        assert len(ids) > 0

    async def test_cut_instances_take_no_part_of_a_prompt_for_the_cause(
        self, fleet, cut_names
    ):
        for _ in range(3):
            await fleet.cut(cut_names, CutKind.RESET)
            await fleet.send_for(cut_names, 1.5)
            await fleet.heal(cut_names)
            await fleet.send_for(cut_names, 0.7)
        assert_served(await fleet.send_for(fleet.deployment.instances, 1.0), least=0.95)

    async def test_directory_names_instances_that_reach_backend_servers(
        self, fleet, cut_names
    ):
        await fleet.cut(cut_names, CutKind.RESET)
        await fleet.send_for(cut_names, 1.0)
        left = len(fleet.deployment.instances) - len(cut_names)

        async def names_the_others():
            answers = [
                await fleet.deployment.resolve(name)
                for name in fleet.deployment.instances
            ]
            return all(len(answer) == left for answer in answers)

        await wait_until(names_the_others)
        await fleet.heal(cut_names)
        await wait_until(lambda: self._names_all(fleet))

    async def _names_all(self, fleet):
        return len(await fleet.deployment.resolve("front-1")) == len(
            fleet.deployment.instances
        )


@pytest.fixture
async def pair(tmp_path):
    """Two instances, of which the first one is cut and noticed it."""
    async with AsyncExitStack() as stack:
        links = LinkProxies(stack)
        deployment = LocalDeployment(
            tmp_path,
            instances=2,
            ports=PORTS,
            links=links,
            gateway_settings=own_reads(tmp_path),
        )
        fleet = Fleet(await stack.enter_async_context(deployment), links)
        await fleet.cut(["front-1"], CutKind.RESET)
        await fleet.send_for(["front-1"], 1.0)
        assert_served(await fleet.send_for(["front-1"], 0.5), least=0.95)
        yield fleet


def slow_down(fleet, seconds):
    for runner in fleet.deployment.runners.values():
        runner.spec = runner.spec._replace(work_seconds=seconds)


class TestTunnels:
    """What holds for direct connections holds for those through other instances."""

    async def test_planned_stop_of_the_instance_between_cuts_no_answer(self, pair):
        slow_down(pair, 0.5)
        answers = [
            asyncio.ensure_future(
                call(pair.deployment, f"/draft/{n}", name="front-1", model="m1")
            )
            for n in range(4)
        ]
        await asyncio.sleep(0.6)
        status = await pair.deployment.instances["front-2"].stop(within=6.0)
        replies = await asyncio.gather(*answers)
        assert status == 0
        assert [reply.status for reply in replies] == [200] * 4
        assert all(reply.body.count(b"data:") == 3 for reply in replies)

    async def test_request_ends_at_the_runner_when_its_caller_leaves(self, pair):
        slow_down(pair, 2.0)
        before = len(runs(pair.deployment))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(
                call(pair.deployment, "/look/1", name="front-1"), 0.5
            )
        assert len(runs(pair.deployment)) == before + 1
        await asyncio.sleep(0.5)
        runners = pair.deployment.runners.values()
        assert sum(runner.running for runner in runners) == 0

    async def test_rate_limit_counts_each_request_once(self, pair):
        pair.deployment.operator.add_customer(
            "small", ["small-key"], rate=1000, burst=500
        )
        pair.deployment.operator.write()
        await asyncio.sleep(3.0)
        statuses = []
        # Each request counts 100 tokens: six in a second are below the rate if they
        # are counted once, and above it if they are counted on both instances.
        for number in range(24):
            reply = await call(
                pair.deployment, f"/look/{number}", name="front-1", key="small-key"
            )
            statuses.append(reply.status)
            await asyncio.sleep(1 / 6)
        assert statuses == [200] * len(statuses)
