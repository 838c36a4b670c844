"""Planned stops of real instances under load.

Guards against requests that are passed on so late in a planned stop that the process
ends before their answers.
"""

from __future__ import annotations

import asyncio
import time

import aiohttp
import pytest

from guavajunction.connections import StrictConnector
from guavajunction_fakes.deployment import HEADERS, HOST
from platform_calls import KEY, runs

CALLERS = 24
WARM_UP_SECONDS = 1.0


class Caller:
    """Keeps using one instance until nothing accepts its connections."""

    def __init__(self, deployment, number):
        self.url = deployment.front_url("front-1")
        self.number = number
        self.answers = {}
        """Status of each request; None without a complete answer."""
        self.sent_at = {}

    async def run(self):
        session = aiohttp.ClientSession(connector=StrictConnector(limit=1))
        async with session:
            for count in range(10_000):
                request_id = f"stop-{self.number}-{count}"
                try:
                    await self.send(session, request_id)
                except aiohttp.ClientConnectorError:
                    # It was not sent.
                    del self.answers[request_id]
                    return
                except aiohttp.ClientError:
                    continue

    async def send(self, session, request_id):
        headers = {
            "Host": HOST,
            HEADERS.request_id: request_id,
            HEADERS.deadline: "4000",
            HEADERS.key: f"Token {KEY}",
        }
        self.answers[request_id] = None
        self.sent_at[request_id] = time.monotonic()
        body = self.chunks() if self.number % 5 == 0 else b"a body"
        url = f"{self.url}/book/{request_id}"
        async with session.post(url, headers=headers, data=body) as resp:
            await resp.read()
            self.answers[request_id] = resp.status
        if resp.status != 200:
            await asyncio.sleep(0.02)

    async def chunks(self):
        yield b"a "
        yield b"body"


class Stop:
    """What callers saw of a planned stop, and what backend servers ran."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.callers = [Caller(deployment, number) for number in range(CALLERS)]
        self.began_at = 0.0

    async def play(self, grace_seconds):
        calls = [asyncio.ensure_future(caller.run()) for caller in self.callers]
        await asyncio.sleep(WARM_UP_SECONDS)
        self.began_at = time.monotonic()
        process = self.deployment.instances["front-1"]
        self.status = await process.stop(within=grace_seconds)
        await asyncio.wait_for(asyncio.gather(*calls), 10.0)

    def lost(self):
        """Return the requests that were run and got no complete answer."""
        ran = {run.request_id for run in runs(self.deployment)}
        return [
            (request_id, round(caller.sent_at[request_id] - self.began_at, 2))
            for caller in self.callers
            for request_id, status in caller.answers.items()
            if status is None and request_id in ran
        ]

    def statuses(self, after=0.0):
        return [
            status
            for caller in self.callers
            for request_id, status in caller.answers.items()
            if caller.sent_at[request_id] - self.began_at >= after
        ]

    def run_though_refused(self):
        ran = {run.request_id for run in runs(self.deployment)}
        return [
            request_id
            for caller in self.callers
            for request_id, status in caller.answers.items()
            if status == 503 and request_id in ran
        ]


class TestStopUnderLoad:
    """Each request that an instance passes on in a planned stop is answered."""

    @pytest.mark.parametrize("longest", [0.2, 0.9])
    async def test_no_request_loses_its_answer(self, deployment, longest):
        for runner in deployment.runners.values():
            runner.max_work_seconds = longest
            runner.spec = runner.spec._replace(slots=64)
        stop = Stop(deployment)
        await stop.play(deployment.GRACE_SECONDS)
        assert stop.status == 0
        assert stop.lost() == []
        assert stop.run_though_refused() == []
        # It is for requests that arrive in time to end.
        assert stop.statuses(after=0.0).count(200) > 0
        assert 504 not in stop.statuses()

    async def test_request_that_never_ends_is_answered_before_the_process_ends(
        self, deployment
    ):
        for runner in deployment.runners.values():
            runner.max_work_seconds = 60.0
        stop = Stop(deployment)
        await stop.play(deployment.GRACE_SECONDS)
        assert stop.status == 0
        assert stop.lost() == []
        assert stop.run_though_refused() == []
