"""Placement of models and adapters on engines, planned from the demand."""

from __future__ import annotations

from ._messages import ArtifactDemand, ArtifactWanted, DemandDigest
from ._model import (
    Budget,
    Deployment,
    Holding,
    Load,
    Plan,
    PoolView,
    ServerView,
    Shortage,
    Unload,
    name_of,
    replicas_to_switch,
)
from ._planner import Planner, PlannerLimits
from ._protocols import DemandRate, DemandSource, PlannerLease
from ._service import PlacementService, lease_name

__all__ = [
    "ArtifactDemand",
    "ArtifactWanted",
    "Budget",
    "DemandDigest",
    "DemandRate",
    "DemandSource",
    "Deployment",
    "Holding",
    "Load",
    "PlacementService",
    "Plan",
    "Planner",
    "PlannerLease",
    "PlannerLimits",
    "PoolView",
    "ServerView",
    "Shortage",
    "Unload",
    "lease_name",
    "name_of",
    "replicas_to_switch",
]
