"""Tests of one real instance under callers that do not stay inside the limits.

Each test checks that the process lives, that its peak memory and its descriptors stay
under bounds set from its settings, and that an ordinary request is answered afterwards.
No time and no share of served requests is checked. Run one such test at a time.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import psutil
import pytest

import crowd
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
ANSWER_SECONDS = 30.0
"""Time for the instance to answer again; no test states how soon it must."""

ROUTE, NO_ROUTE = "/book/1", "/nowhere/1"

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


def peak_mb(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1]) / 1024


async def answered(deployment, **options):
    """Return the status once the request is answered, however late it is."""
    async with asyncio.timeout(ANSWER_SECONDS):
        while True:
            try:
                reply = await call(deployment, ROUTE, **options)
            except (aiohttp.ClientError, OSError):
                reply = None
            if reply is not None and reply.status == 200:
                return reply.status
            await asyncio.sleep(0.2)


async def assert_bears(deployment, port, path, traffic, callers=CALLERS):
    process = deployment.instances["front-1"]
    descriptors = []

    async def watch():
        while True:
            descriptors.append(psutil.Process(process.pid).num_fds())
            await asyncio.sleep(0.1)

    watching = asyncio.ensure_future(watch())
    with crowd.Crowd() as clients:
        await clients.send(
            deployment.address_of("front-1"), port, path, traffic, callers
        )
        # Unread bytes are still being parsed.
        await asyncio.sleep(1.0)
        await answered(deployment)
    watching.cancel()
    process.raise_if_ended()
    peak = peak_mb(process.pid)
    print(f"peak {peak:.0f} MB, {max(descriptors)} descriptors")
    assert peak < MEMORY_MB
    assert max(descriptors) < MAX_FDS
    assert await answered(deployment) == 200


class TestFront:
    """Bodies, chunks, fields and pipelined requests at the callers' address."""

    @pytest.mark.parametrize("path", [ROUTE, NO_ROUTE], ids=["route", "no-route"])
    @pytest.mark.parametrize("name", TRAFFIC)
    async def test_process_stays_within_its_memory(self, small_machine, name, path):
        await assert_bears(small_machine, PORTS[0], path, TRAFFIC[name])

    async def test_idle_connections_stay_within_the_descriptors(self, small_machine):
        silent = crowd.Traffic("silent", crowd.caller_head()[:-2], b"")
        await assert_bears(small_machine, PORTS[0], ROUTE, silent, IDLE_CALLERS)

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
        await assert_bears(small_machine, port, "/", TRAFFIC[name])

    @pytest.mark.parametrize("port", [PORTS[3], PORTS[3] + 1], ids=["peers", "tunnels"])
    @pytest.mark.parametrize("name", ["unfinished-body", "pipelined"])
    async def test_ports_for_instances_stay_within_memory(
        self, small_machine, port, name
    ):
        await assert_bears(small_machine, port, "/", TRAFFIC[name])
