"""Tests of real gateway processes that receive store changes from a hub."""

from __future__ import annotations

import asyncio
import json
import re

import pytest

from guavajunction.fleet import Candidate, FleetShape
from guavajunction.fleet._hubs import hubs
from guavajunction_fakes.deployment import LocalDeployment
from platform_calls import assert_limit_holds, call, count_listed_instances, wait_until

PORTS = [18221, 18224, 18220, 17600]
INSTANCES = 4


@pytest.fixture
async def deployment(tmp_path):
    settings = tmp_path / "gateway.ini"
    settings.write_text("[fleet]\nfull_mesh = 1\n")
    async with LocalDeployment(
        tmp_path, instances=INSTANCES, ports=PORTS, gateway_settings=settings
    ) as running:
        for name in running.instances:
            await wait_until(
                lambda name=name: _lists_instances(running, name, INSTANCES), 8.0
            )
        await wait_until(lambda: _follow_one_hub(running), 8.0)
        yield running


async def _lists_instances(deployment, name, count):
    return await count_listed_instances(deployment, name) == count


def _follow_one_hub(deployment):
    chosen = hubs_chosen(deployment)
    return len(chosen) == 1 and not unlinked(deployment, *chosen)


def log_lines(deployment, name, message_type):
    text = deployment.instances[name].log_path.read_text()
    lines = [json.loads(line) for line in text.splitlines() if message_type in line]
    return [line for line in lines if line.get("message_type") == message_type]


def hub_chosen_by(deployment, name):
    chosen = log_lines(deployment, name, "fleet:hub_chosen")
    return chosen[-1]["hub"] if chosen else None


def hubs_chosen(deployment):
    return {hub_chosen_by(deployment, name) for name in deployment.instances} - {None}


def the_hub(deployment):
    (hub,) = hubs_chosen(deployment)
    return hub


def followers_of(deployment, hub):
    return {line["instance"] for line in log_lines(deployment, hub, "fleet:followed")}


def order_leaders(deployment):
    return {
        name
        for name in deployment.instances
        if log_lines(deployment, name, "swapping:author_began")
    }


def unlinked(deployment, hub):
    """Return the instances that neither follow a hub nor have led orders.

    An instance that became the order leader before the hub started stays a hub.
    """
    following = {
        name
        for name in followers_of(deployment, hub)
        if hub_chosen_by(deployment, name) == hub
    }
    return deployment.instances.keys() - following - order_leaders(deployment) - {hub}


class LateDeployment(LocalDeployment):
    """A deployment whose preferred hub is listed seconds after the other instances."""

    LATE_SECONDS = 4.0
    """Long enough that the others have read the list and follow another hub."""

    def start(self, name):
        process = super().start(name)
        candidates = [Candidate(name, "", strong=False) for name in self._addresses]
        if [name] == hubs(candidates, (), FleetShape(1, INSTANCES))[""]:
            process.freeze()
            asyncio.get_running_loop().call_later(self.LATE_SECONDS, process.resume)
        return process


class TestLateStart:
    """An instance that starts after the others is known to all of them."""

    async def test_all_instances_agree_on_one_hub(self, tmp_path):
        settings = tmp_path / "gateway.ini"
        settings.write_text("[fleet]\nfull_mesh = 1\n")
        async with LateDeployment(
            tmp_path, instances=INSTANCES, ports=PORTS, gateway_settings=settings
        ) as running:
            await wait_until(lambda: _follow_one_hub(running), 8.0)


class TestFollowers:
    """Followers serve the same requests as an instance that reads the store."""

    async def test_all_instances_follow_one_hub(self, deployment):
        hub = the_hub(deployment)
        assert hub in deployment.instances
        followers = followers_of(deployment, hub)
        others = deployment.instances.keys() - {hub}
        assert followers | (order_leaders(deployment) - {hub}) == others
        assert len(followers) >= INSTANCES - 2

    async def test_followers_do_not_read_the_store(self, deployment):
        await asyncio.sleep(3.0)
        before = deployment.store.reads.copy()
        await asyncio.sleep(2.0)
        after = deployment.store.reads - before
        # Each read of the hub waits up to 0.8 s for a change of the configuration.
        assert 0 < after["op"] <= 4

    async def test_requests_are_served_by_all(self, deployment):
        for name in deployment.instances:
            assert (await call(deployment, "/book/1", name=name)).status == 200
            reply = await call(deployment, "/draft/1", name=name, model="m1/a1")
            assert reply.status == 200

    async def test_configuration_change_reaches_all_instances(self, deployment):
        deployment.operator.add_customer("atelier", ["another-key"])
        deployment.operator.write()
        await asyncio.sleep(0.5)
        for name in deployment.instances:
            assert (await call(deployment, "/book/1", name=name)).status == 401

    async def test_draining_runner_gets_no_new_requests(self, deployment):
        deployment.runners["booking-1"].drain()
        await asyncio.sleep(0.8)
        for name in deployment.instances:
            assert (await call(deployment, "/book/1", name=name)).status == 200
        assert not deployment.runners["booking-1"].runs

    async def test_limit_holds_over_all_instances(self, deployment):
        await assert_limit_holds(deployment, rounds=15, settle_seconds=0.8)


class TestLostHub:
    """If the hub fails, followers still receive every change made in the meantime."""

    async def test_killed_hub_is_replaced(self, deployment):
        hub = the_hub(deployment)
        await deployment.instances[hub].kill()
        deployment.operator.add_customer("newcomer", ["new-key"])
        deployment.operator.write()
        others = [name for name in deployment.instances if name != hub]
        await asyncio.sleep(2.5)
        for name in others:
            reply = await call(deployment, "/book/1", name=name, key="new-key")
            assert reply.status == 200
            await wait_until(
                lambda name=name: _lists_instances(deployment, name, INSTANCES - 1)
            )
        assert {hub_chosen_by(deployment, name) for name in others} - {None, hub}

    async def test_changes_arrive_after_a_store_outage(self, deployment):
        hub = the_hub(deployment)
        deployment.store.faults.set(outage="hang")
        await asyncio.sleep(4.0)
        deployment.store.faults.set(outage=None)
        await asyncio.sleep(1.0)
        deployment.operator.add_customer("newcomer", ["new-key"])
        deployment.operator.write()
        await asyncio.sleep(2.5)
        for name in deployment.instances:
            reply = await call(deployment, "/book/1", name=name, key="new-key")
            assert reply.status == 200
        assert re.search("feed_lost", deployment.instances[hub].log_path.read_text())

    async def test_paused_hub_is_replaced_and_rejoins(self, deployment):
        hub = the_hub(deployment)
        process = deployment.instances[hub]
        process.freeze()
        others = [name for name in deployment.instances if name != hub]
        await asyncio.sleep(2.0)
        for name in others:
            assert (await call(deployment, "/book/1", name=name)).status == 200
            assert hub_chosen_by(deployment, name) != hub
        process.resume()
        await wait_until(lambda: _lists_instances(deployment, hub, INSTANCES), 8.0)
        assert (await call(deployment, "/book/1", name=hub)).status == 200
