"""Demo on stand-ins of the users' platform: sends requests and checks responses."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import NamedTuple

import aiohttp

from guavajunction_fakes.deployment import HEADERS, LocalDeployment


class _Response(NamedTuple):
    status: int
    body: bytes


class PlatformDemo:
    """Runs a local deployment through a series of steps and prints each check."""

    PORTS = [28221, 28224, 28220, 27600]
    """Front, readiness, directory and peer port; instances differ in their address."""
    PROPAGATION_SECONDS = 0.5
    """Time for a change by the operator or a stop to reach the instances."""
    STOP_SECONDS = 5.0
    """Timeout of a planned stop."""

    def __init__(self, var: Path) -> None:
        """Create a demo.

        Args:
            var: Folder for settings files and logs.
        """
        self._deployment = LocalDeployment(var, instances=3, ports=self.PORTS)
        self._requests = 0
        self._failed = 0

    async def run(self) -> int:
        """Run every step.

        Returns:
            The number of checks that failed.
        """
        async with self._deployment as deployment:
            addresses = await deployment.resolve("front-1")
            self._check(f"the directory lists {addresses}", len(addresses) == 3)
            resp = await self._call("/book/1")
            self._check("a booking succeeds", resp.status == 200)
            resp = await self._call("/draft/1", model="m1")
            self._check("a stream is complete", resp.body.count(b"data:") == 3)
            resp = await self._call("/draft/2", model="m1/a1")
            self._check("an adapter is loaded on demand", resp.status == 200)
            resp = await self._call("/long/1", model="m3")
            self._check("a rare model is loaded on demand", resp.status == 200)
            await self._revoke_key()
            await self._stop_one()
        return self._failed

    async def _revoke_key(self) -> None:
        operator = self._deployment.operator
        operator.add_customer("atelier", ["another-key"])
        operator.write()
        await asyncio.sleep(self.PROPAGATION_SECONDS)
        resp = await self._call("/book/2")
        self._check("a revoked key is refused", resp.status == 401)

    async def _stop_one(self) -> None:
        process = self._deployment.instances["front-2"]
        process.signal(signal.SIGTERM)
        await asyncio.sleep(self.PROPAGATION_SECONDS)
        addresses = await self._deployment.resolve("front-1")
        self._check(
            "a stopping instance is removed from the directory", len(addresses) == 2
        )
        status = await process.stop(within=self.STOP_SECONDS)
        self._check("the stopped instance exits with status 0", status == 0)

    async def _call(self, path: str, *, model: str | None = None) -> _Response:
        self._requests += 1
        headers = {
            "Host": "here.example",
            HEADERS.request_id: f"demo-{self._requests}",
            HEADERS.deadline: "4000",
            HEADERS.key: "Token key-of-atelier",
        }
        if model is not None:
            headers |= {HEADERS.model: model, HEADERS.tokens: "100,20"}
        url = self._deployment.front_url("front-1") + path
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b"a body") as resp,
        ):
            return _Response(resp.status, await resp.read())

    def _check(self, description: str, passed: bool) -> None:
        self._failed += not passed
        print(f"{'ok ' if passed else 'NOT'} {description}", flush=True)
