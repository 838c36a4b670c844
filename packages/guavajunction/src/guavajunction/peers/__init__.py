"""Authenticated links between instances: heartbeats, messages and requests."""

from __future__ import annotations

from ._keys import FleetKeys
from ._mesh import LinkTraffic, PeerMesh
from ._protocols import Handler, Links, PeerId
from ._targets import FullMesh, RingSubset, TargetStrategy

__all__ = [
    "FleetKeys",
    "FullMesh",
    "Handler",
    "LinkTraffic",
    "Links",
    "PeerId",
    "PeerMesh",
    "RingSubset",
    "TargetStrategy",
]
