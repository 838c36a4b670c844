"""Stand-in for the platform's instance list."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web

from ._server import FakeServer


class FakeInstances(FakeServer):
    """Serves the instance list with a lag, as the platform does."""

    FIELDS = frozenset(
        {"name", "data_centre", "address", "http_port", "peer_port", "state"}
    )
    """Keys of each entry in the list."""

    def __init__(self, *, lag: float = 2.0) -> None:
        """Create an empty list.

        Args:
            lag: Seconds by which the list that readers receive is stale.
        """
        super().__init__()
        self._lag = lag
        self._history: list[tuple[float, list[dict[str, Any]]]] = []

    def set(self, instances: list[dict[str, Any]]) -> None:
        """Set the current list.

        Readers see the first list at once and each later list after the lag.

        Args:
            instances: One entry with the keys in `FIELDS` for each instance.
        """
        at = time.monotonic() if self._history else 0.0
        self._history.append((at, instances))

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        return [
            web.get("/instances", self._handle_get),
            web.put("/instances", self._handle_put),
        ]

    def kind_of(self, req: web.Request) -> str:
        """Return `GET` or `PUT`."""
        return req.method

    def stats(self) -> dict[str, Any]:
        """Return figures for `GET /stats`."""
        return {**super().stats(), "reads": self.counts["GET"]}

    async def _handle_get(self, req: web.Request) -> web.Response:
        lag = max(self._lag, self.faults.active.stale_seconds)
        limit = time.monotonic() - lag
        visible = [instances for at, instances in self._history if at <= limit]
        return web.json_response({"instances": visible[-1] if visible else []})

    async def _handle_put(self, req: web.Request) -> web.Response:
        instances = (await req.json())["instances"]
        if any(set(entry) != self.FIELDS for entry in instances):
            raise web.HTTPBadRequest(text=f"each entry has {sorted(self.FIELDS)}")
        self.set(instances)
        return web.Response(status=204)
