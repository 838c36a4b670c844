"""Tests of one real instance under callers that do not stay inside the limits.

Each test checks that the process lives, that its peak memory and its descriptors stay
under bounds set from its settings, and that an ordinary request is answered afterwards.
No time and no share of served requests is checked. Run one such test at a time.
"""

from __future__ import annotations

import pytest

import crowd
from bounded_process import ROUTE, Bounds, Target, assert_bears
from guavajunction_fakes.deployment import LocalDeployment
from platform_calls import call

PORTS = [18221, 18224, 18220, 17600]
METRICS_PORT = 9464
MEMORY_MB = 160
"""Memory of the machine, the least that a machine has; the bound on the peak."""
MAX_FDS = 400
"""Descriptors of the machine; the bound on the open ones."""
MAX_BODY_BYTES = 1_000_000
CALLERS = 150
IDLE_CALLERS = 600
BOUNDS = Bounds(MEMORY_MB, MAX_FDS)
NO_ROUTE = "/nowhere/1"

TRAFFIC = {
    traffic.name: traffic
    for traffic in (
        crowd.unfinished_body(MAX_BODY_BYTES),
        crowd.unfinished_chunks(MAX_BODY_BYTES),
        crowd.tiny_chunks(100_000),
        crowd.oversized_body(8 * MAX_BODY_BYTES),
        crowd.oversized_chunks(8 * MAX_BODY_BYTES),
        crowd.many_fields(1_900, 20),
        crowd.endless_head(2_000_000),
        crowd.pipelined(500),
    )
}


@pytest.fixture
async def small_machine(tmp_path):
    deployment = LocalDeployment(
        tmp_path,
        instances=1,
        ports=PORTS,
        limits={"memoryMb": MEMORY_MB, "maxFds": MAX_FDS},
    )
    deployment.operator.max_body_bytes = MAX_BODY_BYTES
    async with deployment as running:
        yield running


class TestFront:
    """Bodies, chunks, fields and pipelined requests at the callers' address."""

    @pytest.mark.parametrize("path", [ROUTE, NO_ROUTE], ids=["route", "no-route"])
    @pytest.mark.parametrize("name", TRAFFIC)
    async def test_process_stays_within_its_memory(self, small_machine, name, path):
        await assert_bears(
            Target.in_deployment(small_machine),
            BOUNDS,
            [PORTS[0]],
            path,
            TRAFFIC[name],
            CALLERS,
        )

    async def test_idle_connections_stay_within_the_descriptors(self, small_machine):
        silent = crowd.Traffic("silent", crowd.caller_head()[:-2], b"")
        await assert_bears(
            Target.in_deployment(small_machine),
            BOUNDS,
            [PORTS[0]],
            ROUTE,
            silent,
            IDLE_CALLERS,
        )

    async def test_largest_body_is_served(self, small_machine):
        reply = await call(small_machine, ROUTE, body=b"x" * MAX_BODY_BYTES)
        assert reply.status == 200

    async def test_largest_head_is_served(self, small_machine):
        fields = {f"f{n}": "1" for n in range(1_400)}
        assert (await call(small_machine, ROUTE, **fields)).status == 200


class TestOtherListeners:
    """The ready address, the directory, metrics and the ports for instances."""

    @pytest.mark.parametrize(
        "name", ["unfinished-body", "tiny-chunks", "oversized-body", "pipelined"]
    )
    @pytest.mark.parametrize(
        "port",
        [PORTS[1], PORTS[2], METRICS_PORT],
        ids=["ready", "directory", "metrics"],
    )
    async def test_process_stays_within_its_memory(self, small_machine, port, name):
        await assert_bears(
            Target.in_deployment(small_machine),
            BOUNDS,
            [port],
            "/",
            TRAFFIC[name],
            CALLERS,
        )

    @pytest.mark.parametrize("port", [PORTS[3], PORTS[3] + 1], ids=["peers", "tunnels"])
    @pytest.mark.parametrize("name", ["unfinished-body", "pipelined"])
    async def test_ports_for_instances_stay_within_memory(
        self, small_machine, port, name
    ):
        await assert_bears(
            Target.in_deployment(small_machine),
            BOUNDS,
            [port],
            "/",
            TRAFFIC[name],
            CALLERS,
        )
