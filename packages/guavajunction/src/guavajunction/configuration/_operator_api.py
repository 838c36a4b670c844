"""The HTTP routes under ``/operator/`` that guavactl calls."""

from __future__ import annotations

from aiohttp import web

from ._document_routes import DocumentRoutes
from ._fleet_routes import FleetRoutes
from ._key_routes import KeyRoutes
from ._operator_dependencies import OperatorDependencies
from ._operator_guard import OperatorGuard


def operator_routes(
    dependencies: OperatorDependencies, *, token: str
) -> list[web.RouteDef]:
    """Return the operator routes of an instance.

    Args:
        dependencies: Objects that the handlers use.
        token: Bearer token of operators; an empty token refuses every request.
    """
    guard = OperatorGuard(token)
    groups = [
        DocumentRoutes(dependencies),
        KeyRoutes(dependencies),
        FleetRoutes(dependencies),
    ]
    return [
        web.route(method, f"/operator/{path}", guard.wrap(handler))
        for group in groups
        for method, path, handler in group.routes()
    ]
