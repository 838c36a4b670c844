"""Builds the HTTP application of an instance."""

from __future__ import annotations

from collections.abc import Iterable

from aiohttp import web

from ._admission import Admission
from ._body import BodyReader, release_resources
from ._errors import ErrorMiddleware
from ._inference_handler import InferenceHandler
from ._info_handler import InfoHandler
from ._parts import FrontParts
from ._service_handler import PATH_PREFIX, ServiceHandler
from ._shielded_tasks import ShieldedTasks


class Front:
    """The HTTP application with the routes for callers and operators."""

    def __init__(
        self, parts: FrontParts, operator_routes: Iterable[web.AbstractRouteDef]
    ) -> None:
        self._parts = parts
        self._operator_routes = list(operator_routes)
        self._shielded = ShieldedTasks()

    def app(self) -> web.Application:
        """Create the aiohttp application."""
        app = web.Application(
            middlewares=[
                release_resources,
                ErrorMiddleware(self._parts.metrics, self._parts.draining).middleware(),
            ],
            client_max_size=self._parts.serving.max_body_bytes,
        )
        app.add_routes(self._caller_routes())
        app.add_routes(self._operator_routes)
        return app

    async def finish(self) -> None:
        """Wait for calls that continue after their callers have disconnected."""
        await self._shielded.finish()

    def _caller_routes(self) -> list[web.RouteDef]:
        admission = Admission(self._parts)
        reader = BodyReader(
            self._parts.serving.max_body_bytes,
            self._parts.serving.body_timeout,
            self._parts.budget,
            self._parts.clock,
        )
        inference = InferenceHandler(self._parts, admission, reader)
        services = ServiceHandler(self._parts, admission, reader, self._shielded)
        info = InfoHandler(self._parts, admission)
        return [
            web.post("/v1/chat/completions", inference.on_inference),
            web.post("/v1/completions", inference.on_inference),
            web.get("/v1/models", inference.on_models),
            web.get("/v1/instances", info.on_instances),
            web.get("/healthz", info.on_health),
            web.get("/metrics", info.on_metrics),
            web.route("*", PATH_PREFIX + "{service}", services.on_call),
            web.route("*", PATH_PREFIX + "{service}/{path:.*}", services.on_call),
        ]
