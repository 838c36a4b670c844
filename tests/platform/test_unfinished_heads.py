"""Tests of one real instance under heads and framing that do not end.

The machine has the least memory and the fewest descriptors that a deployment in force
gives, and the limits on requests are as deployed. `test_memory` says what is checked.
Run one such test at a time.
"""

from __future__ import annotations

import pytest

import crowd
from bounded_process import ROUTE, Bounds, Target, assert_bears
from guavajunction_fakes.deployment import LocalDeployment

from .conftest import PORTS

BOUNDS = Bounds(memory_mb=160, max_descriptors=1_638)
CALLERS = 400
MANY_CALLERS = 800
NO_ROUTE = "/nowhere/1"
METRICS_PORT = 9464
MAX_HEAD_BYTES = 16_384
UNFINISHED_BYTES = 15_500
"""Fields of a head of legal size, besides those that all callers send."""
ENDLESS_BYTES = 400_000

TRAFFIC = {
    traffic.name: traffic
    for traffic in (
        crowd.unfinished_head("short-fields", "a:", UNFINISHED_BYTES),
        crowd.unfinished_head("short-fields-endless", "a:", ENDLESS_BYTES),
        crowd.unfinished_head("odd-fields", "!#~|: \xff\xff", UNFINISHED_BYTES),
        crowd.unfinished_head("odd-fields-endless", "!#~|: \xff", ENDLESS_BYTES),
        crowd.endless_line(ENDLESS_BYTES),
        crowd.empty_lines(ENDLESS_BYTES),
        crowd.trailers("trailers", UNFINISHED_BYTES // 4),
        crowd.trailers("trailers-endless", ENDLESS_BYTES // 4),
        crowd.endless_extension(ENDLESS_BYTES),
        crowd.many_fields(1_900, 2),
        crowd.short_fields("short-fields-body", UNFINISHED_BYTES, b"x" * 990),
        crowd.short_fields("short-fields-ahead", UNFINISHED_BYTES, b"x" * 1000, 10),
        crowd.usual_fields("usual-fields", 120, b"x" * 990),
        crowd.usual_fields("usual-fields-ahead", 120, b"x" * 1000, 10),
    )
}

UNREAD = {
    traffic.name: traffic
    for traffic in (
        crowd.usual_fields("usual-fields-ahead", 120, b"x" * 1000, 100),
        crowd.tiny_chunks(60_000),
        crowd.pipelined(5_000),
    )
}
"""Traffic that arrives faster than it is read."""


@pytest.fixture(params=["installed", "python"])
async def smallest_machine(request, tmp_path, monkeypatch):
    """An instance with aiohttp's installed parser, or the one without extensions."""
    if request.param == "python":
        monkeypatch.setenv("AIOHTTP_NO_EXTENSIONS", "1")
    deployment = LocalDeployment(
        tmp_path,
        instances=1,
        ports=PORTS,
        limits={"memoryMb": BOUNDS.memory_mb, "maxFds": BOUNDS.max_descriptors},
    )
    async with deployment as running:
        yield running


class TestFront:
    """The callers' address."""

    @pytest.mark.parametrize("name", TRAFFIC)
    async def test_process_stays_within_its_memory(self, smallest_machine, name):
        traffic = TRAFFIC[name]
        await assert_bears(
            Target.in_deployment(smallest_machine),
            BOUNDS,
            [PORTS[0]],
            ROUTE,
            traffic,
            CALLERS,
        )

    @pytest.mark.parametrize("name", UNREAD)
    async def test_bytes_in_the_kernel_count_as_memory(self, smallest_machine, name):
        target, traffic = Target.in_deployment(smallest_machine), UNREAD[name]
        await assert_bears(target, BOUNDS, [PORTS[0]], NO_ROUTE, traffic, MANY_CALLERS)


class TestOtherListeners:
    """The readiness, directory and metrics ports."""

    @pytest.mark.parametrize("name", ["short-fields", "trailers"])
    @pytest.mark.parametrize(
        "port",
        [PORTS[1], PORTS[2], METRICS_PORT],
        ids=["ready", "directory", "metrics"],
    )
    async def test_process_stays_within_its_memory(self, smallest_machine, port, name):
        traffic = TRAFFIC[name]
        await assert_bears(
            Target.in_deployment(smallest_machine),
            BOUNDS,
            [port],
            "/",
            traffic,
            CALLERS,
        )

    @pytest.mark.parametrize("port", [PORTS[3], PORTS[3] + 1], ids=["peers", "tunnels"])
    @pytest.mark.parametrize("name", ["short-fields-endless", "endless-line"])
    async def test_ports_for_instances_stay_within_memory(
        self, smallest_machine, port, name
    ):
        target = Target.in_deployment(smallest_machine)
        await assert_bears(target, BOUNDS, [port], "/", TRAFFIC[name], CALLERS)

    async def test_crowds_at_all_listeners_add_up(self, smallest_machine):
        await assert_bears(
            Target.in_deployment(smallest_machine),
            BOUNDS,
            [PORTS[0], PORTS[1], PORTS[2], METRICS_PORT],
            ROUTE,
            TRAFFIC["short-fields"],
            CALLERS,
        )


class TestSingleRequests:
    """A request inside the limits is served in calm."""

    @pytest.mark.parametrize("field", ["a:", "a: 1", "a-name: a value of some length"])
    async def test_head_of_the_largest_size_is_served(self, smallest_machine, field):
        address = smallest_machine.address_of("front-1")
        assert (
            await crowd.send_largest_head(
                address, PORTS[0], ROUTE, field, MAX_HEAD_BYTES
            )
            == 200
        )
