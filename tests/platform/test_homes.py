"""Tests of real instances with a route that may not leave its region."""

from __future__ import annotations

import asyncio

import pytest

from guavajunction_fakes.deployment import LocalDeployment, RunnerSpec
from platform_calls import call

from .conftest import PORTS

HOME, AWAY = "here", "there"
SETTLE_SECONDS = 3.0


@pytest.fixture
async def deployment(tmp_path):
    engine = RunnerSpec("", "engines", models=("m1",), engine=True, sizes={"m1": 60.0})
    runners = [
        spec._replace(name=f"{kind}-{zone}", zone=zone)
        for kind, spec in (("engine", engine), ("booking", RunnerSpec("", "bookings")))
        for zone in (HOME, AWAY)
    ]
    async with LocalDeployment(tmp_path, ports=PORTS, runners=runners) as running:
        yield running


def regions_of(deployment, path):
    """Return the zones, which are regions here, in which requests of a path ran."""
    return {
        runner.spec.zone
        for runner in deployment.runners.values()
        for run in runner.runs
        if run.target.startswith(path)
    }


class TestHomes:
    """Requests of a route with homes run there, those of other routes anywhere."""

    async def test_requests_stay_at_home_and_are_refused_without_a_server(
        self, deployment
    ):
        routes = deployment.operator.routes
        routes["look"]["allowedRegions"] = [HOME]
        routes["draft"]["allowedRegions"] = [AWAY]
        routes["long"]["allowedRegions"] = ["elsewhere"]
        deployment.operator.write()
        await asyncio.sleep(SETTLE_SECONDS)
        statuses = {}
        for path, model in (
            ("/look/", None),
            ("/book/", None),
            ("/draft/", "m1"),
            ("/long/", "m1"),
        ):
            statuses[path] = set()
            # One server has eight slots and rejects what is beyond them.
            for number in range(6):
                calls = [
                    call(deployment, f"{path}{number}/{n}", model=model)
                    for n in range(5)
                ]
                replies = await asyncio.gather(*calls)
                statuses[path] |= {reply.status for reply in replies}
        assert statuses.pop("/long/") == {503}
        assert all(found == {200} for found in statuses.values()), statuses
        assert regions_of(deployment, "/look/") == {HOME}
        assert regions_of(deployment, "/draft/") == {AWAY}
        assert regions_of(deployment, "/book/") == {HOME, AWAY}
        assert not regions_of(deployment, "/long/")
