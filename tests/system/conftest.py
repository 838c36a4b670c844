"""Fixtures: one small fleet of real processes for each test module."""

from __future__ import annotations

import aiohttp
import pytest_asyncio

from fleet_caller import FleetCaller
from guavajunction_fakes.fleet import PROFILES, Fleet


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def fleet(tmp_path_factory):
    var = tmp_path_factory.mktemp("fleet")
    overrides = {"serving": {"body_timeout": "1", "service_timeout": "2"}}
    async with Fleet(PROFILES["demo"], var, entries=3, overrides=overrides) as fleet:
        await fleet.wait_until_ready(within=30)
        yield fleet


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def caller(fleet):
    async with aiohttp.ClientSession() as session:
        yield FleetCaller(fleet, session)
