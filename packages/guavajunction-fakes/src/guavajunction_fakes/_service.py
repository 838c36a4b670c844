"""Stand-in for a plain service: bookings, filings and availability."""

from __future__ import annotations

import asyncio
import hashlib
import time
from typing import Any

from aiohttp import web

from ._run_log import RunLog
from ._server import FakeServer


class FakeService(FakeServer):
    """Executes every request, including repeated ones, and records each run."""

    def __init__(
        self, *, name: str = "service", latency: float = 0.02, slots: int = 32
    ) -> None:
        """Create a server of the service.

        Args:
            name: Name of the server, part of each response.
            latency: Seconds that the execution of each request takes.
            slots: Maximum number of requests executed at once; further ones wait.
        """
        super().__init__()
        self.log = RunLog()
        """Runs of this service."""
        self._name = name
        self._latency = latency
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._running = 0
        self._waiting = 0
        self._seq = 0
        self._started_at = time.monotonic()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        return [
            web.post("/bookings", self._handle_change),
            web.put("/filings/{filing}", self._handle_change),
            web.get("/filings/{filing}", self._handle_read),
            web.get("/availability", self._handle_read),
            web.get("/healthz", self._handle_health),
            web.get("/admin/load", self._handle_load),
            *self.log.routes(),
        ]

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {**super().stats(), **self.log.stats()}

    async def _handle_change(self, req: web.Request) -> web.Response:
        body = await req.read()
        self.log.count_secrets(req)
        self.log.add(req, f"{req.method} {req.path}")
        number = len(self.log.runs)
        await self._work()
        body = {
            "server": self._name,
            "number": number,
            "path": req.path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        return self._json_response(req, body, status=201)

    async def _handle_read(self, req: web.Request) -> web.Response:
        self.log.count_secrets(req)
        await self._work()
        body = {"server": self._name, "path": req.path, "query": req.query_string}
        return self._json_response(req, body, status=200)

    async def _handle_health(self, req: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _handle_load(self, req: web.Request) -> web.Response:
        self._seq += 1
        report = {
            "seq": self._seq,
            "age_seconds": 0.0,
            "running": self._running,
            "waiting": self._waiting,
            "slots": self._slot_count,
            "memory_mib": 0,
            "used_mib": 0,
            "kv_used_mib": 0,
            "resident": [],
            "role": "service",
            "last_fence": 0,
            "applied_orders": [],
            "refused_orders": [],
            "leaving": False,
        }
        return web.json_response(report)

    async def _work(self) -> None:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            await asyncio.sleep(self._latency)
        finally:
            self._running -= 1
            self._slots.release()

    def _json_response(
        self, req: web.Request, body: dict[str, Any], status: int
    ) -> web.Response:
        request_id = req.headers.get("X-Request-Id", "")
        return web.json_response(
            body, status=status, headers={"X-Request-Id": request_id}
        )
