"""Tests of real gateway processes of which the store serves only some."""

from __future__ import annotations

from contextlib import AsyncExitStack

import pytest

from guavajunction_fakes.deployment import LocalDeployment
from guavajunction_fakes.soak import LinkProxies
from platform_calls import KEY, call, wait_until

PORTS = [18221, 18224, 18220, 17600]
IN_FORCE_SECONDS = 7.0
"""Longest time until a configuration is in force while the store refuses some
instances: `configApplyMs` and `maxStretchMs` of the smaller deployments."""


@pytest.fixture(params=["full mesh", "hubs"])
async def fleet(request, tmp_path):
    """A fleet whose links to the store can be cut one by one."""
    settings = tmp_path / "gateway.ini"
    full_mesh = 20 if request.param == "full mesh" else 1
    settings.write_text(f"[fleet]\nfull_mesh = {full_mesh}\n")
    async with AsyncExitStack() as stack:
        links = LinkProxies(stack)
        deployment = LocalDeployment(
            tmp_path, instances=3, ports=PORTS, gateway_settings=settings, links=links
        )
        yield await stack.enter_async_context(deployment), links


class TestInstanceRefusedByTheStore:
    """A configuration reaches an instance that can't read the store itself."""

    @pytest.mark.parametrize("name", ["front-1", "front-2", "front-3"])
    async def test_withdrawn_key_is_refused_by_instance_without_the_store(
        self, fleet, name
    ):
        deployment, links = fleet
        assert (await call(deployment, "/book/1", name=name)).status == 200
        proxy = links.proxies[f"store/{name}"]
        proxy.stall()
        deployment.operator.add_customer("atelier", ["another-key"])
        deployment.operator.write()

        async def refuses_withdrawn_key():
            reply = await call(deployment, "/book/1", name=name, key=KEY)
            return reply.status == 401

        await wait_until(refuses_withdrawn_key, IN_FORCE_SECONDS)
        reply = await call(deployment, "/book/1", name=name, key="another-key")
        assert reply.status == 200
