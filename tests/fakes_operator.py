"""An in-process fleet that serves its operator routes over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestServer

from fakes_configuration import Fleet, Node
from guavajunction.clock import ManualClock
from guavajunction.configuration import KeyRecord, OperatorDependencies, operator_routes
from guavajunction.storage import InstanceRecord

TOKEN = "operator-token"
_HEARTBEAT_SECONDS = 0.01
_HANG_SECONDS = 5.0


class FakeExplainer:
    """Explainer that knows one request, `r1`."""

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions for the request `r1`."""
        decision = {"event": 700, "backend": "runner-1", "why": "prefix", "load": 0.5}
        return [decision] if request_id == "r1" else []


class ServedNode:
    """One instance of the fleet with its HTTP server."""

    def __init__(self, served: ServedFleet, node: Node, *, token: str = TOKEN) -> None:
        self.node = node
        self.drained = False
        self.fault: str | None = None
        """Fault of requests: `before` drops requests other than GET unhandled, `after`
        drops their responses, `hang` delays every request."""
        self.hanging_requests = 0
        """Number of requests that were delayed by `hang`."""
        node.manager._clock = ManualClock()
        dependencies = OperatorDependencies(
            node.store,
            node.manager,
            node.editor,
            FakeExplainer(),
            served.records,
            self._drain,
            served.issue,
        )
        app = web.Application(middlewares=[self._inject_fault])
        app.add_routes(operator_routes(dependencies, token=token))
        self.server = TestServer(app)

    @property
    def url(self) -> str:
        """Base URL of the HTTP server."""
        return str(self.server.make_url("")).rstrip("/")

    def _drain(self) -> None:
        self.drained = True

    @web.middleware
    async def _inject_fault(self, req: web.Request, handler: Any) -> web.StreamResponse:
        if self.fault == "hang":
            self.hanging_requests += 1
            await asyncio.sleep(_HANG_SECONDS)
        fault = self.fault if req.method != "GET" else None
        if fault == "before":
            req.transport.abort()
        resp = await handler(req) if fault != "before" else web.Response()
        if fault == "after":
            req.transport.abort()
        return resp


class ServedFleet(Fleet):
    """Instances that run their managers, exchange heartbeats and serve operators."""

    def __init__(self, *names: str) -> None:
        super().__init__(*names)
        self.listed_names: list[str] = list(names)
        """Names on the platform's instance list."""
        self._ids = itertools.count(1)
        self.served = [ServedNode(self, node) for node in self.nodes]

    def records(self) -> list[InstanceRecord]:
        """Return the records of the platform's instance list."""
        ports = {
            served.node.links.me.name: served.server.port for served in self.served
        }
        return [
            InstanceRecord(name, "t", "127.0.0.1", ports.get(name) or 9, 0, "live")
            for name in self.listed_names
        ]

    def issue(self, customer: str) -> tuple[str, KeyRecord]:
        """Issue predictable keys: `k1`, `k2` and so on."""
        key_id = f"k{next(self._ids)}"
        return f"gj_{key_id}_secret", KeyRecord(key_id, customer, key_id[1] * 64)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[ServedFleet]:
        """Run the HTTP servers, managers and heartbeats while the context is open."""
        async with contextlib.AsyncExitStack() as stack:
            for served in self.served:
                await served.server.start_server()
                stack.push_async_callback(served.server.close)
            loops = [node.manager.run() for node in self.nodes]
            tasks = [
                asyncio.create_task(loop) for loop in [*loops, self._send_heartbeats()]
            ]
            stack.push_async_callback(_cancel, tasks)
            yield self

    async def _send_heartbeats(self) -> None:
        while True:
            self.network.send_heartbeats()
            await asyncio.sleep(_HEARTBEAT_SECONDS)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
