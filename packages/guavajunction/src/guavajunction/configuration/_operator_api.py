"""The routes under ``/operator/`` that guavactl calls."""

from __future__ import annotations

from aiohttp import web

from ._document_routes import DocumentRoutes
from ._fleet_routes import FleetRoutes
from ._key_routes import KeyRoutes
from ._operator_dependencies import OperatorParts
from ._operator_guard import OperatorGuard


def operator_routes(parts: OperatorParts, *, token: str) -> list[web.RouteDef]:
    """Return the operator routes of an instance.

    Args:
        parts: What the routes work on.
        token: What operators present as their bearer token; empty lets nobody in.
    """
    guard = OperatorGuard(token)
    groups = [DocumentRoutes(parts), KeyRoutes(parts), FleetRoutes(parts)]
    return [
        web.route(method, f"/operator/{path}", guard.wrap(handler))
        for group in groups
        for method, path, handler in group.routes()
    ]
