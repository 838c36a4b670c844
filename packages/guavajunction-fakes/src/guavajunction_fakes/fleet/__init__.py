"""Launcher of a whole fleet on one machine, for development only."""

from __future__ import annotations

from ._fleet import Fleet
from ._process import FleetProcess, Usage
from ._profiles import (
    PROFILES,
    CustomerPlan,
    FleetProfile,
    ModelPlan,
    ObjectivePlan,
    profile_named,
)
from ._roster import CustomerAccess, Roster, read_roster

__all__ = [
    "PROFILES",
    "CustomerAccess",
    "CustomerPlan",
    "Fleet",
    "FleetProcess",
    "FleetProfile",
    "ModelPlan",
    "ObjectivePlan",
    "Roster",
    "Usage",
    "profile_named",
    "read_roster",
]
