"""Paths to backend servers through other instances, for those that have none."""

from __future__ import annotations

from ._path_watch import PathWatch, Probe
from ._server_paths import PathState, ServerPaths
from ._tunnel_connector import NoTunnel, TunnelConnector, TunnelDialer
from ._tunnel_entrance import TunnelEntrance, TunnelExit
from ._tunnel_listener import TunnelListener

__all__ = [
    "NoTunnel",
    "PathState",
    "PathWatch",
    "Probe",
    "ServerPaths",
    "TunnelConnector",
    "TunnelDialer",
    "TunnelEntrance",
    "TunnelExit",
    "TunnelListener",
]
