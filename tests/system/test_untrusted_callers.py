"""Tests of one real instance of a fleet under callers that do not stay inside limits.

`tests/platform/test_memory.py` says what is checked. Run one such test at a time.
"""

from __future__ import annotations

import aiohttp
import pytest

import crowd
from bounded_process import Bounds, Target, assert_bears
from fleet_caller import FleetCaller
from guavajunction_fakes.fleet import PROFILES, Fleet

BOUNDS = Bounds(memory_mb=160, max_descriptors=1_000)
MACHINE = {"memory_mb": "160", "max_descriptors": "1000"}
CALLERS = 400
IDLE_CALLERS = 1_200
MAX_BODY_BYTES = 1_048_576
OPEN_ROUTE = "/services/booking/availability/1"
LONG_FIELD = "a: " + "x" * 7_000

TRAFFIC = {
    traffic.name: traffic
    for traffic in (
        crowd.unfinished_head("long-fields", LONG_FIELD, 120 * len(LONG_FIELD)),
        crowd.trailers("trailers-endless", 100_000),
        crowd.unfinished_body(MAX_BODY_BYTES),
        crowd.unfinished_chunks(MAX_BODY_BYTES),
        crowd.pipelined(500),
    )
}


@pytest.fixture
async def instance(tmp_path):
    settings = {"machine": MACHINE, "serving": {"body_timeout": "30"}}
    async with (
        Fleet(PROFILES["demo"], tmp_path, entries=3, overrides=settings) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await fleet.wait_until_ready(within=30)
        caller = FleetCaller(fleet, session)

        async def ask():
            return (await caller.send("GET", "/v1/models")).status

        yield Target(fleet.processes[0], "127.0.0.1", ask), fleet.entries[0].http_port


class TestFront:
    """The port for callers and operators."""

    @pytest.mark.parametrize("path", [OPEN_ROUTE, "/nowhere"], ids=["open", "no-route"])
    @pytest.mark.parametrize("name", TRAFFIC)
    async def test_process_stays_within_its_memory(self, instance, name, path):
        target, port = instance
        await assert_bears(target, BOUNDS, [port], path, TRAFFIC[name], CALLERS)

    async def test_idle_connections_stay_within_the_descriptors(self, instance):
        target, port = instance
        silent = crowd.Traffic("silent", crowd.caller_head()[:-2], b"")
        await assert_bears(target, BOUNDS, [port], OPEN_ROUTE, silent, IDLE_CALLERS)
