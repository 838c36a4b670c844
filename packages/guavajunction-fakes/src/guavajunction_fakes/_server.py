"""Base class of all stand-ins: an HTTP server with fault injection and counters."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

from aiohttp import web

from ._faults import FaultController

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FakeServer:
    """An HTTP stand-in that runs in a test's event loop or as a separate process."""

    HOST = "127.0.0.1"
    MAX_BODY_BYTES = 64 * 1024 * 1024
    MAX_HEADERS = 4096
    """More than the largest head of a caller can contain."""
    SHUTDOWN_SECONDS = 0.2
    """Time that a stop allows open requests to end."""
    CANCEL_ON_DISCONNECT = False
    """Whether a disconnect of the caller cancels its operation."""

    def __init__(self) -> None:
        self.faults = FaultController()
        """Faults that the stand-in injects."""
        self.counts: Counter[str] = Counter()
        """Number of received operations by kind, including those ended by a fault."""
        self._tasks: set[asyncio.Task[Any]] = set()
        self._task_errors: list[BaseException] = []
        self._max_loop_delay = 0.0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        raise NotImplementedError

    def kind_of(self, req: web.Request) -> str:
        """Return the kind of an operation, for the counters and `Faults.only`."""
        resource = req.match_info.route.resource
        path = resource.canonical if resource is not None else req.path
        return f"{req.method} {path}"

    def is_write(self, req: web.Request) -> bool:
        """Return whether an operation writes."""
        return req.method != "GET"

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {
            "operations": dict(self.counts),
            "operations_total": sum(self.counts.values()),
            "loop_held_seconds": round(self._max_loop_delay, 4),
        }

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in the background until it ends or the server stops.

        An exception of the coroutine is reported to the event loop's exception handler
        at once and raised when the server stops.
        """
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def start_background_tasks(self) -> None:
        """Start the background tasks that run until the server stops."""

    def app(self) -> web.Application:
        """Return the web application, which does not listen yet."""
        app = web.Application(
            middlewares=[self._apply_faults],
            client_max_size=self.MAX_BODY_BYTES,
        )
        app.add_routes(self.routes())
        app.add_routes(
            [
                web.post("/faults", self.faults.handle_post),
                web.get("/stats", self._handle_stats),
            ]
        )
        return app

    @contextlib.asynccontextmanager
    async def serve(self, port: int = 0, host: str = HOST) -> AsyncIterator[str]:
        """Listen while the context is open.

        Args:
            port: TCP port, 0 for any free one.
            host: IP address to listen on.

        Yields:
            The URL of the server, without a trailing slash.
        """
        async with contextlib.AsyncExitStack() as stack:
            runner = web.AppRunner(
                self.app(),
                access_log=None,
                shutdown_timeout=self.SHUTDOWN_SECONDS,
                handler_cancellation=self.CANCEL_ON_DISCONNECT,
                max_headers=self.MAX_HEADERS,
            )
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            site = web.TCPSite(runner, host, port, reuse_address=True)
            await site.start()
            port = runner.addresses[0][1]
            stack.push_async_callback(self._cancel_tasks)
            self.spawn(self._measure_loop_delay())
            self.spawn(self._refuse_during_outages(runner, site, host, port))
            self.start_background_tasks()
            yield f"http://{host}:{port}"

    @web.middleware
    async def _apply_faults(
        self, req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if req.path in FaultController.CONTROL_PATHS:
            return await handler(req)
        kind = self.kind_of(req)
        self.counts[kind] += 1
        fault_resp = await self.faults.apply_before(req, kind)
        if fault_resp is not None:
            return fault_resp
        resp = await handler(req)
        return await self.faults.apply_after(req, kind, resp, self.is_write(req))

    async def _handle_stats(self, req: web.Request) -> web.Response:
        return web.json_response(self.stats())

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._task_errors.append(task.exception())
        task.get_loop().call_exception_handler(
            {
                "message": "a background task of a stand-in failed",
                "exception": task.exception(),
            }
        )

    async def _cancel_tasks(self) -> None:
        self.faults.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for error in self._task_errors:
            raise error

    async def _measure_loop_delay(self) -> None:
        interval = 0.1
        while True:
            began = time.monotonic()
            await asyncio.sleep(interval)
            late = time.monotonic() - began - interval
            self._max_loop_delay = max(self._max_loop_delay, late)

    async def _refuse_during_outages(
        self, runner: web.AppRunner, site: web.TCPSite, host: str, port: int
    ) -> None:
        while True:
            await self.faults.changed.wait()
            if self.faults.active.outage != "refuse":
                continue
            await site.stop()
            for conn in list(runner.server.connections if runner.server else []):
                if conn.transport is not None:
                    conn.transport.abort()
            while self.faults.active.outage == "refuse":
                await self.faults.changed.wait()
            site = web.TCPSite(runner, host, port, reuse_address=True)
            await site.start()
