"""Handles requests for the directory, health and metrics."""

from __future__ import annotations

from aiohttp import web

from guavajunction.errors import KeyMissing, KeyRefused

from ._admission import Admission
from ._parts import FrontParts


class InfoHandler:
    """Handles requests for information about the fleet and this instance."""

    def __init__(self, parts: FrontParts, admission: Admission) -> None:
        self._parts = parts
        self._admission = admission

    async def on_instances(self, req: web.Request) -> web.Response:
        """Handle `GET /v1/instances`: rank the instances for the caller.

        If the request has a valid API key, the ranking is that of the key's customer.
        """
        entries = self._parts.directory.ranked(
            self._customer_name(req), req.query.get("data_centre")
        )
        return web.json_response(
            {
                "instances": [entry._asdict() for entry in entries],
                "ttl_seconds": self._parts.timing.directory_ttl,
            }
        )

    async def on_health(self, req: web.Request) -> web.Response:
        """Handle `GET /healthz`: 200 if the instance accepts callers, else 503."""
        ready = self._parts.ready()
        return web.json_response(
            {
                "status": "serving" if ready else "not serving",
                "configuration_version": self._parts.configuration().version,
            },
            status=200 if ready else 503,
        )

    async def on_metrics(self, req: web.Request) -> web.Response:
        """Handle `GET /metrics` in the Prometheus text format."""
        return web.Response(
            text=self._parts.metrics.exposition(), content_type="text/plain"
        )

    def _customer_name(self, req: web.Request) -> str:
        authorization = req.headers.get("Authorization")
        try:
            return self._parts.key_authenticator.authenticate(authorization).name
        except (KeyMissing, KeyRefused):
            return ""
