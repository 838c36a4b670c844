"""Stand-in for the platform's object store."""

from __future__ import annotations

import hashlib
import time
from typing import Any

from aiohttp import web

from ._server import FakeServer


class FakeObjects(FakeServer):
    """Stores objects in memory, with all their versions for stale reads."""

    def __init__(self) -> None:
        super().__init__()
        self._history: dict[str, list[tuple[float, bytes]]] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        return [
            web.get("/{bucket}/{name:.+}", self._handle_get),
            web.put("/{bucket}/{name:.+}", self._handle_put),
        ]

    def kind_of(self, req: web.Request) -> str:
        """Return `GET` or `PUT`."""
        return req.method

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {
            **super().stats(),
            "reads": self.counts["GET"],
            "writes": self.counts["PUT"],
            "objects": len(self._history),
        }

    async def _handle_get(self, req: web.Request) -> web.Response:
        limit = time.monotonic() - self.faults.active.stale_seconds
        history = self._history.get(req.path, [])
        visible = [body for at, body in history if at <= limit]
        if not visible:
            text = "<Error><Code>NoSuchKey</Code></Error>"
            return web.Response(status=404, text=text, content_type="application/xml")
        return web.Response(body=visible[-1], headers={"ETag": _etag(visible[-1])})

    async def _handle_put(self, req: web.Request) -> web.Response:
        body = await req.read()
        self._history.setdefault(req.path, []).append((time.monotonic(), body))
        return web.Response(headers={"ETag": _etag(body)})


def _etag(body: bytes) -> str:
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'
