"""Helpers that send requests to real gateway processes."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager
from typing import NamedTuple

import aiohttp
from yarl import URL

from guavajunction.connections import StrictConnector
from guavajunction_fakes.deployment import HEADERS, HOST

KEY = "key-of-atelier"

_ids = itertools.count(1)


class Reply(NamedTuple):
    """A response as received by a caller."""

    status: int
    body: bytes
    headers: dict[str, str]


@asynccontextmanager
async def open_call(
    deployment,
    path,
    *,
    method="POST",
    name="front-1",
    key=KEY,
    model=None,
    body=b"a body",
    **headers,
):
    """Send one request with the headers that the platform's callers send.

    Yields:
        The response, whose body may still be arriving.
    """
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
        aiohttp.ClientSession(connector=StrictConnector()) as session,
        session.request(method, url, headers=sent, data=body) as resp,
    ):
        yield resp


async def call(deployment, path, **options):
    """Send one request, with the options of `open_call`; return the whole response."""
    async with open_call(deployment, path, **options) as resp:
        return Reply(resp.status, await resp.read(), dict(resp.headers))


def runs(deployment):
    """Return the runs of all backend servers."""
    return [run for runner in deployment.runners.values() for run in runner.runs]


async def wait_until(test, within=5.0):
    """Poll a function or coroutine function until its result is true."""
    async with asyncio.timeout(within):
        while True:
            result = test()
            if await result if asyncio.iscoroutine(result) else result:
                return
            await asyncio.sleep(0.02)


async def assert_limit_holds(deployment, *, rounds, settle_seconds):
    """Check that all instances together enforce a customer's rate limit."""
    deployment.operator.add_customer("small", ["small-key"], rate=100, burst=200)
    deployment.operator.write()
    await asyncio.sleep(settle_seconds)
    statuses = [
        (await call(deployment, "/book/1", key="small-key", name=name)).status
        for _ in range(rounds)
        for name in deployment.instances
    ]
    passed = statuses.count(200)
    # Each request counts 100 tokens. The bound is rate and burst over a window of eight
    # seconds, plus the tolerance for limits that several instances enforce.
    assert passed * 100 <= (100 * 8 + 200) * 1.1 + 1000
    assert statuses.count(429) == len(statuses) - passed


async def count_listed_instances(deployment, name):
    """Return the number of addresses in the directory response of an instance."""
    return len(await deployment.resolve(name))
