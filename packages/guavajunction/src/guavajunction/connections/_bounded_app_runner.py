"""Runs an aiohttp application on bounded connections."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from ._bounded_server import BoundedServer
from ._server_bounds import ServerBounds


class BoundedAppRunner(web.AppRunner):
    """An application runner whose connections are each a `BoundedConnection`."""

    __slots__ = ("_bounds",)

    def __init__(
        self, app: web.Application, *, bounds: ServerBounds, **kwargs: Any
    ) -> None:
        """Create a runner that has not been set up.

        Args:
            app: The application.
            bounds: What the process may hold and parse for its callers.
            kwargs: Arguments of `aiohttp.web.AppRunner`.
        """
        super().__init__(app, **kwargs)
        self._bounds = bounds

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return BoundedServer(
            plain.request_handler,
            bounds=self._bounds,
            request_factory=plain.request_factory,
            handler_cancellation=plain.handler_cancellation,
            **plain._kwargs,
        )
