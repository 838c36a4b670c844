"""The gateway daemon, its settings and the interface of a deployment."""

from __future__ import annotations

from ._daemon import GatewayDaemon
from ._deployment import (
    CallerConnections,
    Deployment,
    DirectoryQuery,
    ListenerParts,
    RowAddress,
)
from ._settings import (
    Capacity,
    GatewaySettings,
    ListenAddress,
    OrderBounds,
    StoreSettings,
)
from ._tuning import Tuning, read_tuning

__all__ = [
    "CallerConnections",
    "Capacity",
    "Deployment",
    "DirectoryQuery",
    "ListenerParts",
    "GatewayDaemon",
    "GatewaySettings",
    "ListenAddress",
    "OrderBounds",
    "RowAddress",
    "StoreSettings",
    "Tuning",
    "read_tuning",
]
