"""Calls to instances of the adapter, for tests on real processes."""

from __future__ import annotations

import asyncio
import itertools
from typing import NamedTuple

import aiohttp
from yarl import URL

from guavajunction_fakes.deployment import HEADERS, HOST

KEY = "key-of-atelier"

_ids = itertools.count(1)


class Reply(NamedTuple):
    """What a caller got."""

    status: int
    body: bytes
    headers: dict[str, str]


async def call(
    deployment, path, *, method="POST", name="front-1", key=KEY, model=None, **headers
):
    """Send one request as the platform's callers do."""
    sent = {
        "Host": HOST,
        HEADERS.request_id: f"request-{next(_ids)}",
        HEADERS.deadline: "4000",
        HEADERS.key: f"Token {key}",
    }
    if model:
        sent |= {
            HEADERS.model: model,
            HEADERS.tokens: "100,20",
            HEADERS.parts: "aa:30,bb:70",
        }
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    url = URL(deployment.front_url(name) + path, encoded=True)
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=sent, data=b"a body") as resp,
    ):
        return Reply(resp.status, await resp.read(), dict(resp.headers))


def runs(deployment):
    return [run for runner in deployment.runners.values() for run in runner.runs]


async def until(test, within=5.0):
    """Wait until a test, which may be a coroutine function, returns something true."""
    async with asyncio.timeout(within):
        while True:
            result = test()
            if await result if asyncio.iscoroutine(result) else result:
                return
            await asyncio.sleep(0.02)


async def limit_holds(deployment, *, rounds, settle_seconds):
    """Check that all instances together keep a customer to its limit."""
    deployment.operator.add_customer("small", ["small-key"], rate=100, burst=200)
    deployment.operator.write()
    await asyncio.sleep(settle_seconds)
    statuses = [
        (await call(deployment, "/book/1", key="small-key", name=name)).status
        for _ in range(rounds)
        for name in deployment.instances
    ]
    passed = statuses.count(200)
    # 100 tokens each; rate, burst and tolerance of an eight-second window.
    assert passed * 100 <= (100 * 8 + 200) * 1.1 + 1000
    assert statuses.count(429) == len(statuses) - passed


async def listed(deployment, name):
    """Return how many instances an instance tells callers to use."""
    return len(await deployment.resolve(name))
